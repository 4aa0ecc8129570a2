//! The `config` command: reads and changes the configuration, which is stored in the
//! append-only log.

use std::{fs, net::SocketAddr, time::Duration};

use crate::{
    cli::{EXIT_FAILED, EXIT_OK, EXIT_USAGE, config_file, flags::Config},
    core::config::{
        Action, ApplyResult, Change, Fold, Item, ItemKind, Key, Record, Selector, State,
    },
    errors::{Code, Refusal},
    fleet::{self, Log, submit},
    platform::Store,
};

/// Maximum time until the log confirms a change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs a `config` command and returns the exit code.
pub(super) async fn run(args: &Config) -> u8 {
    let words: Vec<&str> = args.words.iter().map(String::as_str).collect();
    let result = match words.as_slice() {
        ["check", file] => check(file),
        ["get"] => get(args, None).await,
        ["get", key] => get(args, Some(key)).await,
        ["history"] => history(args).await,
        ["import", file] => import(args, file).await,
        ["release", fingerprint] => release(args, fingerprint).await,
        _ => match parse_action(args, &words) {
            Ok(action) => change(args, action).await,
            Err(message) => {
                eprintln!("{message}");
                return EXIT_USAGE;
            }
        },
    };
    match result {
        Ok(()) => EXIT_OK,
        Err(refusal) => {
            eprintln!("{refusal}");
            EXIT_FAILED
        }
    }
}

fn parse_action(args: &Config, words: &[&str]) -> Result<Action, String> {
    let integer = |text: &str| text.parse().map_err(|_| format!("{text:?} is not an integer"));
    Ok(match words {
        ["set", key, number] => Action::Set { key: (*key).to_owned(), value: integer(number)? },
        ["except", selector, key, number] => Action::Except {
            selector: selector.parse::<Selector>()?,
            key: (*key).to_owned(),
            value: integer(number)?,
            reason: args.reason.clone().unwrap_or_default(),
        },
        ["drop", selector, key] => {
            Action::Drop { selector: selector.parse::<Selector>()?, key: (*key).to_owned() }
        }
        ["retire", kind, name] => {
            Action::Retire { kind: kind.parse::<ItemKind>()?, name: (*name).to_owned() }
        }
        _ => return Err(format!("unknown config command {words:?}; see config --help")),
    })
}

/// Connects to the log and replays its records.
async fn open_log(args: &Config) -> Result<(Store, Fold), Refusal> {
    let missing = || Refusal::new(Code::MissingSetting, "this command requires --log ADDRESS");
    let address: SocketAddr = args.log.ok_or_else(missing)?;
    let log = Store::new(address);
    let fold = fleet::read_config(&log).await?;
    Ok((log, fold))
}

async fn get(args: &Config, only: Option<&str>) -> Result<(), Refusal> {
    let (_, fold) = open_log(args).await?;
    let state = fold.state();
    for key in Key::ALL {
        if only.is_some_and(|w| w != key.name()) {
            continue;
        }
        let set = state.defaults.get(key.name());
        let value = set.copied().unwrap_or(key.default_value());
        let path = format!("default/{key}");
        let origin = if set.is_some() { "set" } else { "built in" };
        println!(
            "{key} = {value} ({origin}, revision {}) {}",
            state.path_revision(&path),
            key.doc()
        );
    }
    if only.is_none() {
        print_items(state);
    }
    for (selector, keys) in &state.exceptions {
        for (key, exception) in keys.iter().filter(|(k, _)| only.is_none_or(|w| w == *k)) {
            let path = format!("except/{selector}/{key}");
            let revision = state.path_revision(&path);
            let reason = &exception.reason;
            println!("{selector}: {key} = {} (revision {revision}) {reason:?}", exception.value);
        }
    }
    println!("revision {}", state.revision);
    Ok(())
}

fn print_items(state: &State) {
    for (kind, items) in &state.items {
        for (name, item) in items {
            let revision = state.path_revision(&format!("item/{kind}/{name}"));
            println!("{kind} {name} {} (revision {revision})", describe(item));
        }
    }
}

fn describe(item: &Item) -> String {
    match item {
        Item::Model { memory_mib, version } => format!("{memory_mib} MiB version {version}"),
        Item::Adapter { model, memory_mib } => format!("{memory_mib} MiB of {model}"),
        Item::Endpoint { agent, region, zone, memory_mib, service } => {
            let kind = service.as_deref().unwrap_or("engine");
            format!("{kind} {memory_mib} MiB in {region}/{zone}, agent {agent}")
        }
        Item::Service { idempotent } => format!("idempotent {idempotent}"),
        Item::Tenant {} | Item::Class {} => String::new(),
    }
}

async fn change(args: &Config, action: Action) -> Result<(), Refusal> {
    let (log, mut fold) = open_log(args).await?;
    let revision = submit_action(args, &log, &mut fold, action).await?;
    println!("accepted at revision {revision}");
    Ok(())
}

/// Submits an action based on `--base`, or on the current revision of its path if absent.
async fn submit_action(
    args: &Config,
    log: &Store,
    fold: &mut Fold,
    action: Action,
) -> Result<u64, Refusal> {
    let current = fold.state().path_revision(&action.path());
    let change = Change {
        id: format!("{:016x}", fastrand::u64(..)),
        operator: args.operator.clone().unwrap_or_else(|| "operator".to_owned()),
        base: args.base.unwrap_or(current),
        action,
    };
    submit(log, fold, &change, CHANGE_TIMEOUT).await.map_err(|err| err.0)
}

async fn release(args: &Config, fingerprint: &str) -> Result<(), Refusal> {
    let invalid = |_| Refusal::new(Code::BadValue, format!("{fingerprint:?} is not a fingerprint"));
    let fingerprint: u64 = fingerprint.parse().map_err(invalid)?;
    let (log, fold) = open_log(args).await?;
    if fold.state().crashes(fingerprint) == 0 {
        let message = format!("fingerprint {fingerprint} is not suspected of crashing endpoints");
        return Err(Refusal::new(Code::NothingToDrop, message));
    }
    let record = serde_json::to_vec(&Record::Cleared { fingerprint }).unwrap_or_default();
    let appended = log.append(fleet::CONFIG_STREAM, record.into()).await;
    let revision = appended.map_err(|err| Refusal::new(Code::LogUnavailable, err.to_string()))?;
    println!("released at revision {revision}");
    Ok(())
}

async fn history(args: &Config) -> Result<(), Refusal> {
    let missing = || Refusal::new(Code::MissingSetting, "this command requires --log ADDRESS");
    let log = Store::new(args.log.ok_or_else(missing)?);
    let records = fleet::read_records(&log).await?;
    let mut fold = Fold::default();
    for record in records {
        let result = fold.apply(record.offset, &record.payload);
        let Ok(Record::Change(change)) = serde_json::from_slice(&record.payload) else {
            continue;
        };
        let result = match result {
            ApplyResult::Accepted => "accepted".to_owned(),
            ApplyResult::Rejected(refusal) => format!("rejected {refusal}"),
            ApplyResult::NoChange => "covered by a snapshot".to_owned(),
        };
        let action = serde_json::to_string(&change.action).unwrap_or_default();
        println!("{} {} {action} {result}", record.offset, change.operator);
    }
    Ok(())
}

fn check(file: &str) -> Result<(), Refusal> {
    let actions = load_actions(file)?;
    let count = actions.len();
    let (_, refusal) = config_file::pending_changes(&State::default(), actions);
    match refusal {
        Some(refusal) => Err(refusal),
        None => {
            println!("{file} is a complete configuration of {count} changes");
            Ok(())
        }
    }
}

async fn import(args: &Config, file: &str) -> Result<(), Refusal> {
    let actions = load_actions(file)?;
    let (log, mut fold) = open_log(args).await?;
    let (pending, refusal) = config_file::pending_changes(fold.state(), actions);
    if let Some(refusal) = refusal {
        return Err(refusal);
    }
    let count = pending.len();
    for action in pending {
        submit_action(args, &log, &mut fold, action).await?;
    }
    println!("{count} changes accepted, revision {}", fold.state().revision);
    Ok(())
}

fn load_actions(file: &str) -> Result<Vec<Action>, Refusal> {
    let text = fs::read_to_string(file)
        .map_err(|err| Refusal::new(Code::UnreadableSettings, format!("{file}: {err}")))?;
    config_file::parse_actions(&text).map_err(|errors| config_file::parse_refusal(&errors))
}

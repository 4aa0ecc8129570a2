//! `config`: reads and changes the configuration in the log.

use std::{fs, net::SocketAddr, time::Duration};

use crate::{
    cli::{EXIT_FAILED, EXIT_OK, EXIT_USAGE, flags::Config, inventory},
    core::config::{
        Action, ApplyResult, Change, Fold, Item, ItemKind, Key, Record, Selector, State,
    },
    errors::{Code, Refusal},
    fleet::{self, Log, submit},
    platform::Store,
};

const CHANGE_LIMIT: Duration = Duration::from_secs(5);

/// Runs a `config` command.
pub(super) async fn run(args: &Config) -> u8 {
    let words: Vec<&str> = args.words.iter().map(String::as_str).collect();
    let result = match words.as_slice() {
        ["check", file] => check(file),
        ["get"] => get(args, None).await,
        ["get", key] => get(args, Some(key)).await,
        ["history"] => history(args).await,
        ["import", file] => import(args, file).await,
        ["release", fingerprint] => release(args, fingerprint).await,
        _ => match action(args, &words) {
            Ok(action) => change(args, action).await,
            Err(text) => {
                eprintln!("{text}");
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

fn action(args: &Config, words: &[&str]) -> Result<Action, String> {
    let value = |text: &str| text.parse().map_err(|_| format!("{text:?} is not a whole number"));
    Ok(match words {
        ["set", key, number] => Action::Set { key: (*key).to_owned(), value: value(number)? },
        ["except", selector, key, number] => Action::Except {
            selector: selector.parse::<Selector>()?,
            key: (*key).to_owned(),
            value: value(number)?,
            reason: args.reason.clone().unwrap_or_default(),
        },
        ["drop", selector, key] => {
            Action::Drop { selector: selector.parse::<Selector>()?, key: (*key).to_owned() }
        }
        ["retire", kind, name] => {
            Action::Retire { kind: kind.parse::<ItemKind>()?, name: (*name).to_owned() }
        }
        _ => return Err(format!("{words:?} is no config command; see config --help")),
    })
}

/// The log of the arguments and all that it holds, folded.
async fn read(args: &Config) -> Result<(Store, Fold), Refusal> {
    let missing = || Refusal::new(Code::MissingSetting, "the command needs --log ADDRESS");
    let address: SocketAddr = args.log.ok_or_else(missing)?;
    let log = Store::new(address);
    let fold = fleet::read_config(&log).await?;
    Ok((log, fold))
}

async fn get(args: &Config, wanted: Option<&str>) -> Result<(), Refusal> {
    let (_, fold) = read(args).await?;
    let state = fold.state();
    for key in Key::ALL {
        if wanted.is_some_and(|w| w != key.name()) {
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
    if wanted.is_none() {
        print_items(state);
    }
    for (selector, keys) in &state.exceptions {
        for (key, exception) in keys.iter().filter(|(k, _)| wanted.is_none_or(|w| w == *k)) {
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
            let runs = service.as_deref().unwrap_or("engine");
            format!("{runs} {memory_mib} MiB in {region}/{zone}, agent {agent}")
        }
        Item::Service { idempotent } => format!("idempotent {idempotent}"),
        Item::Tenant {} | Item::Class {} => String::new(),
    }
}

async fn change(args: &Config, action: Action) -> Result<(), Refusal> {
    let (log, mut fold) = read(args).await?;
    let revision = send(args, &log, &mut fold, action).await?;
    println!("accepted at revision {revision}");
    Ok(())
}

async fn send(args: &Config, log: &Store, fold: &mut Fold, action: Action) -> Result<u64, Refusal> {
    let current = fold.state().path_revision(&action.path());
    let change = Change {
        id: format!("{:016x}", fastrand::u64(..)),
        operator: args.operator.clone().unwrap_or_else(|| "operator".to_owned()),
        base: args.base.unwrap_or(current),
        action,
    };
    submit(log, fold, &change, CHANGE_LIMIT).await.map_err(|err| err.0)
}

async fn release(args: &Config, fingerprint: &str) -> Result<(), Refusal> {
    let unreadable = |_| Refusal::new(Code::BadValue, format!("{fingerprint:?} is no fingerprint"));
    let fingerprint: u64 = fingerprint.parse().map_err(unreadable)?;
    let (log, fold) = read(args).await?;
    if fold.state().crashes(fingerprint) == 0 {
        let text = format!("fingerprint {fingerprint} is not suspected");
        return Err(Refusal::new(Code::NothingToDrop, text));
    }
    let record = serde_json::to_vec(&Record::Cleared { fingerprint }).unwrap_or_default();
    let appended = log.append(fleet::CONFIG_STREAM, record.into()).await;
    let revision = appended.map_err(|err| Refusal::new(Code::LogUnavailable, err.to_string()))?;
    println!("released at revision {revision}");
    Ok(())
}

async fn history(args: &Config) -> Result<(), Refusal> {
    let missing = || Refusal::new(Code::MissingSetting, "the command needs --log ADDRESS");
    let log = Store::new(args.log.ok_or_else(missing)?);
    let records = fleet::read_records(&log).await?;
    let mut fold = Fold::default();
    for record in records {
        let verdict = fold.apply(record.offset, &record.payload);
        let Ok(Record::Change(change)) = serde_json::from_slice(&record.payload) else {
            continue;
        };
        let verdict = match verdict {
            ApplyResult::Accepted => "accepted".to_owned(),
            ApplyResult::Rejected(refusal) => format!("rejected {refusal}"),
            ApplyResult::NoChange => "covered by a snapshot".to_owned(),
        };
        let action = serde_json::to_string(&change.action).unwrap_or_default();
        println!("{} {} {action} {verdict}", record.offset, change.operator);
    }
    Ok(())
}

fn check(file: &str) -> Result<(), Refusal> {
    let actions = load(file)?;
    let count = actions.len();
    let (_, refused) = inventory::difference(&State::default(), actions);
    match refused {
        Some(refusal) => Err(refusal),
        None => {
            println!("{file} is a complete configuration of {count} changes");
            Ok(())
        }
    }
}

async fn import(args: &Config, file: &str) -> Result<(), Refusal> {
    let actions = load(file)?;
    let (log, mut fold) = read(args).await?;
    let (wanted, refused) = inventory::difference(fold.state(), actions);
    if let Some(refusal) = refused {
        return Err(refusal);
    }
    let count = wanted.len();
    for action in wanted {
        send(args, &log, &mut fold, action).await?;
    }
    println!("{count} changes accepted, revision {}", fold.state().revision);
    Ok(())
}

fn load(file: &str) -> Result<Vec<Action>, Refusal> {
    let text = fs::read_to_string(file)
        .map_err(|err| Refusal::new(Code::UnreadableSettings, format!("{file}: {err}")))?;
    inventory::actions(&text).map_err(|faults| inventory::unreadable(&faults))
}

//! Parses an INI file with a whole configuration, for `config check` and `config import`.

use std::{net::SocketAddr, str::FromStr};

use ini::{Ini, Properties};

use crate::{
    core::config::{Action, ApplyResult, Change, Fold, Item, Record, Selector, State},
    errors::{Code, Refusal},
};

/// Parses the changes that a file describes and sorts them so that each can be applied after
/// those before it: items come before defaults and exceptions.
///
/// # Errors
/// Returns an error for every section that cannot be parsed.
pub(super) fn parse_actions(text: &str) -> Result<Vec<Action>, Vec<String>> {
    let ini = Ini::load_from_str(text).map_err(|err| vec![err.to_string()])?;
    let mut errors = Vec::new();
    let mut ranked = Vec::new();
    for (section, properties) in &ini {
        let section = section.unwrap_or_default();
        if section.is_empty() && properties.is_empty() {
            continue;
        }
        match parse_section(section, properties) {
            Ok(actions) => ranked.extend(actions),
            Err(message) => errors.push(format!("[{section}]: {message}")),
        }
    }
    ranked.sort_by_key(|(rank, _)| *rank);
    if errors.is_empty() { Ok(ranked.into_iter().map(|(_, a)| a).collect()) } else { Err(errors) }
}

/// Returns the actions that would change `state`, up to and including the first that
/// would be refused, and its refusal.
pub(super) fn pending_changes(
    state: &State,
    actions: Vec<Action>,
) -> (Vec<Action>, Option<Refusal>) {
    let mut fold = Fold::default();
    fold.adopt(state.clone());
    let mut pending = Vec::new();
    for action in actions {
        if is_applied(fold.state(), &action) {
            continue;
        }
        let base = fold.state().path_revision(&action.path());
        let change =
            Change { id: String::new(), operator: String::new(), base, action: action.clone() };
        let payload = serde_json::to_vec(&Record::Change(change)).unwrap_or_default();
        pending.push(action);
        let offset = fold.state().revision + 1;
        if let ApplyResult::Rejected(refusal) = fold.apply(offset, &payload) {
            return (pending, Some(refusal));
        }
    }
    (pending, None)
}

/// Whether the state already contains the result of the action; `false` for drops and
/// retirements.
fn is_applied(state: &State, action: &Action) -> bool {
    match action {
        Action::Set { key, value } => state.defaults.get(key) == Some(value),
        Action::Except { selector, key, value, reason } => {
            let existing = state.exceptions.get(selector).and_then(|m| m.get(key));
            existing.is_some_and(|e| e.value == *value && e.reason == *reason)
        }
        Action::Declare { name, item } => state.item(item.kind(), name) == Some(item),
        Action::Drop { .. } | Action::Retire { .. } => false,
    }
}

/// Actions with their rank in the order of application: items without references to other
/// items, items that refer to those, defaults, exceptions.
type RankedActions = Vec<(u8, Action)>;

fn parse_section(section: &str, properties: &Properties) -> Result<RankedActions, String> {
    if section == "defaults" {
        let set = |(key, value): (&str, &str)| {
            let action = Action::Set { key: key.to_owned(), value: parse(key, value)? };
            Ok((3, action))
        };
        return properties.iter().map(set).collect();
    }
    let Some((kind, name)) = section.split_once(' ') else {
        return Err("expected [defaults], [KIND NAME] or [except KIND=NAME]".to_owned());
    };
    if kind == "except" {
        return parse_exceptions(name, properties);
    }
    let (rank, item) = parse_item(kind, properties)?;
    Ok(vec![(rank, Action::Declare { name: name.to_owned(), item })])
}

fn parse_exceptions(selector: &str, properties: &Properties) -> Result<RankedActions, String> {
    let selector: Selector = selector.parse()?;
    let reason = properties.get("reason").unwrap_or_default();
    let keys = properties.iter().filter(|(key, _)| *key != "reason");
    let except = |(key, value): (&str, &str)| {
        let action = Action::Except {
            selector: selector.clone(),
            key: key.to_owned(),
            value: parse(key, value)?,
            reason: reason.to_owned(),
        };
        Ok((4, action))
    };
    keys.map(except).collect()
}

fn parse_item(kind: &str, properties: &Properties) -> Result<(u8, Item), String> {
    let known: &[&str] = match kind {
        "model" => &["memory_mib", "version"],
        "adapter" => &["model", "memory_mib"],
        "endpoint" => &["agent", "region", "zone", "memory_mib", "service"],
        "service" => &["idempotent"],
        "tenant" | "class" => &[],
        _ => return Err(format!("unknown item kind {kind:?}")),
    };
    if let Some((key, _)) = properties.iter().find(|(key, _)| !known.contains(key)) {
        return Err(format!("unknown key {key:?} for {kind}"));
    }
    let text = |key: &str| {
        let found = properties.get(key).map(str::to_owned);
        found.ok_or_else(|| format!("required key {key:?} is missing"))
    };
    let numeric = |key: &str| text(key).and_then(|t| parse(key, &t));
    Ok(match kind {
        "model" => {
            let version = properties.get("version").map_or(Ok(0), |v| parse("version", v))?;
            (1, Item::Model { memory_mib: numeric("memory_mib")?, version })
        }
        "adapter" => {
            (2, Item::Adapter { model: text("model")?, memory_mib: numeric("memory_mib")? })
        }
        "endpoint" => {
            let item = Item::Endpoint {
                agent: parse::<SocketAddr>("agent", &text("agent")?)?,
                region: text("region")?,
                zone: text("zone")?,
                memory_mib: properties
                    .get("memory_mib")
                    .map_or(Ok(0), |v| parse("memory_mib", v))?,
                service: properties.get("service").map(str::to_owned),
            };
            (2, item)
        }
        "service" => (1, Item::Service { idempotent: parse("idempotent", &text("idempotent")?)? }),
        "tenant" => (1, Item::Tenant {}),
        _ => (1, Item::Class {}),
    })
}

fn parse<T: FromStr>(key: &str, text: &str) -> Result<T, String> {
    text.trim().parse().map_err(|_| format!("{key:?} has the invalid value {text:?}"))
}

/// Returns the refusal of a file that has parse errors.
pub(super) fn parse_refusal(errors: &[String]) -> Refusal {
    Refusal::new(Code::UnreadableRecord, errors.join("; "))
}

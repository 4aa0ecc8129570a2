//! A whole configuration as an INI file, for `config check` and `config import`.

use std::{net::SocketAddr, str::FromStr};

use ini::{Ini, Properties};

use crate::{
    core::config::{Action, ApplyResult, Change, Fold, Item, Record, Selector, State},
    errors::{Code, Refusal},
};

/// Reads the changes that a file asks for, items first, in an order that can be applied.
///
/// # Errors
/// Every section that cannot be read.
pub(super) fn actions(text: &str) -> Result<Vec<Action>, Vec<String>> {
    let ini = Ini::load_from_str(text).map_err(|err| vec![err.to_string()])?;
    let mut errors = Vec::new();
    let mut ranked = Vec::new();
    for (section, properties) in &ini {
        let section = section.unwrap_or_default();
        if section.is_empty() && properties.is_empty() {
            continue;
        }
        match read_section(section, properties) {
            Ok(found) => ranked.extend(found),
            Err(text) => errors.push(format!("[{section}]: {text}")),
        }
    }
    ranked.sort_by_key(|(rank, _)| *rank);
    if errors.is_empty() { Ok(ranked.into_iter().map(|(_, a)| a).collect()) } else { Err(errors) }
}

/// Changes of a file that would alter a state, with the first refusal if there is one.
pub(super) fn difference(state: &State, actions: Vec<Action>) -> (Vec<Action>, Option<Refusal>) {
    let mut fold = Fold::default();
    fold.adopt(state.clone());
    let mut wanted = Vec::new();
    for action in actions {
        if is_in_force(fold.state(), &action) {
            continue;
        }
        let base = fold.state().path_revision(&action.path());
        let change =
            Change { id: String::new(), operator: String::new(), base, action: action.clone() };
        let payload = serde_json::to_vec(&Record::Change(change)).unwrap_or_default();
        wanted.push(action);
        let offset = fold.state().revision + 1;
        if let ApplyResult::Rejected(refusal) = fold.apply(offset, &payload) {
            return (wanted, Some(refusal));
        }
    }
    (wanted, None)
}

fn is_in_force(state: &State, action: &Action) -> bool {
    match action {
        Action::Set { key, value } => state.defaults.get(key) == Some(value),
        Action::Except { selector, key, value, reason } => {
            let found = state.exceptions.get(selector).and_then(|m| m.get(key));
            found.is_some_and(|e| e.value == *value && e.reason == *reason)
        }
        Action::Declare { name, item } => state.item(item.kind(), name) == Some(item),
        Action::Drop { .. } | Action::Retire { .. } => false,
    }
}

type Ranked = Vec<(u8, Action)>;

fn read_section(section: &str, properties: &Properties) -> Result<Ranked, String> {
    if section == "defaults" {
        let set = |(key, value): (&str, &str)| {
            let action = Action::Set { key: key.to_owned(), value: number(key, value)? };
            Ok((3, action))
        };
        return properties.iter().map(set).collect();
    }
    let Some((kind, name)) = section.split_once(' ') else {
        return Err("a section is [defaults], [KIND NAME] or [except KIND=NAME]".to_owned());
    };
    if kind == "except" {
        return exceptions(name, properties);
    }
    let (rank, item) = item(kind, properties)?;
    Ok(vec![(rank, Action::Declare { name: name.to_owned(), item })])
}

fn exceptions(selector: &str, properties: &Properties) -> Result<Ranked, String> {
    let selector: Selector = selector.parse()?;
    let reason = properties.get("reason").unwrap_or_default();
    let keys = properties.iter().filter(|(key, _)| *key != "reason");
    let except = |(key, value): (&str, &str)| {
        let action = Action::Except {
            selector: selector.clone(),
            key: key.to_owned(),
            value: number(key, value)?,
            reason: reason.to_owned(),
        };
        Ok((4, action))
    };
    keys.map(except).collect()
}

fn item(kind: &str, properties: &Properties) -> Result<(u8, Item), String> {
    let known: &[&str] = match kind {
        "model" => &["memory_mib", "version"],
        "adapter" => &["model", "memory_mib"],
        "endpoint" => &["agent", "region", "zone", "memory_mib", "service"],
        "service" => &["idempotent"],
        "tenant" | "class" => &[],
        _ => return Err(format!("item kind {kind:?} does not exist")),
    };
    if let Some((key, _)) = properties.iter().find(|(key, _)| !known.contains(key)) {
        return Err(format!("{kind} has no {key:?}"));
    }
    let text = |key: &str| {
        let found = properties.get(key).map(str::to_owned);
        found.ok_or_else(|| format!("{key:?} is missing"))
    };
    let numeric = |key: &str| text(key).and_then(|t| number(key, &t));
    Ok(match kind {
        "model" => {
            let version = properties.get("version").map_or(Ok(0), |v| number("version", v))?;
            (1, Item::Model { memory_mib: numeric("memory_mib")?, version })
        }
        "adapter" => {
            (2, Item::Adapter { model: text("model")?, memory_mib: numeric("memory_mib")? })
        }
        "endpoint" => {
            let item = Item::Endpoint {
                agent: number::<SocketAddr>("agent", &text("agent")?)?,
                region: text("region")?,
                zone: text("zone")?,
                memory_mib: properties
                    .get("memory_mib")
                    .map_or(Ok(0), |v| number("memory_mib", v))?,
                service: properties.get("service").map(str::to_owned),
            };
            (2, item)
        }
        "service" => (1, Item::Service { idempotent: number("idempotent", &text("idempotent")?)? }),
        "tenant" => (1, Item::Tenant {}),
        _ => (1, Item::Class {}),
    })
}

fn number<T: FromStr>(key: &str, text: &str) -> Result<T, String> {
    text.trim().parse().map_err(|_| format!("{key:?} has the unreadable value {text:?}"))
}

/// The refusal of a file that cannot be read.
pub(super) fn unreadable(errors: &[String]) -> Refusal {
    Refusal::new(Code::UnreadableRecord, errors.join("; "))
}

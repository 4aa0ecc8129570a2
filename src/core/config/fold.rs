//! Deterministic fold of the configuration stream into a state.

use std::sync::Arc;

use crate::{
    core::{
        config::{
            Action, Change, Crash, Exception, Item, ItemKind, Key, Record, Selector, State, Suspect,
        },
        ids::Offset,
    },
    errors::{Code, Refusal},
};

// Most suspects in the state; those with the oldest last crash are dropped first.
const MAX_SUSPECTS: usize = 1024;

/// Result of applying one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    /// The change is in force.
    Accepted,
    /// The change is invalid and has no effect.
    Rejected(Refusal),
    /// Not a change by an operator, or a record that was applied before.
    NoChange,
}

/// Applies the records of the configuration stream in log order. Every process
/// gets the same result for every record, and the revision never decreases.
///
/// ```
/// use goldcrestpitch::core::config::{Fold, ApplyResult};
/// let mut fold = Fold::default();
/// let record = br#"{"record":"change","id":"1","operator":"ana","base":0,
///     "action":{"do":"set","key":"tenant.weight","value":7}}"#;
/// assert_eq!(fold.apply(1, record), ApplyResult::Accepted);
/// assert_eq!(fold.state().revision, 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Fold {
    state: Arc<State>,
    snapshot_offset: Offset,
}

impl Fold {
    /// The current state.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Offset of the last snapshot record that was read; 0 for none.
    pub fn snapshot_offset(&self) -> Offset {
        self.snapshot_offset
    }

    /// Replaces the state by one from a peer or a snapshot if that one has a higher
    /// revision. Returns whether it did.
    pub fn adopt(&mut self, state: State) -> bool {
        if state.revision <= self.state.revision {
            return false;
        }
        self.state = Arc::new(state);
        true
    }

    /// Applies one record. Records must come in the order of their offsets.
    pub fn apply(&mut self, offset: Offset, payload: &[u8]) -> ApplyResult {
        let record = serde_json::from_slice(payload);
        if let Ok(Record::Snapshot(_)) = &record {
            self.snapshot_offset = self.snapshot_offset.max(offset);
        }
        if offset <= self.state.revision {
            return ApplyResult::NoChange;
        }
        match record {
            Ok(Record::Change(change)) => self.apply_change(offset, change),
            Ok(Record::Snapshot(snapshot)) => {
                self.adopt(snapshot.state);
                self.set_revision(offset);
                ApplyResult::NoChange
            }
            Ok(Record::Crash(crash)) => {
                self.apply_crash(offset, &crash);
                ApplyResult::NoChange
            }
            Ok(Record::Cleared { fingerprint }) => {
                self.set_revision(offset);
                Arc::make_mut(&mut self.state).suspects.remove(&fingerprint);
                ApplyResult::NoChange
            }
            Err(err) => {
                self.set_revision(offset);
                let text = format!("record {offset} cannot be decoded: {err}");
                ApplyResult::Rejected(Refusal::new(Code::UnreadableRecord, text))
            }
        }
    }

    fn set_revision(&mut self, offset: Offset) {
        Arc::make_mut(&mut self.state).revision = offset;
    }

    fn apply_crash(&mut self, offset: Offset, crash: &Crash) {
        self.set_revision(offset);
        let suspects = &mut Arc::make_mut(&mut self.state).suspects;
        for fingerprint in &crash.suspects {
            let suspect =
                suspects.entry(*fingerprint).or_insert(Suspect { crashes: 0, last_crash: 0 });
            // A record that lists a fingerprint twice counts as one crash.
            if suspect.last_crash < offset {
                *suspect = Suspect { crashes: suspect.crashes + 1, last_crash: offset };
            }
        }
        while MAX_SUSPECTS < suspects.len() {
            let oldest = suspects.iter().min_by_key(|(_, s)| s.last_crash).map(|(f, _)| *f);
            let Some(oldest) = oldest else { return };
            suspects.remove(&oldest);
        }
    }

    fn apply_change(&mut self, offset: Offset, change: Change) -> ApplyResult {
        match next_state(&self.state, &change) {
            Ok(mut next) => {
                next.paths.insert(change.action.path(), offset);
                next.revision = offset;
                self.state = Arc::new(next);
                ApplyResult::Accepted
            }
            Err(refusal) => {
                self.set_revision(offset);
                ApplyResult::Rejected(refusal)
            }
        }
    }
}

fn refuse<T>(code: Code, message: String) -> Result<T, Refusal> {
    Err(Refusal::new(code, message))
}

fn next_state(state: &State, change: &Change) -> Result<State, Refusal> {
    let path = change.action.path();
    let current = state.path_revision(&path);
    if change.base != current {
        let text = format!(
            "{path:?} is at revision {current}, but the change is based on {}",
            change.base
        );
        return refuse(Code::StaleBase, text);
    }
    let mut next = state.clone();
    apply_action(&mut next, &change.action)?;
    let before = state.unplaceable_models();
    let after = next.unplaceable_models();
    let newly_unplaceable: Vec<_> = after.iter().filter(|name| !before.contains(name)).collect();
    if newly_unplaceable.is_empty() {
        return Ok(next);
    }
    refuse(
        Code::DoesNotFit,
        format!("too few engines have enough memory for models {newly_unplaceable:?}"),
    )
}

fn apply_action(state: &mut State, action: &Action) -> Result<(), Refusal> {
    match action {
        Action::Set { key, value } => {
            parse_checked(key, *value)?;
            state.defaults.insert(key.clone(), *value);
        }
        Action::Except { selector, key, value, reason } => {
            set_exception(state, selector, key, *value, reason)?;
        }
        Action::Drop { selector, key } => drop_exception(state, selector, key)?,
        Action::Declare { name, item } => declare_item(state, name, item)?,
        Action::Retire { kind, name } => retire_item(state, *kind, name)?,
    }
    Ok(())
}

fn parse_checked(name: &str, value: u64) -> Result<Key, Refusal> {
    let key: Key = name.parse().map_err(|text: String| Refusal::new(Code::UnknownKey, text))?;
    let (min, max) = key.range();
    if value < min || max < value {
        return refuse(
            Code::BadValue,
            format!("{key} must be between {min} and {max}, got {value}"),
        );
    }
    Ok(key)
}

fn set_exception(
    state: &mut State,
    selector: &Selector,
    name: &str,
    value: u64,
    reason: &str,
) -> Result<(), Refusal> {
    let key = parse_checked(name, value)?;
    if reason.trim().is_empty() {
        return refuse(
            Code::MissingReason,
            format!("the exception of {key} for {selector} has no reason"),
        );
    }
    if !key.scopes().contains(&selector.kind) {
        return refuse(
            Code::BadSelector,
            format!("{key} does not allow an exception for {selector}"),
        );
    }
    if state.item(selector.kind, &selector.name).is_none() {
        return refuse(Code::BadSelector, format!("{selector} is not configured"));
    }
    let exception = Exception { value, reason: reason.to_owned() };
    state.exceptions.entry(selector.clone()).or_default().insert(name.to_owned(), exception);
    Ok(())
}

fn drop_exception(state: &mut State, selector: &Selector, key: &str) -> Result<(), Refusal> {
    let removed = state.exceptions.get_mut(selector).and_then(|m| m.remove(key));
    if removed.is_none() {
        return refuse(Code::NothingToDrop, format!("{selector} has no exception for {key:?}"));
    }
    state.exceptions.retain(|_, m| !m.is_empty());
    Ok(())
}

fn declare_item(state: &mut State, name: &str, item: &Item) -> Result<(), Refusal> {
    let legal = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if name.is_empty() || 64 < name.len() || !name.chars().all(legal) {
        let text = format!(
            "name {name:?} must be 1 to 64 ASCII letters, digits, dots, dashes or underscores"
        );
        return refuse(Code::BadValue, text);
    }
    let missing = match item {
        Item::Adapter { model, .. } => missing(state, ItemKind::Model, model),
        Item::Endpoint { service: Some(service), .. } => missing(state, ItemKind::Service, service),
        _ => None,
    };
    if let Some(text) = missing {
        return refuse(Code::BadSelector, text);
    }
    state.items.entry(item.kind()).or_default().insert(name.to_owned(), item.clone());
    Ok(())
}

fn missing(state: &State, kind: ItemKind, name: &str) -> Option<String> {
    let absent = state.item(kind, name).is_none();
    absent.then(|| format!("{kind} {name:?} is not configured"))
}

fn retire_item(state: &mut State, kind: ItemKind, name: &str) -> Result<(), Refusal> {
    let removed = state.items.get_mut(&kind).and_then(|m| m.remove(name));
    if removed.is_none() {
        return refuse(Code::NothingToDrop, format!("{kind} {name:?} is not configured"));
    }
    let used = state.items.values().flat_map(|m| m.iter()).find(|(_, item)| match item {
        Item::Adapter { model, .. } => kind == ItemKind::Model && model == name,
        Item::Endpoint { service: Some(s), .. } => kind == ItemKind::Service && s == name,
        _ => false,
    });
    if let Some((user, _)) = used {
        return refuse(Code::BadSelector, format!("{kind} {name:?} is used by {user:?}"));
    }
    // Remove the exceptions too, so that a later item of the same name starts without them.
    state.exceptions.retain(|s, _| !(s.kind == kind && s.name == name));
    Ok(())
}

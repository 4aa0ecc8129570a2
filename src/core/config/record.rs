//! Records of the configuration stream, stored as JSON. A record with an unknown
//! field is rejected as a whole: ignoring the field could change its meaning.

use serde::{Deserialize, Serialize};

use crate::core::{
    config::{Item, ItemKind, Selector, State},
    ids::Offset,
};

/// One record of the configuration stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case", deny_unknown_fields)]
pub enum Record {
    /// A change by an operator.
    Change(Change),
    /// The state up to an offset.
    Snapshot(Snapshot),
    /// An endpoint crashed.
    Crash(Crash),
    /// A suspected request completed, or an operator released it from quarantine.
    Cleared {
        /// Fingerprint of the request.
        fingerprint: u64,
    },
}

/// An endpoint crashed while it was running requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Crash {
    /// The endpoint.
    pub endpoint: String,
    /// Fingerprints of the requests that were running.
    pub suspects: Vec<u64>,
}

/// A change by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Unique id, by which the author recognises its own record in the stream.
    pub id: String,
    /// Who made the change.
    pub operator: String,
    /// Revision of the changed path on which the change is based; 0 for none. The
    /// change is rejected if the path has changed since.
    pub base: Offset,
    /// What to change.
    pub action: Action,
}

/// The effect of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
pub enum Action {
    /// Sets the default of a key for the whole fleet.
    Set {
        /// Name of the key.
        key: String,
        /// The value.
        value: u64,
    },
    /// Sets an exception: a value for one item.
    Except {
        /// The item.
        selector: Selector,
        /// Name of the key.
        key: String,
        /// The value.
        value: u64,
        /// Why the item needs another value than the default.
        reason: String,
    },
    /// Removes an exception.
    Drop {
        /// The item.
        selector: Selector,
        /// Name of the key.
        key: String,
    },
    /// Adds or replaces an item.
    Declare {
        /// Name of the item.
        name: String,
        /// The item.
        item: Item,
    },
    /// Removes an item.
    Retire {
        /// Kind of the item.
        kind: ItemKind,
        /// Name of the item.
        name: String,
    },
}

impl Action {
    /// The path that the change modifies, and whose revision must equal [`Change::base`].
    ///
    /// ```
    /// use goldcrestpitch::core::config::Action;
    /// let a = Action::Set { key: "tenant.weight".into(), value: 3 };
    /// assert_eq!(a.path(), "default/tenant.weight");
    /// ```
    pub fn path(&self) -> String {
        match self {
            Self::Set { key, .. } => format!("default/{key}"),
            Self::Except { selector, key, .. } | Self::Drop { selector, key } => {
                format!("except/{selector}/{key}")
            }
            Self::Declare { name, item } => format!("item/{}/{name}", item.kind()),
            Self::Retire { kind, name } => format!("item/{kind}/{name}"),
        }
    }
}

/// The state up to an offset, so that older records may expire from the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The state. Its revision is the offset of the last record that it includes.
    pub state: State,
}

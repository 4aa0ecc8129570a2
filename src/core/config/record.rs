//! Records of the configuration stream. Fields that a version does not know
//! make it reject the record instead of skipping the field.

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
    /// The folded state up to an offset.
    Snapshot(Snapshot),
    /// An endpoint crashed.
    Crash(Crash),
    /// A suspected request ran to its end, or an operator releases it.
    Cleared {
        /// Fingerprint of the request.
        fingerprint: u64,
    },
}

/// An endpoint crashed while it ran requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Crash {
    /// The endpoint.
    pub endpoint: String,
    /// Fingerprints of the requests that ran.
    pub suspects: Vec<u64>,
}

/// A change by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Unique id, by which the author finds its own record again.
    pub id: String,
    /// Who made the change.
    pub operator: String,
    /// Revision of the changed path that the author saw; 0 for none.
    pub base: Offset,
    /// What to change.
    pub action: Action,
}

/// What a change does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
pub enum Action {
    /// Sets a default of the whole fleet.
    Set {
        /// Name of the key.
        key: String,
        /// The value.
        value: u64,
    },
    /// Sets a value for one item.
    Except {
        /// The item.
        selector: Selector,
        /// Name of the key.
        key: String,
        /// The value.
        value: u64,
        /// Why the item differs.
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
    /// The path whose revision guards the change.
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

/// The folded state, so that older records may expire.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The state; its revision is the last offset it covers.
    pub state: State,
}

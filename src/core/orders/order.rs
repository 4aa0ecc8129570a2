//! Orders, their fencing tokens, and the engine's answers and state.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::core::{
    ids::{Incarnation, Mib},
    memory::Resource,
};

/// Fencing token of an order. A later order has a larger token.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FencingToken {
    /// Incarnation of the agent that sent the order.
    pub incarnation: Incarnation,
    /// Number of orders that this incarnation has sent so far, this one included.
    pub counter: u64,
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.incarnation, self.counter)
    }
}

/// Phases of inference that an engine runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Mixed,
    /// Prefill only: processes prompts.
    Prefill,
    /// Decode only: generates tokens.
    Decode,
}

/// An order to an engine. Every order is idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum Order {
    /// Only raises the engine's fencing token.
    Barrier,
    /// Loads a resource.
    Load {
        /// Resource to load.
        resource: Resource,
        /// Memory that the resource needs, MiB.
        size: Mib,
    },
    /// Unloads a resource. Succeeds when the resource is not loaded.
    Unload {
        /// Resource to unload.
        resource: Resource,
    },
    /// Changes the role and the size of the KV cache with it.
    SetRole {
        /// The new role.
        role: Role,
        /// Memory of the KV cache in that role, MiB.
        kv_cache: Mib,
    },
}

impl Order {
    /// The resource whose memory use the order changes.
    pub fn resource(&self) -> Option<&Resource> {
        match self {
            Self::Barrier => None,
            Self::Load { resource, .. } | Self::Unload { resource } => Some(resource),
            Self::SetRole { .. } => Some(&Resource::KvCache),
        }
    }
}

/// The engine's answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum OrderResult {
    /// The order was executed.
    Done,
    /// Refused because the engine has seen a newer fencing token.
    #[serde(rename = "old_number")]
    StaleToken {
        /// The newest fencing token that the engine has seen.
        seen: FencingToken,
    },
    /// The order could not be executed.
    Failed {
        /// Error message of the engine.
        message: String,
    },
}

/// State that an engine reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Resources that occupy memory, with their sizes in MiB; includes those being loaded.
    #[serde(rename = "held")]
    pub allocated: Vec<(Resource, Mib)>,
    /// Resources of `allocated` that are still being loaded.
    pub loading: Vec<Resource>,
    /// Current role.
    pub role: Role,
}

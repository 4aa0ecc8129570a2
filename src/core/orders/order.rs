//! An order, its number and what an engine says to it.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::core::{
    ids::{Incarnation, Mib},
    memory::Resource,
};

/// FencingToken number of an order. A later order has a larger one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FencingToken {
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// Orders of that incarnation so far.
    pub counter: u64,
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.incarnation, self.counter)
    }
}

/// What an engine computes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prompts and answers.
    #[default]
    Mixed,
    /// Prompts only.
    Prefill,
    /// Answers only.
    Decode,
}

/// An order. Each is idempotent: carrying it out twice is carrying it out once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum Order {
    /// Does nothing but raise the engine's fencing number.
    Barrier,
    /// Loads a resource.
    Load {
        /// What to load.
        resource: Resource,
        /// Its memory, MiB.
        size: Mib,
    },
    /// Unloads a resource; an absent one is no fault.
    Unload {
        /// What to unload.
        resource: Resource,
    },
    /// Changes the role and with it the size of the KV cache.
    SetRole {
        /// The new role.
        role: Role,
        /// Memory of the KV cache in that role, MiB.
        kv_cache: Mib,
    },
}

impl Order {
    /// The resource whose memory the order changes.
    pub fn resource(&self) -> Option<&Resource> {
        match self {
            Self::Barrier => None,
            Self::Load { resource, .. } | Self::Unload { resource } => Some(resource),
            Self::SetRole { .. } => Some(&Resource::KvCache),
        }
    }
}

/// What the engine answered to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum OrderResult {
    /// Carried out.
    Done,
    /// Refused: the engine has seen a later number.
    OldNumber {
        /// The highest number that the engine has seen.
        seen: FencingToken,
    },
    /// Could not be carried out.
    Failed {
        /// The engine's words.
        message: String,
    },
}

/// What the engine reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Resources that take memory, with their sizes in MiB; those being loaded included.
    pub held: Vec<(Resource, Mib)>,
    /// Resources of `held` that are still being loaded.
    pub loading: Vec<Resource>,
    /// The role in force.
    pub role: Role,
}

//! Items that operators declare: models, adapters, endpoints, services, tenants and classes.

use std::{fmt, net::SocketAddr, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::core::ids::Mib;

/// Kind of a declared item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemKind {
    /// A model.
    Model,
    /// An adapter of a model.
    Adapter,
    /// An engine or an instance of a plain service.
    Endpoint,
    /// A plain service.
    Service,
    /// A caller's organisation.
    Tenant,
    /// A service class.
    Class,
}

const KINDS: [(ItemKind, &str); 6] = [
    (ItemKind::Model, "model"),
    (ItemKind::Adapter, "adapter"),
    (ItemKind::Endpoint, "endpoint"),
    (ItemKind::Service, "service"),
    (ItemKind::Tenant, "tenant"),
    (ItemKind::Class, "class"),
];

impl fmt::Display for ItemKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = KINDS.iter().find(|(k, _)| k == self).map_or("", |(_, n)| n);
        f.write_str(name)
    }
}

impl FromStr for ItemKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = KINDS.iter().find(|(_, n)| *n == text).map(|(k, _)| *k);
        found.ok_or_else(|| format!("item kind {text:?} does not exist"))
    }
}

/// A declared item without its name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Item {
    /// A model and the version of its weights in force.
    Model {
        /// Accelerator memory that the weights take, MiB.
        memory_mib: Mib,
        /// Version of the weights.
        #[serde(default)]
        version: u32,
    },
    /// An adapter, called as `model:adapter`.
    Adapter {
        /// The model that it adapts.
        model: String,
        /// Accelerator memory that the weights take, MiB.
        memory_mib: Mib,
    },
    /// An endpoint and its agent.
    Endpoint {
        /// Address of the agent.
        agent: SocketAddr,
        /// Region of the endpoint.
        region: String,
        /// Availability zone of the endpoint.
        zone: String,
        /// Accelerator memory, MiB; 0 for a plain service.
        memory_mib: Mib,
        /// Name of the plain service that it runs; `None` for an engine.
        #[serde(default)]
        service: Option<String>,
    },
    /// A plain service.
    Service {
        /// Whether a call may be repeated without an idempotency key.
        idempotent: bool,
    },
    /// A caller's organisation.
    Tenant {},
    /// A service class.
    Class {},
}

impl Item {
    /// The kind of this item.
    pub fn kind(&self) -> ItemKind {
        match self {
            Self::Model { .. } => ItemKind::Model,
            Self::Adapter { .. } => ItemKind::Adapter,
            Self::Endpoint { .. } => ItemKind::Endpoint,
            Self::Service { .. } => ItemKind::Service,
            Self::Tenant {} => ItemKind::Tenant,
            Self::Class {} => ItemKind::Class,
        }
    }
}

//! Resources that occupy accelerator memory.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::core::ids::ModelName;

/// A resource that occupies accelerator memory on an engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Resource {
    /// One version of a model's weights.
    Model {
        /// Name of the model.
        name: ModelName,
        /// Version of the weights.
        version: u32,
    },
    /// The weights of an adapter.
    Adapter {
        /// Name of the model.
        model: ModelName,
        /// Name of the adapter.
        name: Arc<str>,
    },
    /// The KV cache; its size depends on the engine's role.
    KvCache,
}

impl Resource {
    /// The resource for one version of a model's weights.
    ///
    /// ```
    /// use goldcrestpitch::core::memory::Resource;
    /// assert_eq!(Resource::model("roster", 2).to_string(), "model/roster/2");
    /// ```
    pub fn model(name: &str, version: u32) -> Self {
        Self::Model { name: name.into(), version }
    }
}

impl fmt::Display for Resource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Model { name, version } => write!(f, "model/{name}/{version}"),
            Self::Adapter { model, name } => write!(f, "adapter/{model}/{name}"),
            Self::KvCache => f.write_str("kv_cache"),
        }
    }
}

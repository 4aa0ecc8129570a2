//! Assignment of models to engines.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::core::ids::{EndpointId, ModelName};

/// The engines on which each model is to be loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Engines by model; a model without engines is loaded on demand.
    pub replicas: BTreeMap<ModelName, Vec<EndpointId>>,
}

impl Plan {
    /// Engines on which a model is placed.
    pub fn engines_of(&self, model: &str) -> &[EndpointId] {
        self.replicas.get(model).map_or(&[], Vec::as_slice)
    }

    /// Models placed on an engine.
    pub fn models_of<'a>(&'a self, engine: &'a str) -> impl Iterator<Item = &'a ModelName> {
        let holds = move |engines: &Vec<EndpointId>| engines.iter().any(|e| &**e == engine);
        self.replicas.iter().filter(move |(_, e)| holds(e)).map(|(m, _)| m)
    }

    /// Whether a model is placed on an engine.
    pub fn places(&self, model: &str, engine: &str) -> bool {
        self.engines_of(model).iter().any(|e| &**e == engine)
    }

    /// Models without a planned replica, which are loaded on demand.
    pub fn on_demand(&self) -> impl Iterator<Item = &ModelName> {
        self.replicas.iter().filter(|(_, e)| e.is_empty()).map(|(m, _)| m)
    }
}

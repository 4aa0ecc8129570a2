//! State that an engine reports.

use std::sync::Arc;

use crate::core::{
    forwarding::{EndpointState, EngineSpec, LoadReport, Residency},
    ids::{Mib, ModelName},
};

/// Loaded models, load and running requests, as reported by an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// Start of the engine in Unix milliseconds by its own clock, if it is known.
    pub started_ms: Option<u64>,
    /// Loaded models and adapters.
    pub residency: Residency,
    /// Adapters that are being transferred to the engine, with their models.
    pub incoming_adapters: Vec<(ModelName, Arc<str>)>,
    /// Number of orders accepted since the engine started.
    pub order_seq: u64,
    /// Queue and KV cache load.
    pub load: LoadReport,
    /// Requests in the engine's batch.
    pub running: Vec<RunningRequest>,
    /// Whether the engine is ready or draining.
    pub state: EndpointState,
}

/// A request in an engine's batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningRequest {
    /// Request ID.
    pub id: Arc<str>,
    /// Tokens of the request that the engine holds in memory.
    pub tokens: u64,
    /// Events that it has produced.
    pub events: u64,
}

impl EngineReport {
    /// Adapters that are loaded or being transferred, with their models; sorted and
    /// without duplicates.
    pub fn adapters(&self) -> Vec<(ModelName, Arc<str>)> {
        let loaded = self.residency.loaded.iter();
        let loaded = loaded.flat_map(|m| m.adapters.iter().map(|a| (m.name.clone(), a.clone())));
        let mut all: Vec<_> = loaded.chain(self.incoming_adapters.iter().cloned()).collect();
        all.sort();
        all.dedup();
        all
    }

    /// Memory used by weights and adapters. A model that is missing from the
    /// configuration counts as the engine's whole memory.
    pub fn used_memory(&self, spec: &EngineSpec) -> Mib {
        let size = |model: &ModelName| spec.models.get(model);
        let models = self
            .residency
            .loaded
            .iter()
            .map(|m| size(&m.name).map_or(spec.weights_memory, |s| s.weights_size));
        let adapters = self.adapters();
        let adapters =
            adapters.iter().map(|(m, _)| size(m).map_or(spec.weights_memory, |s| s.adapter_size));
        models.chain(adapters).sum()
    }
}

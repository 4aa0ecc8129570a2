//! What an engine reports of itself.

use std::sync::Arc;

use crate::core::{
    forwarding::{EndpointState, EngineSpec, LoadReport, Residency},
    ids::{Mib, ModelName},
};

/// What an engine reports of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineView {
    /// What it holds.
    pub residency: Residency,
    /// Adapters on their way to it, with their models.
    pub coming: Vec<(ModelName, Arc<str>)>,
    /// Orders that it has accepted since its start.
    pub seq: u64,
    /// Its load.
    pub reported: LoadReport,
    /// Requests in its batch.
    pub runs: Vec<RunView>,
    /// Whether it is leaving.
    pub state: EndpointState,
}

/// A request in an engine's batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunView {
    /// Id of the request.
    pub id: Arc<str>,
    /// Tokens in memory.
    pub tokens: u64,
}

impl EngineView {
    /// Adapters that it holds or that are on their way, with their models.
    pub fn adapters(&self) -> Vec<(ModelName, Arc<str>)> {
        let held = self.residency.loaded.iter();
        let held = held.flat_map(|m| m.adapters.iter().map(|a| (m.name.clone(), a.clone())));
        let mut all: Vec<_> = held.chain(self.coming.iter().cloned()).collect();
        all.sort();
        all.dedup();
        all
    }

    /// Memory that weights and adapters take. What the configuration does not
    /// know takes all of it.
    pub fn taken(&self, spec: &EngineSpec) -> Mib {
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

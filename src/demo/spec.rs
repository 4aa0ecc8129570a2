//! What a bed starts.

use std::time::Duration;

use crate::{
    core::ids::Mib,
    fakes::{EngineTraits, LogFaults},
};

/// Region and availability zone.
#[derive(Clone, Debug)]
pub struct Site {
    /// The region.
    pub region: String,
    /// The availability zone.
    pub zone: String,
}

impl Site {
    /// The only zone of a region.
    pub fn of(region: &str) -> Self {
        Self { region: region.to_owned(), zone: format!("{region}-a") }
    }
}

/// An engine of the bed.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Name of the endpoint.
    pub name: String,
    /// Where it stands.
    pub site: Site,
    /// How it behaves.
    pub traits: EngineTraits,
}

/// What the bed starts.
#[derive(Clone, Debug, Default)]
pub struct ClusterSpec {
    /// Entries with their sites.
    pub entries: Vec<(String, Site)>,
    /// Engines, each with an agent.
    pub engines: Vec<EngineSpec>,
    /// Instances of plain services: endpoint, service, site.
    pub services: Vec<(String, String, Site)>,
    /// Models with their weights.
    pub models: Vec<(String, Mib)>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Classes.
    pub classes: Vec<String>,
    /// Time that a call of a plain service takes.
    pub service_latency: Duration,
    /// Faults of the log.
    pub log_faults: LogFaults,
    /// Seed of the stand-ins.
    pub seed: u64,
}

//! Description of a local cluster.

use std::time::Duration;

use crate::{
    core::ids::Mib,
    fakes::{EngineProfile, LogFaults},
};

/// Region and availability zone of a process.
#[derive(Clone, Debug)]
pub struct Site {
    /// The region.
    pub region: String,
    /// The availability zone.
    pub zone: String,
}

impl Site {
    /// The zone `{region}-a` of a region that has no other zone.
    pub fn of(region: &str) -> Self {
        Self { region: region.to_owned(), zone: format!("{region}-a") }
    }
}

/// An engine, its endpoint name and its behaviour.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Name of the endpoint.
    pub name: String,
    /// Region and zone.
    pub site: Site,
    /// Timing, memory and fencing of the fake engine.
    pub profile: EngineProfile,
}

/// The processes and the configuration that [`LocalCluster`](crate::demo::LocalCluster)
/// starts with.
#[derive(Clone, Debug, Default)]
pub struct ClusterSpec {
    /// Entries: name and site.
    pub entries: Vec<(String, Site)>,
    /// Engines, each with an agent.
    pub engines: Vec<EngineSpec>,
    /// Instances of plain services: endpoint, service, site.
    pub services: Vec<(String, String, Site)>,
    /// Models: name and size of the weights.
    pub models: Vec<(String, Mib)>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the request classes.
    pub classes: Vec<String>,
    /// Time that a fake service takes for a call.
    pub service_latency: Duration,
    /// Faults that the fake log injects.
    pub log_faults: LogFaults,
    /// Seed of the random faults of the fake log.
    pub seed: u64,
}

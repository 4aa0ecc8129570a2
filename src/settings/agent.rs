//! Settings of the agent process, which runs beside an endpoint.

use std::net::SocketAddr;

use crate::{
    settings::{SettingsError, SettingsReader},
    telemetry::LogLevels,
};

/// Settings of an agent; `settings/agent.ini` documents each key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// Name of the endpoint that the agent manages.
    pub endpoint: String,
    /// Region of this VM.
    pub region: String,
    /// Availability zone of this VM.
    pub zone: String,
    /// Listen address for entries.
    pub listen: SocketAddr,
    /// Listen address for metrics and health checks.
    pub admin_listen: SocketAddr,
    /// Address of the endpoint: a model engine or a plain service.
    pub backend: SocketAddr,
    /// Address of the append-only log.
    pub log: SocketAddr,
    /// Address of the service that lists the VMs.
    pub vm_list: SocketAddr,
    /// Log levels, global and per module.
    pub levels: LogLevels,
}

impl AgentSettings {
    /// Reads and validates the settings.
    ///
    /// # Errors
    /// Returns every error found in the file.
    pub fn read(mut reader: SettingsReader) -> Result<Self, Vec<SettingsError>> {
        let r = &mut reader;
        let endpoint = r.text("agent", "endpoint");
        let region = r.text("agent", "region");
        let zone = r.text("agent", "zone");
        let listen = r.address("agent", "listen");
        let admin = r.address("agent", "admin_listen");
        let backend = r.address("agent", "backend");
        let log = r.address("platform", "log");
        let vm_list = r.address("platform", "vm_list");
        let levels = r.parsed("logs", "levels");
        let addresses = [("listen", listen), ("admin_listen", admin), ("backend", backend)];
        r.require_distinct("agent", &addresses);
        let errors = reader.finish();
        let settings = || {
            Some(Self {
                endpoint: endpoint?,
                region: region?,
                zone: zone?,
                listen: listen?,
                admin_listen: admin?,
                backend: backend?,
                log: log?,
                vm_list: vm_list?,
                levels,
            })
        };
        if errors.is_empty() { settings().ok_or_else(Vec::new) } else { Err(errors) }
    }
}

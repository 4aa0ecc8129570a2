//! Settings of an agent.

use std::net::SocketAddr;

use crate::{
    settings::{SettingsError, SettingsReader},
    telemetry::LogLevels,
};

/// Settings of an agent; `settings/agent.ini` documents each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// The endpoint that it stands beside.
    pub endpoint: String,
    /// Region.
    pub region: String,
    /// Availability zone.
    pub zone: String,
    /// Address for entries.
    pub listen: SocketAddr,
    /// Address for metrics.
    pub admin_listen: SocketAddr,
    /// Address of the engine or plain service.
    pub backend: SocketAddr,
    /// Address of the log.
    pub log: SocketAddr,
    /// Address of the list of VMs.
    pub vm_list: SocketAddr,
    /// Log levels.
    pub levels: LogLevels,
}

impl AgentSettings {
    /// Reads and checks settings.
    ///
    /// # Errors
    /// Every fault of the file.
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
        let own = [("listen", listen), ("admin_listen", admin), ("backend", backend)];
        r.require_distinct("agent", &own);
        let errors = reader.finish();
        let read = || {
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
        if errors.is_empty() { read().ok_or_else(Vec::new) } else { Err(errors) }
    }
}

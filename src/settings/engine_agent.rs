//! Settings of an agent beside a model engine.

use std::net::SocketAddr;

use crate::{
    settings::{SettingsError, SettingsReader},
    telemetry::LogLevels,
};

/// Settings of an agent beside an engine; `settings/engine-agent.ini` documents each.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineAgentSettings {
    /// Name of the VM.
    pub name: String,
    /// The engine's service.
    pub service: String,
    /// Where the engine listens.
    pub engine: SocketAddr,
    /// Address for gateways, UDP.
    pub peer_listen: SocketAddr,
    /// Address for metrics.
    pub admin_listen: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Log levels.
    pub levels: LogLevels,
}

impl EngineAgentSettings {
    /// Reads and checks settings.
    ///
    /// # Errors
    /// Every fault of the file.
    pub fn read(mut reader: SettingsReader) -> Result<Self, Vec<SettingsError>> {
        let r = &mut reader;
        let name = r.text("engine_agent", "name");
        let service = r.text("engine_agent", "service");
        let engine = r.address("engine_agent", "engine");
        let peer = r.address("engine_agent", "peer_listen");
        let admin = r.address("engine_agent", "admin_listen");
        let store = r.address("store", "address");
        let levels = r.parsed("logs", "levels");
        r.require_distinct("engine_agent", &[("engine", engine), ("admin_listen", admin)]);
        let errors = reader.finish();
        let read = || {
            Some(Self {
                name: name?,
                service: service?,
                engine: engine?,
                peer_listen: peer?,
                admin_listen: admin?,
                store: store?,
                levels,
            })
        };
        if errors.is_empty() { read().ok_or_else(Vec::new) } else { Err(errors) }
    }
}

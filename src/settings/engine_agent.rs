//! Settings of the engine agent, which runs beside a model engine.

use std::net::SocketAddr;

use crate::{
    settings::{SettingsError, SettingsReader},
    telemetry::LogLevels,
};

/// Settings of an engine agent; `settings/engine-agent.ini` documents each key.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineAgentSettings {
    /// Name of this VM.
    pub name: String,
    /// Service that the engine belongs to.
    pub service: String,
    /// Address of the engine.
    pub engine: SocketAddr,
    /// UDP listen address for gossip from gateways.
    pub peer_listen: SocketAddr,
    /// Listen address for metrics and health checks.
    pub admin_listen: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Gateways ask the agent before they send prompts to the engine.
    pub admits: bool,
    /// No agent has run on this VM before.
    pub first_start: bool,
    /// Log levels, global and per module.
    pub levels: LogLevels,
}

impl EngineAgentSettings {
    /// Reads and validates the settings.
    ///
    /// # Errors
    /// Returns every error found in the file.
    pub fn read(mut reader: SettingsReader) -> Result<Self, Vec<SettingsError>> {
        let r = &mut reader;
        let name = r.text("engine_agent", "name");
        let service = r.text("engine_agent", "service");
        let engine = r.address("engine_agent", "engine");
        let peer = r.address("engine_agent", "peer_listen");
        let admin = r.address("engine_agent", "admin_listen");
        let admits = r.flag("engine_agent", "admits");
        let first_start = r.flag("engine_agent", "first_start");
        let store = r.address("store", "address");
        let levels = r.parsed("logs", "levels");
        r.require_distinct("engine_agent", &[("engine", engine), ("admin_listen", admin)]);
        let errors = reader.finish();
        let settings = || {
            Some(Self {
                name: name?,
                service: service?,
                engine: engine?,
                peer_listen: peer?,
                admin_listen: admin?,
                store: store?,
                admits,
                first_start,
                levels,
            })
        };
        if errors.is_empty() { settings().ok_or_else(Vec::new) } else { Err(errors) }
    }
}

//! Settings of each process role, read from an INI file and validated as a whole.

mod agent;
mod engine_agent;
mod entry;
mod gateway;
mod process_limits;
mod reader;

pub use agent::AgentSettings;
pub use engine_agent::EngineAgentSettings;
pub use entry::EntrySettings;
pub use gateway::GatewaySettings;
pub use reader::{SettingsError, SettingsReader};

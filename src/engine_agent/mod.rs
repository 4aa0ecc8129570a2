//! The agent on a model engine's VM. It alone sends orders to the engine, and it
//! reports the engine's loaded models and load to the gateways.

mod admission;
mod process;
mod record;

pub use process::{EngineAgent, EngineAgentConfig, start};

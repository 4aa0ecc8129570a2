//! The process beside a model engine: it alone gives the engine orders, and it
//! tells gateways what the engine holds and how busy it is.

mod process;

pub use process::{EngineAgent, EngineAgentConfig, start};

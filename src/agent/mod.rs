//! The process beside one endpoint: it alone gives the endpoint orders and requests.

mod crashes;
mod lifecycle;
mod orders;
mod process;
mod residency;
mod rpc;
mod run;
mod shared;

pub use process::{AgentProcess, start};
pub use shared::Identity;

//! The gateway process: accepts callers' requests and forwards them to endpoints
//! according to the operator's routes.

mod answer;
mod attempt;
mod bootstrap;
mod follow;
mod forward;
mod job;
mod peers;
mod planner;
mod process;
mod relay;
mod shared;
mod upstream;

pub use process::{Gateway, GatewayConfig, Listeners, start};
pub use shared::{Bounds, SharedState};

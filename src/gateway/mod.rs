//! The process that takes callers' requests and forwards them to endpoints by
//! the operator's routes.

mod answer;
mod attempt;
mod follow;
mod forward;
mod hub;
mod job;
mod known;
mod peers;
mod planner;
mod process;
mod relay;
mod upstream;

pub use hub::{Bounds, Hub};
pub use process::{Gateway, GatewayConfig, Listeners, start};

//! The process that takes callers' requests and forwards them to endpoints by
//! the operator's routes.

mod attempt;
mod follow;
mod forward;
mod hub;
mod known;
mod peers;
mod planner;
mod process;
mod refusals;
mod relay;
mod request;
mod upstream;

pub use hub::{Bounds, Hub};
pub use process::{Gateway, GatewayConfig, Listeners, start};

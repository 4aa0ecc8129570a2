//! The gateway process: accepts callers' requests and forwards them to endpoints
//! according to the operator's routes.

mod accounts;
mod admission;
mod attempt;
mod bootstrap;
mod crash_check;
mod crash_reports;
mod directory;
mod follow;
mod forward;
mod hellos;
mod limits;
mod loop_probe;
mod outbound;
mod peers;
mod planner;
mod process;
mod quarantine_store;
mod quotas;
mod refusals;
mod relay;
mod request;
mod response_body;
mod restart_check;
mod rests;
mod retries;
mod run;
mod shared;
mod streams;
mod suspects;
mod upstream;

pub use accounts::AccountSettings;
pub use process::{Gateway, GatewayConfig, Listeners, start};
pub use shared::{Bounds, SharedState, ShutdownPlan};

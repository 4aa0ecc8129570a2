//! Models and adapters loaded on one engine, and the orders that load or unload them.

mod arrivals;
mod engine_report;
mod order;
mod order_scheduler;
mod predecessor;

pub use arrivals::ArrivalTracker;
pub use engine_report::{EngineReport, RunningRequest};
pub use order::{EngineOrder, Operation, OrderAnswer, OrderError};
pub use order_scheduler::{ChangeSource, OrderScheduler};
pub use predecessor::EngineStart;

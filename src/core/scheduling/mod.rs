//! Scheduling of requests at one endpoint.

mod crash_tracker;
mod scheduler;

pub use crash_tracker::{CrashTracker, ExecutionMode};
pub use scheduler::{Decision, Estimate, QueuedRequest, Scheduler, SchedulerLimits};

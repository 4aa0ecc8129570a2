//! Limits how many endpoints a request that crashes them can reach.

mod crash_history;
mod registry;

pub use crash_history::{CrashHistory, CrashReport, Verdict};
pub use registry::{AttemptEnd, Permit, QuarantineRegistry};

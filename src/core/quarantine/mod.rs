//! Limits how many endpoints a request that crashes them can reach.

mod crash_history;
mod registry;
mod run_gate;

pub use crash_history::{CrashHistory, CrashReport, Verdict};
pub use registry::{AttemptEnd, Permit, QuarantineRegistry};
pub use run_gate::{RunEnd, RunGate, RunId, RunOutcome, RunPermit};

//! Limits how many endpoints a request that crashes them can reach.

mod blame;
mod crash_headers;
mod crash_history;
mod crash_set;
mod registry;
mod run;
mod run_gate;
mod run_permit;
mod segment_history;
mod segment_use;
mod suspect;
mod trial;
mod trial_claims;

pub use crash_history::{CrashHistory, Verdict};
pub use registry::{AttemptEnd, Permit, QuarantineRegistry};
pub use run::{RunEnd, RunId, RunOutcome, RunPermit};
pub use run_gate::RunGate;
pub use segment_history::SegmentHistory;
pub use suspect::{CrashReport, RequestKey, Suspect};
pub use trial::Trial;

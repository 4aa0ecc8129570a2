//! At-most-once execution of requests that carry an idempotency key.
//!
//! A claim in the log names the one agent incarnation that may run the attempt
//! and the time of the probe that selected it. An entry that finds an open claim
//! asks that agent to fence the attempt. It may append a superseding claim only
//! after the agent has answered that the attempt never ran.

mod attempt_history;
mod claim_table;
mod dispatch;
mod records;

pub use attempt_history::{AdmissionError, AttemptHistory, FenceState};
pub use claim_table::{ClaimStatus, ClaimTable, KeyHolder};
pub use dispatch::{Action, ClaimResult, Dispatch, Event, Request, SelectedAgent};
pub use records::{Answer, Claim, ClaimRecord, Settle};

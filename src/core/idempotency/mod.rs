//! At most one run for each idempotency key.
//!
//! A claim in the log names the agent, its incarnation and the probe that
//! chose it. Whoever meets an open claim asks that agent to forbid the
//! attempt; only an answer that it never ran lets a superseding claim be made.

mod attempt_history;
mod claim_table;
mod dispatch;
mod records;

pub use attempt_history::{AdmissionError, AttemptHistory, FenceState};
pub use claim_table::{ClaimStatus, ClaimTable, KeyHolder};
pub use dispatch::{Action, ClaimResult, Dispatch, Event, Request, SelectedAgent};
pub use records::{Answer, Claim, ClaimRecord, Settle};

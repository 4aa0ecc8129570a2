//! At most one run for each idempotency key.
//!
//! A claim in the log names the agent, its incarnation and the probe that
//! chose it. Whoever meets an open claim asks that agent to forbid the
//! attempt; only an answer that it never ran lets a superseding claim be made.

mod attempt_memory;
mod book;
mod dispatch;
mod records;

pub use attempt_memory::{AttemptMemory, FenceState, NotAdmitted};
pub use book::{Book, Held, Standing};
pub use dispatch::{Action, Choice, ClaimVerdict, Dispatch, Event, Request};
pub use records::{Answer, Claim, ClaimRecord, Settle};

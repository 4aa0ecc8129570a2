//! Orders that an earlier process of an agent may have sent.
//!
//! An agent that has just started does not know of them. One that was sent to an earlier start of
//! the engine may be carried out by a later one under the same id, when that has accepted as many
//! orders as the earlier one had.

use std::time::{Duration, Instant};

/// How long an order without an answer may still be carried out. The platform's rules say
/// seconds.
pub const LATE_ORDER_LIFETIME: Duration = Duration::from_secs(30);

/// When this process of the agent started.
#[derive(Clone, Copy, Debug)]
pub(super) struct Predecessor {
    started_at: Instant,
    // The same by the clock by which the engine tells its start.
    started_ms: u64,
}

impl Predecessor {
    pub(super) fn new(started_at: Instant, started_ms: u64) -> Self {
        Self { started_at, started_ms }
    }

    /// Whether an order that was sent before this process started, and to an earlier start of the
    /// engine, may still arrive. `engine_started_ms` is none if the engine does not tell it.
    pub(super) fn may_have_sent(&self, now: Instant, engine_started_ms: Option<u64>) -> bool {
        // Orders that were sent since the engine started fit what it holds.
        let age_ms = engine_started_ms.map_or(0, |ms| self.started_ms.saturating_sub(ms));
        let sent_before = self.started_at.checked_sub(Duration::from_millis(age_ms));
        sent_before.is_some_and(|at| now < at + LATE_ORDER_LIFETIME)
    }
}

//! Runs of requests at endpoints.

use std::time::{Duration, Instant};

use crate::core::{
    ids::{CrashId, Fingerprint, SegmentId},
    quarantine::Suspect,
};

/// Identifies a run within a process.
pub type RunId = u64;

/// How long a run is remembered after its caller has left, or after its endpoint was found
/// alive. Within this time a registration shows whether the endpoint has restarted.
const REMEMBERED_FOR: Duration = Duration::from_secs(3);

/// Whether a run may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPermit {
    /// It may start.
    Allowed,
    /// Not before another run has ended or a possible crash is confirmed or ruled out.
    Wait,
    /// It must not start: the request crashed too many endpoints.
    Quarantined,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The response is complete.
    Completed,
    /// The endpoint answered that it did not run the request or that it failed.
    Failed,
    /// The connection broke or the endpoint fell silent, perhaps because it crashed.
    Interrupted,
    /// The response looks complete, but only because the connection ended, which it also
    /// does when the endpoint crashes.
    Unconfirmed,
    /// The caller has left.
    Abandoned,
}

/// What follows from the end of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunOutcome {
    /// Whether the endpoint has to be checked for a crash.
    pub needs_check: bool,
    /// Suspects against which crashes no longer count.
    pub cleared: Vec<Suspect>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunState {
    Starting,
    Responding,
    // Its endpoint is being checked.
    Interrupted,
    // Its caller has left, or its endpoint was found alive.
    Ended { since: Instant },
}

#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) fingerprint: Fingerprint,
    // The crash that the endpoint would suffer.
    pub(super) crash: CrashId,
    // All segments of the prompt but the last.
    pub(super) segments: Vec<SegmentId>,
    pub(super) known_crashes: Vec<CrashId>,
    // One more crash would quarantine the request.
    pub(super) last_chance: bool,
    pub(super) state: RunState,
}

impl Run {
    pub(super) fn is_active(&self) -> bool {
        matches!(self.state, RunState::Starting | RunState::Responding)
    }

    pub(super) fn is_forgotten(&self, now: Instant) -> bool {
        matches!(self.state, RunState::Ended { since } if since + REMEMBERED_FOR <= now)
    }
}

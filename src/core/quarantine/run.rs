//! Runs of requests at endpoints.

use std::time::{Duration, Instant};

use crate::core::{
    ids::{CrashId, Fingerprint, HeaderHash, SegmentId},
    quarantine::{RequestKey, Suspect},
};

/// Identifies a run within a process.
pub type RunId = u64;

/// How long a run is remembered after its caller has left, or after its endpoint was found
/// alive. Within this time a registration shows whether the endpoint has restarted.
const REMEMBERED_FOR: Duration = Duration::from_secs(3);
/// Time from the first data of a response within which a crash may be due to the segments
/// of its prompt: those that crash endpoints do so when they begin to write.
const BEGINNING: Duration = Duration::from_secs(1);
/// Writing time after which a run has not crashed its endpoint by beginning to write.
const PROVEN_AFTER: Duration = BEGINNING;
/// Longest pause between two pieces of data that counts as writing time, so that a process
/// or a connection that stood still makes no run look sound.
const MAX_WRITING_GAP: Duration = Duration::from_millis(250);

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
    // Its response looks complete, but its endpoint is being checked.
    Unconfirmed,
    // Its caller has left, or its endpoint was found alive.
    Ended { since: Instant },
}

#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) fingerprint: Fingerprint,
    headers: HeaderHash,
    // The crash that the endpoint would suffer.
    pub(super) crash: CrashId,
    // All segments of the prompt but the last.
    pub(super) segments: Vec<SegmentId>,
    pub(super) known_crashes: Vec<CrashId>,
    // One more crash would quarantine the request.
    pub(super) last_chance: bool,
    pub(super) state: RunState,
    // Segments with crashes that were known when the response began.
    pub(super) suspected_segments: Vec<SegmentId>,
    // It was recorded that it did not crash its endpoint.
    pub(super) is_sound: bool,
    first_data: Option<Instant>,
    last_data: Option<Instant>,
    writing_time: Duration,
    ended_at: Option<Instant>,
}

impl Run {
    /// A run that starts now.
    pub(super) fn new(request: RequestKey, segments: Vec<SegmentId>, crash: CrashId) -> Self {
        let RequestKey { fingerprint, headers } = request;
        Self {
            fingerprint,
            headers,
            crash,
            segments,
            known_crashes: Vec::new(),
            last_chance: false,
            state: RunState::Starting,
            suspected_segments: Vec::new(),
            is_sound: false,
            first_data: None,
            last_data: None,
            writing_time: Duration::ZERO,
            ended_at: None,
        }
    }

    pub(super) fn request(&self) -> RequestKey {
        RequestKey { fingerprint: self.fingerprint, headers: self.headers }
    }

    pub(super) fn has_responded(&self) -> bool {
        self.first_data.is_some()
    }

    pub(super) fn record_data(&mut self, now: Instant) {
        self.state = RunState::Responding;
        self.first_data.get_or_insert(now);
        let last = self.last_data.replace(now).unwrap_or(now);
        self.writing_time += now.saturating_duration_since(last).min(MAX_WRITING_GAP);
    }

    pub(super) fn end(&mut self, now: Instant, state: RunState) {
        self.state = state;
        self.ended_at.get_or_insert(now);
    }

    /// Whether it wrote long enough to show that its segments do not crash endpoints.
    pub(super) fn is_proven(&self) -> bool {
        PROVEN_AFTER <= self.writing_time
    }

    /// Whether it had at most begun to write when it ended, or until now.
    pub(super) fn is_beginning(&self, now: Instant) -> bool {
        let until = self.ended_at.unwrap_or(now);
        self.first_data.is_none_or(|at| until < at + BEGINNING)
    }

    /// What may have caused a crash of its endpoint.
    pub(super) fn suspects(&self, now: Instant) -> Vec<Suspect> {
        let segments = if self.is_beginning(now) { self.segments.as_slice() } else { &[] };
        let segments = segments.iter().copied().map(Suspect::Segment);
        std::iter::once(Suspect::Request(self.fingerprint)).chain(segments).collect()
    }

    /// Whether a check of its endpoint decides how it ended.
    pub(super) fn is_unresolved(&self) -> bool {
        matches!(self.state, RunState::Interrupted | RunState::Unconfirmed)
    }

    pub(super) fn is_active(&self) -> bool {
        matches!(self.state, RunState::Starting | RunState::Responding)
    }

    pub(super) fn is_forgotten(&self, now: Instant) -> bool {
        matches!(self.state, RunState::Ended { since } if since + REMEMBERED_FOR <= now)
    }
}

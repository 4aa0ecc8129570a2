//! The runs of requests at endpoints that one process has started: which may start, and
//! which of them may have crashed their endpoint.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use crate::core::{
    ids::{CrashId, Fingerprint},
    quarantine::{CrashHistory, CrashReport, Verdict},
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
    /// The caller has left.
    Abandoned,
}

/// What follows from the end of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunOutcome {
    /// Whether the endpoint has to be checked for a crash.
    pub needs_check: bool,
    /// Number of earlier crashes that no longer count against the request.
    pub cleared: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunState {
    Starting,
    Responding,
    // Its endpoint is being checked.
    Interrupted,
    // Its caller has left, or its endpoint was found alive.
    Ended { since: Instant },
}

#[derive(Clone, Debug)]
struct Run {
    fingerprint: Fingerprint,
    // The crash that the endpoint would suffer.
    crash: CrashId,
    known_crashes: Vec<CrashId>,
    // One more crash would quarantine the request.
    last_chance: bool,
    state: RunState,
}

/// Decides which runs may start, from the crashes of all processes and the runs of this
/// one.
///
/// A request without crashes runs without restriction. One with crashes never has so many
/// runs at once that more endpoints than the limit could crash. One that is a crash away
/// from the limit starts alone among such requests, so that its crash is not counted
/// against another one. One at the limit that may still run does so in one process.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::quarantine::{RunEnd, RunGate, RunPermit};
/// let mut now = Instant::now();
/// let mut gate = RunGate::new(2);
/// for crash in [100, 200] {
///     let run = gate.start(now, 7, crash).unwrap();
///     assert!(gate.end(now, run, RunEnd::Interrupted).needs_check);
///     let checked = gate.unresolved(now, crash);
///     assert_eq!(gate.resolve(now, crash, &checked, true), [7]);
///     now += Duration::from_secs(1);
/// }
/// assert_eq!(gate.permit(now, 7), RunPermit::Quarantined);
/// ```
#[derive(Clone, Debug)]
pub struct RunGate {
    history: CrashHistory,
    runs: HashMap<RunId, Run>,
    next_run: RunId,
    // Position of this process among the live ones, and their number.
    position: (usize, usize),
}

impl RunGate {
    /// Quarantines requests after `limit` crashes.
    pub fn new(limit: usize) -> Self {
        Self {
            history: CrashHistory::new(limit),
            runs: HashMap::new(),
            next_run: 0,
            position: (0, 1),
        }
    }

    /// The crashes of all processes, as far as they are known here.
    pub fn history(&self) -> &CrashHistory {
        &self.history
    }

    /// The crashes, to merge reports of other processes.
    pub fn history_mut(&mut self) -> &mut CrashHistory {
        &mut self.history
    }

    /// Sets the position of this process among `count` live ones. Each request has one of
    /// them that reports it for all, and in which alone it runs once it is at the limit.
    pub fn set_position(&mut self, position: usize, count: usize) {
        self.position = (position, count.max(1));
    }

    /// Reports to repeat to the other processes: of crashes seen here within `repeat_for`,
    /// and of requests with at least `min_crashes` that this process reports for all.
    pub fn recent_reports(
        &self,
        now: Instant,
        repeat_for: Duration,
        min_crashes: usize,
    ) -> Vec<CrashReport> {
        self.history.reports(|fingerprint, crashes, seen_here| {
            seen_here.is_some_and(|at| now < at + repeat_for)
                || (min_crashes <= crashes && self.owns(fingerprint))
        })
    }

    /// Reports for a process that may have missed any: of crashes seen here, and of the
    /// requests that this process reports for all.
    pub fn all_reports(&self) -> Vec<CrashReport> {
        self.history
            .reports(|fingerprint, _, seen_here| seen_here.is_some() || self.owns(fingerprint))
    }

    /// Number of runs that have not ended or are not resolved.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether there are no runs.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Whether a run of the request may start.
    pub fn permit(&self, now: Instant, fingerprint: Fingerprint) -> RunPermit {
        match self.history.verdict(now, fingerprint) {
            Verdict::Quarantined => return RunPermit::Quarantined,
            Verdict::Undecided => return RunPermit::Wait,
            Verdict::Allowed => {}
        }
        let unconfirmed = self.unconfirmed_crashes(fingerprint);
        let suspected = self.history.crashes(fingerprint) + unconfirmed;
        if suspected == 0 {
            return RunPermit::Allowed;
        }
        let own = self.runs.values().filter(|r| r.fingerprint == fingerprint);
        let active = own.filter(|r| r.is_active()).count();
        let limit = self.history.limit();
        if 0 < active + unconfirmed && limit <= suspected + active {
            return RunPermit::Wait;
        }
        if limit <= self.history.unexplained(now, fingerprint) && !self.owns(fingerprint) {
            return RunPermit::Wait;
        }
        let mut others = self.runs.values().filter(|r| r.fingerprint != fingerprint);
        if self.is_last_chance(now, fingerprint) && others.any(|r| self.is_exclusive(now, r)) {
            return RunPermit::Wait;
        }
        RunPermit::Allowed
    }

    /// Starts a run at an endpoint whose crash would have this id.
    ///
    /// # Errors
    /// Why the run may not start.
    pub fn start(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        crash: CrashId,
    ) -> Result<RunId, RunPermit> {
        let permit = self.permit(now, fingerprint);
        if permit != RunPermit::Allowed {
            return Err(permit);
        }
        self.next_run += 1;
        let run = Run {
            fingerprint,
            crash,
            known_crashes: self.history.crash_ids(fingerprint),
            last_chance: self.is_last_chance(now, fingerprint),
            state: RunState::Starting,
        };
        self.runs.insert(self.next_run, run);
        Ok(self.next_run)
    }

    /// Records the first part of the response.
    pub fn record_response(&mut self, run: RunId) {
        if let Some(run) = self.runs.get_mut(&run) {
            run.state = RunState::Responding;
        }
    }

    /// Records the end of a run.
    pub fn end(&mut self, now: Instant, id: RunId, end: RunEnd) -> RunOutcome {
        let Some(run) = self.runs.get_mut(&id) else { return RunOutcome::default() };
        let was_suspect = !run.known_crashes.is_empty();
        match end {
            RunEnd::Interrupted => run.state = RunState::Interrupted,
            // A caller of a suspect request may leave because the endpoint crashed.
            RunEnd::Abandoned if was_suspect => run.state = RunState::Interrupted,
            RunEnd::Abandoned => run.state = RunState::Ended { since: now },
            RunEnd::Completed | RunEnd::Failed => {
                let Some(run) = self.runs.remove(&id) else { return RunOutcome::default() };
                let cleared = if end == RunEnd::Completed { self.clear(now, run) } else { 0 };
                return RunOutcome { needs_check: false, cleared };
            }
        }
        RunOutcome { needs_check: run.state == RunState::Interrupted, cleared: 0 }
    }

    /// Runs that ended in a way that a crash would explain.
    pub fn unresolved(&mut self, now: Instant, crash: CrashId) -> Vec<RunId> {
        self.runs.retain(|_, r| !r.is_forgotten(now));
        let unresolved = self.runs.iter().filter(|(_, r)| r.crash == crash && !r.is_active());
        unresolved.map(|(id, _)| *id).collect()
    }

    /// Whether an interrupted run waits for a check of its endpoint.
    pub fn needs_check(&self, crash: CrashId) -> bool {
        self.runs.values().any(|r| r.crash == crash && r.state == RunState::Interrupted)
    }

    /// Records the result of a check that started after the runs in `checked` had ended.
    /// Returns the requests against which the crash was counted.
    pub fn resolve(
        &mut self,
        now: Instant,
        crash: CrashId,
        checked: &[RunId],
        crashed: bool,
    ) -> Vec<Fingerprint> {
        let mut counted = Vec::new();
        if crashed {
            let ran = self.runs.values().filter(|r| r.crash == crash && !r.is_forgotten(now));
            let ran: Vec<Fingerprint> = ran.map(|r| r.fingerprint).collect();
            for fingerprint in ran {
                if self.history.record_crash(now, fingerprint, crash) {
                    counted.push(fingerprint);
                }
            }
        }
        for id in checked {
            match self.runs.get_mut(id) {
                Some(run) if !crashed && run.state == RunState::Interrupted => {
                    run.state = RunState::Ended { since: now };
                }
                Some(_) if crashed => drop(self.runs.remove(id)),
                _ => {}
            }
        }
        counted
    }

    /// Forgets requests without news and runs that ended long ago. Returns the forgotten
    /// requests.
    pub fn expire(&mut self, now: Instant) -> Vec<Fingerprint> {
        self.runs.retain(|_, r| !r.is_forgotten(now));
        self.history.expire(now)
    }

    fn owns(&self, fingerprint: Fingerprint) -> bool {
        let (position, count) = self.position;
        fingerprint % count as u64 == position as u64
    }

    /// Possible crashes during interrupted runs of the request.
    fn unconfirmed_crashes(&self, fingerprint: Fingerprint) -> usize {
        let known = self.history.crash_ids(fingerprint);
        let interrupted = self.runs.values().filter(|r| r.state == RunState::Interrupted);
        let own = interrupted.filter(|r| r.fingerprint == fingerprint).map(|r| r.crash);
        own.filter(|crash| !known.contains(crash)).collect::<HashSet<CrashId>>().len()
    }

    /// Whether one more crash would quarantine the request.
    fn is_last_chance(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        let unexplained = self.history.unexplained(now, fingerprint);
        self.history.limit() <= unexplained + self.unconfirmed_crashes(fingerprint) + 1
    }

    /// Whether other requests that are a crash away from the limit must wait for this run.
    fn is_exclusive(&self, now: Instant, run: &Run) -> bool {
        let ends_at_response =
            self.history.unexplained(now, run.fingerprint) < self.history.limit();
        match run.state {
            RunState::Starting | RunState::Interrupted => run.last_chance,
            RunState::Responding => run.last_chance && !ends_at_response,
            RunState::Ended { .. } => false,
        }
    }

    /// A complete run proves that the request need not crash an endpoint, and that this
    /// endpoint did not crash.
    fn clear(&mut self, now: Instant, run: Run) -> usize {
        let mut known = run.known_crashes;
        if self.history.crash_ids(run.fingerprint).contains(&run.crash) {
            known.push(run.crash);
        }
        self.history.record_completed(now, run.fingerprint, &known)
    }
}

impl Run {
    fn is_active(&self) -> bool {
        matches!(self.state, RunState::Starting | RunState::Responding)
    }

    fn is_forgotten(&self, now: Instant) -> bool {
        matches!(self.state, RunState::Ended { since } if since + REMEMBERED_FOR <= now)
    }
}

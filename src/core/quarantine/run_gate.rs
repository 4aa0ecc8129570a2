//! The runs of requests at endpoints that one process has started: which may start, and
//! which of them may have crashed their endpoint.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use crate::core::{
    ids::{CrashId, Fingerprint, SegmentId},
    quarantine::{
        CrashHistory, CrashReport, RunEnd, RunId, RunOutcome, RunPermit, SegmentHistory, Suspect,
        Verdict,
        run::{Run, RunState},
    },
};

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
/// use goldcrestpitch::core::quarantine::{RunEnd, RunGate, RunPermit, Suspect};
/// let mut now = Instant::now();
/// let mut gate = RunGate::new(2, 5);
/// for crash in [100, 200] {
///     let run = gate.start(now, 7, &[], crash).unwrap();
///     assert!(gate.end(now, run, RunEnd::Interrupted).needs_check);
///     let checked = gate.unresolved(now, crash);
///     assert_eq!(gate.resolve(now, crash, &checked, true), [Suspect::Request(7)]);
///     now += Duration::from_secs(1);
/// }
/// assert_eq!(gate.permit(now, 7, &[]), RunPermit::Quarantined);
/// ```
#[derive(Clone, Debug)]
pub struct RunGate {
    history: CrashHistory,
    segments: SegmentHistory,
    runs: HashMap<RunId, Run>,
    next_run: RunId,
    // Position of this process among the live ones, and their number.
    position: (usize, usize),
}

impl RunGate {
    /// Quarantines requests after `limit` crashes, and those with a segment that explains
    /// `segment_limit` crashes.
    pub fn new(limit: usize, segment_limit: usize) -> Self {
        Self {
            history: CrashHistory::new(limit),
            segments: SegmentHistory::new(segment_limit),
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
    /// and of suspects with at least `min_crashes` that this process reports for all.
    pub fn recent_reports(
        &self,
        now: Instant,
        repeat_for: Duration,
        min_crashes: usize,
    ) -> Vec<CrashReport> {
        self.reports(|id, crashes, seen_here| {
            seen_here.is_some_and(|at| now < at + repeat_for)
                || (min_crashes <= crashes && self.owns(id))
        })
    }

    /// Reports for a process that may have missed any: of crashes seen here, and of the
    /// suspects that this process reports for all.
    pub fn all_reports(&self) -> Vec<CrashReport> {
        self.reports(|id, _, seen_here| seen_here.is_some() || self.owns(id))
    }

    /// The report on one suspect.
    pub fn report(&self, suspect: Suspect) -> Option<CrashReport> {
        match suspect {
            Suspect::Request(fingerprint) => self.history.report(fingerprint),
            Suspect::Segment(segment) => self.segments.report(segment),
        }
    }

    /// Merges the report of another process. Returns whether it contained news.
    pub fn merge(&mut self, now: Instant, report: &CrashReport) -> bool {
        match report.suspect {
            Suspect::Request(_) => self.history.merge(now, report),
            Suspect::Segment(_) => self.segments.merge(now, report),
        }
    }

    /// Number of crashes that the suspect may have caused.
    pub fn crashes(&self, suspect: Suspect) -> usize {
        match suspect {
            Suspect::Request(fingerprint) => self.history.crashes(fingerprint),
            Suspect::Segment(segment) => self.segments.crashes(segment),
        }
    }

    /// Keeps a refused request and its segments from being forgotten while such requests
    /// come again and again.
    pub fn record_refusal(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        segments: &[SegmentId],
    ) {
        self.history.record_refusal(now, fingerprint);
        for segment in segments {
            self.segments.record_refusal(now, *segment);
        }
    }

    /// Number of requests and segments that are quarantined.
    pub fn quarantined(&self, now: Instant) -> usize {
        self.history.quarantined(now) + self.segments.blamed()
    }

    /// Number of runs that have not ended or are not resolved.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether there are no runs.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Whether a run of the request may start, whose prompt has these segments beside the
    /// last.
    pub fn permit(
        &self,
        now: Instant,
        fingerprint: Fingerprint,
        segments: &[SegmentId],
    ) -> RunPermit {
        if segments.iter().any(|s| self.segments.is_blamed(*s)) {
            return RunPermit::Quarantined;
        }
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
        segments: &[SegmentId],
        crash: CrashId,
    ) -> Result<RunId, RunPermit> {
        let permit = self.permit(now, fingerprint, segments);
        if permit != RunPermit::Allowed {
            return Err(permit);
        }
        self.next_run += 1;
        let run = Run {
            fingerprint,
            crash,
            segments: segments.to_vec(),
            known_crashes: self.history.crash_ids(fingerprint),
            last_chance: self.is_last_chance(now, fingerprint),
            state: RunState::Starting,
        };
        self.runs.insert(self.next_run, run);
        Ok(self.next_run)
    }

    /// Records the first part of the response.
    pub fn record_response(&mut self, _now: Instant, run: RunId) {
        if let Some(run) = self.runs.get_mut(&run) {
            run.state = RunState::Responding;
        }
    }

    /// Records the end of a run.
    pub fn end(&mut self, now: Instant, id: RunId, end: RunEnd) -> RunOutcome {
        let Some(run) = self.runs.get_mut(&id) else { return RunOutcome::default() };
        let was_suspect = !run.known_crashes.is_empty();
        match end {
            RunEnd::Interrupted | RunEnd::Unconfirmed => run.state = RunState::Interrupted,
            // A caller of a suspect request may leave because the endpoint crashed.
            RunEnd::Abandoned if was_suspect => run.state = RunState::Interrupted,
            RunEnd::Abandoned => run.state = RunState::Ended { since: now },
            RunEnd::Completed | RunEnd::Failed => {
                let Some(run) = self.runs.remove(&id) else { return RunOutcome::default() };
                let cleared =
                    if end == RunEnd::Completed { self.clear(now, run) } else { Vec::new() };
                return RunOutcome { needs_check: false, cleared };
            }
        }
        RunOutcome { needs_check: run.state == RunState::Interrupted, cleared: Vec::new() }
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
    /// Returns the suspects against which the crash was counted.
    pub fn resolve(
        &mut self,
        now: Instant,
        crash: CrashId,
        checked: &[RunId],
        crashed: bool,
    ) -> Vec<Suspect> {
        let mut counted = Vec::new();
        if crashed {
            let ran = self.runs.values().filter(|r| r.crash == crash && !r.is_forgotten(now));
            let ran: Vec<(Fingerprint, Vec<SegmentId>)> =
                ran.map(|r| (r.fingerprint, r.segments.clone())).collect();
            for (fingerprint, segments) in ran {
                for segment in segments {
                    if self.segments.record_crash(now, segment, crash) {
                        counted.push(Suspect::Segment(segment));
                    }
                }
                if self.history.record_crash(now, fingerprint, crash) {
                    counted.push(Suspect::Request(fingerprint));
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

    /// Forgets suspects without news and runs that ended long ago. Returns the forgotten
    /// suspects.
    pub fn expire(&mut self, now: Instant) -> Vec<Suspect> {
        self.runs.retain(|_, r| !r.is_forgotten(now));
        let requests = self.history.expire(now).into_iter().map(Suspect::Request);
        let segments = self.segments.expire(now).into_iter().map(Suspect::Segment);
        requests.chain(segments).collect()
    }

    fn reports(&self, is_due: impl Fn(u64, usize, Option<Instant>) -> bool) -> Vec<CrashReport> {
        let mut reports = self.segments.reports(&is_due);
        reports.extend(self.history.reports(&is_due));
        reports
    }

    fn owns(&self, id: u64) -> bool {
        let (position, count) = self.position;
        id % count as u64 == position as u64
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
    fn clear(&mut self, now: Instant, run: Run) -> Vec<Suspect> {
        let mut known = run.known_crashes;
        if self.history.crash_ids(run.fingerprint).contains(&run.crash) {
            known.push(run.crash);
        }
        match self.history.record_completed(now, run.fingerprint, &known) {
            0 => Vec::new(),
            _ => vec![Suspect::Request(run.fingerprint)],
        }
    }
}

//! The runs of requests at endpoints that one process has started: which may start, and
//! which of them may have crashed their endpoint.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use crate::core::{
    ids::{CrashId, Fingerprint, SegmentId},
    quarantine::{
        CrashHistory, CrashReport, RequestKey, RunEnd, RunId, RunOutcome, RunPermit,
        SegmentHistory, Suspect,
        run::{Run, RunState},
        trial_claims::TrialClaims,
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
    pub(super) history: CrashHistory,
    pub(super) segments: SegmentHistory,
    pub(super) runs: HashMap<RunId, Run>,
    pub(super) claims: TrialClaims,
    next_run: RunId,
}

impl RunGate {
    /// Quarantines requests after `limit` crashes, and those with a segment that explains
    /// `segment_limit` crashes.
    pub fn new(limit: usize, segment_limit: usize) -> Self {
        Self {
            history: CrashHistory::new(limit),
            segments: SegmentHistory::new(segment_limit),
            runs: HashMap::new(),
            claims: TrialClaims::default(),
            next_run: 0,
        }
    }

    /// The crashes that whole requests may have caused, as far as they are known here.
    pub fn history(&self) -> &CrashHistory {
        &self.history
    }

    /// The crashes that segments of prompts may have caused, as far as they are known here.
    pub fn segments(&self) -> &SegmentHistory {
        &self.segments
    }

    /// Sets the position of this process among `count` live ones. Each suspect has one of
    /// them that reports it for all, and in which its trials run if requests reach it there.
    pub fn set_position(&mut self, position: usize, count: usize) {
        self.claims.set_position(position, count);
    }

    /// The suspects that refused requests have named here recently, the latest first: trials
    /// may run here while no process before this one claims them too.
    pub fn claims(&self, now: Instant) -> Vec<u64> {
        self.claims.current(now)
    }

    /// Sets what other processes claim, by their position.
    pub fn set_other_claims(&mut self, others: Vec<(usize, HashSet<u64>)>) {
        self.claims.set_others(others);
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
                || (min_crashes <= crashes && self.claims.owns(id))
        })
    }

    /// Reports for a process that may have missed any: of crashes seen here, and of the
    /// suspects that this process reports for all.
    pub fn all_reports(&self) -> Vec<CrashReport> {
        self.reports(|id, _, seen_here| seen_here.is_some() || self.claims.owns(id))
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
            Suspect::Segment(_) => {
                let changed = self.segments.merge(now, report);
                self.update_explained();
                changed
            }
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
    /// come again and again, and claims their trials.
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
        self.claim(now, fingerprint, segments);
    }

    /// Claims the trials of a request that waits for its permit, and of its segments.
    pub fn claim(&mut self, now: Instant, fingerprint: Fingerprint, segments: &[SegmentId]) {
        if self.history.limit() <= self.history.crashes(fingerprint) {
            self.claims.record(now, fingerprint);
        }
        for segment in segments.iter().filter(|s| self.segments.is_blamed(**s)) {
            self.claims.record(now, *segment);
        }
    }

    /// Number of requests and segments that are quarantined.
    pub fn quarantined(&self, now: Instant) -> usize {
        self.history.quarantined(now) + self.segments.blamed().len()
    }

    /// Number of runs that have not ended or are not resolved.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether there are no runs.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Starts a run at an endpoint whose crash would have this id.
    ///
    /// # Errors
    /// Why the run may not start.
    pub fn start(
        &mut self,
        now: Instant,
        request: impl Into<RequestKey>,
        segments: &[SegmentId],
        crash: CrashId,
    ) -> Result<RunId, RunPermit> {
        let request = request.into();
        let fingerprint = request.fingerprint;
        let permit = self.permit(now, request, segments);
        if permit != RunPermit::Allowed {
            return Err(permit);
        }
        let mut segments = segments.to_vec();
        segments.sort_unstable();
        segments.dedup();
        for segment in &segments {
            self.segments.record_run(*segment);
        }
        let mut run = Run::new(request, segments, crash);
        run.suspected_segments = self.with_crashes(&run.segments);
        run.known_crashes = self.history.crash_ids(fingerprint);
        run.last_chance = self.is_last_chance(now, fingerprint);
        self.claim(now, fingerprint, &run.segments);
        self.next_run += 1;
        self.runs.insert(self.next_run, run);
        Ok(self.next_run)
    }

    /// Records data of the response. The first call marks its beginning. Later ones, of
    /// which a few each second are enough, show that the endpoint still writes. Returns
    /// suspects against which crashes no longer count.
    pub fn record_response(&mut self, now: Instant, id: RunId) -> Vec<Suspect> {
        let Some(run) = self.runs.get(&id).filter(|r| r.is_active()) else { return Vec::new() };
        let suspected = (!run.has_responded()).then(|| self.with_crashes(&run.segments));
        let Some(run) = self.runs.get_mut(&id) else { return Vec::new() };
        if let Some(suspected) = suspected {
            run.suspected_segments = suspected;
        }
        run.record_data(now);
        if run.is_sound || !run.is_proven() {
            return Vec::new();
        }
        run.is_sound = true;
        let run = run.clone();
        self.clear_segments(now, &run)
    }

    /// Records the end of a run.
    pub fn end(&mut self, now: Instant, id: RunId, end: RunEnd) -> RunOutcome {
        let Some(run) = self.runs.get(&id) else { return RunOutcome::default() };
        let is_suspect = self.is_suspect(now, run);
        let state = match end {
            RunEnd::Interrupted => RunState::Interrupted,
            RunEnd::Unconfirmed => RunState::Unconfirmed,
            // A caller of a suspect request may leave because the endpoint crashed.
            RunEnd::Abandoned if is_suspect => RunState::Interrupted,
            RunEnd::Abandoned => RunState::Ended { since: now },
            RunEnd::Completed => {
                return RunOutcome { needs_check: false, cleared: self.complete(now, id) };
            }
            RunEnd::Failed => {
                self.runs.remove(&id);
                return RunOutcome::default();
            }
        };
        let Some(run) = self.runs.get_mut(&id) else { return RunOutcome::default() };
        run.end(now, state);
        RunOutcome { needs_check: run.is_unresolved(), cleared: Vec::new() }
    }

    /// Runs that ended in a way that a crash would explain.
    pub fn unresolved(&mut self, now: Instant, crash: CrashId) -> Vec<RunId> {
        self.runs.retain(|_, r| !r.is_forgotten(now));
        let unresolved = self.runs.iter().filter(|(_, r)| r.crash == crash && !r.is_active());
        unresolved.map(|(id, _)| *id).collect()
    }

    /// Whether an interrupted run waits for a check of its endpoint.
    pub fn needs_check(&self, crash: CrashId) -> bool {
        self.runs.values().any(|r| r.crash == crash && r.is_unresolved())
    }

    /// Records the result of a check that started after the runs in `checked` had ended.
    /// Returns the suspects whose crashes changed: against which the crash was counted, or
    /// which an unconfirmed run has cleared, since its endpoint has not crashed.
    pub fn resolve(
        &mut self,
        now: Instant,
        crash: CrashId,
        checked: &[RunId],
        crashed: bool,
    ) -> Vec<Suspect> {
        if crashed {
            let counted = self.count_crash(now, crash);
            for id in checked {
                self.runs.remove(id);
            }
            return counted;
        }
        let mut cleared = Vec::new();
        for id in checked {
            let Some(run) = self.runs.get_mut(id) else { continue };
            match run.state {
                RunState::Interrupted => run.end(now, RunState::Ended { since: now }),
                RunState::Unconfirmed => cleared.extend(self.complete(now, *id)),
                _ => {}
            }
        }
        cleared
    }

    /// Forgets suspects without news and runs that ended long ago. Returns the forgotten
    /// suspects.
    pub fn expire(&mut self, now: Instant) -> Vec<Suspect> {
        self.runs.retain(|_, r| !r.is_forgotten(now));
        let requests = self.history.expire(now).into_iter().map(Suspect::Request);
        let segments = self.segments.expire(now).into_iter().map(Suspect::Segment);
        let expired = requests.chain(segments).collect();
        self.update_explained();
        let (history, segments) = (&self.history, &self.segments);
        self.claims.retain(|id| 0 < history.crashes(id) + segments.crashes(id));
        expired
    }

    /// Reports on segments and requests by turns, so that neither crowd out the others.
    fn reports(&self, is_due: impl Fn(u64, usize, Option<Instant>) -> bool) -> Vec<CrashReport> {
        let mut segments = self.segments.reports(&is_due).into_iter();
        let mut requests = self.history.reports(&is_due).into_iter();
        let count = segments.len().max(requests.len());
        (0..count).flat_map(|_| [segments.next(), requests.next()]).flatten().collect()
    }

    /// Counts a crash against the requests that ran at the endpoint and against the
    /// segments of those that had just begun.
    fn count_crash(&mut self, now: Instant, crash: CrashId) -> Vec<Suspect> {
        let ran = self.runs.values().filter(|r| r.crash == crash && !r.is_forgotten(now));
        let ran: Vec<&Run> = ran.collect();
        let suspects: HashSet<Suspect> = ran.iter().flat_map(|r| r.suspects(now)).collect();
        let requests: Vec<RequestKey> = ran.iter().map(|r| r.request()).collect();
        let mut suspects: Vec<Suspect> = suspects.into_iter().collect();
        suspects.sort_unstable();
        suspects.retain(|suspect| match *suspect {
            Suspect::Request(fingerprint) => self.history.record_crash(now, fingerprint, crash),
            Suspect::Segment(segment) => self.segments.record_crash(now, segment, crash),
        });
        for request in requests {
            self.history.record_headers(request, crash);
        }
        self.update_explained();
        suspects
    }

    /// Whether its endpoint may have crashed because of it, by what is known of earlier runs.
    fn is_suspect(&self, now: Instant, run: &Run) -> bool {
        !run.known_crashes.is_empty()
            || (run.is_beginning(now) && !self.with_crashes(&run.segments).is_empty())
    }

    fn with_crashes(&self, segments: &[SegmentId]) -> Vec<SegmentId> {
        segments.iter().copied().filter(|s| 0 < self.segments.crashes(*s)).collect()
    }

    /// Removes a run whose response is complete. That proves that the request and its
    /// segments need not crash an endpoint, and that this endpoint did not crash.
    fn complete(&mut self, now: Instant, id: RunId) -> Vec<Suspect> {
        let Some(run) = self.runs.remove(&id) else { return Vec::new() };
        let mut cleared = if run.is_sound { Vec::new() } else { self.clear_segments(now, &run) };
        let request = run.request();
        let mut known = run.known_crashes;
        if self.history.crash_ids(run.fingerprint).contains(&run.crash) {
            known.push(run.crash);
        }
        if 0 < self.history.record_completed(now, request, &known) {
            cleared.push(Suspect::Request(run.fingerprint));
        }
        cleared
    }

    fn clear_segments(&mut self, now: Instant, run: &Run) -> Vec<Suspect> {
        let mut cleared = run.segments.clone();
        cleared.retain(|s| self.segments.record_sound(now, *s, run.suspected_segments.contains(s)));
        self.update_explained();
        cleared.into_iter().map(Suspect::Segment).collect()
    }

    /// Crashes of blamed segments do not count against whole requests.
    fn update_explained(&mut self) {
        if let Some(explained) = self.segments.take_explained() {
            self.history.set_explained(explained);
        }
    }
}

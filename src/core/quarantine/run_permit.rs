//! Which runs may start.

use std::{collections::HashSet, time::Instant};

use crate::core::{
    ids::{CrashId, Fingerprint, SegmentId},
    quarantine::{
        RequestKey, RunGate, RunPermit, Trial, Verdict,
        run::{Run, RunState},
    },
};

impl RunGate {
    /// Whether a run of the request may start, whose prompt has these segments beside the
    /// last.
    pub fn permit(
        &self,
        now: Instant,
        request: impl Into<RequestKey>,
        segments: &[SegmentId],
    ) -> RunPermit {
        let request = request.into();
        let fingerprint = request.fingerprint;
        if self.trial(now, segments).is_some_and(|trial| trial != Trial::Due) {
            return RunPermit::Quarantined;
        }
        if self.history.is_excused(request) {
            return RunPermit::Allowed;
        }
        match self.history.verdict(now, fingerprint) {
            Verdict::Quarantined => return RunPermit::Quarantined,
            Verdict::Undecided => return RunPermit::Wait,
            Verdict::Allowed => {}
        }
        let limit = self.history.limit();
        if limit <= self.history.crashes(fingerprint) {
            // Other suspects explain the crashes, or it goes first: one run at a time.
            return match self.owns(fingerprint) && !self.has_undecided_run(fingerprint) {
                true => self.permit_beside_others(now, fingerprint),
                false => RunPermit::Wait,
            };
        }
        let unconfirmed = self.unconfirmed_crashes(now, fingerprint);
        let suspected = self.history.counted(fingerprint) + unconfirmed;
        if suspected == 0 {
            return RunPermit::Allowed;
        }
        let own = self.runs.values().filter(|r| r.fingerprint == fingerprint);
        let active = own.filter(|r| r.is_active()).count();
        if 0 < active + unconfirmed && limit <= suspected + active {
            return RunPermit::Wait;
        }
        self.permit_beside_others(now, fingerprint)
    }

    /// Whether a run of the request may start beside those of other requests.
    fn permit_beside_others(&self, now: Instant, fingerprint: Fingerprint) -> RunPermit {
        let mut others = self.runs.values().filter(|r| r.fingerprint != fingerprint);
        if self.is_last_chance(now, fingerprint) && others.any(|r| self.is_exclusive(now, r)) {
            return RunPermit::Wait;
        }
        RunPermit::Allowed
    }

    /// Whether a run of the request has not ended, or its endpoint is being checked.
    fn has_undecided_run(&self, fingerprint: Fingerprint) -> bool {
        let mut own = self.runs.values().filter(|r| r.fingerprint == fingerprint);
        own.any(|r| r.is_active() || r.is_unresolved())
    }

    /// Whether one more crash would quarantine the request.
    pub(super) fn is_last_chance(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        let unexplained = self.history.unexplained(now, fingerprint);
        self.history.limit() <= unexplained + self.unconfirmed_crashes(now, fingerprint) + 1
    }

    /// Whether a request with these segments may show that the blamed one was blamed
    /// wrongly; `None` if none is blamed. Only one process and one run at a time do so, and
    /// the crash of the run must have no other likely cause.
    pub fn trial(&self, now: Instant, segments: &[SegmentId]) -> Option<Trial> {
        let mut all_blamed = segments.iter().copied().filter(|s| self.segments.is_blamed(*s));
        let blamed = all_blamed.next()?;
        let crashes = self.segments.crashes(blamed);
        let is_likelier = |s: SegmentId| s != blamed && crashes <= self.segments.crashes(s);
        let is_trial = |r: &Run| {
            let is_undecided = r.is_unresolved() || (r.is_active() && r.is_beginning(now));
            is_undecided && r.segments.contains(&blamed)
        };
        Some(match self.segments.trial(now, blamed) {
            Trial::Due if !self.owns(blamed) => Trial::Elsewhere,
            Trial::Due if segments.iter().any(|s| is_likelier(*s)) => Trial::OtherSuspect,
            Trial::Due if all_blamed.any(|s| s != blamed) => Trial::OtherSuspect,
            Trial::Due if self.runs.values().any(is_trial) => Trial::Running,
            trial => trial,
        })
    }

    /// Possible crashes during interrupted runs of the request, apart from those of
    /// endpoints where a run with a blamed segment began.
    fn unconfirmed_crashes(&self, now: Instant, fingerprint: Fingerprint) -> usize {
        let known = self.history.crash_ids(fingerprint);
        let unresolved = self.runs.values().filter(|r| r.is_unresolved());
        let own = unresolved.filter(|r| r.fingerprint == fingerprint).map(|r| r.crash);
        let unknown: HashSet<CrashId> = own.filter(|crash| !known.contains(crash)).collect();
        unknown.into_iter().filter(|crash| !self.is_explained(now, *crash)).count()
    }

    /// Whether a run with a blamed segment explains a crash of the endpoint.
    fn is_explained(&self, now: Instant, crash: CrashId) -> bool {
        let mut runs = self.runs.values().filter(|r| r.crash == crash && r.is_beginning(now));
        runs.any(|r| r.segments.iter().any(|s| self.segments.is_blamed(*s)))
    }

    /// Whether other requests that are a crash away from the limit must wait for this run.
    fn is_exclusive(&self, now: Instant, run: &Run) -> bool {
        let is_at_limit = || self.history.limit() <= self.history.unexplained(now, run.fingerprint);
        match run.state {
            RunState::Starting | RunState::Interrupted | RunState::Unconfirmed => run.last_chance,
            RunState::Responding => run.last_chance && is_at_limit(),
            RunState::Ended { .. } => false,
        }
    }
}

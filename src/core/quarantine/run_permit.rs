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
            return match self.claims.may_try(now, fingerprint)
                && !self.has_undecided_run(fingerprint)
            {
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

    /// Whether a request with these segments may show that blamed ones were blamed wrongly;
    /// `None` if none is blamed. Only one process and one run at a time do so. If the crash of
    /// the run would have several likely causes, it waits longer, for a request with only one
    /// of them.
    pub fn trial(&self, now: Instant, segments: &[SegmentId]) -> Option<Trial> {
        let blamed: Vec<SegmentId> =
            segments.iter().copied().filter(|s| self.segments.is_blamed(*s)).collect();
        let first = *blamed.iter().min()?;
        let crashes = self.segments.crashes(first);
        let mut suspects = segments.to_vec();
        suspects.retain(|s| blamed.contains(s) || crashes <= self.segments.crashes(*s));
        suspects.sort_unstable();
        suspects.dedup();
        let is_alone = suspects.len() == 1;
        let trials = suspects.iter().map(|s| self.segments.trial(now, *s, is_alone));
        if let Some(obstacle) = trials.into_iter().find(|trial| *trial != Trial::Due) {
            return Some(obstacle);
        }
        let is_trial = |r: &Run| {
            let is_undecided = r.is_unresolved() || (r.is_active() && r.is_beginning(now));
            is_undecided && r.segments.iter().any(|s| blamed.contains(s))
        };
        Some(match self.claims.may_try(now, first) {
            false => Trial::Elsewhere,
            true if self.runs.values().any(is_trial) => Trial::Running,
            true => Trial::Due,
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

//! The segments of which other processes have yet to be told.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use super::{EngineHash, ReportedSegment, chain::ChainKey};

/// Segments that wait to be told, at most; the oldest are dropped.
const MAX_UNTOLD: usize = 256;
/// Segments whose last report is remembered, at most.
const MAX_TOLD: usize = 1_024;
/// A segment that stays in use is told again after this time. It makes up for a lost datagram, and
/// a segment in use stays known at an eighteenth of its age limit.
const TELL_AGAIN_AFTER: Duration = Duration::from_secs(5);

#[derive(Clone, Debug, Default)]
pub(super) struct UntoldSegments {
    // The newest last.
    untold: VecDeque<ReportedSegment>,
    told: HashMap<(EngineHash, ChainKey), Instant>,
}

impl UntoldSegments {
    pub(super) fn add(&mut self, now: Instant, reported: ReportedSegment) {
        let told = self.told.get(&(reported.engine, reported.segment.key));
        if told.is_some_and(|at| now < *at + TELL_AGAIN_AFTER) {
            return;
        }
        self.untold.retain(|other| *other != reported);
        self.untold.push_back(reported);
        if MAX_UNTOLD < self.untold.len() {
            self.untold.pop_front();
        }
    }

    pub(super) fn take(&mut self, now: Instant, count: usize) -> Vec<ReportedSegment> {
        let kept = self.untold.len().saturating_sub(count);
        let taken: Vec<ReportedSegment> = self.untold.drain(kept..).rev().collect();
        self.told.retain(|_, at| now < *at + TELL_AGAIN_AFTER);
        for reported in &taken {
            if self.told.len() < MAX_TOLD {
                self.told.insert((reported.engine, reported.segment.key), now);
            }
        }
        taken
    }
}

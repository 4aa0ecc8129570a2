//! Which segments of prompts explain the crashes of endpoints.

use std::{cmp::Reverse, collections::HashSet};

use crate::core::ids::{CrashId, SegmentId};

/// Crashes that blamed segments leave unexplained after which a segment that was never
/// sound is blamed too, if it has as many as the limit in all: two causes that run at the
/// same endpoints share crashes. With one more in flight, the platform's rules allow three.
const MIN_UNEXPLAINED: usize = 2;

/// A segment that may have caused crashes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'a> {
    segment: SegmentId,
    crashes: &'a [CrashId],
    // A run with it has been sound in some process.
    was_sound: bool,
    // Crashes that no blamed segment explains.
    unexplained: usize,
}

impl<'a> Candidate<'a> {
    pub(super) fn new(segment: SegmentId, crashes: &'a [CrashId], was_sound: bool) -> Self {
        Self { segment, crashes, was_sound, unexplained: crashes.len() }
    }

    /// What segments that ran along by chance explain does not lower the rank of one that was
    /// never sound: they have fewer crashes than the cause.
    fn weight(&self) -> usize {
        if self.was_sound { self.unexplained } else { self.crashes.len() }
    }
}

/// Segments to which crashes are attributed.
#[derive(Clone, Debug, Default)]
pub(super) struct Blame {
    pub(super) segments: HashSet<SegmentId>,
    /// Their crashes.
    pub(super) explained: HashSet<CrashId>,
}

impl Blame {
    /// Blames one segment after the other, of those that have at least `limit` crashes: first
    /// those that were never sound, by their number of crashes, then those that explain most
    /// of the rest. Of those that were never sound and have equally many crashes, all are
    /// blamed, since any of them may be the cause. One that was sound needs `limit` crashes
    /// that the segments before do not explain. The order depends only on what processes
    /// exchange, so that they agree.
    pub(super) fn new(mut candidates: Vec<Candidate<'_>>, limit: usize) -> Self {
        let mut blame = Self::default();
        loop {
            candidates.retain_mut(|c| {
                c.unexplained = blame.unexplained(c);
                let needed = if c.was_sound { limit } else { limit.min(MIN_UNEXPLAINED) };
                needed <= c.unexplained
            });
            let rank = |c: &Candidate<'_>| (c.was_sound, Reverse(c.weight()));
            let Some(likeliest) = candidates.iter().min_by_key(|c| (rank(c), c.segment)) else {
                return blame;
            };
            let equal = |c: &&Candidate<'_>| !c.was_sound && rank(c) == rank(likeliest);
            let others = candidates.iter().filter(equal);
            for candidate in others.chain([likeliest]) {
                blame.segments.insert(candidate.segment);
                blame.explained.extend(candidate.crashes);
            }
        }
    }

    fn unexplained(&self, candidate: &Candidate<'_>) -> usize {
        if self.explained.is_empty() {
            return candidate.crashes.len();
        }
        candidate.crashes.iter().filter(|c| !self.explained.contains(c)).count()
    }
}

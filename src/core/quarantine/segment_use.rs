//! Which segments of prompts ran here, and whether a run was sound.

use std::collections::HashMap;

use crate::core::ids::SegmentId;

/// Most segments that are remembered.
const MAX_SEGMENTS: usize = 100_000;

#[derive(Clone, Copy, Debug, Default)]
struct Use {
    was_sound: bool,
}

/// Segments that ran here, in two generations: when the younger one holds half of the
/// segments that may be remembered, the older one is dropped.
#[derive(Clone, Debug, Default)]
pub(super) struct SegmentUse {
    younger: HashMap<SegmentId, Use>,
    older: HashMap<SegmentId, Use>,
}

impl SegmentUse {
    pub(super) fn record_run(&mut self, segment: SegmentId) {
        self.entry(segment);
    }

    /// Returns whether no run of the segment was sound before.
    pub(super) fn record_sound(&mut self, segment: SegmentId) -> bool {
        !std::mem::replace(&mut self.entry(segment).was_sound, true)
    }

    pub(super) fn was_sound(&self, segment: SegmentId) -> bool {
        self.get(segment).was_sound
    }

    pub(super) fn len(&self) -> usize {
        self.younger.len() + self.older.len()
    }

    fn get(&self, segment: SegmentId) -> Use {
        let found = self.younger.get(&segment).or_else(|| self.older.get(&segment));
        found.copied().unwrap_or_default()
    }

    fn entry(&mut self, segment: SegmentId) -> &mut Use {
        if MAX_SEGMENTS / 2 <= self.younger.len() && !self.younger.contains_key(&segment) {
            self.older = std::mem::take(&mut self.younger);
        }
        let older = &mut self.older;
        self.younger.entry(segment).or_insert_with(|| older.remove(&segment).unwrap_or_default())
    }
}

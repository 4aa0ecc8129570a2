//! The crashes of one suspect, merged from the reports of all processes.

use crate::core::ids::CrashId;

/// Crashes that a suspect may have caused, and those that a later run has cleared, so that
/// an older report does not bring them back. Below its capacity, the order of merges does
/// not matter.
#[derive(Clone, Debug)]
pub(super) struct CrashSet {
    capacity: usize,
    crashes: Vec<CrashId>,
    cleared: Vec<CrashId>,
}

/// What a merge has changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Change {
    /// Crashes that were added.
    pub(super) added: usize,
    /// Whether anything changed.
    pub(super) any: bool,
}

impl CrashSet {
    /// Keeps at most `capacity` crashes and as many cleared ones.
    pub(super) fn new(capacity: usize) -> Self {
        Self { capacity, crashes: Vec::new(), cleared: Vec::new() }
    }

    pub(super) fn crashes(&self) -> &[CrashId] {
        &self.crashes
    }

    pub(super) fn cleared(&self) -> &[CrashId] {
        &self.cleared
    }

    pub(super) fn len(&self) -> usize {
        self.crashes.len()
    }

    pub(super) fn merge(&mut self, crashes: &[CrashId], cleared: &[CrashId]) -> Change {
        let mut change = Change::default();
        for crash in cleared {
            if !self.cleared.contains(crash) {
                self.cleared.push(*crash);
                change.any = true;
            }
        }
        let surplus = self.cleared.len().saturating_sub(self.capacity);
        let forgotten: Vec<CrashId> = self.cleared.drain(..surplus).collect();
        self.crashes.retain(|c| !self.cleared.contains(c) && !forgotten.contains(c));
        for crash in crashes {
            let known = self.crashes.contains(crash) || self.cleared.contains(crash);
            if !known && !forgotten.contains(crash) && self.crashes.len() < self.capacity {
                self.crashes.push(*crash);
                change.added += 1;
                change.any = true;
            }
        }
        change
    }
}

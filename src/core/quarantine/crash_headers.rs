//! The headers with which a request ran when its endpoints crashed.

use std::collections::{HashMap, HashSet};

use crate::core::ids::{CrashId, HeaderHash};

/// Stands for different headers at one crash.
const DIFFERENT: HeaderHash = HeaderHash::MAX;
/// Most headers of sound runs that are remembered for a request.
const MAX_SOUND: usize = 16;

/// Tells callers behind one address apart by the headers of their requests. A request that
/// comes again may have other headers, so they count only where the crashes agree on them.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashHeaders {
    by_crash: HashMap<CrashId, HeaderHash>,
    sound: Vec<HeaderHash>,
}

impl CrashHeaders {
    /// Records the headers of a run at a crash.
    pub(super) fn record(&mut self, crash: CrashId, headers: HeaderHash) {
        if headers == 0 {
            return;
        }
        let known = self.by_crash.entry(crash).or_insert(headers);
        if *known != headers {
            *known = DIFFERENT;
        }
    }

    /// Records that a run with these headers was complete.
    pub(super) fn record_sound(&mut self, headers: HeaderHash) {
        if headers != 0 && self.sound.len() < MAX_SOUND && !self.sound.contains(&headers) {
            self.sound.push(headers);
        }
    }

    /// The headers of the run at each crash.
    pub(super) fn of(&self, crashes: &[CrashId]) -> Vec<HeaderHash> {
        crashes.iter().map(|c| self.by_crash.get(c).copied().unwrap_or(0)).collect()
    }

    /// Whether a complete run with these headers proves the crash wrong.
    pub(super) fn may_clear(&self, crash: CrashId, headers: HeaderHash) -> bool {
        self.by_crash.get(&crash).is_none_or(|known| *known == headers)
    }

    /// Whether none of the crashes concerns requests with these headers: those of other
    /// headers do not if all have the same, or if a run with these has been complete.
    pub(super) fn excuse(&self, crashes: &[CrashId], headers: HeaderHash) -> bool {
        if headers == 0 || crashes.iter().any(|c| self.may_clear(*c, headers)) {
            return false;
        }
        let known: HashSet<_> = crashes.iter().filter_map(|c| self.by_crash.get(c)).collect();
        !known.contains(&DIFFERENT) && (known.len() <= 1 || self.sound.contains(&headers))
    }

    /// Forgets crashes that no longer count.
    pub(super) fn retain(&mut self, crashes: &[CrashId]) {
        self.by_crash.retain(|crash, _| crashes.contains(crash));
    }
}

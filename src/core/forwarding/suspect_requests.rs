//! Tracks requests that crash the endpoints that run them.
//!
//! A request keeps its fingerprint when it is sent again. Gateway processes exchange
//! their crash counts and merge them here.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

// Longer than any client keeps sending the same request.
const FORGET_AFTER: Duration = Duration::from_secs(120);
const MAX_FINGERPRINTS: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct Suspect {
    crashes: u32,
    last_crash: Instant,
}

/// Consecutive crashes per request fingerprint.
///
/// ```
/// use std::time::Instant;
/// use goldcrestpitch::core::forwarding::SuspectRequests;
/// let now = Instant::now();
/// let mut suspects = SuspectRequests::new(2);
/// suspects.record_crash(now, 7);
/// assert!(!suspects.is_blocked(now, 7));
/// suspects.record_crash(now, 7);
/// assert!(suspects.is_blocked(now, 7));
/// suspects.record_success(now, 7);
/// assert!(!suspects.is_blocked(now, 7));
/// ```
#[derive(Clone, Debug)]
pub struct SuspectRequests {
    limit: u32,
    by_fingerprint: HashMap<u64, Suspect>,
}

impl SuspectRequests {
    /// Blocks a fingerprint after `limit` consecutive crashes.
    pub fn new(limit: u32) -> Self {
        Self { limit, by_fingerprint: HashMap::new() }
    }

    /// Counts a run that ended with the endpoint's crash; returns the number of consecutive
    /// ones.
    pub fn record_crash(&mut self, now: Instant, fingerprint: u64) -> u32 {
        let crashes = self.by_fingerprint.get(&fingerprint).map_or(0, |s| s.crashes) + 1;
        self.set(now, fingerprint, crashes);
        crashes
    }

    /// Clears the count after a successful run; returns it with the age of the last crash.
    pub fn record_success(&mut self, now: Instant, fingerprint: u64) -> Option<(u32, Duration)> {
        let suspect = self.by_fingerprint.remove(&fingerprint)?;
        Some((suspect.crashes, now.saturating_duration_since(suspect.last_crash)))
    }

    /// Merges the count of another process; the higher one wins. Returns the count before
    /// if it changed.
    pub fn merge(&mut self, now: Instant, fingerprint: u64, crashes: u32) -> Option<u32> {
        let before = self.by_fingerprint.get(&fingerprint).map_or(0, |s| s.crashes);
        if crashes <= before {
            return None;
        }
        self.set(now, fingerprint, crashes);
        Some(before)
    }

    /// Whether the request must no longer be run.
    pub fn is_blocked(&self, now: Instant, fingerprint: u64) -> bool {
        let suspect = self.by_fingerprint.get(&fingerprint);
        suspect.is_some_and(|s| self.limit <= s.crashes && now < s.last_crash + FORGET_AFTER)
    }

    /// Fingerprints with a crash since `moment`, with their counts.
    pub fn crashed_since(&self, moment: Instant) -> impl Iterator<Item = (u64, u32)> {
        self.by_fingerprint
            .iter()
            .filter(move |(_, s)| moment <= s.last_crash)
            .map(|(f, s)| (*f, s.crashes))
    }

    fn set(&mut self, now: Instant, fingerprint: u64, crashes: u32) {
        if MAX_FINGERPRINTS <= self.by_fingerprint.len()
            && !self.by_fingerprint.contains_key(&fingerprint)
        {
            self.by_fingerprint.retain(|_, s| now < s.last_crash + FORGET_AFTER);
            let oldest =
                self.by_fingerprint.iter().min_by_key(|(_, s)| s.last_crash).map(|(f, _)| *f);
            if MAX_FINGERPRINTS <= self.by_fingerprint.len()
                && let Some(oldest) = oldest
            {
                self.by_fingerprint.remove(&oldest);
            }
        }
        self.by_fingerprint.insert(fingerprint, Suspect { crashes, last_crash: now });
    }
}

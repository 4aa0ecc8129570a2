//! Requests that crash the endpoints that run them.
//!
//! The fingerprint of a request stays the same when it comes again. What one
//! process has seen is told to the others, which merge it here.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

// Longer than any client goes on sending the same request.
const FORGET_AFTER: Duration = Duration::from_secs(120);
const MAX_FINGERPRINTS: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct Suspect {
    failures: u32,
    last: Instant,
}

/// Fingerprints and how often their requests ended with the endpoint's connection.
///
/// ```
/// use std::time::Instant;
/// use goldcrestpitch::core::forwarding::SuspectRequests;
/// let now = Instant::now();
/// let mut suspects = SuspectRequests::new(2);
/// suspects.record_failure(now, 7);
/// assert!(!suspects.is_blocked(now, 7));
/// suspects.record_failure(now, 7);
/// assert!(suspects.is_blocked(now, 7));
/// suspects.record_success(7);
/// assert!(!suspects.is_blocked(now, 7));
/// ```
#[derive(Clone, Debug)]
pub struct SuspectRequests {
    limit: u32,
    all: HashMap<u64, Suspect>,
}

impl SuspectRequests {
    /// Bars a fingerprint after `limit` broken runs in a row.
    pub fn new(limit: u32) -> Self {
        Self { limit, all: HashMap::new() }
    }

    /// A run ended with the endpoint's connection. Returns the count.
    pub fn record_failure(&mut self, now: Instant, fingerprint: u64) -> u32 {
        let failures = self.all.get(&fingerprint).map_or(0, |s| s.failures) + 1;
        self.set(now, fingerprint, failures);
        failures
    }

    /// A run of it ended well.
    pub fn record_success(&mut self, fingerprint: u64) {
        self.all.remove(&fingerprint);
    }

    /// Another process has seen so many broken runs.
    pub fn merge(&mut self, now: Instant, fingerprint: u64, failures: u32) {
        if self.all.get(&fingerprint).is_none_or(|s| s.failures < failures) {
            self.set(now, fingerprint, failures);
        }
    }

    /// Whether the request is no longer to be run.
    pub fn is_blocked(&self, now: Instant, fingerprint: u64) -> bool {
        let suspect = self.all.get(&fingerprint);
        suspect.is_some_and(|s| self.limit <= s.failures && now < s.last + FORGET_AFTER)
    }

    /// Fingerprints that broke since a moment, with their counts.
    pub fn failed_since(&self, moment: Instant) -> impl Iterator<Item = (u64, u32)> {
        self.all.iter().filter(move |(_, s)| moment <= s.last).map(|(f, s)| (*f, s.failures))
    }

    fn set(&mut self, now: Instant, fingerprint: u64, failures: u32) {
        if MAX_FINGERPRINTS <= self.all.len() && !self.all.contains_key(&fingerprint) {
            self.all.retain(|_, s| now < s.last + FORGET_AFTER);
            let oldest = self.all.iter().min_by_key(|(_, s)| s.last).map(|(f, _)| *f);
            if MAX_FINGERPRINTS <= self.all.len()
                && let Some(oldest) = oldest
            {
                self.all.remove(&oldest);
            }
        }
        self.all.insert(fingerprint, Suspect { failures, last: now });
    }
}

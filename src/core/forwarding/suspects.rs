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
    breaks: u32,
    last: Instant,
}

/// Fingerprints and how often their requests ended with the endpoint's connection.
///
/// ```
/// use std::time::Instant;
/// use goldcrestpitch::core::forwarding::Suspects;
/// let now = Instant::now();
/// let mut suspects = Suspects::new(2);
/// suspects.broke(now, 7);
/// assert!(!suspects.is_barred(now, 7));
/// suspects.broke(now, 7);
/// assert!(suspects.is_barred(now, 7));
/// suspects.completed(7);
/// assert!(!suspects.is_barred(now, 7));
/// ```
#[derive(Clone, Debug)]
pub struct Suspects {
    limit: u32,
    all: HashMap<u64, Suspect>,
}

impl Suspects {
    /// Bars a fingerprint after `limit` broken runs in a row.
    pub fn new(limit: u32) -> Self {
        Self { limit, all: HashMap::new() }
    }

    /// A run ended with the endpoint's connection. Returns the count.
    pub fn broke(&mut self, now: Instant, fingerprint: u64) -> u32 {
        let breaks = self.all.get(&fingerprint).map_or(0, |s| s.breaks) + 1;
        self.set(now, fingerprint, breaks);
        breaks
    }

    /// A run of it ended well.
    pub fn completed(&mut self, fingerprint: u64) {
        self.all.remove(&fingerprint);
    }

    /// Another process has seen so many broken runs.
    pub fn told(&mut self, now: Instant, fingerprint: u64, breaks: u32) {
        if self.all.get(&fingerprint).is_none_or(|s| s.breaks < breaks) {
            self.set(now, fingerprint, breaks);
        }
    }

    /// Whether the request is no longer to be run.
    pub fn is_barred(&self, now: Instant, fingerprint: u64) -> bool {
        let suspect = self.all.get(&fingerprint);
        suspect.is_some_and(|s| self.limit <= s.breaks && now < s.last + FORGET_AFTER)
    }

    /// Fingerprints that broke since a moment, with their counts.
    pub fn since(&self, moment: Instant) -> impl Iterator<Item = (u64, u32)> {
        self.all.iter().filter(move |(_, s)| moment <= s.last).map(|(f, s)| (*f, s.breaks))
    }

    fn set(&mut self, now: Instant, fingerprint: u64, breaks: u32) {
        if MAX_FINGERPRINTS <= self.all.len() && !self.all.contains_key(&fingerprint) {
            self.all.retain(|_, s| now < s.last + FORGET_AFTER);
            let oldest = self.all.iter().min_by_key(|(_, s)| s.last).map(|(f, _)| *f);
            if MAX_FINGERPRINTS <= self.all.len()
                && let Some(oldest) = oldest
            {
                self.all.remove(&oldest);
            }
        }
        self.all.insert(fingerprint, Suspect { breaks, last: now });
    }
}

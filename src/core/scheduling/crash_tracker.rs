//! Crash counts of the requests that ran when an endpoint crashed, kept by each agent.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// A request whose run was given up may still crash the endpoint within this time.
const ABANDONED_FOR: Duration = Duration::from_secs(3);

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionMode {
    /// Together with other requests.
    Shared,
    /// Alone, since it may have crashed the endpoint.
    Isolated,
    /// Not at all.
    Quarantined,
}

/// Counts crashes by request fingerprint.
///
/// ```
/// use goldcrestpitch::core::scheduling::{CrashTracker, ExecutionMode};
/// let mut tracker = CrashTracker::new(2);
/// assert_eq!(tracker.execution_mode(7), ExecutionMode::Shared);
/// tracker.record_crash(&[7, 8]);
/// assert_eq!(tracker.execution_mode(7), ExecutionMode::Isolated);
/// tracker.record_crash(&[7]);
/// assert_eq!(tracker.execution_mode(7), ExecutionMode::Quarantined);
/// tracker.clear_suspect(8);
/// assert_eq!(tracker.execution_mode(8), ExecutionMode::Shared);
/// ```
#[derive(Clone, Debug)]
pub struct CrashTracker {
    limit: u32,
    crashes: HashMap<u64, u32>,
    abandoned: Vec<(Instant, u64)>,
}

impl CrashTracker {
    /// Creates a tracker that quarantines requests at `limit` crashes.
    pub fn new(limit: u32) -> Self {
        Self { limit, crashes: HashMap::new(), abandoned: Vec::new() }
    }

    /// Changes the number of crashes that leads to quarantine.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// How a request may run, given its crash count.
    pub fn execution_mode(&self, fingerprint: u64) -> ExecutionMode {
        match self.crashes.get(&fingerprint).copied().unwrap_or(0) {
            0 => ExecutionMode::Shared,
            n if n < self.limit => ExecutionMode::Isolated,
            _ => ExecutionMode::Quarantined,
        }
    }

    /// Number of crashes while the request ran.
    pub fn crash_count(&self, fingerprint: u64) -> u32 {
        self.crashes.get(&fingerprint).copied().unwrap_or(0)
    }

    /// Counts a crash once for each distinct request that was running.
    pub fn record_crash(&mut self, fingerprints: &[u64]) {
        let mut unique: Vec<u64> = fingerprints.to_vec();
        unique.sort_unstable();
        unique.dedup();
        for fingerprint in unique {
            *self.crashes.entry(fingerprint).or_default() += 1;
        }
    }

    /// Remembers a request whose run was given up, since its caller left or its deadline
    /// passed.
    pub fn record_abandoned(&mut self, now: Instant, fingerprint: u64) {
        self.abandoned.retain(|(at, _)| now < *at + ABANDONED_FOR);
        self.abandoned.push((now, fingerprint));
    }

    /// Takes the requests that were given up shortly before a crash of the endpoint.
    pub fn take_abandoned(&mut self, now: Instant) -> Vec<u64> {
        let abandoned = std::mem::take(&mut self.abandoned);
        let recent = abandoned.into_iter().filter(|(at, _)| now < *at + ABANDONED_FOR);
        recent.map(|(_, fingerprint)| fingerprint).collect()
    }

    /// Merges a crash count from another process by taking the maximum.
    pub fn merge_count(&mut self, fingerprint: u64, crashes: u32) {
        if crashes != 0 {
            let count = self.crashes.entry(fingerprint).or_default();
            *count = crashes.max(*count);
        }
    }

    /// Clears the crash count of a suspect that completed. Returns whether there was one.
    pub fn clear_suspect(&mut self, fingerprint: u64) -> bool {
        let suspect = self.execution_mode(fingerprint) == ExecutionMode::Isolated;
        suspect && self.crashes.remove(&fingerprint).is_some()
    }
}

//! Requests that ran when an endpoint crashed, as one agent knows them.

use std::collections::HashMap;

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// With others.
    None,
    /// Alone.
    Suspect,
    /// Not any more.
    Quarantined,
}

/// Crashes by fingerprint.
///
/// ```
/// use goldcrestpitch::core::scheduling::{CrashWatch, Suspicion};
/// let mut watch = CrashWatch::new(2);
/// assert_eq!(watch.suspicion(7), Suspicion::None);
/// watch.crashed(&[7, 8]);
/// assert_eq!(watch.suspicion(7), Suspicion::Suspect);
/// watch.crashed(&[7]);
/// assert_eq!(watch.suspicion(7), Suspicion::Quarantined);
/// watch.completed(8);
/// assert_eq!(watch.suspicion(8), Suspicion::None);
/// ```
#[derive(Clone, Debug)]
pub struct CrashWatch {
    limit: u32,
    crashes: HashMap<u64, u32>,
}

impl CrashWatch {
    /// Quarantines at `limit` crashes.
    pub fn new(limit: u32) -> Self {
        Self { limit, crashes: HashMap::new() }
    }

    /// Changes the limit.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// How a request may run.
    pub fn suspicion(&self, fingerprint: u64) -> Suspicion {
        match self.crashes.get(&fingerprint).copied().unwrap_or(0) {
            0 => Suspicion::None,
            n if n < self.limit => Suspicion::Suspect,
            _ => Suspicion::Quarantined,
        }
    }

    /// Crashes of a request so far.
    pub fn count(&self, fingerprint: u64) -> u32 {
        self.crashes.get(&fingerprint).copied().unwrap_or(0)
    }

    /// Notes a crash and the different requests that ran.
    pub fn crashed(&mut self, fingerprints: &[u64]) {
        let mut once: Vec<u64> = fingerprints.to_vec();
        once.sort_unstable();
        once.dedup();
        for fingerprint in once {
            *self.crashes.entry(fingerprint).or_default() += 1;
        }
    }

    /// Takes over a count that another process knows.
    pub fn learn(&mut self, fingerprint: u64, crashes: u32) {
        if crashes != 0 {
            let count = self.crashes.entry(fingerprint).or_default();
            *count = crashes.max(*count);
        }
    }

    /// Clears a suspect that ran to its end.
    pub fn completed(&mut self, fingerprint: u64) -> bool {
        let suspect = self.suspicion(fingerprint) == Suspicion::Suspect;
        suspect && self.crashes.remove(&fingerprint).is_some()
    }
}

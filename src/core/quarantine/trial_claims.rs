//! Which of the processes may run trials of suspects.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

/// How long a process claims a suspect after it has refused a request because of it.
const CLAIM_LIFETIME: Duration = Duration::from_secs(5);
/// How long a process has claimed a suspect before it relies on the claims of the others. They
/// are sent every 800 ms, and a datagram may be lost.
const CLAIM_DELAY: Duration = Duration::from_secs(2);
/// Most claims to report.
const MAX_CLAIMS: usize = 64;

#[derive(Clone, Copy, Debug)]
struct Claim {
    since: Instant,
    renewed: Instant,
}

/// Selects one process for the trials of each suspect, a request or a segment by its id: the
/// owner, or while requests with the suspect only reach other processes, the next of these.
#[derive(Clone, Debug)]
pub(super) struct TrialClaims {
    // Position of this process among the live ones, and their number.
    position: (usize, usize),
    own: HashMap<u64, Claim>,
    // By the position of the other process.
    others: Vec<(usize, HashSet<u64>)>,
}

impl Default for TrialClaims {
    fn default() -> Self {
        Self { position: (0, 1), own: HashMap::new(), others: Vec::new() }
    }
}

impl TrialClaims {
    pub(super) fn set_position(&mut self, position: usize, count: usize) {
        self.position = (position, count.max(1));
    }

    pub(super) fn set_others(&mut self, others: Vec<(usize, HashSet<u64>)>) {
        self.others = others;
    }

    /// Whether this process owns the suspect.
    pub(super) fn owns(&self, id: u64) -> bool {
        self.rank(self.position.0, id) == 0
    }

    /// Records that a request with the suspect was refused here, or runs as a trial.
    pub(super) fn record(&mut self, now: Instant, id: u64) {
        self.own.entry(id).or_insert(Claim { since: now, renewed: now }).renewed = now;
    }

    /// Whether this process may run trials of the suspect.
    pub(super) fn may_try(&self, now: Instant, id: u64) -> bool {
        let own = self.rank(self.position.0, id);
        let mut rivals = self.others.iter().filter(|(_, ids)| ids.contains(&id)).peekable();
        if own == 0 && rivals.peek().is_none() {
            return true;
        }
        let is_known = self.own.get(&id).is_some_and(|c| c.since + CLAIM_DELAY <= now);
        is_known && rivals.all(|(position, _)| own < self.rank(*position, id))
    }

    /// The suspects that this process claims, the latest first.
    pub(super) fn current(&self, now: Instant) -> Vec<u64> {
        let current = self.own.iter().filter(|(_, c)| now < c.renewed + CLAIM_LIFETIME);
        let mut current: Vec<(Instant, u64)> = current.map(|(id, c)| (c.renewed, *id)).collect();
        current.sort_unstable_by(|a, b| b.cmp(a));
        current.into_iter().map(|(_, id)| id).take(MAX_CLAIMS).collect()
    }

    /// Keeps the claims on these suspects.
    pub(super) fn retain(&mut self, is_suspect: impl Fn(u64) -> bool) {
        self.own.retain(|id, _| is_suspect(*id));
    }

    /// Distance of a process from the owner.
    fn rank(&self, position: usize, id: u64) -> usize {
        let count = self.position.1;
        (position + count - (id % count as u64) as usize) % count
    }
}

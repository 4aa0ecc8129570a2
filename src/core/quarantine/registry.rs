//! Which fingerprints run where, as one entry keeps it for the fleet.
//!
//! A request that has never completed may be one that crashes endpoints. While
//! one attempt of it is in progress, others of the same fingerprint follow it
//! to the same endpoint, so that a crash is seen before a second endpoint is
//! tried. The registry is a hint: when it is lost, requests run unrestricted.

use std::{
    collections::{BTreeSet, HashMap, HashSet, VecDeque},
    time::{Duration, Instant},
};

use crate::core::ids::{AttemptId, EndpointId};

// An attempt whose end was never reported counts no longer.
const FORGET_AFTER: Duration = Duration::from_secs(60);
const MAX_PROVEN: usize = 8192;
const MAX_CRASHED: usize = 1024;

/// Whether an attempt may start, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Permit {
    /// Anywhere: the request completed before.
    Proven,
    /// Anywhere: it is the only one in progress. Its place is to be reported.
    First,
    /// Only at this endpoint, where the same request is in progress.
    Follow(EndpointId),
    /// The place of the one in progress is not known yet.
    Wait,
    /// Nowhere: the request crashed so many endpoints.
    Quarantined(u32),
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The answer is whole.
    Completed,
    /// The endpoint crashed.
    Crashed(EndpointId),
    /// In any other way.
    Otherwise,
}

#[derive(Clone, Debug)]
struct InProgress {
    first: AttemptId,
    endpoint: Option<EndpointId>,
    others: HashSet<AttemptId>,
    until: Instant,
}

/// Fingerprints in progress, proven and suspected.
///
/// ```
/// use std::time::Instant;
/// use goldcrestpitch::core::quarantine::{Ended, Permit, Registry};
/// let now = Instant::now();
/// let mut registry = Registry::new(2);
/// assert_eq!(registry.begin(now, 7, &"a".into()), Permit::First);
/// assert_eq!(registry.begin(now, 7, &"b".into()), Permit::Wait);
/// registry.placed(7, &"a".into(), &"engine-1".into());
/// assert_eq!(registry.begin(now, 7, &"b".into()), Permit::Follow("engine-1".into()));
/// registry.ended(7, &"a".into(), &Ended::Completed);
/// assert_eq!(registry.begin(now, 7, &"c".into()), Permit::Proven);
/// ```
#[derive(Clone, Debug)]
pub struct Registry {
    limit: u32,
    in_progress: HashMap<u64, InProgress>,
    proven: HashSet<u64>,
    proven_order: VecDeque<u64>,
    crashed: HashMap<u64, BTreeSet<EndpointId>>,
    crashed_order: VecDeque<u64>,
}

impl Registry {
    /// Quarantines a request that crashed `limit` endpoints.
    pub fn new(limit: u32) -> Self {
        Self {
            limit,
            in_progress: HashMap::new(),
            proven: HashSet::new(),
            proven_order: VecDeque::new(),
            crashed: HashMap::new(),
            crashed_order: VecDeque::new(),
        }
    }

    /// Changes the limit.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Fingerprints in progress.
    pub fn len(&self) -> usize {
        self.in_progress.len()
    }

    /// Whether nothing is in progress.
    pub fn is_empty(&self) -> bool {
        self.in_progress.is_empty()
    }

    /// Asks for an attempt. To be asked again while the answer is [`Permit::Wait`].
    pub fn begin(&mut self, now: Instant, fingerprint: u64, attempt: &AttemptId) -> Permit {
        let crashes = self.crashed.get(&fingerprint).map_or(0, |e| e.len() as u32);
        if self.limit <= crashes {
            return Permit::Quarantined(crashes);
        }
        if self.proven.contains(&fingerprint) {
            return Permit::Proven;
        }
        self.in_progress.retain(|f, p| *f != fingerprint || now < p.until);
        let first = InProgress {
            first: attempt.clone(),
            endpoint: None,
            others: HashSet::new(),
            until: now + FORGET_AFTER,
        };
        let progress = self.in_progress.entry(fingerprint).or_insert(first);
        if progress.first == *attempt {
            return Permit::First;
        }
        progress.others.insert(attempt.clone());
        match &progress.endpoint {
            Some(endpoint) => Permit::Follow(endpoint.clone()),
            None => Permit::Wait,
        }
    }

    /// Notes where the first attempt runs.
    pub fn placed(&mut self, fingerprint: u64, attempt: &AttemptId, endpoint: &EndpointId) {
        let Some(progress) = self.in_progress.get_mut(&fingerprint) else { return };
        if progress.first == *attempt {
            progress.endpoint = Some(endpoint.clone());
        }
    }

    /// Notes that an attempt ended.
    pub fn ended(&mut self, fingerprint: u64, attempt: &AttemptId, how: &Ended) {
        match how {
            Ended::Completed => self.prove(fingerprint),
            Ended::Crashed(endpoint) => self.crash(fingerprint, endpoint),
            Ended::Otherwise => {}
        }
        let Some(progress) = self.in_progress.get_mut(&fingerprint) else { return };
        progress.others.remove(attempt);
        if progress.first != *attempt {
            return;
        }
        // Who followed is still at the endpoint and becomes the one to follow.
        match progress.others.iter().next().cloned() {
            Some(next) if progress.endpoint.is_some() && !matches!(how, Ended::Crashed(_)) => {
                progress.others.remove(&next);
                progress.first = next;
            }
            _ => drop(self.in_progress.remove(&fingerprint)),
        }
    }

    /// Forgets attempts whose end was never reported.
    pub fn expire(&mut self, now: Instant) {
        self.in_progress.retain(|_, p| now < p.until);
    }

    /// Lets a request that was quarantined run again.
    pub fn release(&mut self, fingerprint: u64) {
        self.crashed.remove(&fingerprint);
    }

    fn prove(&mut self, fingerprint: u64) {
        if !self.proven.insert(fingerprint) {
            return;
        }
        self.proven_order.push_back(fingerprint);
        if MAX_PROVEN < self.proven_order.len()
            && let Some(oldest) = self.proven_order.pop_front()
        {
            self.proven.remove(&oldest);
        }
    }

    fn crash(&mut self, fingerprint: u64, endpoint: &EndpointId) {
        let endpoints = self.crashed.entry(fingerprint).or_insert_with(|| {
            self.crashed_order.push_back(fingerprint);
            BTreeSet::new()
        });
        endpoints.insert(endpoint.clone());
        // What completed before may crash now: it has to follow again.
        if self.proven.remove(&fingerprint) {
            self.proven_order.retain(|f| *f != fingerprint);
        }
        if MAX_CRASHED < self.crashed_order.len()
            && let Some(oldest) = self.crashed_order.pop_front()
        {
            self.crashed.remove(&oldest);
        }
    }
}

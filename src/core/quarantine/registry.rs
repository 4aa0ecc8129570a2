//! Registry of the fingerprints in progress and their endpoints. Each fingerprint is
//! tracked by one entry for the whole fleet.
//!
//! A request that has never completed might crash endpoints. While one attempt of it is
//! in progress, other attempts with the same fingerprint are sent to the same endpoint,
//! so that a crash is detected before a second endpoint is affected. The registry is
//! best effort: if its state is lost, requests run unrestricted.

use std::{
    collections::{BTreeSet, HashMap, HashSet, VecDeque},
    time::{Duration, Instant},
};

use crate::core::ids::{AttemptId, EndpointId};

// After this time an attempt whose end was not reported is dropped.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(60);
const MAX_PROVEN_FINGERPRINTS: usize = 8192;
const MAX_CRASHED_FINGERPRINTS: usize = 1024;

/// Whether an attempt may start, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Permit {
    /// At any endpoint, since the same request has completed before.
    Proven,
    /// At any endpoint, since no other attempt is in progress. The chosen endpoint must be
    /// reported.
    First,
    /// Only at this endpoint, where the same request is in progress.
    Follow(EndpointId),
    /// Not yet: the endpoint of the attempt in progress is not known.
    Wait,
    /// Not at all: the request crashed this number of endpoints.
    Quarantined(u32),
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The response is complete.
    Completed,
    /// The endpoint crashed.
    Crashed(EndpointId),
    /// In any other way.
    Other,
}

#[derive(Clone, Debug)]
struct InProgress {
    leader: AttemptId,
    endpoint: Option<EndpointId>,
    followers: HashSet<AttemptId>,
    expires_at: Instant,
}

/// Tracks fingerprints that are in progress, have completed or have crashed endpoints.
///
/// ```
/// use std::time::Instant;
/// use goldcrestpitch::core::quarantine::{AttemptEnd, Permit, QuarantineRegistry};
/// let now = Instant::now();
/// let mut registry = QuarantineRegistry::new(2);
/// assert_eq!(registry.request_permit(now, 7, &"a".into()), Permit::First);
/// assert_eq!(registry.request_permit(now, 7, &"b".into()), Permit::Wait);
/// registry.set_endpoint(7, &"a".into(), &"engine-1".into());
/// assert_eq!(registry.request_permit(now, 7, &"b".into()), Permit::Follow("engine-1".into()));
/// registry.end_attempt(7, &"a".into(), &AttemptEnd::Completed);
/// assert_eq!(registry.request_permit(now, 7, &"c".into()), Permit::Proven);
/// ```
#[derive(Clone, Debug)]
pub struct QuarantineRegistry {
    limit: u32,
    in_progress: HashMap<u64, InProgress>,
    proven: HashSet<u64>,
    proven_order: VecDeque<u64>,
    crashed: HashMap<u64, BTreeSet<EndpointId>>,
    crashed_order: VecDeque<u64>,
}

impl QuarantineRegistry {
    /// Creates a registry that quarantines requests after they crashed `limit` endpoints.
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

    /// Changes the number of crashed endpoints that leads to quarantine.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Number of fingerprints in progress.
    pub fn len(&self) -> usize {
        self.in_progress.len()
    }

    /// Whether no fingerprint is in progress.
    pub fn is_empty(&self) -> bool {
        self.in_progress.is_empty()
    }

    /// Returns whether an attempt may start. Call again while it returns [`Permit::Wait`].
    pub fn request_permit(
        &mut self,
        now: Instant,
        fingerprint: u64,
        attempt: &AttemptId,
    ) -> Permit {
        let crashes = self.crashed.get(&fingerprint).map_or(0, |e| e.len() as u32);
        if self.limit <= crashes {
            return Permit::Quarantined(crashes);
        }
        if self.proven.contains(&fingerprint) {
            return Permit::Proven;
        }
        self.in_progress.retain(|f, p| *f != fingerprint || now < p.expires_at);
        let new = InProgress {
            leader: attempt.clone(),
            endpoint: None,
            followers: HashSet::new(),
            expires_at: now + ATTEMPT_TIMEOUT,
        };
        let progress = self.in_progress.entry(fingerprint).or_insert(new);
        if progress.leader == *attempt {
            return Permit::First;
        }
        progress.followers.insert(attempt.clone());
        match &progress.endpoint {
            Some(endpoint) => Permit::Follow(endpoint.clone()),
            None => Permit::Wait,
        }
    }

    /// Records the endpoint of the first attempt.
    pub fn set_endpoint(&mut self, fingerprint: u64, attempt: &AttemptId, endpoint: &EndpointId) {
        let Some(progress) = self.in_progress.get_mut(&fingerprint) else { return };
        if progress.leader == *attempt {
            progress.endpoint = Some(endpoint.clone());
        }
    }

    /// Records the end of an attempt.
    pub fn end_attempt(&mut self, fingerprint: u64, attempt: &AttemptId, end: &AttemptEnd) {
        match end {
            AttemptEnd::Completed => self.mark_proven(fingerprint),
            AttemptEnd::Crashed(endpoint) => self.record_crash(fingerprint, endpoint),
            AttemptEnd::Other => {}
        }
        let Some(progress) = self.in_progress.get_mut(&fingerprint) else { return };
        progress.followers.remove(attempt);
        if progress.leader != *attempt {
            return;
        }
        // A follower still runs at the same endpoint and becomes the new leader.
        match progress.followers.iter().next().cloned() {
            Some(next) if progress.endpoint.is_some() && !matches!(end, AttemptEnd::Crashed(_)) => {
                progress.followers.remove(&next);
                progress.leader = next;
            }
            _ => drop(self.in_progress.remove(&fingerprint)),
        }
    }

    /// Removes fingerprints whose attempts did not report their end in time.
    pub fn remove_expired(&mut self, now: Instant) {
        self.in_progress.retain(|_, p| now < p.expires_at);
    }

    /// Lifts the quarantine of a request.
    pub fn release(&mut self, fingerprint: u64) {
        self.crashed.remove(&fingerprint);
    }

    fn mark_proven(&mut self, fingerprint: u64) {
        if !self.proven.insert(fingerprint) {
            return;
        }
        self.proven_order.push_back(fingerprint);
        if MAX_PROVEN_FINGERPRINTS < self.proven_order.len()
            && let Some(oldest) = self.proven_order.pop_front()
        {
            self.proven.remove(&oldest);
        }
    }

    fn record_crash(&mut self, fingerprint: u64, endpoint: &EndpointId) {
        let endpoints = self.crashed.entry(fingerprint).or_insert_with(|| {
            self.crashed_order.push_back(fingerprint);
            BTreeSet::new()
        });
        endpoints.insert(endpoint.clone());
        // The request completed before but crashes now, so it is restricted again.
        if self.proven.remove(&fingerprint) {
            self.proven_order.retain(|f| *f != fingerprint);
        }
        if MAX_CRASHED_FINGERPRINTS < self.crashed_order.len()
            && let Some(oldest) = self.crashed_order.pop_front()
        {
            self.crashed.remove(&oldest);
        }
    }
}

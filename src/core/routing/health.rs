//! Endpoint health as observed by this process, with exponential backoff after failures.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::core::ids::EndpointId;

const MIN_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Backoff {
    failures: u32,
    ends_at: Instant,
}

/// Endpoints that recently failed to respond.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::routing::EndpointHealth;
/// let now = Instant::now();
/// let mut health = EndpointHealth::default();
/// health.record_failure(now, &"e".into());
/// assert!(!health.allow_request(now, "e"));
/// assert!(health.allow_request(now + Duration::from_secs(1), "e"));
/// ```
#[derive(Debug, Default)]
pub struct EndpointHealth {
    backoffs: HashMap<EndpointId, Backoff>,
}

impl EndpointHealth {
    /// Records that an endpoint did not respond.
    pub fn record_failure(&mut self, now: Instant, endpoint: &EndpointId) {
        let backoff =
            self.backoffs.entry(endpoint.clone()).or_insert(Backoff { failures: 0, ends_at: now });
        let doubled = MIN_BACKOFF * 2u32.pow(backoff.failures.min(6));
        backoff.failures += 1;
        backoff.ends_at = now + doubled.min(MAX_BACKOFF);
    }

    /// Records that an endpoint is draining. It gets no requests for the maximum backoff.
    pub fn record_draining(&mut self, now: Instant, endpoint: &EndpointId) {
        let backoff = Backoff { failures: 1, ends_at: now + MAX_BACKOFF };
        self.backoffs.insert(endpoint.clone(), backoff);
    }

    /// Records that an endpoint responded, which ends its backoff.
    pub fn record_success(&mut self, endpoint: &str) {
        self.backoffs.remove(endpoint);
    }

    /// Whether a request may be sent to an endpoint. When its backoff has ended, one trial
    /// request is allowed and the backoff is extended to wait for its result.
    pub fn allow_request(&mut self, now: Instant, endpoint: &str) -> bool {
        let Some(backoff) = self.backoffs.get_mut(endpoint) else {
            return true;
        };
        if now < backoff.ends_at {
            return false;
        }
        backoff.ends_at = now + MIN_BACKOFF;
        true
    }
}

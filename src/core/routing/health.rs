//! Direct evidence of each endpoint's health, with a backoff after failures.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::core::ids::EndpointId;

const FIRST_BACKOFF: Duration = Duration::from_millis(200);
const LAST_BACKOFF: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Record {
    failures: u32,
    until: Instant,
}

/// Endpoints that recently failed to answer.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::routing::Health;
/// let now = Instant::now();
/// let mut health = Health::default();
/// health.failed(now, &"e".into());
/// assert!(!health.is_usable(now, "e"));
/// assert!(health.is_usable(now + Duration::from_secs(1), "e"));
/// ```
#[derive(Debug, Default)]
pub struct Health {
    records: HashMap<EndpointId, Record>,
}

impl Health {
    /// Notes that an endpoint did not answer.
    pub fn failed(&mut self, now: Instant, endpoint: &EndpointId) {
        let record =
            self.records.entry(endpoint.clone()).or_insert(Record { failures: 0, until: now });
        let doubled = FIRST_BACKOFF * 2u32.pow(record.failures.min(6));
        record.failures += 1;
        record.until = now + doubled.min(LAST_BACKOFF);
    }

    /// Notes that an endpoint is leaving; it is not asked for the longest backoff.
    pub fn leaving(&mut self, now: Instant, endpoint: &EndpointId) {
        let record = Record { failures: 1, until: now + LAST_BACKOFF };
        self.records.insert(endpoint.clone(), record);
    }

    /// Notes that an endpoint answered.
    pub fn answered(&mut self, endpoint: &str) {
        self.records.remove(endpoint);
    }

    /// Whether an endpoint may be asked. After its backoff it may be asked
    /// once; the backoff is stretched until the answer is there.
    pub fn is_usable(&mut self, now: Instant, endpoint: &str) -> bool {
        let Some(record) = self.records.get_mut(endpoint) else {
            return true;
        };
        if now < record.until {
            return false;
        }
        record.until = now + FIRST_BACKOFF;
        true
    }
}

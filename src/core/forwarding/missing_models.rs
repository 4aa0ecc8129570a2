//! Models that endpoints turned out not to have, although they are registered with them.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::core::{forwarding::ModelRef, ids::EndpointId};

/// How long an endpoint gets no requests for a model that it did not have. It doubles each time.
const MIN_PAUSE: Duration = Duration::from_millis(500);
const MAX_PAUSE: Duration = Duration::from_millis(4000);

#[derive(Clone, Copy, Debug)]
struct Missing {
    until: Instant,
    pause: Duration,
}

/// Models that endpoints did not have when a request came.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::forwarding::MissingModels;
/// let (now, ms) = (Instant::now(), Duration::from_millis);
/// let (endpoint, model) = ("e".into(), ("m".into(), None));
/// let mut missing = MissingModels::default();
/// missing.record(now, &endpoint, &model);
/// assert!(missing.contains(now + ms(499), &endpoint, &model));
/// assert!(!missing.contains(now + ms(500), &endpoint, &model));
/// missing.record(now + ms(500), &endpoint, &model);
/// assert!(missing.contains(now + ms(1499), &endpoint, &model));
/// ```
#[derive(Clone, Debug, Default)]
pub struct MissingModels {
    by_endpoint: HashMap<EndpointId, HashMap<ModelRef, Missing>>,
}

impl MissingModels {
    /// Records that the endpoint did not have the model.
    pub fn record(&mut self, now: Instant, endpoint: &EndpointId, model: &ModelRef) {
        let missing = self.by_endpoint.entry(endpoint.clone()).or_default();
        let known = missing.get(model).copied();
        // Requests that were sent at the same time count once.
        if known.is_some_and(|m| now < m.until) {
            return;
        }
        let pause = known.map_or(MIN_PAUSE, |m| (m.pause * 2).min(MAX_PAUSE));
        missing.insert(model.clone(), Missing { until: now + pause, pause });
    }

    /// Records that the endpoint has the model.
    pub fn clear(&mut self, endpoint: &str, model: &ModelRef) {
        if let Some(missing) = self.by_endpoint.get_mut(endpoint) {
            missing.remove(model);
        }
    }

    /// Whether the endpoint gets no requests for the model now.
    pub fn contains(&self, now: Instant, endpoint: &str, model: &ModelRef) -> bool {
        let missing = self.by_endpoint.get(endpoint).and_then(|missing| missing.get(model));
        missing.is_some_and(|m| now < m.until)
    }

    /// Whether nothing is missing anywhere.
    pub fn is_empty(&self) -> bool {
        self.by_endpoint.is_empty()
    }

    /// Forgets endpoints that are no longer registered.
    pub fn retain(&mut self, is_registered: impl Fn(&str) -> bool) {
        self.by_endpoint.retain(|id, missing| is_registered(id) && !missing.is_empty());
    }
}

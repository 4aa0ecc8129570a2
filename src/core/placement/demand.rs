//! Measures the demand for each model.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::core::{
    forwarding::{Requirements, ServiceName},
    ids::ModelName,
};

/// Time constant of the exponential decay. Short enough to detect a model that becomes
/// busy within seconds, long enough that a few requests do not look like a burst.
const DECAY_TIME: Duration = Duration::from_millis(1500);
/// Models with fewer prompt tokens per second than this are dropped.
const MIN_TOKENS_PER_S: f64 = 1.0;

#[derive(Clone, Copy, Debug)]
struct Rate {
    tokens_per_s: f64,
    at: Instant,
}

impl Rate {
    fn decayed(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.tokens_per_s * (-elapsed / DECAY_TIME.as_secs_f64()).exp()
    }
}

/// Exponentially decaying rate of prompt tokens per second for each model, as seen by
/// this process.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::{forwarding::Requirements, placement::DemandMeter};
/// let start = Instant::now();
/// let mut meter = DemandMeter::new();
/// let requirements =
///     Requirements { model: Some("m".into()), prompt_tokens: 100, ..Requirements::default() };
/// for i in 0..100 {
///     meter.record_request(start + Duration::from_millis(100 * i), &"s".into(), &requirements);
/// }
/// let rate = meter.rates(start + Duration::from_secs(10))[0].2;
/// assert!((900.0..1100.0).contains(&rate), "{rate}");
/// ```
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    rates: HashMap<(ServiceName, ModelName), Rate>,
}

impl DemandMeter {
    /// Creates a meter without demand.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request that names a model.
    pub fn record_request(
        &mut self,
        now: Instant,
        service: &ServiceName,
        requirements: &Requirements,
    ) {
        let Some(model) = &requirements.model else { return };
        let rate = self
            .rates
            .entry((service.clone(), model.clone()))
            .or_insert(Rate { tokens_per_s: 0.0, at: now });
        let added = f64::from(requirements.prompt_tokens.max(1)) / DECAY_TIME.as_secs_f64();
        *rate = Rate { tokens_per_s: rate.decayed(now) + added, at: now };
    }

    /// Demand for each model, largest first.
    pub fn rates(&self, now: Instant) -> Vec<(ServiceName, ModelName, f64)> {
        let rate = |((s, m), r): (&(ServiceName, ModelName), &Rate)| {
            (s.clone(), m.clone(), r.decayed(now))
        };
        let mut rates: Vec<_> = self.rates.iter().map(rate).collect();
        rates.sort_by(|a, b| b.2.total_cmp(&a.2));
        rates
    }

    /// Drops models that are no longer requested.
    pub fn expire(&mut self, now: Instant) {
        self.rates.retain(|_, r| MIN_TOKENS_PER_S <= r.decayed(now));
    }
}

//! How much each model is asked for.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::core::{
    forwarding::{Requirements, ServiceName},
    ids::ModelName,
};

/// Demand older than this hardly counts. Short enough that a model that becomes
/// busy within seconds is noticed, long enough that a few requests are no burst.
const MEMORY: Duration = Duration::from_millis(1500);
/// Demand below so many prompt tokens a second is forgotten.
const LEAST_TOKENS_PER_S: f64 = 1.0;

#[derive(Clone, Copy, Debug)]
struct Rate {
    tokens_per_s: f64,
    at: Instant,
}

impl Rate {
    fn now(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.tokens_per_s * (-passed / MEMORY.as_secs_f64()).exp()
    }
}

/// Prompt tokens a second by model, as this process sees them.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::{forwarding::Requirements, placement::DemandMeter};
/// let start = Instant::now();
/// let mut meter = DemandMeter::new();
/// let needs = Requirements { model: Some("m".into()), prompt_tokens: 100, ..Requirements::default() };
/// for i in 0..100 {
///     meter.request(start + Duration::from_millis(100 * i), &"s".into(), &needs);
/// }
/// let rate = meter.rates(start + Duration::from_secs(10))[0].2;
/// assert!((900.0..1100.0).contains(&rate), "{rate}");
/// ```
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    rates: HashMap<(ServiceName, ModelName), Rate>,
}

impl DemandMeter {
    /// A meter that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request that names a model.
    pub fn request(&mut self, now: Instant, service: &ServiceName, needs: &Requirements) {
        let Some(model) = &needs.model else { return };
        let rate = self
            .rates
            .entry((service.clone(), model.clone()))
            .or_insert(Rate { tokens_per_s: 0.0, at: now });
        let added = f64::from(needs.prompt_tokens.max(1)) / MEMORY.as_secs_f64();
        *rate = Rate { tokens_per_s: rate.now(now) + added, at: now };
    }

    /// The demand of each model, the largest first.
    pub fn rates(&self, now: Instant) -> Vec<(ServiceName, ModelName, f64)> {
        let rate =
            |((s, m), r): (&(ServiceName, ModelName), &Rate)| (s.clone(), m.clone(), r.now(now));
        let mut rates: Vec<_> = self.rates.iter().map(rate).collect();
        rates.sort_by(|a, b| b.2.total_cmp(&a.2));
        rates
    }

    /// Forgets models that are asked for no more.
    pub fn expire(&mut self, now: Instant) {
        self.rates.retain(|_, r| LEAST_TOKENS_PER_S <= r.now(now));
    }
}

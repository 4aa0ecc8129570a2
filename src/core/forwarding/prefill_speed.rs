//! How fast engines read prompts, by model, from the times to the first token of requests that
//! nothing else delayed.

use std::collections::HashMap;

use crate::core::{
    forwarding::{ServiceName, selection::PREFILL_TOKENS_PER_MS},
    ids::ModelName,
};

/// Weight that older observations keep with each new one.
const DECAY: f64 = 0.99;
/// Variance of prompt lengths, in square tokens, that the expected speed counts for: three prompts
/// that differ from the mean by 800 tokens.
const PRIOR_VARIANCE: f64 = 3.0 * 800.0 * 800.0;
/// Range of the speeds that are believed, tokens per millisecond.
const SPEED_RANGE: std::ops::RangeInclusive<f64> = 4.0..=160.0;

/// A line through the observed times, by least squares with decaying weights.
#[derive(Clone, Copy, Debug, Default)]
struct Line {
    weight: f64,
    mean_tokens: f64,
    mean_ms: f64,
    variance: f64,
    covariance: f64,
}

impl Line {
    fn record(&mut self, tokens: f64, ms: f64) {
        let weight = self.weight * DECAY + 1.0;
        let (off_tokens, off_ms) = (tokens - self.mean_tokens, ms - self.mean_ms);
        let kept = self.weight * DECAY / weight;
        self.variance = self.variance * DECAY + kept * off_tokens * off_tokens;
        self.covariance = self.covariance * DECAY + kept * off_tokens * off_ms;
        self.mean_tokens += off_tokens / weight;
        self.mean_ms += off_ms / weight;
        self.weight = weight;
    }

    /// Tokens per millisecond, near `expected` while little is known.
    fn speed(&self, expected: f64) -> f64 {
        let slope =
            (self.covariance + PRIOR_VARIANCE / expected) / (self.variance + PRIOR_VARIANCE);
        (1.0 / slope.max(f64::EPSILON)).clamp(*SPEED_RANGE.start(), *SPEED_RANGE.end())
    }
}

/// The measured speeds at which the engines of each service read prompts.
///
/// ```
/// use goldcrestpitch::core::forwarding::PrefillSpeeds;
/// let mut speeds = PrefillSpeeds::default();
/// let (service, model) = ("s".into(), "m".into());
/// for i in 0..200 {
///     let tokens = 200 + 37 * (i % 50);
///     // 40 ms for each request, and 50 tokens per millisecond.
///     speeds.record(&service, &model, tokens, 40.0 + f64::from(tokens) / 50.0);
/// }
/// assert!((45.0..55.0).contains(&speeds.tokens_per_ms(&service, &model)));
/// // Another model is expected to be about as fast.
/// assert!(30.0 < speeds.tokens_per_ms(&service, &"n".into()));
/// ```
#[derive(Clone, Debug, Default)]
pub struct PrefillSpeeds {
    services: HashMap<ServiceName, ServiceSpeeds>,
}

#[derive(Clone, Debug, Default)]
struct ServiceSpeeds {
    all: Line,
    models: HashMap<ModelName, Line>,
}

impl PrefillSpeeds {
    /// Records the time to the first token of a prompt that was alone at its engine.
    pub fn record(&mut self, service: &ServiceName, model: &ModelName, tokens: u32, ms: f64) {
        let speeds = self.services.entry(service.clone()).or_default();
        speeds.all.record(f64::from(tokens), ms);
        speeds.models.entry(model.clone()).or_default().record(f64::from(tokens), ms);
    }

    /// Prompt tokens of a model that an engine reads in a millisecond.
    pub fn tokens_per_ms(&self, service: &ServiceName, model: &ModelName) -> f64 {
        let Some(speeds) = self.services.get(service) else { return PREFILL_TOKENS_PER_MS };
        let expected = speeds.all.speed(PREFILL_TOKENS_PER_MS);
        speeds.models.get(model).map_or(expected, |line| line.speed(expected))
    }

    /// Work to read tokens of a model, relative to what an engine of the operators' data sheet
    /// needs for as many.
    pub fn cost(&self, service: &ServiceName, model: &ModelName) -> f64 {
        PREFILL_TOKENS_PER_MS / self.tokens_per_ms(service, model)
    }
}

//! The streams that callers ask for.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use goldcrestpitch::core::{forwarding::Ticket, ids::EndpointId};

use crate::engine::EVENT_TOKENS;

pub const MODELS: usize = 5;
/// Mean requests per second for each of the engines.
pub const RATE_PER_ENGINE: f64 = 6.7;
const MAX_PROMPT: f64 = 4_200.0;
const MAX_EVENTS: f64 = 150.0;
/// Standard deviations of the logarithms of prompt and response lengths.
const PROMPT_SIGMA: f64 = 0.6;
const EVENTS_SIGMA: f64 = 0.5;
const MODEL_SHARES: [f64; MODELS] = [0.4, 0.27, 0.17, 0.11, 0.05];
/// First segments of each model, shared by its prompts.
const FIRST_SEGMENTS: u64 = 6;
const FIRST_SEGMENT_SHARE: f64 = 0.2;

pub struct Class {
    pub name: &'static str,
    pub prompt: f64,
    pub events: f64,
    pub target: Duration,
    pub priority: u8,
    pub share: f64,
}

pub const CLASSES: [Class; 3] = [
    class("long", 1_460.0, 43.0, 600, 1, 0.5),
    class("batch", 1_460.0, 43.0, 5_000, 2, 0.15),
    class("short", 646.0, 17.0, 600, 0, 0.35),
];

const fn class(
    name: &'static str,
    prompt: f64,
    events: f64,
    target_ms: u64,
    priority: u8,
    share: f64,
) -> Class {
    Class { name, prompt, events, target: Duration::from_millis(target_ms), priority, share }
}

pub fn model(index: usize) -> Arc<str> {
    format!("m{index}").into()
}

/// Models that an engine has loaded; the last model has one replica.
pub fn models_of(engine: usize) -> [usize; 3] {
    match engine {
        0..=5 => [0, 1, 2],
        6..=8 => [0, 1, 3],
        _ => [0, 3, 4],
    }
}

/// What has become of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Complete,
    Refused,
    Left,
    Failed,
}

/// A stream that a caller asks for.
#[derive(Clone, Debug)]
pub struct Stream {
    pub class: usize,
    pub model: usize,
    pub gateway: usize,
    pub prompt: u32,
    pub events: u32,
    pub segments: Vec<(u64, u32)>,
    /// Whether its caller asks again at once, up to three times.
    pub insists: bool,
    /// Times that it was asked for, and attempts of the gateway over all of them.
    pub asks: u32,
    pub attempt: u32,
    pub asked_at: Instant,
    pub tried: Vec<EndpointId>,
    pub ticket: Ticket,
    pub endpoint: Option<EndpointId>,
    pub first_ms: Option<f64>,
    pub last_event: Option<Instant>,
    pub received: u32,
    pub paused_too_long: bool,
    /// Attempts that broke.
    pub failures: usize,
    /// Whether it counts in the outcome.
    pub counts: bool,
    pub end: Option<End>,
}

impl Stream {
    /// Tokens that are still to come.
    pub fn output(&self) -> u32 {
        1 + EVENT_TOKENS * (self.events - self.received).saturating_sub(1)
    }

    /// Makes it a request that its caller asks for once more.
    pub fn restart(&mut self) {
        // Events of an earlier attempt no longer count.
        self.attempt += 1;
        self.tried.clear();
        self.ticket = 0;
        self.endpoint = None;
        self.first_ms = None;
        self.last_event = None;
        self.received = 0;
        self.paused_too_long = false;
        self.failures = 0;
    }

    pub fn is_first_on_time(&self) -> bool {
        let target = CLASSES[self.class].target.as_secs_f64() * 1e3;
        self.first_ms.is_some_and(|ms| ms <= target)
    }

    pub fn is_on_time(&self) -> bool {
        self.end == Some(End::Complete) && self.is_first_on_time() && !self.paused_too_long
    }
}

/// Factors on the demand.
#[derive(Clone, Copy)]
pub struct Demand {
    pub classes: [f64; 3],
    /// Factor for the last model.
    pub last_model: f64,
}

impl Demand {
    pub const USUAL: Self = Self { classes: [1.0; 3], last_model: 1.0 };

    pub fn factor(&self) -> f64 {
        self.weights().iter().sum::<f64>() * self.model_shares().iter().sum::<f64>()
    }

    fn weights(&self) -> [f64; 3] {
        [0, 1, 2].map(|i| CLASSES[i].share * self.classes[i])
    }

    fn model_shares(&self) -> [f64; MODELS] {
        let mut shares = MODEL_SHARES;
        shares[MODELS - 1] *= self.last_model;
        shares
    }

    pub fn stream(
        &self,
        rng: &mut fastrand::Rng,
        now: Instant,
        gateway_shares: &[f64],
        insists: f64,
    ) -> Stream {
        let class = pick(rng, &self.weights());
        let model = pick(rng, &self.model_shares());
        let Class { prompt, events, .. } = CLASSES[class];
        let prompt = lognormal(rng, prompt, PROMPT_SIGMA).clamp(16.0, MAX_PROMPT) as u32;
        let events = lognormal(rng, events, EVENTS_SIGMA).clamp(2.0, MAX_EVENTS) as u32;
        let first = (f64::from(prompt) * FIRST_SEGMENT_SHARE) as u32;
        // Lengths in steps of 64 tokens, as the same segment always has the same length.
        let first = first / 64 * 64;
        let id = (model as u64 * FIRST_SEGMENTS + rng.u64(..FIRST_SEGMENTS)) << 16;
        let mut segments = vec![(rng.u64(..) | 1 << 63, prompt - first)];
        if 0 < first {
            segments.insert(0, (id | u64::from(first), first));
        }
        Stream {
            class,
            model,
            gateway: pick(rng, gateway_shares),
            prompt,
            events,
            segments,
            insists: rng.f64() < insists,
            asks: 1,
            attempt: 0,
            asked_at: now,
            tried: Vec::new(),
            ticket: 0,
            endpoint: None,
            first_ms: None,
            last_event: None,
            received: 0,
            paused_too_long: false,
            failures: 0,
            counts: false,
            end: None,
        }
    }
}

fn pick(rng: &mut fastrand::Rng, weights: &[f64]) -> usize {
    let mut point = rng.f64() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        if point < *weight {
            return index;
        }
        point -= weight;
    }
    weights.len() - 1
}

/// A number of this mean.
fn lognormal(rng: &mut fastrand::Rng, mean: f64, sigma: f64) -> f64 {
    let normal = (-2.0 * (1.0 - rng.f64()).ln()).sqrt() * (std::f64::consts::TAU * rng.f64()).cos();
    (mean.ln() - sigma * sigma / 2.0 + sigma * normal).exp()
}

//! The fleet in virtual time: gateways before one endpoint that names a rate.

use std::time::{Duration, Instant};

use goldcrestpitch::core::{
    ids::EndpointId,
    limits::{EndpointLimits, LimitReport, NamedLimit},
};

use crate::outcome::{Arrival, Outcome};

const STEP_MS: u64 = 20;
const LENGTH_MS: u64 = 30_000;
const STEADY_LENGTH_MS: u64 = 40_000;
const BROADCAST_MS: u64 = 800;
/// Longest wait of a request for an endpoint.
const MAX_WAIT_MS: u64 = 1_900;
const STABLE_WINDOW_MS: u64 = 4_000;
/// Time after the first response that names the limit from which a gateway counts.
const TOLD_FOR_MS: u64 = 500;
const ENDPOINT: &str = "i-1";
/// Rate of each trouble, per second.
const TROUBLES_PER_S: f64 = 0.15;

#[derive(Clone, Copy, Debug, Default)]
pub struct Trouble {
    pub stops: bool,
    pub freezes: bool,
    pub cuts: bool,
    pub loss: f64,
}

impl Trouble {
    pub fn random(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(!seed);
        let loss = if rng.bool() { rng.f64() * 0.3 } else { 0.0 };
        Self { stops: rng.bool(), freezes: rng.bool(), cuts: rng.bool(), loss }
    }
}

struct Gateway {
    id: u64,
    limits: EndpointLimits,
    // When the queued requests arrived.
    queue: Vec<u64>,
    // Requests that arrive at the endpoint, and responses: time, when sent, what it names.
    sent: Vec<(u64, u64)>,
    responses: Vec<(u64, u64, NamedLimit)>,
    inbox: Vec<(u64, u64, LimitReport)>,
    demand_per_s: f64,
    next_broadcast: u64,
    stopped_until: u64,
    frozen_until: u64,
    cut_until: u64,
    disturbed_until: u64,
    told_at: Option<u64>,
}

pub struct Fleet {
    rng: fastrand::Rng,
    trouble: Trouble,
    start: Instant,
    now: u64,
    length_ms: u64,
    endpoint: EndpointId,
    gateways: Vec<Gateway>,
    outcome: Outcome,
}

impl Fleet {
    /// A schedule in which the rate changes and ends, beside uneven load in bursts.
    pub fn new(seed: u64, trouble: Trouble) -> Self {
        let mut fleet = Self::with_gateways(seed, trouble);
        let mut at = fleet.rng.u64(0..6_000);
        while at < LENGTH_MS {
            let rate = (fleet.rng.u32(..5) != 0).then(|| fleet.random_rate());
            fleet.outcome.rates.push((at, rate));
            at += fleet.rng.u64(3_000..15_000);
        }
        fleet
    }

    /// A schedule with one rate, calm gateways, and uneven demand of twice the rate or more.
    pub fn steady(seed: u64) -> Self {
        let mut fleet = Self::with_gateways(seed, Trouble::default());
        let rate = fleet.random_rate().max(0.5);
        fleet.outcome.rates.push((0, Some(rate)));
        fleet.outcome.steady_until = Some(STEADY_LENGTH_MS);
        fleet.length_ms = STEADY_LENGTH_MS;
        let demand: f64 = fleet.gateways.iter().map(|g| g.demand_per_s).sum();
        let factor = (2.0 + fleet.rng.f64() * 8.0) * rate / demand;
        fleet.gateways.iter_mut().for_each(|g| g.demand_per_s *= factor);
        fleet
    }

    fn with_gateways(seed: u64, trouble: Trouble) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let count = if rng.u32(..5) == 0 { rng.usize(10..=40) } else { rng.usize(1..=8) };
        let total = 10_f64.powf(rng.f64() * 2.5 - 0.5);
        let weights: Vec<f64> = (0..count).map(|_| rng.f64().powi(4) + 1e-3).collect();
        let sum: f64 = weights.iter().sum();
        let mut gateways = Vec::new();
        for weight in weights {
            gateways.push(Gateway::new(rng.u64(..), total * weight / sum));
        }
        Self {
            rng,
            trouble,
            start: Instant::now(),
            now: 0,
            length_ms: LENGTH_MS,
            endpoint: ENDPOINT.into(),
            gateways,
            outcome: Outcome::default(),
        }
    }

    /// From 0.05 to 20 a second, sometimes 0.
    fn random_rate(&mut self) -> f64 {
        match self.rng.u32(..20) {
            0 => 0.0,
            _ => 10_f64.powf(self.rng.f64() * 2.6 - 1.3),
        }
    }

    pub fn play(mut self) -> Outcome {
        while self.now < self.length_ms {
            self.now += STEP_MS;
            self.disturb();
            for index in 0..self.gateways.len() {
                self.arrive_at_endpoint(index);
                if self.gateways[index].runs(self.now) {
                    self.step(index);
                }
            }
        }
        self.outcome.arrivals.sort_by_key(|a| a.at);
        self.outcome
    }

    fn instant(&self, at: u64) -> Instant {
        self.start + Duration::from_millis(at)
    }

    fn happens(&mut self, per_s: f64) -> bool {
        self.rng.f64() < per_s * STEP_MS as f64 / 1e3
    }

    fn disturb(&mut self) {
        let (now, count) = (self.now, self.gateways.len());
        let until = now + self.rng.u64(500..4_000);
        let index = self.rng.usize(..count);
        if self.trouble.stops && self.happens(TROUBLES_PER_S) {
            let old = &self.gateways[index];
            let mut new = Gateway::new(old.id, old.demand_per_s);
            new.stopped_until = until;
            new.disturbed_until = until + STABLE_WINDOW_MS;
            self.gateways[index] = new;
        }
        if self.trouble.freezes && self.happens(TROUBLES_PER_S) {
            let gateway = &mut self.gateways[index];
            gateway.frozen_until = until;
            gateway.disturbed_until = gateway.disturbed_until.max(until + STABLE_WINDOW_MS);
        }
        if self.trouble.cuts && self.happens(TROUBLES_PER_S) {
            let gateway = &mut self.gateways[index];
            gateway.cut_until = until;
            gateway.disturbed_until = gateway.disturbed_until.max(until + STABLE_WINDOW_MS);
        }
    }

    fn named(&self) -> NamedLimit {
        let rates = self.outcome.rates.iter().rev();
        let rate = rates.clone().find(|(at, _)| *at <= self.now).and_then(|(_, rate)| *rate);
        rate.map_or(NamedLimit::None, NamedLimit::Rate)
    }

    fn arrive_at_endpoint(&mut self, index: usize) {
        let (now, named) = (self.now, self.named());
        let due: Vec<_> = self.gateways[index].sent.extract_if(.., |s| s.0 <= now).collect();
        for (at, sent_at) in due {
            let gateway = &self.gateways[index];
            let told = gateway.told_at.is_some_and(|told| told + TOLD_FOR_MS <= at);
            // Not counted while the gateway is disturbed.
            let counts = told && gateway.disturbed_until <= at;
            self.outcome.arrivals.push(Arrival { at, counts });
            let response = (now + self.rng.u64(5..80), sent_at, named);
            self.gateways[index].responses.push(response);
        }
    }

    fn step(&mut self, index: usize) {
        let (now, at) = (self.now, self.instant(self.now));
        let mut news = self.receive(index);
        let demand = self.gateways[index].demand_per_s;
        let burst = if self.happens(0.05) { self.rng.usize(..10) } else { 0 };
        let arrivals = burst + usize::from(self.happens(demand));
        let gateway = &mut self.gateways[index];
        gateway.limits.refill(at);
        gateway.queue.extend(vec![now; arrivals]);
        let queue = std::mem::take(&mut gateway.queue);
        let mut ahead = 0;
        for arrived in queue {
            let gateway = &mut self.gateways[index];
            match gateway.limits.wait(at, ENDPOINT, ahead) {
                Duration::ZERO => {
                    news |= gateway.limits.take(ENDPOINT);
                    gateway.sent.push((now + self.rng.u64(5..40), now));
                }
                wait => {
                    news |= gateway.limits.want(at, ENDPOINT);
                    let until = self.start + Duration::from_millis(arrived + MAX_WAIT_MS);
                    ahead += 1;
                    if at + wait < until {
                        gateway.queue.push(arrived);
                    }
                }
            }
        }
        if news || self.gateways[index].next_broadcast <= now {
            self.broadcast(index);
        }
    }

    /// Takes in messages and responses. Returns whether there is news for other gateways.
    fn receive(&mut self, index: usize) -> bool {
        let (now, at) = (self.now, self.instant(self.now));
        let start = self.start;
        let gateway = &mut self.gateways[index];
        for (_, from, report) in gateway.inbox.extract_if(.., |m| m.0 <= now) {
            gateway.limits.merge(at, from, &report);
        }
        let mut news = false;
        for (_, sent_at, named) in gateway.responses.extract_if(.., |r| r.0 <= now) {
            let sent_at = start + Duration::from_millis(sent_at);
            let change = gateway.limits.record_response(at, &self.endpoint, 1, sent_at, named);
            news |= change.is_some();
            if matches!(named, NamedLimit::Rate(_)) {
                gateway.told_at.get_or_insert(now);
            }
        }
        news
    }

    fn broadcast(&mut self, index: usize) {
        let (now, at) = (self.now, self.instant(self.now));
        let gateway = &mut self.gateways[index];
        gateway.next_broadcast = now + BROADCAST_MS;
        if !gateway.is_connected(now) {
            return;
        }
        let (from, reports) = (gateway.id, gateway.limits.reports(at));
        for other in (0..self.gateways.len()).filter(|o| *o != index) {
            if !self.gateways[other].is_connected(now) {
                continue;
            }
            for report in &reports {
                if self.trouble.loss <= self.rng.f64() {
                    let due = now + self.rng.u64(5..50);
                    self.gateways[other].inbox.push((due, from, report.clone()));
                }
            }
        }
    }
}

impl Gateway {
    fn new(id: u64, demand_per_s: f64) -> Self {
        let limits = EndpointLimits::new(id);
        Self {
            id,
            limits,
            queue: Vec::new(),
            sent: Vec::new(),
            responses: Vec::new(),
            inbox: Vec::new(),
            demand_per_s,
            next_broadcast: 0,
            stopped_until: 0,
            frozen_until: 0,
            cut_until: 0,
            disturbed_until: 0,
            told_at: None,
        }
    }

    fn runs(&self, now: u64) -> bool {
        self.stopped_until <= now && self.frozen_until <= now
    }

    fn is_connected(&self, now: u64) -> bool {
        self.stopped_until <= now && self.cut_until <= now
    }
}

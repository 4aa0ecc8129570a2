//! Gateways, each with a [`Dispatcher`], in front of the model engines, for one way of selecting
//! engines and one pattern of requests.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use goldcrestpitch::core::{
    forwarding::{
        Decision, Dispatcher, EndpointRegistry, EndpointSubset, LoadReport, ReportedSegment,
        Requirements, RouteTable, Ticket, chain,
    },
    hash,
};

use crate::{
    engine::{Engine, Event, Job},
    setup::{TARGET, engine_id, locality, registered, registry, route, table},
};

const REPORT_MS: usize = 200;
const GOSSIP_MS: usize = 800;
const POLL_MS: usize = 10;
/// Time to the first event beside the prefill, of each request: steps, the network and the engine's
/// own handling. It is the one that the operators' data sheet states.
const FIXED_MS: usize = 90;
/// Requests before this time fill the engines' memory and are not measured.
const WARM_UP_MS: f64 = 8_000.0;
const LAST_ARRIVAL_MS: usize = 28_000;
const END_MS: usize = 32_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Selection {
    /// The dispatcher's decision.
    Product,
    /// The engine with the fewest pending prompt tokens.
    LoadAlone,
    /// The engine with the highest hash for the prompt's shared segments.
    AffinityAlone,
}

/// The segments of a request's prompt, as ids and tokens.
pub type Prompt = Vec<(u64, u32)>;

#[derive(Clone, Copy)]
pub struct Pattern {
    pub engines: usize,
    pub gateways: usize,
    pub per_s: f64,
    pub prompt: fn(&mut fastrand::Rng, usize) -> Prompt,
    pub decode_ms: f64,
    /// Share of the status messages that are lost.
    pub loss: f64,
    /// Interval at which an engine restarts, each in turn.
    pub restart_ms: Option<usize>,
}

#[derive(Debug)]
pub struct Outcome {
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub late: f64,
    pub kept: u64,
    pub shared: u64,
    pub busiest: f64,
}

struct Gateway {
    dispatcher: Dispatcher,
    waiting: HashMap<Ticket, Job>,
    // For load alone: pending tokens by the last report and own sends since.
    pending: Vec<u64>,
}

struct Fleet {
    start: Instant,
    pattern: Pattern,
    selection: Selection,
    rng: fastrand::Rng,
    table: RouteTable,
    registry: EndpointRegistry,
    gateways: Vec<Gateway>,
    engines: Vec<Engine>,
    last_reports: Vec<LoadReport>,
    first_event_ms: Vec<f64>,
    // First events on their way to the gateways, by the time of arrival.
    on_the_way: std::collections::VecDeque<(usize, usize, Ticket)>,
    refused: usize,
    kept: u64,
    shared: u64,
    sends: Vec<u64>,
}

pub fn play(pattern: Pattern, selection: Selection, seed: u64) -> Outcome {
    let start = Instant::now();
    let gateway = |index| {
        let mut dispatcher = Dispatcher::new(locality(), seed + index as u64);
        dispatcher.set_processes(pattern.gateways);
        dispatcher.set_subset(EndpointSubset::new(index, pattern.gateways));
        Gateway { dispatcher, waiting: HashMap::new(), pending: vec![0; pattern.engines] }
    };
    let mut fleet = Fleet {
        start,
        pattern,
        selection,
        rng: fastrand::Rng::with_seed(seed),
        table: table(),
        registry: registry(start, pattern.engines),
        gateways: (0..pattern.gateways).map(gateway).collect(),
        engines: (0..pattern.engines).map(|_| Engine::default()).collect(),
        last_reports: vec![LoadReport::default(); pattern.engines],
        first_event_ms: Vec::new(),
        on_the_way: std::collections::VecDeque::new(),
        refused: 0,
        kept: 0,
        shared: 0,
        sends: vec![0; pattern.engines],
    };
    let mut next_arrival = 0.0;
    for ms in 0..END_MS {
        while ms < LAST_ARRIVAL_MS && next_arrival <= ms as f64 {
            fleet.arrive(ms as f64);
            next_arrival -= fleet.rng.f64().max(1e-9).ln() * 1e3 / pattern.per_s;
        }
        fleet.step(ms);
    }
    fleet.outcome()
}

impl Fleet {
    fn at(&self, ms: f64) -> Instant {
        self.start + Duration::from_secs_f64(ms / 1e3)
    }

    fn arrive(&mut self, ms: f64) {
        let prompt = (self.pattern.prompt)(&mut self.rng, ms as usize);
        let requirements = crate::setup::requirements(&prompt);
        let gateway = self.rng.usize(..self.pattern.gateways);
        let mut job = Job {
            gateway,
            ticket: None,
            arrived_ms: ms,
            prompt_tokens: requirements.prompt_tokens,
            output_tokens: requirements.output_tokens,
            decode_ms: self.pattern.decode_ms,
            segments: chain(&requirements),
        };
        match self.selection {
            Selection::Product => self.enqueue(ms, job, requirements),
            Selection::LoadAlone => {
                let pending = &mut self.gateways[gateway].pending;
                let least = pending.iter().min().copied().unwrap_or(0);
                let best: Vec<usize> =
                    (0..pending.len()).filter(|e| pending[*e] == least).collect();
                let engine = best[self.rng.usize(..best.len())];
                pending[engine] += u64::from(job.prompt_tokens);
                self.send(ms, engine, job);
            }
            Selection::AffinityAlone => {
                let position = job.segments.len().saturating_sub(2);
                let key = job.segments[position].key.to_le_bytes();
                let best = (0..self.engines.len())
                    .max_by_key(|e| hash::stable(&[&key, engine_id(*e).as_bytes()]));
                job.ticket = None;
                self.send(ms, best.unwrap(), job);
            }
        }
    }

    fn enqueue(&mut self, ms: f64, job: Job, requirements: Requirements) {
        let now = self.at(ms);
        let Gateway { dispatcher, waiting, .. } = &mut self.gateways[job.gateway];
        let deadline = now + Duration::from_secs(15);
        let service = "llm".into();
        let ticket =
            dispatcher.enqueue(now, &route(), service, requirements, deadline, vec![], None);
        let gateway = job.gateway;
        waiting.insert(ticket, Job { ticket: Some(ticket), ..job });
        let decision = dispatcher.poll_new(now, ticket, &self.table, &self.registry);
        if let Some(decision) = decision {
            self.deliver(ms, gateway, ticket, &decision);
        }
    }

    fn deliver(&mut self, ms: f64, gateway: usize, ticket: Ticket, decision: &Decision) {
        let Some(job) = self.gateways[gateway].waiting.remove(&ticket) else { return };
        match decision {
            Decision::Send(endpoint) => {
                let index = endpoint.trim_start_matches("i-").parse().unwrap();
                self.send(ms, index, job);
            }
            Decision::Refuse(..) => self.refused += usize::from(WARM_UP_MS <= job.arrived_ms),
        }
    }

    fn send(&mut self, ms: f64, engine: usize, job: Job) {
        if WARM_UP_MS <= job.arrived_ms {
            self.sends[engine] += 1;
        }
        self.engines[engine].add(ms, job);
    }

    fn step(&mut self, ms: usize) {
        let now = self.at(ms as f64);
        for index in 0..self.engines.len() {
            for event in self.engines[index].step(ms as f64) {
                self.handle(ms, event);
            }
            if ms % REPORT_MS == index * 13 % REPORT_MS {
                self.report(now, ms, index);
            }
        }
        if let Some(interval) = self.pattern.restart_ms.filter(|i| ms % i == i / 2) {
            self.engines[ms / interval % self.pattern.engines].restart();
        }
        // The registration of the new start is seen a second later.
        if let Some(interval) = self.pattern.restart_ms.filter(|i| (ms + i / 2) % i == 1_000 % i) {
            let index = ms.saturating_sub(1_000) / interval % self.pattern.engines;
            let change = registered(index, ms as u64 + 2, &["m"]);
            self.registry.apply(now, change, false);
            for gateway in &mut self.gateways {
                gateway.dispatcher.retain_registered(&self.registry);
            }
        }
        while let Some((_, gateway, ticket)) =
            self.on_the_way.front().copied().filter(|(at, ..)| *at <= ms)
        {
            self.on_the_way.pop_front();
            self.gateways[gateway].dispatcher.record_first_response(now, ticket);
        }
        if self.selection == Selection::Product {
            for index in 0..self.gateways.len() {
                if ms % GOSSIP_MS == index * 97 % GOSSIP_MS {
                    self.gossip(now, index);
                }
                if ms % POLL_MS == index % POLL_MS {
                    self.poll(ms, index);
                }
            }
        }
    }

    fn poll(&mut self, ms: usize, index: usize) {
        let now = self.at(ms as f64);
        let dispatcher = &mut self.gateways[index].dispatcher;
        for (ticket, decision) in dispatcher.poll(now, &self.table, &self.registry) {
            self.deliver(ms as f64, index, ticket, &decision);
        }
    }

    fn handle(&mut self, ms: usize, event: Event) {
        match event {
            Event::First(job, at_ms, found) => {
                if let Some(ticket) = job.ticket {
                    self.on_the_way.push_back((ms + FIXED_MS, job.gateway, ticket));
                }
                if WARM_UP_MS <= job.arrived_ms {
                    self.first_event_ms.push(at_ms - job.arrived_ms + FIXED_MS as f64);
                    let shared = job.segments.split_last().map_or(&[][..], |(_, shared)| shared);
                    self.shared += shared.iter().map(|s| u64::from(s.tokens)).sum::<u64>();
                    self.kept += found;
                }
            }
            Event::Ended(job) => {
                if let Some(ticket) = job.ticket {
                    self.gateways[job.gateway].dispatcher.finish(ticket);
                }
            }
        }
    }

    /// Delivers the report before the last one, which is [`REPORT_MS`] old.
    fn report(&mut self, now: Instant, ms: usize, index: usize) {
        let latest = self.engines[index].report(ms as f64);
        let report = std::mem::replace(&mut self.last_reports[index], latest);
        let pending = self.engines[index].pending_tokens();
        let endpoint = self.registry.get(&engine_id(index)).unwrap();
        for gateway in &mut self.gateways {
            gateway.pending[index] = pending;
            gateway.dispatcher.record_report(now, endpoint, report);
        }
    }

    fn gossip(&mut self, now: Instant, index: usize) {
        let kept = self.gateways[index].dispatcher.kept_prompts_mut();
        let report: Vec<ReportedSegment> = kept.take_report(now, 24);
        for other in 0..self.gateways.len() {
            if other != index && self.pattern.loss <= self.rng.f64() {
                let kept = self.gateways[other].dispatcher.kept_prompts_mut();
                kept.merge(now, report.iter().copied());
            }
        }
    }

    fn outcome(mut self) -> Outcome {
        let unsent: usize = self.gateways.iter().map(|g| g.waiting.len()).sum();
        self.first_event_ms.sort_by(f64::total_cmp);
        let times = &self.first_event_ms;
        let all = times.len() + self.refused + unsent;
        let target_ms = TARGET.as_secs_f64() * 1e3;
        let late = times.iter().filter(|ms| target_ms < **ms).count() + self.refused + unsent;
        let quantile = |q: f64| times[(times.len() as f64 * q) as usize];
        let sends: u64 = self.sends.iter().sum();
        Outcome {
            p50_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            late: late as f64 / all as f64,
            kept: self.kept,
            shared: self.shared,
            busiest: self.sends.iter().copied().max().unwrap_or(0) as f64 / sends as f64,
        }
    }
}

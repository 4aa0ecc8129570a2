//! Reports and registrations of the engines, and the disturbances of a pattern.

use std::time::Duration;

use goldcrestpitch::core::forwarding::{
    Change, EndpointState, LoadedModel, Registration, Residency,
};

use crate::{
    engine::{Engine, SLOTS},
    fleet::{Event, Fleet, GATEWAYS, LATENCY, engine_id},
    gateway::{Gateway, Policy},
    patterns::Disturbance,
    workload::{model, models_of},
};

const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Time from reading the values of a report to sending it.
const REPORT_AGE: Duration = Duration::from_millis(200);
/// An engine reports to the gateways that used it within this time.
const REPORTED_FOR: Duration = Duration::from_secs(2);
/// Time until the registration of an engine that is gone is removed.
const REMOVED_AFTER: Duration = Duration::from_millis(1_000);

impl Fleet<'_> {
    pub fn report(&mut self, engine: usize) {
        self.schedule(REPORT_INTERVAL, Event::Report(engine));
        if !self.alive[engine] {
            return;
        }
        let mut report = self.engines[engine].report(self.now);
        if self.policy == Policy::Product {
            report.recent_tokens = self.agents[engine].backlog(self.now);
        }
        let id = engine_id(engine);
        for gateway in 0..GATEWAYS {
            let used = self.gateways[gateway].last_used.get(&id);
            if used.is_some_and(|at| self.now < *at + REPORTED_FOR) {
                let delay = REPORT_AGE + Duration::from_millis(self.noise.u64(1..=20));
                self.schedule(delay, Event::Deliver(gateway, engine, report));
            }
        }
    }

    pub fn register(&mut self, index: usize) {
        let models = models_of(index).into_iter().chain(self.extra_models[index]);
        let loaded = models.map(|m| LoadedModel { name: model(m), adapters: Vec::new() });
        let residency =
            Residency { loaded: loaded.collect(), cached: Vec::new(), order_in_progress: false };
        let registration = Registration {
            id: engine_id(index),
            service: "llm".into(),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: "east".into(),
            version: None,
            state: EndpointState::Ready,
            slots: SLOTS as u32,
            started_ms: u64::from(self.starts[index]),
            order_seq: u64::from(self.extra_models[index].is_some()),
            residency,
        };
        self.registry.apply(self.now, Change::Registered(registration), false);
    }

    pub fn disturb(&mut self, disturbance: Disturbance) {
        match disturbance {
            Disturbance::Demand(demand) => self.demand = demand,
            Disturbance::Slow(engine, factor) => self.engines[engine].slowdown = factor,
            Disturbance::Failing(engine, share) => self.failing[engine] = share,
            Disturbance::Load(engine, model) => {
                self.extra_models[engine] = Some(model);
                self.register(engine);
            }
            Disturbance::Lose(engine) => {
                self.alive[engine] = false;
                self.schedule(REMOVED_AFTER, Event::Remove(engine, self.starts[engine]));
                let id = engine_id(engine);
                for index in 0..self.streams.len() {
                    let stream = &self.streams[index];
                    if stream.end.is_none() && stream.endpoint.as_ref() == Some(&id) {
                        self.schedule(LATENCY, Event::Broken(index, stream.attempt));
                    }
                }
            }
            Disturbance::Return(engine) => {
                self.outcome.preemptions += self.engines[engine].preemptions;
                self.engines[engine] = Engine::new(engine, self.seed);
                self.agents[engine].restart();
                self.alive[engine] = true;
                self.starts[engine] += 1;
                self.register(engine);
            }
            Disturbance::NewGateways => {
                let new = |i| Gateway::new(i, self.seed + 100, self.policy);
                self.gateways = (0..GATEWAYS).map(new).collect();
                self.set_admitting();
                for index in 0..self.streams.len() {
                    if self.streams[index].end.is_none() && self.streams[index].ticket != 0 {
                        self.streams[index].restart();
                        let delay = Duration::from_millis(self.noise.u64(200..1_000));
                        self.schedule(delay, Event::Ask(index));
                    }
                }
            }
        }
    }
}

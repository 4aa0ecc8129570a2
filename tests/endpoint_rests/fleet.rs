//! One gateway before endpoints that ask it for rest, in virtual time. A rest binds each gateway
//! alone, so one is enough.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use goldcrestpitch::core::{
    forwarding::{
        Change, Decision, Dispatcher, EndpointRegistry, EndpointState, Locality, Registration,
        Requirements, Residency, Route, RouteKind, RouteTable, Service, Ticket, WeightedService,
    },
    ids::EndpointId,
};

const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 20_000;
/// From this time after an answer on, the rest has to be kept.
const GRACE_MS: u64 = 500;
/// Time after a rest in which an endpoint has to serve again, if requests come.
const SERVE_AGAIN_MS: u64 = 1_000;
const SLOTS: u32 = 6;
const TARGET: Duration = Duration::from_millis(400);

/// A rest that an endpoint has asked for: when its answer was sent, and how long.
#[derive(Clone, Copy, Debug)]
struct Rest {
    endpoint: usize,
    from: u64,
    until: u64,
    arrivals: usize,
}

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    rests: Vec<Rest>,
    /// Requests refused although an endpoint neither rested nor was full.
    pub refused_beside_room: usize,
    /// Rests after which requests waited a second and none was sent.
    pub not_served_after_rest: usize,
}

impl Outcome {
    pub fn most_in_rest(&self) -> Option<usize> {
        self.rests.iter().map(|r| r.arrivals).max()
    }
}

/// What is on the way: when, to or from which endpoint, and the rest that a refusal asks for.
#[derive(Clone, Copy, Debug)]
enum Event {
    Arrival { at: u64, endpoint: usize, ticket: Ticket },
    Answer { at: u64, endpoint: usize, ticket: Ticket, rest_ms: Option<u64> },
}

pub struct Fleet {
    rng: fastrand::Rng,
    start: Instant,
    now: u64,
    dispatcher: Dispatcher,
    table: RouteTable,
    registry: EndpointRegistry,
    // Until when each endpoint turns requests away.
    busy_until: Vec<u64>,
    endpoints: usize,
    rate_per_s: f64,
    burst_until: u64,
    is_deaf: bool,
    events: Vec<Event>,
    running: HashMap<Ticket, usize>,
    last_sent: Vec<u64>,
    outcome: Outcome,
}

fn id(endpoint: usize) -> EndpointId {
    format!("i-{endpoint}").as_str().into()
}

fn route() -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(3),
        target: TARGET,
        pause_target: Duration::from_millis(300),
        patience: None,
        priority: 1,
        services: vec![WeightedService { service: "desk".into(), weight: 1 }],
        max_attempts: 2,
        needs_key: true,
    }
}

impl Fleet {
    pub fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let start = Instant::now();
        let endpoints = rng.usize(1..=6);
        let mut registry = EndpointRegistry::default();
        for endpoint in 0..endpoints {
            let registration = Registration {
                id: id(endpoint),
                service: "desk".into(),
                address: "127.0.0.1:1".parse().unwrap(),
                zone: "a".into(),
                version: None,
                state: EndpointState::Ready,
                slots: SLOTS,
                started_ms: 1,
                order_seq: 0,
                residency: Residency::default(),
            };
            registry.apply(start, Change::Registered(registration), false);
        }
        let desk = Service {
            name: "desk".into(),
            max_connections: 100,
            engine: None,
            pause_target: TARGET,
        };
        Self {
            dispatcher: Dispatcher::new(
                Locality { zone: "a".into(), regions: HashMap::new() },
                seed,
            ),
            table: RouteTable::new(1, vec![route()], vec![desk], None),
            registry,
            start,
            now: 0,
            busy_until: vec![0; endpoints],
            endpoints,
            rate_per_s: 10_f64.powf(rng.f64() * 2.0),
            burst_until: 0,
            is_deaf: false,
            events: Vec::new(),
            running: HashMap::new(),
            last_sent: vec![0; endpoints],
            outcome: Outcome::default(),
            rng,
        }
    }

    /// The gateway does not hear that endpoints ask for rest.
    pub fn deaf(mut self) -> Self {
        self.is_deaf = true;
        self
    }

    pub fn play(mut self) -> Outcome {
        while self.now < LENGTH_MS {
            self.now += STEP_MS;
            self.load();
            self.deliver();
            self.dispatch();
            self.check_service();
        }
        self.outcome
    }

    fn at(&self) -> Instant {
        self.start + Duration::from_millis(self.now)
    }

    fn happens(&mut self, per_s: f64) -> bool {
        self.rng.f64() < per_s * STEP_MS as f64 / 1e3
    }

    /// Endpoints turn busy, and requests come, at times in bursts.
    fn load(&mut self) {
        for endpoint in 0..self.endpoints {
            if self.happens(0.15) {
                self.busy_until[endpoint] = self.now + self.rng.u64(100..8_000);
            }
        }
        if self.happens(0.1) {
            self.burst_until = self.now + 1_000;
        }
        let rate =
            if self.now < self.burst_until { self.rate_per_s * 4.0 } else { self.rate_per_s };
        let expected = rate * STEP_MS as f64 / 1e3;
        let count = expected as u64 + u64::from(self.rng.f64() < expected.fract());
        for _ in 0..count {
            let deadline = self.at() + Duration::from_secs(3);
            let requirements = Requirements::default();
            let (now, desk) = (self.at(), "desk".into());
            self.dispatcher.enqueue(now, &route(), desk, requirements, deadline, Vec::new(), None);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let is_due = |event: &Event| match event {
            Event::Arrival { at, .. } | Event::Answer { at, .. } => *at <= now,
        };
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.events).into_iter().partition(is_due);
        self.events = later;
        for event in due {
            match event {
                Event::Arrival { endpoint, ticket, .. } => self.arrive(endpoint, ticket),
                Event::Answer { endpoint, ticket, rest_ms, .. } => {
                    self.dispatcher.finish(ticket);
                    self.running.remove(&ticket);
                    if let Some(rest) = rest_ms.filter(|_| !self.is_deaf) {
                        let (now, rest) = (self.at(), Duration::from_millis(rest));
                        self.dispatcher.rests_mut().ask(now, &id(endpoint), 1, rest);
                    }
                }
            }
        }
    }

    fn arrive(&mut self, endpoint: usize, ticket: Ticket) {
        let now = self.now;
        for rest in self.outcome.rests.iter_mut().filter(|r| r.endpoint == endpoint) {
            rest.arrivals += usize::from(rest.from + GRACE_MS <= now && now < rest.until);
        }
        let way = self.rng.u64(1..40);
        if now < self.busy_until[endpoint] {
            let rest_ms = self.rng.u64(200..10_000);
            let until = now + rest_ms;
            self.outcome.rests.push(Rest { endpoint, from: now, until, arrivals: 0 });
            let at = now + way;
            self.events.push(Event::Answer { at, endpoint, ticket, rest_ms: Some(rest_ms) });
            return;
        }
        let at = now + way + self.rng.u64(10..100);
        self.events.push(Event::Answer { at, endpoint, ticket, rest_ms: None });
    }

    fn dispatch(&mut self) {
        let now = self.at();
        for (ticket, decision) in self.dispatcher.poll(now, &self.table, &self.registry) {
            match decision {
                Decision::Send(found) => {
                    let endpoint: usize = found[2..].parse().unwrap();
                    self.last_sent[endpoint] = self.now;
                    self.running.insert(ticket, endpoint);
                    let at = self.now + self.rng.u64(1..40);
                    self.events.push(Event::Arrival { at, endpoint, ticket });
                }
                Decision::Refuse(..) => {
                    let has_room = (0..self.endpoints).any(|e| self.has_room(e));
                    self.outcome.refused_beside_room += usize::from(has_room);
                }
            }
        }
        self.dispatcher.rests_mut().take_ended(now);
    }

    /// Whether the endpoint takes a request, as far as the gateway can know.
    fn has_room(&self, endpoint: usize) -> bool {
        let running = self.running.values().filter(|e| **e == endpoint).count();
        !self.dispatcher.rests().is_resting(self.at(), &id(endpoint)) && running < SLOTS as usize
    }

    /// Requests wait although an endpoint has rested for a second.
    fn check_service(&mut self) {
        let has_rested = |r: &Rest| {
            let due = r.until + SERVE_AGAIN_MS;
            self.now < due + STEP_MS && due <= self.now
        };
        let waits = 0 < self.dispatcher.waiting();
        let rested: Vec<usize> =
            self.outcome.rests.iter().filter(|r| has_rested(r)).map(|r| r.endpoint).collect();
        for endpoint in rested {
            let unsent = self.last_sent[endpoint] + SERVE_AGAIN_MS < self.now;
            let is_missed = waits && unsent && self.has_room(endpoint);
            self.outcome.not_served_after_rest += usize::from(is_missed);
        }
    }
}

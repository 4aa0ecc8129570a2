//! Seeded random order schedules against a simulated engine that accounts for its
//! own memory, independently of the ledger under test.

use std::{
    collections::{BTreeMap, BinaryHeap},
    time::{Duration, Instant},
};

use goldcrestpitch::core::{
    ids::Mib,
    memory::{ReservationState, Resource},
    orders::{
        Action, Controller, ControllerSettings, EngineState, Event, FencingToken, Order,
        OrderResult, Role,
    },
};

const CAPACITY: Mib = 100;
const DELAY_MAX_MS: u64 = 2000;
const SCHEDULES: u64 = 10_000;

#[derive(Clone, Debug, PartialEq, Eq)]
enum Delivery {
    Order(FencingToken, Order),
    LoadEnds(Resource, FencingToken),
    Answer(u64, FencingToken, OrderResult),
    NoAnswer(u64, FencingToken),
    State(u64, EngineState),
    StateUnavailable(u64),
}

/// Delivery time in milliseconds, sequence number to break ties, and the delivery.
#[derive(Debug, PartialEq, Eq)]
struct Timed(u64, u64, Delivery);

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

struct Engine {
    checks: bool,
    seen: FencingToken,
    allocated: BTreeMap<Resource, Mib>,
    loading: BTreeMap<Resource, Vec<FencingToken>>,
    role: Role,
    peak: Mib,
}

impl Engine {
    fn add(&mut self, resource: Resource, size: Mib) {
        self.allocated.insert(resource, size);
        self.peak = self.peak.max(self.allocated.values().sum());
    }
}

struct Schedule {
    rng: fastrand::Rng,
    origin: Instant,
    now_ms: u64,
    events: BinaryHeap<Timed>,
    sequence: u64,
    engine: Engine,
    controller: Controller,
    incarnation: u64,
    faulty: bool,
}

impl Schedule {
    fn new(seed: u64, faulty: bool) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let origin = Instant::now();
        let checks = rng.bool();
        let engine = Engine {
            checks,
            seen: FencingToken::default(),
            allocated: BTreeMap::new(),
            loading: BTreeMap::new(),
            role: Role::Mixed,
            peak: 0,
        };
        let controller = Controller::new(settings(checks, 1, faulty), origin);
        Self {
            rng,
            origin,
            now_ms: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            engine,
            controller,
            incarnation: 1,
            faulty,
        }
    }

    fn now(&self) -> Instant {
        self.origin + Duration::from_millis(self.now_ms)
    }

    fn schedule_at(&mut self, delay: u64, delivery: Delivery) {
        self.sequence += 1;
        self.events.push(Timed(self.now_ms + delay, self.sequence, delivery));
    }

    fn run_actions(&mut self) {
        while let Some(action) = self.controller.poll(self.now()) {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        let incarnation = self.incarnation;
        match action {
            Action::Send { token, order } => {
                let copies = [0, 1, 1, 1, 2][self.rng.usize(..5)];
                for _ in 0..copies {
                    let slow = self.rng.u8(..4) == 0;
                    let delay = self.rng.u64(1..if slow { DELAY_MAX_MS } else { 30 });
                    self.schedule_at(delay, Delivery::Order(token, order.clone()));
                }
                self.schedule_at(900, Delivery::NoAnswer(incarnation, token));
            }
            Action::ReadState => {
                let allocated = &self.engine.allocated;
                let state = EngineState {
                    allocated: allocated.iter().map(|(r, s)| (r.clone(), *s)).collect(),
                    loading: self.engine.loading.keys().cloned().collect(),
                    role: self.engine.role,
                };
                let lost = self.rng.u8(..8) == 0;
                let reply = if lost {
                    Delivery::StateUnavailable(incarnation)
                } else {
                    Delivery::State(incarnation, state)
                };
                let delay = self.rng.u64(1..50);
                self.schedule_at(delay, reply);
            }
        }
    }

    fn answer(&mut self, token: FencingToken, result: OrderResult) {
        if self.rng.u8(..5) == 0 {
            return;
        }
        let delay = self.rng.u64(1..1500);
        self.schedule_at(delay, Delivery::Answer(token.incarnation, token, result));
    }

    fn order_arrives(&mut self, token: FencingToken, order: Order) {
        if self.engine.checks && token < self.engine.seen {
            let seen = self.engine.seen;
            return self.answer(token, OrderResult::StaleToken { seen });
        }
        self.engine.seen = self.engine.seen.max(token);
        if self.rng.u8(..20) == 0 {
            return self.answer(token, OrderResult::Failed { message: "injected".into() });
        }
        match order {
            Order::Barrier => {}
            Order::Load { resource, size } => return self.load(token, resource, size),
            Order::Unload { resource } => {
                self.engine.allocated.remove(&resource);
                self.engine.loading.remove(&resource);
            }
            Order::SetRole { role, kv_cache } => {
                self.engine.role = role;
                self.engine.add(Resource::KvCache, kv_cache);
            }
        }
        self.answer(token, OrderResult::Done);
    }

    fn load(&mut self, token: FencingToken, resource: Resource, size: Mib) {
        if let Some(waiting) = self.engine.loading.get_mut(&resource) {
            return waiting.push(token);
        }
        if self.engine.allocated.contains_key(&resource) {
            return self.answer(token, OrderResult::Done);
        }
        self.engine.add(resource.clone(), size);
        self.engine.loading.insert(resource.clone(), vec![token]);
        let delay = self.rng.u64(1..800);
        self.schedule_at(delay, Delivery::LoadEnds(resource, token));
    }

    fn load_ends(&mut self, resource: &Resource, first: FencingToken) {
        let is_current = self.engine.loading.get(resource).is_some_and(|w| w[0] == first);
        if !is_current {
            return;
        }
        for token in self.engine.loading.remove(resource).unwrap_or_default() {
            self.answer(token, OrderResult::Done);
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        let now = self.now();
        let current = self.incarnation;
        match delivery {
            Delivery::Order(token, order) => self.order_arrives(token, order),
            Delivery::LoadEnds(resource, first) => self.load_ends(&resource, first),
            Delivery::Answer(of, token, result) if of == current => {
                self.controller.handle_event(now, Event::Answered { token, result });
            }
            Delivery::NoAnswer(of, token) if of == current => {
                self.controller.handle_event(now, Event::NoAnswer { token });
            }
            Delivery::State(of, state) if of == current => {
                self.controller.handle_event(now, Event::StateRead(state));
            }
            Delivery::StateUnavailable(of) if of == current => {
                self.controller.handle_event(now, Event::StateUnavailable)
            }
            // Answers to an earlier agent are dropped.
            _ => {}
        }
    }

    fn random_operation(&mut self) {
        let name = ["a", "b", "c", "d"][self.rng.usize(..4)];
        let resource = Resource::model(name, self.rng.u32(..2));
        match self.rng.u8(..20) {
            0..8 => {
                let _ = self.controller.load(resource, self.rng.u64(20..60));
            }
            8..15 => self.controller.unload(&resource),
            15..17 => {
                let kv = [10, 25, 40][self.rng.usize(..3)];
                let role = [Role::Mixed, Role::Prefill, Role::Decode][self.rng.usize(..3)];
                let _ = self.controller.set_role(role, kv);
            }
            17 => {
                if let Some(action) = self.controller.refresh() {
                    self.execute(action);
                }
            }
            18 => self.restart_agent(),
            _ => self.crash_engine(),
        }
    }

    fn restart_agent(&mut self) {
        self.incarnation += 1;
        let settings = settings(self.engine.checks, self.incarnation, self.faulty);
        self.controller = Controller::new(settings, self.now());
    }

    fn crash_engine(&mut self) {
        self.engine.allocated.clear();
        self.engine.loading.clear();
        self.engine.role = Role::Mixed;
    }

    /// Runs the schedule. Returns the peak memory of the engine and the sum of resident
    /// reservations over all steps.
    fn run(mut self) -> Outcome {
        let mut loads = 0;
        for _ in 0..60 {
            let until = self.now_ms + self.rng.u64(1..700);
            self.random_operation();
            self.run_actions();
            while let Some(next) = self.events.peek().map(|t| t.0).filter(|t| *t <= until) {
                self.now_ms = next;
                let Some(Timed(_, _, delivery)) = self.events.pop() else {
                    break;
                };
                self.deliver(delivery);
                self.run_actions();
            }
            self.now_ms = until;
            let resident = |s: &goldcrestpitch::core::memory::Reservation| {
                s.state == ReservationState::Resident
            };
            loads += self.controller.ledger().reservations().filter(|(_, s)| resident(s)).count();
        }
        Outcome { peak: self.engine.peak, loads }
    }
}

struct Outcome {
    peak: Mib,
    loads: usize,
}

fn settings(checks_fencing: bool, incarnation: u64, faulty: bool) -> ControllerSettings {
    let delay = if faulty { 1 } else { DELAY_MAX_MS };
    ControllerSettings {
        capacity: CAPACITY,
        checks_fencing,
        order_delay_max: Duration::from_millis(delay),
        incarnation,
    }
}

#[test]
fn engine_memory_is_never_overcommitted() {
    let mut loads = 0;
    for seed in 0..SCHEDULES {
        let outcome = Schedule::new(seed, false).run();
        assert!(outcome.peak <= CAPACITY, "seed {seed}: the engine used {} MiB", outcome.peak);
        loads += outcome.loads;
    }
    println!("seeds 0..{SCHEDULES}, resident reservations seen: {loads}");
    assert!(SCHEDULES as usize * 10 < loads, "too few resident reservations: {loads}");
}

/// A controller that assumes that orders arrive within 1 ms overcommits the engine, and
/// the simulated engine must detect it.
#[test]
fn injected_controller_fault_is_detected() {
    let caught = (0..500).filter(|seed| CAPACITY < Schedule::new(*seed, true).run().peak);
    assert!(caught.count() != 0);
}

//! Seeded schedules of orders against a model engine that counts its own
//! memory: it, not the ledger under test, is the judge.

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
enum Arrival {
    Order(FencingToken, Order),
    LoadEnds(Resource, FencingToken),
    Answer(u64, FencingToken, OrderResult),
    NoAnswer(u64, FencingToken),
    State(u64, EngineState),
    NoState(u64),
}

#[derive(Debug, PartialEq, Eq)]
struct Timed(u64, u64, Arrival);

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
    held: BTreeMap<Resource, Mib>,
    loading: BTreeMap<Resource, Vec<FencingToken>>,
    role: Role,
    peak: Mib,
}

impl Engine {
    fn add(&mut self, resource: Resource, size: Mib) {
        self.held.insert(resource, size);
        self.peak = self.peak.max(self.held.values().sum());
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
    planted: bool,
}

impl Schedule {
    fn new(seed: u64, planted: bool) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let origin = Instant::now();
        let checks = rng.bool();
        let engine = Engine {
            checks,
            seen: FencingToken::default(),
            held: BTreeMap::new(),
            loading: BTreeMap::new(),
            role: Role::Mixed,
            peak: 0,
        };
        let controller = Controller::new(settings(checks, 1, planted), origin);
        Self {
            rng,
            origin,
            now_ms: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            engine,
            controller,
            incarnation: 1,
            planted,
        }
    }

    fn now(&self) -> Instant {
        self.origin + Duration::from_millis(self.now_ms)
    }

    fn at(&mut self, delay: u64, arrival: Arrival) {
        self.sequence += 1;
        self.events.push(Timed(self.now_ms + delay, self.sequence, arrival));
    }

    fn drive(&mut self) {
        while let Some(action) = self.controller.poll(self.now()) {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        let incarnation = self.incarnation;
        match action {
            Action::Send { number, order } => {
                let copies = [0, 1, 1, 1, 2][self.rng.usize(..5)];
                for _ in 0..copies {
                    let slow = self.rng.u8(..4) == 0;
                    let delay = self.rng.u64(1..if slow { DELAY_MAX_MS } else { 30 });
                    self.at(delay, Arrival::Order(number, order.clone()));
                }
                self.at(900, Arrival::NoAnswer(incarnation, number));
            }
            Action::ReadState => {
                let held = &self.engine.held;
                let state = EngineState {
                    held: held.iter().map(|(r, s)| (r.clone(), *s)).collect(),
                    loading: self.engine.loading.keys().cloned().collect(),
                    role: self.engine.role,
                };
                let lost = self.rng.u8(..8) == 0;
                let reply = if lost {
                    Arrival::NoState(incarnation)
                } else {
                    Arrival::State(incarnation, state)
                };
                let delay = self.rng.u64(1..50);
                self.at(delay, reply);
            }
        }
    }

    fn answer(&mut self, number: FencingToken, result: OrderResult) {
        if self.rng.u8(..5) == 0 {
            return;
        }
        let delay = self.rng.u64(1..1500);
        self.at(delay, Arrival::Answer(number.incarnation, number, result));
    }

    fn order_arrives(&mut self, number: FencingToken, order: Order) {
        if self.engine.checks && number < self.engine.seen {
            let seen = self.engine.seen;
            return self.answer(number, OrderResult::OldNumber { seen });
        }
        self.engine.seen = self.engine.seen.max(number);
        if self.rng.u8(..20) == 0 {
            return self.answer(number, OrderResult::Failed { message: "injected".into() });
        }
        match order {
            Order::Barrier => {}
            Order::Load { resource, size } => return self.load(number, resource, size),
            Order::Unload { resource } => {
                self.engine.held.remove(&resource);
                self.engine.loading.remove(&resource);
            }
            Order::SetRole { role, kv_cache } => {
                self.engine.role = role;
                self.engine.add(Resource::KvCache, kv_cache);
            }
        }
        self.answer(number, OrderResult::Done);
    }

    fn load(&mut self, number: FencingToken, resource: Resource, size: Mib) {
        if let Some(waiting) = self.engine.loading.get_mut(&resource) {
            return waiting.push(number);
        }
        if self.engine.held.contains_key(&resource) {
            return self.answer(number, OrderResult::Done);
        }
        self.engine.add(resource.clone(), size);
        self.engine.loading.insert(resource.clone(), vec![number]);
        let delay = self.rng.u64(1..800);
        self.at(delay, Arrival::LoadEnds(resource, number));
    }

    fn load_ends(&mut self, resource: &Resource, first: FencingToken) {
        let ours = self.engine.loading.get(resource).is_some_and(|w| w[0] == first);
        if !ours {
            return;
        }
        for number in self.engine.loading.remove(resource).unwrap_or_default() {
            self.answer(number, OrderResult::Done);
        }
    }

    fn arrive(&mut self, arrival: Arrival) {
        let now = self.now();
        let current = self.incarnation;
        match arrival {
            Arrival::Order(number, order) => self.order_arrives(number, order),
            Arrival::LoadEnds(resource, first) => self.load_ends(&resource, first),
            Arrival::Answer(of, number, result) if of == current => {
                self.controller.handle_event(now, Event::Answered { number, result });
            }
            Arrival::NoAnswer(of, number) if of == current => {
                self.controller.handle_event(now, Event::NoAnswer { number });
            }
            Arrival::State(of, state) if of == current => {
                self.controller.handle_event(now, Event::StateRead(state));
            }
            Arrival::NoState(of) if of == current => {
                self.controller.handle_event(now, Event::StateUnavailable)
            }
            // Answers to an agent that died reach nobody.
            _ => {}
        }
    }

    fn operate(&mut self) {
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
                    self.act(action);
                }
            }
            18 => self.restart_agent(),
            _ => self.crash_engine(),
        }
    }

    fn restart_agent(&mut self) {
        self.incarnation += 1;
        let settings = settings(self.engine.checks, self.incarnation, self.planted);
        self.controller = Controller::new(settings, self.now());
    }

    fn crash_engine(&mut self) {
        self.engine.held.clear();
        self.engine.loading.clear();
        self.engine.role = Role::Mixed;
    }

    /// Runs the schedule and returns the most memory the engine ever held.
    fn run(mut self) -> Outcome {
        let mut loads = 0;
        for _ in 0..60 {
            let until = self.now_ms + self.rng.u64(1..700);
            self.operate();
            self.drive();
            while let Some(next) = self.events.peek().map(|t| t.0).filter(|t| *t <= until) {
                self.now_ms = next;
                let Some(Timed(_, _, arrival)) = self.events.pop() else {
                    break;
                };
                self.arrive(arrival);
                self.drive();
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

fn settings(checks_fencing: bool, incarnation: u64, planted: bool) -> ControllerSettings {
    let delay = if planted { 1 } else { DELAY_MAX_MS };
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
        assert!(outcome.peak <= CAPACITY, "seed {seed}: the engine held {} MiB", outcome.peak);
        loads += outcome.loads;
    }
    println!("seeds 0..{SCHEDULES}, resident slots seen: {loads}");
    assert!(SCHEDULES as usize * 10 < loads, "the schedules hardly loaded anything: {loads}");
}

/// The judge notices a controller that trusts orders to arrive at once.
#[test]
fn judge_catches_a_planted_fault() {
    let caught = (0..500).filter(|seed| CAPACITY < Schedule::new(*seed, true).run().peak);
    assert!(caught.count() != 0);
}

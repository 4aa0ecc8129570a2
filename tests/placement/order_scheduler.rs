//! Order scheduling against a simulated engine that may execute orders late.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use goldcrestpitch::core::{
    forwarding::{EndpointState, EngineSpec, LoadReport, LoadedModel, ModelSpec, Residency},
    residency::{ChangeSource, EngineOrder, EngineReport, Operation, OrderAnswer, OrderScheduler},
};

const MODELS: [(&str, u64); 5] = [("a", 34), ("b", 34), ("c", 34), ("d", 16), ("e", 16)];

pub fn spec() -> EngineSpec {
    let model = |weights| ModelSpec {
        weights_size: weights,
        adapter_size: 1,
        load_time: Duration::from_millis(500),
        disk_load_time: Duration::from_millis(100),
    };
    EngineSpec {
        weights_memory: 83,
        adapter_slots: 3,
        models: MODELS.iter().map(|(name, size)| ((*name).into(), model(*size))).collect(),
        ..EngineSpec::default()
    }
}

/// Simulated engine that crashes when an order exceeds its memory or adapter slots.
pub struct Engine {
    pub id: String,
    pub started_ms: u64,
    pub loaded: HashMap<String, Vec<String>>,
    seq: u64,
    busy: Option<(EngineOrder, Instant)>,
    pub delayed: VecDeque<(EngineOrder, Instant)>,
    pub crashed: bool,
    pub accepted: Vec<u64>,
}

impl Engine {
    pub fn new() -> Self {
        Self {
            id: "i-0".to_owned(),
            started_ms: 1,
            loaded: HashMap::new(),
            seq: 0,
            busy: None,
            delayed: VecDeque::new(),
            crashed: false,
            accepted: Vec::new(),
        }
    }

    fn used_memory(&self) -> u64 {
        let size = |m: &String| MODELS.iter().find(|(n, _)| n == m).unwrap().1;
        let loading = self.busy.as_ref().filter(|(o, _)| o.operation == Operation::Load);
        let loading = loading.map_or(0, |(o, _)| size(&o.model.to_string()));
        self.loaded.iter().map(|(m, a)| size(m) + a.len() as u64).sum::<u64>() + loading
    }

    fn adapters(&self) -> usize {
        self.loaded.values().map(Vec::len).sum()
    }

    /// Starts again, empty, under a new id or the one that it had. Orders that are on their way
    /// still arrive.
    pub fn restart(&mut self, id: Option<String>) {
        let (id, delayed) = (id.unwrap_or(self.id.clone()), std::mem::take(&mut self.delayed));
        *self = Self {
            id,
            started_ms: self.started_ms + 1,
            delayed,
            crashed: self.crashed,
            accepted: std::mem::take(&mut self.accepted),
            ..Self::new()
        };
    }

    pub fn order(&mut self, now: Instant, order: &EngineOrder) -> OrderAnswer {
        if order.endpoint.as_ref().is_some_and(|id| **id != *self.id) {
            return OrderAnswer::OtherEndpoint;
        }
        if self.busy.is_some() || order.expected != self.seq {
            return OrderAnswer::Conflict;
        }
        let model = order.model.to_string();
        let held = self.loaded.get(&model);
        let is_held = held.is_some_and(|adapters| {
            order.adapter.as_ref().is_none_or(|a| adapters.iter().any(|held| **held == **a))
        });
        if order.operation == Operation::Load && is_held {
            return OrderAnswer::Accepted;
        }
        self.seq += 1;
        self.accepted.push(order.fence);
        match (order.operation, &order.adapter) {
            (Operation::Load, Some(adapter)) => {
                let Some(adapters) = self.loaded.get_mut(&model) else {
                    return OrderAnswer::Refused(400);
                };
                adapters.push(adapter.to_string());
            }
            (Operation::Unload, Some(adapter)) => {
                if let Some(adapters) = self.loaded.get_mut(&model) {
                    adapters.retain(|a| **a != **adapter);
                }
            }
            (_, None) => {
                self.busy = Some((order.clone(), now + Duration::from_millis(300)));
            }
        }
        self.crashed |= 83 < self.used_memory() || 3 < self.adapters();
        OrderAnswer::Accepted
    }

    pub fn tick(&mut self, now: Instant) {
        if let Some((order, _)) = self.busy.take_if(|(_, at)| *at <= now) {
            let model = order.model.to_string();
            match order.operation {
                Operation::Load => {
                    self.loaded.entry(model).or_default();
                }
                Operation::Unload => {
                    self.loaded.remove(&model);
                }
            }
        }
        while self.delayed.front().is_some_and(|(_, at)| *at <= now) {
            let (order, _) = self.delayed.pop_front().unwrap();
            self.order(now, &order);
        }
    }

    pub fn report(&self) -> EngineReport {
        let loaded = self.loaded.iter().map(|(name, adapters)| LoadedModel {
            name: name.as_str().into(),
            adapters: adapters.iter().map(|a| a.as_str().into()).collect(),
        });
        EngineReport {
            started_ms: Some(self.started_ms),
            residency: Residency {
                loaded: loaded.collect(),
                cached: Vec::new(),
                order_in_progress: self.busy.is_some(),
            },
            incoming_adapters: Vec::new(),
            running: Vec::new(),
            order_seq: self.seq,
            load: LoadReport { kv_total: 1, ..LoadReport::default() },
            state: EndpointState::Ready,
        }
    }
}

pub fn request_random_change(
    rng: &mut fastrand::Rng,
    now: Instant,
    scheduler: &mut OrderScheduler,
) {
    let (model, _) = MODELS[rng.usize(..MODELS.len())];
    let adapter = rng.bool().then(|| ["x", "y", "z", "u"][rng.usize(..4)].into());
    let (source, operation) = match (&adapter, rng.u8(..4)) {
        (None, 0) => (ChangeSource::Planner, Operation::Unload),
        (None, _) => (ChangeSource::Planner, Operation::Load),
        (Some(_), _) => (ChangeSource::Request, Operation::Load),
    };
    scheduler.request_change(now, source, operation, model.into(), adapter);
}

/// Runs random change requests. `lost_percent` of the orders get no answer and are
/// executed late.
fn run_schedule(seed: u64, lost_percent: u8) -> Engine {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut engine = Engine::new();
    let mut scheduler = OrderScheduler::default();
    scheduler.set_spec(spec());
    scheduler.set_fence(seed);
    let start = Instant::now();
    for step in 0..600 {
        let now = start + Duration::from_millis(50 * step);
        engine.tick(now);
        if rng.u8(..100) < 30 {
            request_random_change(&mut rng, now, &mut scheduler);
        }
        scheduler.handle_report(now, engine.report());
        let Some(order) = scheduler.next_order(now) else { continue };
        if rng.u8(..100) < lost_percent {
            let at = now + Duration::from_millis(rng.u64(50..6000));
            engine.delayed.push_back((order, at));
            engine.delayed.make_contiguous().sort_by_key(|(_, at)| *at);
            scheduler.handle_answer(now, None);
        } else {
            let answer = engine.order(now, &order);
            scheduler.handle_answer(now, Some(answer));
        }
    }
    engine
}

#[test]
fn orders_never_exceed_engine_capacity() {
    let mut accepted = 0;
    for seed in 0..400 {
        let engine = run_schedule(seed, 35);
        assert!(!engine.crashed, "seed {seed}");
        accepted += engine.accepted.len();
    }
    assert!(400 * 10 < accepted, "too few orders were accepted: {accepted}");
}

/// Runs random change requests beside restarts of the engine, of which gateways learn later.
/// `keeps_id` tells whether a restart leaves the id.
fn run_with_restarts(seed: u64, keeps_id: impl Fn(&mut fastrand::Rng) -> bool) -> Engine {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut engine = Engine::new();
    let mut scheduler = scheduler();
    let start = Instant::now();
    let mut registered = (engine.id.clone(), engine.started_ms);
    for step in 0..800 {
        let now = start + Duration::from_millis(50 * step);
        engine.tick(now);
        if rng.u8(..100) < 2 {
            let id = (!keeps_id(&mut rng)).then(|| format!("i-{step}"));
            engine.restart(id);
        }
        if rng.u8(..100) < 10 {
            registered = (engine.id.clone(), engine.started_ms);
        }
        if rng.u8(..100) < 10 {
            scheduler.set_endpoint(now, registered.0.as_str().into(), registered.1);
        }
        if rng.u8(..100) < 30 {
            request_random_change(&mut rng, now, &mut scheduler);
        }
        scheduler.handle_report(now, engine.report());
        // In the real process the gateway that requests a change names the engine.
        let Some(order) = scheduler.next_order(now).filter(|_| 0 < step) else { continue };
        if rng.u8(..100) < 35 {
            let at = now + Duration::from_millis(rng.u64(50..12_000));
            engine.delayed.push_back((order, at));
            engine.delayed.make_contiguous().sort_by_key(|(_, at)| *at);
            scheduler.handle_answer(now, None);
        } else {
            let answer = engine.order(now, &order);
            scheduler.handle_answer(now, Some(answer));
        }
    }
    engine
}

/// An order without an answer was carried out after a restart, at which the number of accepted
/// orders happened to be the expected one again.
#[test]
fn late_orders_never_exceed_the_capacity_of_a_restarted_engine() {
    println!("seeds 0..2000");
    let mut accepted = 0;
    for seed in 0..2000 {
        let new_id = run_with_restarts(seed, |_| false);
        let same_id = run_with_restarts(seed, |_| true);
        let either = run_with_restarts(seed, fastrand::Rng::bool);
        for (ids, engine) in [("new", new_id), ("same", same_id), ("either", either)] {
            assert!(!engine.crashed, "seed {seed}, {ids}");
            accepted += engine.accepted.len();
        }
    }
    assert!(2000 * 3 * 10 < accepted, "too few orders were accepted: {accepted}");
}

/// Its crash ended the load, so that the number of accepted orders is what it was before.
#[test]
fn engine_that_crashes_in_its_first_load_gets_orders_again() {
    let (now, mut engine, mut scheduler) = (Instant::now(), Engine::new(), scheduler());
    for restart in 0..3 {
        scheduler.set_endpoint(now, engine.id.as_str().into(), engine.started_ms);
        scheduler.request_change(now, ChangeSource::Planner, Operation::Load, "a".into(), None);
        scheduler.handle_report(now, engine.report());
        let order = scheduler.next_order(now).unwrap_or_else(|| panic!("restart {restart}"));
        let answer = engine.order(now, &order);
        scheduler.handle_answer(now, Some(answer));
        assert_eq!(answer, OrderAnswer::Accepted);
        engine.restart(None);
    }
}

#[test]
fn no_order_to_an_engine_that_gateways_do_not_know_yet() {
    let (now, mut engine, mut scheduler) = (Instant::now(), Engine::new(), scheduler());
    scheduler.set_endpoint(now, engine.id.as_str().into(), engine.started_ms);
    engine.restart(Some("i-1".to_owned()));
    scheduler.request_change(now, ChangeSource::Planner, Operation::Load, "a".into(), None);
    scheduler.handle_report(now, engine.report());
    assert_eq!(scheduler.next_order(now), None);
    scheduler.set_endpoint(now, "i-1".into(), engine.started_ms);
    assert_eq!(scheduler.next_order(now).unwrap().endpoint.as_deref(), Some("i-1"));
}

#[test]
fn an_unanswered_order_does_not_block_the_next() {
    let start = Instant::now();
    let mut engine = Engine::new();
    let mut scheduler = OrderScheduler::default();
    scheduler.set_spec(spec());
    scheduler.set_fence(1);
    let mut loaded_at = None;
    for step in 0..40 {
        let now = start + Duration::from_millis(100 * step);
        engine.tick(now);
        scheduler.request_change(now, ChangeSource::Planner, Operation::Load, "a".into(), None);
        scheduler.handle_report(now, engine.report());
        if engine.loaded.contains_key("a") {
            loaded_at.get_or_insert(step);
        }
        let Some(order) = scheduler.next_order(now) else { continue };
        if step == 0 {
            // The first order gets no answer and is executed much later.
            engine.delayed.push_back((order, now + Duration::from_secs(12)));
            scheduler.handle_answer(now, None);
        } else {
            let answer = engine.order(now, &order);
            scheduler.handle_answer(now, Some(answer));
        }
    }
    assert!(loaded_at.is_some_and(|step| step < 10), "{loaded_at:?}");
}

#[test]
fn no_order_without_fencing_token_and_specification() {
    let now = Instant::now();
    for known in [0, 1, 2] {
        let mut scheduler = OrderScheduler::default();
        if known != 1 {
            scheduler.set_spec(spec());
        }
        if known != 0 {
            scheduler.set_fence(1);
        }
        scheduler.request_change(now, ChangeSource::Planner, Operation::Load, "a".into(), None);
        scheduler.handle_report(now, Engine::new().report());
        assert_eq!(scheduler.next_order(now).is_some(), known == 2);
    }
}

#[test]
fn waiting_requests_only_load_adapters() {
    let now = Instant::now();
    let mut scheduler = OrderScheduler::default();
    scheduler.set_spec(spec());
    scheduler.set_fence(1);
    scheduler.request_change(now, ChangeSource::Request, Operation::Load, "a".into(), None);
    scheduler.request_change(
        now,
        ChangeSource::Request,
        Operation::Unload,
        "a".into(),
        Some("x".into()),
    );
    scheduler.handle_report(now, Engine::new().report());
    assert_eq!(scheduler.next_order(now), None);
}

pub fn scheduler() -> OrderScheduler {
    let mut scheduler = OrderScheduler::default();
    scheduler.set_spec(spec());
    scheduler.set_fence(1);
    scheduler
}

fn report_with_adapters(adapters: &[&str]) -> EngineReport {
    let mut engine = Engine::new();
    engine.loaded.insert("a".into(), adapters.iter().map(ToString::to_string).collect());
    engine.report()
}

#[test]
fn an_adapter_in_use_is_not_evicted() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    for adapter in ["x", "y", "z"] {
        scheduler.mark_used(now, "a".into(), Some(adapter.into()));
    }
    let request = |scheduler: &mut OrderScheduler, now| {
        scheduler.request_change(
            now,
            ChangeSource::Request,
            Operation::Load,
            "a".into(),
            Some("u".into()),
        );
        scheduler.handle_report(now, report_with_adapters(&["x", "y", "z"]));
        scheduler.next_order(now)
    };
    assert_eq!(request(&mut scheduler, now), None);
    // Gateways keep reporting that two of them are in use.
    for millis in [400, 800, 1200] {
        let now = now + Duration::from_millis(millis);
        scheduler.mark_used(now, "a".into(), Some("x".into()));
        scheduler.mark_used(now, "a".into(), Some("z".into()));
    }
    let order = request(&mut scheduler, now + Duration::from_millis(1300)).unwrap();
    assert_eq!((order.operation, order.adapter.as_deref()), (Operation::Unload, Some("y")));
}

#[test]
fn an_unload_that_waits_for_running_requests_is_ordered_once() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    let mut unloads = 0;
    for step in 0..100 {
        let now = now + Duration::from_millis(12 * step);
        scheduler.request_change(
            now,
            ChangeSource::Request,
            Operation::Load,
            "a".into(),
            Some("u".into()),
        );
        // A running request that no gateway reported keeps the adapter loaded.
        let report = EngineReport { order_seq: unloads, ..report_with_adapters(&["x", "y", "z"]) };
        scheduler.handle_report(now, report.clone());
        let unloading = 3 - scheduler.retained_models(&report)[0].adapters.len();
        assert_eq!(
            unloading as u64, unloads,
            "no request may be sent for an adapter that is being unloaded"
        );
        if let Some(order) = scheduler.next_order(now) {
            assert_eq!(order.operation, Operation::Unload);
            unloads += 1;
            scheduler.handle_answer(now, Some(OrderAnswer::Accepted));
        }
    }
    assert_eq!(unloads, 1);
    // The adapter is unloaded; the requested one is loaded into its slot.
    let now = now + Duration::from_millis(1300);
    scheduler
        .handle_report(now, EngineReport { order_seq: 1, ..report_with_adapters(&["y", "z"]) });
    assert_eq!(scheduler.next_order(now).unwrap().operation, Operation::Load);
}

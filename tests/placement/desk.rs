//! The orders of one engine, against an engine that may carry them out late.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use goldcrestpitch::core::{
    forwarding::{EndpointState, EngineSpec, LoadReport, LoadedModel, ModelSpec, Residency},
    residency::{Desk, EngineOrder, EngineView, Operation, OrderAnswer, WishSource},
};

const MODELS: [(&str, u64); 5] = [("a", 34), ("b", 34), ("c", 34), ("d", 16), ("e", 16)];

fn spec() -> EngineSpec {
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

/// An engine that crashes when it is ordered beyond what it can hold.
struct Engine {
    held: HashMap<String, Vec<String>>,
    seq: u64,
    busy: Option<(EngineOrder, Instant)>,
    late: VecDeque<(EngineOrder, Instant)>,
    crashed: bool,
    accepted: Vec<u64>,
}

impl Engine {
    fn new() -> Self {
        Self {
            held: HashMap::new(),
            seq: 0,
            busy: None,
            late: VecDeque::new(),
            crashed: false,
            accepted: Vec::new(),
        }
    }

    fn taken(&self) -> u64 {
        let size = |m: &String| MODELS.iter().find(|(n, _)| n == m).unwrap().1;
        let loading = self.busy.as_ref().filter(|(o, _)| o.operation == Operation::Load);
        let loading = loading.map_or(0, |(o, _)| size(&o.model.to_string()));
        self.held.iter().map(|(m, a)| size(m) + a.len() as u64).sum::<u64>() + loading
    }

    fn adapters(&self) -> usize {
        self.held.values().map(Vec::len).sum()
    }

    fn order(&mut self, now: Instant, order: &EngineOrder) -> OrderAnswer {
        if self.busy.is_some() || order.expected != self.seq {
            return OrderAnswer::Conflict;
        }
        let model = order.model.to_string();
        self.seq += 1;
        self.accepted.push(order.fence);
        match (order.operation, &order.adapter) {
            (Operation::Load, Some(adapter)) => {
                let Some(adapters) = self.held.get_mut(&model) else {
                    return OrderAnswer::Refused(400);
                };
                adapters.push(adapter.to_string());
            }
            (Operation::Unload, Some(adapter)) => {
                if let Some(adapters) = self.held.get_mut(&model) {
                    adapters.retain(|a| **a != **adapter);
                }
            }
            (_, None) => {
                self.busy = Some((order.clone(), now + Duration::from_millis(300)));
            }
        }
        self.crashed |= 83 < self.taken() || 3 < self.adapters();
        OrderAnswer::Accepted
    }

    fn tick(&mut self, now: Instant) {
        if let Some((order, _)) = self.busy.take_if(|(_, at)| *at <= now) {
            let model = order.model.to_string();
            match order.operation {
                Operation::Load => {
                    self.held.entry(model).or_default();
                }
                Operation::Unload => {
                    self.held.remove(&model);
                }
            }
        }
        while self.late.front().is_some_and(|(_, at)| *at <= now) {
            let (order, _) = self.late.pop_front().unwrap();
            self.order(now, &order);
        }
    }

    fn view(&self) -> EngineView {
        let held = self.held.iter().map(|(name, adapters)| LoadedModel {
            name: name.as_str().into(),
            adapters: adapters.iter().map(|a| a.as_str().into()).collect(),
        });
        EngineView {
            residency: Residency {
                loaded: held.collect(),
                cached: Vec::new(),
                order_in_progress: self.busy.is_some(),
            },
            coming: Vec::new(),
            runs: Vec::new(),
            seq: self.seq,
            reported: LoadReport { kv_total: 1, ..LoadReport::default() },
            state: EndpointState::Ready,
        }
    }
}

/// Random wishes; a share of the orders gets no answer and is carried out late.
fn schedule(seed: u64, lost_percent: u8) -> Engine {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut engine = Engine::new();
    let mut desk = Desk::default();
    desk.set_spec(spec());
    desk.set_fence(seed);
    let start = Instant::now();
    for step in 0..600 {
        let now = start + Duration::from_millis(50 * step);
        engine.tick(now);
        if rng.u8(..100) < 30 {
            let (model, _) = MODELS[rng.usize(..MODELS.len())];
            let adapter = rng.bool().then(|| ["x", "y", "z", "u"][rng.usize(..4)].into());
            let (source, operation) = match (&adapter, rng.u8(..4)) {
                (None, 0) => (WishSource::Plan, Operation::Unload),
                (None, _) => (WishSource::Plan, Operation::Load),
                (Some(_), _) => (WishSource::Request, Operation::Load),
            };
            desk.wish(now, source, operation, model.into(), adapter);
        }
        desk.report(now, engine.view());
        let Some(order) = desk.next(now) else { continue };
        if rng.u8(..100) < lost_percent {
            let at = now + Duration::from_millis(rng.u64(50..6000));
            engine.late.push_back((order, at));
            engine.late.make_contiguous().sort_by_key(|(_, at)| *at);
            desk.answered(now, None);
        } else {
            let answer = engine.order(now, &order);
            desk.answered(now, Some(answer));
        }
    }
    engine
}

#[test]
fn an_engine_is_never_ordered_beyond_what_it_holds() {
    let mut accepted = 0;
    for seed in 0..400 {
        let engine = schedule(seed, 35);
        assert!(!engine.crashed, "seed {seed}");
        accepted += engine.accepted.len();
    }
    assert!(400 * 10 < accepted, "the schedules hardly gave orders: {accepted}");
}

#[test]
fn a_lost_order_does_not_stop_the_next() {
    let start = Instant::now();
    let mut engine = Engine::new();
    let mut desk = Desk::default();
    desk.set_spec(spec());
    desk.set_fence(1);
    let mut loaded_at = None;
    for step in 0..40 {
        let now = start + Duration::from_millis(100 * step);
        engine.tick(now);
        desk.wish(now, WishSource::Plan, Operation::Load, "a".into(), None);
        desk.report(now, engine.view());
        if engine.held.contains_key("a") {
            loaded_at.get_or_insert(step);
        }
        let Some(order) = desk.next(now) else { continue };
        if step == 0 {
            // It is carried out long after.
            engine.late.push_back((order, now + Duration::from_secs(12)));
            desk.answered(now, None);
        } else {
            let answer = engine.order(now, &order);
            desk.answered(now, Some(answer));
        }
    }
    assert!(loaded_at.is_some_and(|step| step < 10), "{loaded_at:?}");
}

#[test]
fn without_token_or_specification_there_is_no_order() {
    let now = Instant::now();
    for able in [0, 1, 2] {
        let mut desk = Desk::default();
        if able != 1 {
            desk.set_spec(spec());
        }
        if able != 0 {
            desk.set_fence(1);
        }
        desk.wish(now, WishSource::Plan, Operation::Load, "a".into(), None);
        desk.report(now, Engine::new().view());
        assert_eq!(desk.next(now).is_some(), able == 2);
    }
}

#[test]
fn requests_do_not_move_models() {
    let now = Instant::now();
    let mut desk = Desk::default();
    desk.set_spec(spec());
    desk.set_fence(1);
    desk.wish(now, WishSource::Request, Operation::Load, "a".into(), None);
    desk.wish(now, WishSource::Request, Operation::Unload, "a".into(), Some("x".into()));
    desk.report(now, Engine::new().view());
    assert_eq!(desk.next(now), None);
}

fn desk() -> Desk {
    let mut desk = Desk::default();
    desk.set_spec(spec());
    desk.set_fence(1);
    desk
}

fn holding(adapters: &[&str]) -> EngineView {
    let mut engine = Engine::new();
    engine.held.insert("a".into(), adapters.iter().map(ToString::to_string).collect());
    engine.view()
}

#[test]
fn an_adapter_in_use_does_not_make_way() {
    let now = Instant::now();
    let mut desk = desk();
    for adapter in ["x", "y", "z"] {
        desk.used(now, "a".into(), Some(adapter.into()));
    }
    let wish = |desk: &mut Desk, now| {
        desk.wish(now, WishSource::Request, Operation::Load, "a".into(), Some("u".into()));
        desk.report(now, holding(&["x", "y", "z"]));
        desk.next(now)
    };
    assert_eq!(wish(&mut desk, now), None);
    // Gateways go on telling that two of them are in use.
    for millis in [400, 800, 1200] {
        let now = now + Duration::from_millis(millis);
        desk.used(now, "a".into(), Some("x".into()));
        desk.used(now, "a".into(), Some("z".into()));
    }
    let order = wish(&mut desk, now + Duration::from_millis(1300)).unwrap();
    assert_eq!((order.operation, order.adapter.as_deref()), (Operation::Unload, Some("y")));
}

#[test]
fn an_unload_that_waits_for_its_runs_is_ordered_once() {
    let now = Instant::now();
    let mut desk = desk();
    let mut unloads = 0;
    for step in 0..100 {
        let now = now + Duration::from_millis(12 * step);
        desk.wish(now, WishSource::Request, Operation::Load, "a".into(), Some("u".into()));
        // A run that no gateway told of keeps the adapter.
        let view = EngineView { seq: unloads, ..holding(&["x", "y", "z"]) };
        desk.report(now, view.clone());
        let leaving = 3 - desk.staying(&view)[0].adapters.len();
        assert_eq!(leaving as u64, unloads, "no request is sent for what is leaving");
        if let Some(order) = desk.next(now) {
            assert_eq!(order.operation, Operation::Unload);
            unloads += 1;
            desk.answered(now, Some(OrderAnswer::Accepted));
        }
    }
    assert_eq!(unloads, 1);
    // It is gone, and its place is taken.
    let now = now + Duration::from_millis(1300);
    desk.report(now, EngineView { seq: 1, ..holding(&["y", "z"]) });
    assert_eq!(desk.next(now).unwrap().operation, Operation::Load);
}

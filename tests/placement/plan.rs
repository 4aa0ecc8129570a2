//! The plan against a small model of a fleet.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use goldcrestpitch::core::{
    forwarding::{EngineSpec, ModelSpec},
    ids::ModelName,
    placement::{EngineNow, FleetPlan, ModelDemand, PlanWish},
};

const LARGE: u64 = 34;

fn spec(models: usize, loads_per_s: f64) -> EngineSpec {
    let model = ModelSpec {
        weights_size: LARGE,
        adapter_size: 0,
        load_time: Duration::from_millis(5400),
        disk_load_time: Duration::from_millis(1100),
    };
    let named = (0..models).map(|i| (name(i), model.clone()));
    EngineSpec { weights_memory: 83, loads_per_s, models: named.collect(), ..EngineSpec::default() }
}

fn name(i: usize) -> ModelName {
    format!("m{i}").into()
}

struct Fleet {
    spec: EngineSpec,
    engines: Vec<EngineNow>,
    plan: FleetPlan,
    loading: HashMap<String, (PlanWish, Instant)>,
    started: Vec<Instant>,
    now: Instant,
}

impl Fleet {
    /// Engines that hold two models each, by turns; `empty` ones hold none.
    fn new(engines: usize, models: usize, empty: bool) -> Self {
        let held = |i: usize| match empty {
            true => Vec::new(),
            false => vec![name(2 * i % models), name((2 * i + 1) % models)],
        };
        let engine = |i: usize| EngineNow {
            id: format!("e{i:02}").into(),
            taken: LARGE * held(i).len() as u64,
            held: held(i),
            at_hand: Vec::new(),
            in_use: Vec::new(),
            able: true,
            busy: false,
            running: 0,
        };
        let now = Instant::now();
        Self {
            spec: spec(models, 1.8),
            engines: (0..engines).map(engine).collect(),
            plan: FleetPlan::new(now),
            loading: HashMap::new(),
            started: Vec::new(),
            now,
        }
    }

    /// Plans and carries the wishes out for a time. Checks that no last copy goes.
    fn run(&mut self, time: Duration, demand: &HashMap<ModelName, ModelDemand>) {
        let until = self.now + time;
        while self.now < until {
            self.now += Duration::from_millis(400);
            self.finish();
            let before = self.copies();
            for wish in self.plan.plan(self.now, &self.spec, &self.engines, demand) {
                self.begin(wish);
            }
            for (model, copies) in before {
                assert!(copies == 0 || 0 < self.copies()[&model], "the last copy of {model} went");
            }
        }
    }

    fn begin(&mut self, wish: PlanWish) {
        if self.loading.contains_key(&*wish.engine) {
            return;
        }
        let engine = self.engines.iter_mut().find(|e| e.id == wish.engine).unwrap();
        engine.held.retain(|m| !wish.unload.contains(m));
        engine.taken = LARGE * (engine.held.len() as u64 + 1);
        assert!(engine.taken <= self.spec.weights_memory, "{wish:?} does not fit");
        engine.busy = true;
        self.started.push(self.now);
        self.loading
            .insert(wish.engine.to_string(), (wish, self.now + Duration::from_millis(5400)));
    }

    fn finish(&mut self) {
        let now = self.now;
        let done: Vec<String> =
            self.loading.iter().filter(|(_, (_, at))| *at <= now).map(|(e, _)| e.clone()).collect();
        for id in done {
            let (wish, _) = self.loading.remove(&id).unwrap();
            let engine = self.engines.iter_mut().find(|e| *e.id == *id).unwrap();
            engine.held.push(wish.load);
            engine.busy = false;
        }
    }

    fn copies(&self) -> HashMap<ModelName, usize> {
        let models = self.spec.models.keys();
        let count = |m: &ModelName| self.engines.iter().filter(|e| e.held.contains(m)).count();
        models.map(|m| (m.clone(), count(m))).collect()
    }
}

fn demand(models: &[(usize, f64, u32)]) -> HashMap<ModelName, ModelDemand> {
    let one = |(i, tokens_per_s, waiting): &(usize, f64, u32)| {
        (name(*i), ModelDemand { tokens_per_s: *tokens_per_s, waiting: *waiting })
    };
    models.iter().map(one).collect()
}

#[test]
fn a_model_that_becomes_busy_gets_copies_of_silent_ones() {
    let mut fleet = Fleet::new(12, 8, false);
    let before = fleet.copies()[&name(0)];
    fleet.run(Duration::from_secs(20), &demand(&[(0, 40_000.0, 0), (1, 3_000.0, 0)]));
    let copies = fleet.copies();
    assert!(before + 3 <= copies[&name(0)], "{copies:?}");
    assert!(copies.values().all(|c| 1 <= *c), "{copies:?}");
}

#[test]
fn models_that_are_waited_for_come_first_on_empty_engines() {
    let mut fleet = Fleet::new(6, 10, true);
    let asked: Vec<_> = (0..10).map(|i| (i, 500.0, 1)).collect();
    fleet.run(Duration::from_secs(16), &demand(&asked));
    assert!(fleet.copies().values().all(|c| 1 <= *c), "{:?}", fleet.copies());
}

#[test]
fn loads_from_the_store_stay_under_its_rate() {
    let mut fleet = Fleet::new(24, 20, true);
    let asked: Vec<_> = (0..20).map(|i| (i, 20_000.0, 3)).collect();
    fleet.run(Duration::from_secs(40), &demand(&asked));
    let window = Duration::from_secs(5);
    for (i, from) in fleet.started.iter().enumerate() {
        let within = fleet.started[i..].iter().filter(|at| **at < *from + window).count();
        // The platform's bound for any window of 5 s.
        assert!(within as f64 <= 1.8 * 5.0 * 1.1 + 3.0, "{within} loads within 5 s");
    }
    assert!(20 <= fleet.started.len());
}

#[test]
fn nothing_moves_when_demand_is_met() {
    let mut fleet = Fleet::new(12, 8, false);
    let asked: Vec<_> = (0..8).map(|i| (i, 6_000.0, 0)).collect();
    fleet.run(Duration::from_secs(20), &demand(&asked));
    assert_eq!(fleet.started.len(), 0);
}

#[test]
fn demand_that_swings_between_two_models_does_not_move_copies_each_time() {
    let mut fleet = Fleet::new(12, 8, false);
    for i in 0..10 {
        let busy = if i % 2 == 0 { (0, 9_000.0, 0) } else { (1, 9_000.0, 0) };
        fleet.run(Duration::from_millis(800), &demand(&[busy]));
    }
    assert!(fleet.started.len() <= 6, "{} loads", fleet.started.len());
}

#[test]
fn an_engine_whose_agent_is_silent_is_left_as_it_is() {
    let mut fleet = Fleet::new(4, 4, false);
    for engine in &mut fleet.engines {
        engine.able = false;
    }
    fleet.run(Duration::from_secs(10), &demand(&[(0, 90_000.0, 9)]));
    assert_eq!(fleet.started.len(), 0);
}

/// Four engines with two models each, of which one is busy; each model has one copy.
fn full_fleet() -> Fleet {
    let mut fleet = Fleet::new(4, 8, false);
    fleet.now += Duration::from_secs(5);
    fleet
}

#[test]
fn the_last_copy_goes_only_where_it_is_at_hand_and_not_asked_for() {
    let busy = (0, 40_000.0, 0);
    for (at_hand, asked, moves) in [(true, 0.0, true), (false, 0.0, false), (true, 200.0, false)] {
        let mut fleet = full_fleet();
        if at_hand {
            for engine in &mut fleet.engines {
                engine.at_hand.clone_from(&engine.held);
            }
        }
        let others: Vec<_> = (1..8).map(|i| (i, asked, 0)).collect();
        let demand = demand(&[&[busy][..], &others].concat());
        let wishes = fleet.plan.plan(fleet.now, &fleet.spec, &fleet.engines, &demand);
        assert_eq!(!wishes.is_empty(), moves, "{at_hand} {asked}: {wishes:?}");
        assert!(wishes.iter().all(|w| w.unload.iter().all(|m| *m != name(0))));
    }
}

#[test]
fn a_model_that_requests_use_makes_way_after_an_idle_one() {
    let mut fleet = full_fleet();
    for engine in &mut fleet.engines {
        engine.at_hand.clone_from(&engine.held);
        // An unload of the first model would wait for its runs.
        engine.in_use = vec![engine.held[0].clone()];
    }
    let demand = demand(&[(0, 40_000.0, 0)]);
    let wishes = fleet.plan.plan(fleet.now, &fleet.spec, &fleet.engines, &demand);
    assert!(!wishes.is_empty());
    for wish in wishes {
        let engine = fleet.engines.iter().find(|e| e.id == wish.engine).unwrap();
        assert_eq!(wish.unload, [engine.held[1].clone()]);
    }
}

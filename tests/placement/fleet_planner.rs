//! Placement planning against a simulated fleet.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use goldcrestpitch::core::{
    forwarding::{EngineSpec, ModelSpec},
    ids::ModelName,
    placement::{EngineSnapshot, FleetPlanner, ModelDemand, PlacementChange, discount_limited},
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
    engines: Vec<EngineSnapshot>,
    planner: FleetPlanner,
    loading: HashMap<String, (PlacementChange, Instant)>,
    started: Vec<Instant>,
    now: Instant,
}

impl Fleet {
    /// Engines with two models each, assigned round-robin, or none if `empty`.
    fn new(engines: usize, models: usize, empty: bool) -> Self {
        let loaded = |i: usize| match empty {
            true => Vec::new(),
            false => vec![name(2 * i % models), name((2 * i + 1) % models)],
        };
        let engine = |i: usize| EngineSnapshot {
            id: format!("e{i:02}").into(),
            used_memory: LARGE * loaded(i).len() as u64,
            loaded: loaded(i),
            cached: Vec::new(),
            in_use: Vec::new(),
            can_order: true,
            order_in_progress: false,
            running_requests: 0,
        };
        let now = Instant::now();
        Self {
            spec: spec(models, 1.8),
            engines: (0..engines).map(engine).collect(),
            planner: FleetPlanner::new(now),
            loading: HashMap::new(),
            started: Vec::new(),
            now,
        }
    }

    /// Plans and applies changes for `time`. Checks that no last replica is unloaded.
    fn run(&mut self, time: Duration, demand: &HashMap<ModelName, ModelDemand>) {
        let until = self.now + time;
        while self.now < until {
            self.now += Duration::from_millis(400);
            self.finish_loads();
            let before = self.replicas();
            for change in self.planner.plan(self.now, &self.spec, &self.engines, demand) {
                self.apply(change);
            }
            for (model, replicas) in before {
                assert!(
                    replicas == 0 || 0 < self.replicas()[&model],
                    "the last replica of {model} was unloaded"
                );
            }
        }
    }

    fn apply(&mut self, change: PlacementChange) {
        if self.loading.contains_key(&*change.engine) {
            return;
        }
        let engine = self.engines.iter_mut().find(|e| e.id == change.engine).unwrap();
        engine.loaded.retain(|m| !change.unload.contains(m));
        engine.used_memory = LARGE * (engine.loaded.len() as u64 + 1);
        assert!(engine.used_memory <= self.spec.weights_memory, "{change:?} does not fit");
        engine.order_in_progress = true;
        self.started.push(self.now);
        self.loading
            .insert(change.engine.to_string(), (change, self.now + Duration::from_millis(5400)));
    }

    fn finish_loads(&mut self) {
        let now = self.now;
        let done: Vec<String> =
            self.loading.iter().filter(|(_, (_, at))| *at <= now).map(|(e, _)| e.clone()).collect();
        for id in done {
            let (change, _) = self.loading.remove(&id).unwrap();
            let engine = self.engines.iter_mut().find(|e| *e.id == *id).unwrap();
            engine.loaded.push(change.load);
            engine.order_in_progress = false;
        }
    }

    fn replicas(&self) -> HashMap<ModelName, usize> {
        let models = self.spec.models.keys();
        let count = |m: &ModelName| self.engines.iter().filter(|e| e.loaded.contains(m)).count();
        models.map(|m| (m.clone(), count(m))).collect()
    }
}

fn demand(models: &[(usize, f64, u32)]) -> HashMap<ModelName, ModelDemand> {
    let one = |(i, tokens_per_s, waiting): &(usize, f64, u32)| {
        (
            name(*i),
            ModelDemand {
                tokens_per_s: *tokens_per_s,
                waiting: *waiting,
                ..ModelDemand::default()
            },
        )
    };
    models.iter().map(one).collect()
}

#[test]
fn a_model_with_rising_demand_replaces_idle_replicas() {
    let mut fleet = Fleet::new(12, 8, false);
    let before = fleet.replicas()[&name(0)];
    fleet.run(Duration::from_secs(20), &demand(&[(0, 40_000.0, 0), (1, 3_000.0, 0)]));
    let replicas = fleet.replicas();
    assert!(before + 3 <= replicas[&name(0)], "{replicas:?}");
    assert!(replicas.values().all(|c| 1 <= *c), "{replicas:?}");
}

#[test]
fn empty_engines_load_models_with_waiting_requests_first() {
    let mut fleet = Fleet::new(6, 10, true);
    let rates: Vec<_> = (0..10).map(|i| (i, 500.0, 1)).collect();
    fleet.run(Duration::from_secs(16), &demand(&rates));
    assert!(fleet.replicas().values().all(|c| 1 <= *c), "{:?}", fleet.replicas());
}

#[test]
fn weight_store_loads_stay_below_the_rate_limit() {
    let mut fleet = Fleet::new(24, 20, true);
    let rates: Vec<_> = (0..20).map(|i| (i, 20_000.0, 3)).collect();
    fleet.run(Duration::from_secs(40), &demand(&rates));
    let window = Duration::from_secs(5);
    for (i, from) in fleet.started.iter().enumerate() {
        let within = fleet.started[i..].iter().filter(|at| **at < *from + window).count();
        // The platform's limit for any window of 5 s.
        assert!(within as f64 <= 1.8 * 5.0 * 1.1 + 3.0, "{within} loads within 5 s");
    }
    assert!(20 <= fleet.started.len());
}

#[test]
fn no_change_when_demand_is_met() {
    let mut fleet = Fleet::new(12, 8, false);
    let rates: Vec<_> = (0..8).map(|i| (i, 6_000.0, 0)).collect();
    fleet.run(Duration::from_secs(20), &demand(&rates));
    assert_eq!(fleet.started.len(), 0);
}

#[test]
fn alternating_demand_does_not_move_replicas_each_time() {
    let mut fleet = Fleet::new(12, 8, false);
    for i in 0..10 {
        let busy = if i % 2 == 0 { (0, 9_000.0, 0) } else { (1, 9_000.0, 0) };
        fleet.run(Duration::from_millis(800), &demand(&[busy]));
    }
    assert!(fleet.started.len() <= 6, "{} loads", fleet.started.len());
}

#[test]
fn engines_without_a_reachable_agent_are_not_changed() {
    let mut fleet = Fleet::new(4, 4, false);
    for engine in &mut fleet.engines {
        engine.can_order = false;
    }
    fleet.run(Duration::from_secs(10), &demand(&[(0, 90_000.0, 9)]));
    assert_eq!(fleet.started.len(), 0);
}

/// Four engines with two models each; every model has one replica. The clock is past
/// the warm-up time of the planner.
fn full_fleet() -> Fleet {
    let mut fleet = Fleet::new(4, 8, false);
    fleet.now += Duration::from_secs(5);
    fleet
}

#[test]
fn the_last_replica_is_evicted_only_if_cached_and_unused() {
    let busy = (0, 40_000.0, 0);
    for (cached, rate, evicts) in [(true, 0.0, true), (false, 0.0, false), (true, 200.0, false)] {
        let mut fleet = full_fleet();
        if cached {
            for engine in &mut fleet.engines {
                engine.cached.clone_from(&engine.loaded);
            }
        }
        let others: Vec<_> = (1..8).map(|i| (i, rate, 0)).collect();
        let demand = demand(&[&[busy][..], &others].concat());
        let changes = fleet.planner.plan(fleet.now, &fleet.spec, &fleet.engines, &demand);
        assert_eq!(!changes.is_empty(), evicts, "{cached} {rate}: {changes:?}");
        assert!(changes.iter().all(|c| c.unload.iter().all(|m| *m != name(0))));
    }
}

#[test]
fn an_idle_model_is_evicted_before_one_in_use() {
    let mut fleet = full_fleet();
    for engine in &mut fleet.engines {
        engine.cached.clone_from(&engine.loaded);
        // Unloading the first model would wait for its running requests.
        engine.in_use = vec![engine.loaded[0].clone()];
    }
    let demand = demand(&[(0, 40_000.0, 0)]);
    let changes = fleet.planner.plan(fleet.now, &fleet.spec, &fleet.engines, &demand);
    assert!(!changes.is_empty());
    for change in changes {
        let engine = fleet.engines.iter().find(|e| e.id == change.engine).unwrap();
        assert_eq!(change.unload, [engine.loaded[1].clone()]);
    }
}

/// The only engine with a model takes fewer requests than callers send.
#[test]
fn model_of_an_engine_that_limits_its_requests_gets_another_replica() {
    let mut fleet = Fleet::new(6, 6, false);
    let demand =
        HashMap::from([(name(0), ModelDemand { tokens_per_s: 3000.0, ..ModelDemand::default() })]);
    let limited = fleet.engines[0].id.clone();
    let plan = |fleet: &mut Fleet, rate: f64| {
        let mut engines = fleet.engines.clone();
        discount_limited(&mut engines, &demand, |id| (*id == limited).then_some(rate));
        fleet.planner.plan(fleet.now, &fleet.spec, &engines, &demand)
    };
    fleet.now += Duration::from_secs(30);
    for engine in &mut fleet.engines {
        engine.loaded.retain(|m| *m != name(0));
    }
    fleet.engines[0].loaded.push(name(0));
    assert_eq!(plan(&mut fleet, 3.0), []);
    let changes = plan(&mut fleet, 1.0);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].load, name(0));
    assert_ne!(changes[0].engine, limited);
}

/// A busy model took the only replica of an idle one, and callers who then asked for that waited
/// for a load from the weight store.
#[test]
fn an_idle_model_keeps_its_replica_while_others_get_more() {
    let mut fleet = Fleet::new(9, 13, false);
    for engine in &mut fleet.engines {
        engine.cached = (0..13).map(name).collect();
    }
    fleet.run(Duration::from_secs(5), &demand(&[(1, 500.0, 0), (2, 500.0, 0)]));
    // Three of the models get all requests, more than their replicas should serve.
    let busy = demand(&[(0, 9_000.0, 0), (1, 8_000.0, 0), (2, 500.0, 0)]);
    fleet.run(Duration::from_secs(30), &busy);
    let replicas = fleet.replicas();
    assert!(replicas.values().all(|count| 0 < *count), "{replicas:?}");
    assert!(2 < replicas[&name(0)], "{replicas:?}");
}

/// An idle model gives way where requests of a busy one can't be served otherwise.
#[test]
fn an_idle_model_gives_way_to_one_whose_engines_are_overloaded() {
    let mut fleet = Fleet::new(2, 4, false);
    for engine in &mut fleet.engines {
        engine.cached = (0..4).map(name).collect();
    }
    fleet.run(Duration::from_secs(5), &demand(&[(0, 500.0, 0)]));
    let before =
        fleet.planner.plan(fleet.now, &fleet.spec, &fleet.engines, &demand(&[(0, 6_000.0, 0)]));
    assert!(before.is_empty(), "{before:?}");
    let demand = demand(&[(0, 20_000.0, 0)]);
    let plan = fleet.planner.plan(fleet.now, &fleet.spec, &fleet.engines, &demand);
    assert_eq!(plan.iter().map(|c| &c.load).collect::<Vec<_>>(), [&name(0)]);
}

/// The only engine with a rare model leaves, and all others are full.
#[test]
fn a_model_that_was_lost_with_its_engine_takes_the_place_of_a_spare_replica() {
    let mut fleet = Fleet::new(4, 4, false);
    fleet.spec.models.insert(name(4), fleet.spec.models[&name(0)].clone());
    assert_eq!(fleet.replicas()[&name(4)], 0);
    fleet.run(Duration::from_secs(12), &demand(&[(0, 500.0, 0), (1, 5_000.0, 0)]));
    let replicas = fleet.replicas();
    assert!(0 < replicas[&name(4)], "{replicas:?}");
    assert!(1 < replicas[&name(1)], "{replicas:?}");
}

/// The model that went with an engine is there before it is asked for.
#[test]
fn a_model_that_was_lost_with_its_engine_is_loaded_where_there_is_room() {
    let mut fleet = Fleet::new(4, 6, false);
    fleet.engines[3].loaded.clear();
    fleet.engines[3].used_memory = 0;
    for engine in &mut fleet.engines {
        engine.loaded.retain(|m| **m != *"m5");
        engine.used_memory = LARGE * engine.loaded.len() as u64;
    }
    assert_eq!(fleet.replicas()[&name(5)], 0);
    fleet.run(Duration::from_secs(10), &demand(&[(0, 500.0, 0)]));
    assert!(0 < fleet.replicas()[&name(5)], "{:?}", fleet.replicas());
}

/// Requests of a fast model fill batches while hardly any prompts are to be read, so that all
/// others were refused by its one engine.
#[test]
fn a_model_whose_requests_fill_the_batch_of_its_engine_gets_another() {
    let mut fleet = Fleet::new(6, 6, false);
    fleet.spec.slots = 64;
    fleet.spec.kv_tokens = 180_000;
    let before = fleet.replicas()[&name(0)];
    let full = ModelDemand { tokens_per_s: 900.0, requests: 120, ..ModelDemand::default() };
    fleet.run(Duration::from_secs(30), &HashMap::from([(name(0), full)]));
    assert!(before < fleet.replicas()[&name(0)], "{:?}", fleet.replicas());
    let mut fleet = Fleet::new(6, 6, false);
    fleet.spec.slots = 64;
    fleet.spec.kv_tokens = 180_000;
    let long = ModelDemand { kv_tokens: 340_000, requests: 20, ..full };
    fleet.run(Duration::from_secs(30), &HashMap::from([(name(0), long)]));
    assert!(before < fleet.replicas()[&name(0)], "{:?}", fleet.replicas());
}

/// As many loads run at a time as reach the rate of the weight store, and the loads of no five
/// seconds exceed what it takes.
#[test]
fn loads_follow_the_rate_of_the_weight_store() {
    for (rate, at_least) in [(1.8, 40), (8.0, 190)] {
        let mut fleet = Fleet::new(240, 240, true);
        fleet.spec.loads_per_s = rate;
        let all: Vec<_> = (0..240).map(|i| (i, 100.0, 1)).collect();
        fleet.run(Duration::from_secs(25), &demand(&all));
        for (i, from) in fleet.started.iter().enumerate() {
            let window =
                fleet.started[i..].iter().take_while(|at| **at < *from + Duration::from_secs(5));
            let count = window.count() as f64;
            assert!(count <= rate * 5.0 * 1.1 + 3.0, "{count} loads in 5 s at {rate}/s");
        }
        assert!(at_least <= fleet.started.len(), "{} loads at {rate}/s", fleet.started.len());
    }
}

//! Decides which models each engine loads and unloads as demand changes.
//!
//! Load patterns that it handles:
//! - Demand shifts to a model with a single replica: it gets more replicas, on
//!   engines whose models are idle.
//! - Engines come back empty: models with waiting requests are loaded first, from
//!   the engine's own disk where possible.
//! - Many rarely used models are requested at once: each gets a replica, and no last
//!   replica is evicted while it is in demand.
//! - Demand moves to a model that was idle: it still has a replica, since last replicas are evicted
//!   only for models that have none or whose engines are overloaded, and models that were lost with
//!   an engine are loaded again where there is room.
//! - Requests of a model are few or short but last long: they take up batches, not prefill time.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use crate::core::{
    forwarding::EngineSpec,
    ids::{EndpointId, Mib, ModelName},
    limits::TokenBucket,
};

/// Prompt tokens per second and replica above which a model gets another replica: a
/// third of an engine's prefill rate according to the operators' data sheet.
const MAX_TOKENS_PER_REPLICA: f64 = 4_000.0;
/// Prompt tokens per second and replica below which a model has too many replicas.
const IDLE_TOKENS_PER_REPLICA: f64 = 1_300.0;
/// Share of an engine's batch and KV cache that a model's requests take up on each replica before
/// it gets another one.
const MAX_BATCH_SHARE: f64 = 0.5;
/// Load of each replica, as a multiple of that at which a model gets another one, from which an
/// idle model may lose its last replica for it.
const OVERLOAD: f64 = 3.0;
/// Burst of loads beyond the rate of the weight store, in seconds of its rate. With
/// `MAX_BURST_SECONDS` and `MAX_BURST_LOADS` the loads of five seconds stay below 1.1 times the
/// rate and three more.
const BURST_SECONDS: f64 = 1.5;
const MAX_BURST_SECONDS: f64 = 0.25;
const MAX_BURST_LOADS: f64 = 3.0;
/// Time after which a change that the engine has not completed is dropped.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(9);
/// Time after its start during which the planner evicts nothing, because it has not
/// observed demand for long enough to call a replica surplus.
const WARM_UP: Duration = Duration::from_secs(3);
/// Prompt tokens per second below which a model counts as unused: reached three
/// seconds after a request of mean length.
const UNUSED_TOKENS_PER_S: f64 = 30.0;
/// Added to the demand of a model's last replica, so that it is evicted after all others.
const LAST_REPLICA_PENALTY: f64 = 1e9;
/// Time for which a model that an engine has just loaded is not evicted.
const EVICTION_COOLDOWN: Duration = Duration::from_secs(4);

/// State of one engine at the time of planning.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineSnapshot {
    /// Engine ID.
    pub id: EndpointId,
    /// Models that are loaded.
    pub loaded: Vec<ModelName>,
    /// Models that the engine has in memory or on its own disk and loads fast.
    pub cached: Vec<ModelName>,
    /// Memory used by weights and adapters; `Mib::MAX` while unknown.
    pub used_memory: Mib,
    /// Models that requests have used recently.
    pub in_use: Vec<ModelName>,
    /// Whether the engine's agent is able to send it orders.
    pub can_order: bool,
    /// Whether an order is in progress.
    pub order_in_progress: bool,
    /// Requests running on the engine.
    pub running_requests: u32,
}

/// Demand for a model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelDemand {
    /// Prompt tokens per second.
    pub tokens_per_s: f64,
    /// Requests that wait for a replica.
    pub waiting: u32,
    /// Requests that run or wait.
    pub requests: u32,
    /// KV cache tokens that the running requests occupy when they end.
    pub kv_tokens: u64,
}

/// A model to load on an engine and the models to evict for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementChange {
    /// The engine.
    pub engine: EndpointId,
    /// The model to load.
    pub load: ModelName,
    /// Models to unload first.
    pub unload: Vec<ModelName>,
}

#[derive(Clone, Debug)]
struct PendingChange {
    change: PlacementChange,
    since: Instant,
    from_store: bool,
}

/// Plans model placement on the engines of one service.
#[derive(Debug)]
pub struct FleetPlanner {
    started_at: Instant,
    store_limit: Option<TokenBucket>,
    pending: HashMap<EndpointId, PendingChange>,
    loaded_at: HashMap<(EndpointId, ModelName), Instant>,
}

impl FleetPlanner {
    /// Creates a planner without pending changes.
    pub fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            store_limit: None,
            pending: HashMap::new(),
            loaded_at: HashMap::new(),
        }
    }

    /// Changes for all engines, including earlier ones that are still pending.
    pub fn plan(
        &mut self,
        now: Instant,
        spec: &EngineSpec,
        engines: &[EngineSnapshot],
        demand: &HashMap<ModelName, ModelDemand>,
    ) -> Vec<PlacementChange> {
        self.drop_finished(now, engines);
        let demand = &loads(spec, demand);
        for model in self.missing_replicas(spec, engines, demand) {
            self.place_replica(now, spec, engines, demand, &model);
        }
        let mut changes: Vec<_> = self.pending.values().map(|p| p.change.clone()).collect();
        changes.sort_by(|a, b| a.engine.cmp(&b.engine));
        changes
    }

    /// Drops pending changes that are completed, that have timed out, or whose engine
    /// is gone or can no longer be sent orders.
    fn drop_finished(&mut self, now: Instant, engines: &[EngineSnapshot]) {
        let mut completed_loads = Vec::new();
        self.pending.retain(|id, p| {
            let Some(engine) = engines.iter().find(|e| e.id == *id) else { return false };
            let completed = engine.loaded.contains(&p.change.load);
            if completed {
                completed_loads.push((id.clone(), p.change.load.clone()));
            }
            !completed && engine.can_order && now < p.since + CHANGE_TIMEOUT
        });
        self.loaded_at.retain(|_, at| now < *at + EVICTION_COOLDOWN);
        self.loaded_at.extend(completed_loads.into_iter().map(|key| (key, now)));
    }

    /// Models that need more replicas, most urgent first; a model appears once for
    /// each missing replica.
    fn missing_replicas(
        &self,
        spec: &EngineSpec,
        engines: &[EngineSnapshot],
        demand: &HashMap<ModelName, ModelDemand>,
    ) -> Vec<ModelName> {
        let mut wanted = Vec::new();
        for model in spec.models.keys() {
            let Some(demand) = demand.get(model) else {
                if self.replica_count(engines, model) == 0 {
                    wanted.push((2, 0.0, 0.0, model.clone()));
                }
                continue;
            };
            let mut replicas = self.replica_count(engines, model);
            if replicas == 0 && (0 < demand.waiting || 1.0 <= demand.tokens_per_s) {
                wanted.push((0, -f64::from(demand.waiting), -demand.tokens_per_s, model.clone()));
                replicas = 1;
            }
            let mut planned = replicas;
            while MAX_TOKENS_PER_REPLICA < demand.tokens_per_s / planned.max(1) as f64
                && planned < engines.len()
            {
                let ratio = demand.tokens_per_s / planned.max(1) as f64;
                wanted.push((1, -ratio, 0.0, model.clone()));
                planned += 1;
            }
        }
        wanted.sort_by(|a, b| {
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.total_cmp(&b.2)).then(a.3.cmp(&b.3))
        });
        wanted.into_iter().map(|(.., model)| model).collect()
    }

    /// Number of replicas of a model once all pending changes are completed.
    fn replica_count(&self, engines: &[EngineSnapshot], model: &ModelName) -> usize {
        let holds = |e: &&EngineSnapshot| {
            let pending = self.pending.get(&e.id);
            let unloads = pending.is_some_and(|p| p.change.unload.contains(model));
            let loads = pending.is_some_and(|p| p.change.load == *model);
            loads || (e.loaded.contains(model) && !unloads)
        };
        engines.iter().filter(holds).count()
    }

    fn place_replica(
        &mut self,
        now: Instant,
        spec: &EngineSpec,
        engines: &[EngineSnapshot],
        demand: &HashMap<ModelName, ModelDemand>,
        model: &ModelName,
    ) {
        let Some(size) = spec.models.get(model) else { return };
        let is_waited_for = demand.get(model).is_some_and(|d| 0 < d.waiting);
        let mut best: Option<(u64, EndpointId, Vec<ModelName>, bool)> = None;
        for engine in engines {
            let available = engine.can_order
                && !engine.order_in_progress
                && !self.pending.contains_key(&engine.id);
            if !available || engine.loaded.contains(model) {
                continue;
            }
            let free = spec.weights_memory.saturating_sub(engine.used_memory);
            let Some(unload) = self.choose_evictions(
                now,
                spec,
                engines,
                demand,
                engine,
                model,
                size.weights_size,
                free,
            ) else {
                continue;
            };
            let from_store = !engine.cached.contains(model);
            let remaining_demand: f64 = engine
                .loaded
                .iter()
                .filter(|m| !unload.contains(m))
                .map(|m| demand_per_replica(demand, m, self.replica_count(engines, m)))
                .sum();
            // Callers wait for the load, so that its time goes before what it displaces.
            let store_cost = if is_waited_for { 200_000 } else { 100_000 };
            let cost = u64::from(from_store) * store_cost
                + u64::from(!unload.is_empty()) * 20_000
                + u64::from(unload.iter().any(|m| engine.in_use.contains(m))) * 80_000
                + remaining_demand as u64
                + u64::from(engine.running_requests) * 50;
            if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                best = Some((cost, engine.id.clone(), unload, from_store));
            }
        }
        let Some((_, engine, unload, from_store)) = best else { return };
        if from_store && !self.admit_store_load(now, spec) {
            return;
        }
        let change = PlacementChange { engine: engine.clone(), load: model.clone(), unload };
        self.pending.insert(engine, PendingChange { change, since: now, from_store });
    }

    fn admit_store_load(&mut self, now: Instant, spec: &EngineSpec) -> bool {
        let running = self.pending.values().filter(|p| p.from_store).count();
        if max_store_loads(spec) <= running {
            return false;
        }
        let rate = spec.loads_per_s;
        let burst = (rate * BURST_SECONDS).min(rate * MAX_BURST_SECONDS + MAX_BURST_LOADS).max(1.0);
        let bucket = self.store_limit.get_or_insert_with(|| TokenBucket::new(rate, burst, now));
        bucket.configure(rate, burst);
        bucket.take(now, 1.0).is_ok()
    }

    /// Models to evict so that `wanted` fits on an engine; `None` when it cannot fit.
    #[expect(clippy::too_many_arguments, reason = "one decision over the whole fleet")]
    fn choose_evictions(
        &self,
        now: Instant,
        spec: &EngineSpec,
        engines: &[EngineSnapshot],
        demand: &HashMap<ModelName, ModelDemand>,
        engine: &EngineSnapshot,
        wanted: &ModelName,
        size: Mib,
        mut free: Mib,
    ) -> Option<Vec<ModelName>> {
        let mut unload = Vec::new();
        if size <= free {
            return Some(unload);
        }
        if now < self.started_at + WARM_UP {
            return None;
        }
        let wanted_demand =
            demand_per_replica(demand, wanted, self.replica_count(engines, wanted) + 1);
        let replicas = self.replica_count(engines, wanted);
        let unplaced = replicas == 0;
        let per_replica = demand_per_replica(demand, wanted, replicas);
        let is_asked_for = demand.contains_key(wanted);
        let may_take_last =
            (unplaced && is_asked_for) || MAX_TOKENS_PER_REPLICA * OVERLOAD < per_replica;
        // Models without running requests go first: an unload waits for the model's
        // running requests, and the load waits for the unload.
        let mut victims: Vec<(bool, f64, &ModelName)> = Vec::new();
        for model in &engine.loaded {
            let replicas = self.replica_count(engines, model);
            let past_cooldown = !self.loaded_at.contains_key(&(engine.id.clone(), model.clone()));
            let is_last = replicas < 2;
            let may_evict =
                !is_last || (may_take_last && can_evict_last_replica(engine, demand, model));
            if !past_cooldown || !may_evict {
                continue;
            }
            let in_use = engine.in_use.contains(model);
            if is_last {
                let rate = demand.get(model).map_or(0.0, |d| d.tokens_per_s);
                victims.push((in_use, LAST_REPLICA_PENALTY + rate, model));
                continue;
            }
            let remaining = demand_per_replica(demand, model, replicas - 1);
            let surplus = remaining < IDLE_TOKENS_PER_REPLICA.max(wanted_demand / 2.0);
            let bound =
                if is_asked_for { MAX_TOKENS_PER_REPLICA * 2.0 } else { MAX_TOKENS_PER_REPLICA };
            if surplus || (unplaced && remaining < bound) {
                victims.push((in_use, remaining, model));
            }
        }
        victims.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(b.2)));
        for (_, _, victim) in victims {
            free += spec.models.get(victim).map_or(0, |s| s.weights_size);
            unload.push(victim.clone());
            if size <= free {
                return Some(unload);
            }
        }
        None
    }

    /// Models that pending changes unload, with their engines.
    pub fn unloading(&self) -> HashSet<(EndpointId, ModelName)> {
        let changes = self.pending.values().map(|p| &p.change);
        changes.flat_map(|c| c.unload.iter().map(|m| (c.engine.clone(), m.clone()))).collect()
    }
}

/// The demand with the load of each model in prompt tokens per second: what its prompts and its
/// share of batches and KV caches come to, whichever is more.
fn loads(
    spec: &EngineSpec,
    demand: &HashMap<ModelName, ModelDemand>,
) -> HashMap<ModelName, ModelDemand> {
    let load = |demand: &ModelDemand| {
        let share = |used: f64, capacity: f64| if 0.0 < capacity { used / capacity } else { 0.0 };
        let batches = share(f64::from(demand.requests), f64::from(spec.slots));
        let caches = share(demand.kv_tokens as f64, spec.kv_tokens as f64);
        let engines = batches.max(caches) / MAX_BATCH_SHARE;
        let tokens_per_s = demand.tokens_per_s.max(engines * MAX_TOKENS_PER_REPLICA);
        ModelDemand { tokens_per_s, ..*demand }
    };
    demand.iter().map(|(model, demand)| (model.clone(), load(demand))).collect()
}

/// Concurrent loads at which the rate of the weight store is reached; more would slow down each
/// other.
fn max_store_loads(spec: &EngineSpec) -> usize {
    let times = spec.models.values().map(|m| m.load_time.as_secs_f64());
    let mean = times.sum::<f64>() / spec.models.len().max(1) as f64;
    ((spec.loads_per_s * mean) as usize).max(1)
}

/// Whether the last replica of a model may be evicted: the model is hardly requested
/// and not in use, and the engine can reload it fast.
fn can_evict_last_replica(
    engine: &EngineSnapshot,
    demand: &HashMap<ModelName, ModelDemand>,
    model: &ModelName,
) -> bool {
    let rate = demand.get(model).map_or(0.0, |d| d.tokens_per_s);
    rate < UNUSED_TOKENS_PER_S && !engine.in_use.contains(model) && engine.cached.contains(model)
}

fn demand_per_replica(
    demand: &HashMap<ModelName, ModelDemand>,
    model: &ModelName,
    replicas: usize,
) -> f64 {
    demand.get(model).map_or(0.0, |d| d.tokens_per_s) / replicas.max(1) as f64
}

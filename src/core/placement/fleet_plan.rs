//! Decides which engines load and give up which models, as demand moves.
//!
//! Load patterns that it answers: demand that jumps to a model with one copy
//! (more copies, on engines whose models are silent); engines that return
//! empty (what is waited for comes first, from the engine's own disk where it
//! can); rare models asked for at once (each gets a copy, none is given up that
//! is the last one).

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use crate::core::{
    forwarding::EngineSpec,
    ids::{EndpointId, Mib, ModelName},
    limits::TokenBucket,
};

/// Prompt tokens a second beyond which a model gets a further copy: a third of
/// what an engine reads in a second by the operators' sheet.
const TOKENS_PER_COPY: f64 = 4_000.0;
/// Below this demand a copy, the copies are too many.
const SILENT_TOKENS_PER_COPY: f64 = 1_300.0;
/// Loads from the weight store at the same time that run at full speed. Source:
/// the operators' sheet.
const MAX_STORE_LOADS: usize = 7;
/// Seconds of the store's rate that may be used at once.
const BURST_SECONDS: f64 = 1.5;
/// A wish that an engine does not follow is given up after so long.
const WISH_LIMIT: Duration = Duration::from_secs(9);
/// What this planner has not seen for so long it does not judge as too much.
const WARM_UP: Duration = Duration::from_secs(3);
/// Prompt tokens a second below which a model counts as not asked for: three
/// seconds after a request of mean length.
const UNASKED_TOKENS: f64 = 30.0;
/// Stands for a demand beyond all: the last copy of a model goes after all others.
const LAST_COPY: f64 = 1e9;
/// A model that an engine has just loaded is not given up at once.
const REST: Duration = Duration::from_secs(4);

/// One engine, as the planner sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineNow {
    /// Its id.
    pub id: EndpointId,
    /// Models that it holds.
    pub held: Vec<ModelName>,
    /// Models that it loads fast.
    pub at_hand: Vec<ModelName>,
    /// Memory that weights and adapters take, as far as it is known.
    pub taken: Mib,
    /// Models that requests use.
    pub in_use: Vec<ModelName>,
    /// The agent beside it follows wishes.
    pub able: bool,
    /// An order is in progress.
    pub busy: bool,
    /// Requests at it.
    pub running: u32,
}

/// How much a model is asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelDemand {
    /// Prompt tokens a second.
    pub tokens_per_s: f64,
    /// Requests that wait for a copy.
    pub waiting: u32,
}

/// What an engine is wished to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanWish {
    /// The engine.
    pub engine: EndpointId,
    /// The model to load.
    pub load: ModelName,
    /// Models that make way for it.
    pub unload: Vec<ModelName>,
}

#[derive(Clone, Debug)]
struct Outstanding {
    wish: PlanWish,
    since: Instant,
    from_store: bool,
}

/// The plan for the engines of one service.
#[derive(Debug)]
pub struct FleetPlan {
    started: Instant,
    store: Option<TokenBucket>,
    outstanding: HashMap<EndpointId, Outstanding>,
    loaded_at: HashMap<(EndpointId, ModelName), Instant>,
}

impl FleetPlan {
    /// A plan that wishes nothing yet.
    pub fn new(now: Instant) -> Self {
        Self { started: now, store: None, outstanding: HashMap::new(), loaded_at: HashMap::new() }
    }

    /// Wishes for all engines, those of before that are not fulfilled included.
    pub fn plan(
        &mut self,
        now: Instant,
        spec: &EngineSpec,
        engines: &[EngineNow],
        demand: &HashMap<ModelName, ModelDemand>,
    ) -> Vec<PlanWish> {
        self.settle(now, engines);
        for model in self.wanted(spec, engines, demand) {
            self.place(now, spec, engines, demand, &model);
        }
        let mut wishes: Vec<_> = self.outstanding.values().map(|o| o.wish.clone()).collect();
        wishes.sort_by(|a, b| a.engine.cmp(&b.engine));
        wishes
    }

    /// Forgets wishes that are fulfilled, too old or of engines that are gone.
    fn settle(&mut self, now: Instant, engines: &[EngineNow]) {
        let mut loaded = Vec::new();
        self.outstanding.retain(|id, o| {
            let Some(engine) = engines.iter().find(|e| e.id == *id) else { return false };
            let done = engine.held.contains(&o.wish.load);
            if done {
                loaded.push((id.clone(), o.wish.load.clone()));
            }
            !done && engine.able && now < o.since + WISH_LIMIT
        });
        self.loaded_at.retain(|_, at| now < *at + REST);
        self.loaded_at.extend(loaded.into_iter().map(|key| (key, now)));
    }

    /// Models that need a further copy, the most urgent first.
    fn wanted(
        &self,
        spec: &EngineSpec,
        engines: &[EngineNow],
        demand: &HashMap<ModelName, ModelDemand>,
    ) -> Vec<ModelName> {
        let mut wanted = Vec::new();
        for model in spec.models.keys() {
            let Some(asked) = demand.get(model) else { continue };
            let mut copies = self.copies(engines, model);
            if copies == 0 && (0 < asked.waiting || 1.0 <= asked.tokens_per_s) {
                wanted.push((0, -f64::from(asked.waiting), -asked.tokens_per_s, model.clone()));
                copies = 1;
            }
            let mut more = copies;
            while TOKENS_PER_COPY < asked.tokens_per_s / more.max(1) as f64 && more < engines.len()
            {
                let ratio = asked.tokens_per_s / more.max(1) as f64;
                wanted.push((1, -ratio, 0.0, model.clone()));
                more += 1;
            }
        }
        wanted.sort_by(|a, b| {
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.total_cmp(&b.2)).then(a.3.cmp(&b.3))
        });
        wanted.into_iter().map(|(.., model)| model).collect()
    }

    /// Engines that hold a model or are wished to.
    fn copies(&self, engines: &[EngineNow], model: &ModelName) -> usize {
        let holds = |e: &&EngineNow| {
            let wished = self.outstanding.get(&e.id);
            let unloads = wished.is_some_and(|o| o.wish.unload.contains(model));
            let loads = wished.is_some_and(|o| o.wish.load == *model);
            loads || (e.held.contains(model) && !unloads)
        };
        engines.iter().filter(holds).count()
    }

    fn place(
        &mut self,
        now: Instant,
        spec: &EngineSpec,
        engines: &[EngineNow],
        demand: &HashMap<ModelName, ModelDemand>,
        model: &ModelName,
    ) {
        let Some(size) = spec.models.get(model) else { return };
        let mut best: Option<(u64, EndpointId, Vec<ModelName>, bool)> = None;
        for engine in engines {
            let able = engine.able && !engine.busy && !self.outstanding.contains_key(&engine.id);
            if !able || engine.held.contains(model) {
                continue;
            }
            let room = spec.weights_memory.saturating_sub(engine.taken);
            let Some(unload) =
                self.make_way(now, spec, engines, demand, engine, model, size.weights_size, room)
            else {
                continue;
            };
            let from_store = !engine.at_hand.contains(model);
            let asked: f64 = engine
                .held
                .iter()
                .filter(|m| !unload.contains(m))
                .map(|m| share(demand, m, self.copies(engines, m)))
                .sum();
            let cost = u64::from(from_store) * 100_000
                + u64::from(!unload.is_empty()) * 20_000
                + u64::from(unload.iter().any(|m| engine.in_use.contains(m))) * 80_000
                + asked as u64
                + u64::from(engine.running) * 50;
            if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                best = Some((cost, engine.id.clone(), unload, from_store));
            }
        }
        let Some((_, engine, unload, from_store)) = best else { return };
        if from_store && !self.take_store_load(now, spec) {
            return;
        }
        let wish = PlanWish { engine: engine.clone(), load: model.clone(), unload };
        self.outstanding.insert(engine, Outstanding { wish, since: now, from_store });
    }

    fn take_store_load(&mut self, now: Instant, spec: &EngineSpec) -> bool {
        let running = self.outstanding.values().filter(|o| o.from_store).count();
        if MAX_STORE_LOADS <= running {
            return false;
        }
        let rate = spec.loads_per_s;
        let bucket = self
            .store
            .get_or_insert_with(|| TokenBucket::new(rate, (rate * BURST_SECONDS).max(1.0), now));
        bucket.configure(rate, (rate * BURST_SECONDS).max(1.0));
        bucket.take(now, 1.0).is_ok()
    }

    /// Models that an engine can give up for another; nothing when there is no way.
    #[expect(clippy::too_many_arguments, reason = "one decision over the whole fleet")]
    fn make_way(
        &self,
        now: Instant,
        spec: &EngineSpec,
        engines: &[EngineNow],
        demand: &HashMap<ModelName, ModelDemand>,
        engine: &EngineNow,
        wanted: &ModelName,
        size: Mib,
        mut room: Mib,
    ) -> Option<Vec<ModelName>> {
        let mut unload = Vec::new();
        if size <= room {
            return Some(unload);
        }
        if now < self.started + WARM_UP {
            return None;
        }
        let asked = share(demand, wanted, self.copies(engines, wanted) + 1);
        let missing = self.copies(engines, wanted) == 0;
        // An unload waits for the runs of its model, and loads wait for the unload.
        let mut victims: Vec<(bool, f64, &ModelName)> = Vec::new();
        for held in &engine.held {
            let copies = self.copies(engines, held);
            let rested = !self.loaded_at.contains_key(&(engine.id.clone(), held.clone()));
            if !rested || (copies < 2 && !may_leave(engine, demand, held)) {
                continue;
            }
            let in_use = engine.in_use.contains(held);
            if copies < 2 {
                let asked = demand.get(held).map_or(0.0, |d| d.tokens_per_s);
                victims.push((in_use, LAST_COPY + asked, held));
                continue;
            }
            let left = share(demand, held, copies - 1);
            let spare = left < SILENT_TOKENS_PER_COPY.max(asked / 2.0);
            if spare || (missing && left < TOKENS_PER_COPY * 2.0) {
                victims.push((in_use, left, held));
            }
        }
        victims.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(b.2)));
        for (_, _, victim) in victims {
            room += spec.models.get(victim).map_or(0, |s| s.weights_size);
            unload.push(victim.clone());
            if size <= room {
                return Some(unload);
            }
        }
        None
    }

    /// Models that an engine is wished to give up.
    pub fn unloading(&self) -> HashSet<(EndpointId, ModelName)> {
        let wishes = self.outstanding.values().map(|o| &o.wish);
        wishes.flat_map(|w| w.unload.iter().map(|m| (w.engine.clone(), m.clone()))).collect()
    }
}

/// Whether the last copy of a model may go: hardly anybody asks for it, and the
/// engine loads it again fast.
fn may_leave(
    engine: &EngineNow,
    demand: &HashMap<ModelName, ModelDemand>,
    model: &ModelName,
) -> bool {
    let asked = demand.get(model).map_or(0.0, |d| d.tokens_per_s);
    asked < UNASKED_TOKENS && !engine.in_use.contains(model) && engine.at_hand.contains(model)
}

fn share(demand: &HashMap<ModelName, ModelDemand>, model: &ModelName, copies: usize) -> f64 {
    demand.get(model).map_or(0.0, |d| d.tokens_per_s) / copies.max(1) as f64
}

//! Plans placement while this gateway is the one that does, and turns wishes
//! into messages to the agents.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use log::info;

use crate::{
    core::{
        forwarding::{EndpointState, ServiceName},
        ids::{EndpointId, Mib, ModelName},
        placement::{EngineSnapshot, FleetPlanner, ModelDemand, PlacementChange},
    },
    gateway::hub::State,
    gossip::{Demand, Wish, WishKind},
};

/// A gateway that has just begun to plan first hears the others' demand.
const LISTEN_FIRST: Duration = Duration::from_millis(300);
/// Most models in one message about demand.
const MAX_DEMAND: usize = 20;

/// What an agent says of its engine beyond what it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct AgentFacts {
    /// When it was last heard.
    pub(super) at: Instant,
    /// Start and number of its last message about what the engine holds.
    pub(super) number: (u64, u64),
    /// The same of its last message about the load alone.
    pub(super) load_number: (u64, u64),
    /// Memory that weights and adapters take.
    pub(super) taken: Mib,
    /// It can give orders.
    pub(super) able: bool,
    /// Models that requests use.
    pub(super) in_use: Vec<ModelName>,
}

/// Plans of all services.
#[derive(Debug, Default)]
pub(super) struct Planner {
    since: Option<Instant>,
    plans: HashMap<ServiceName, FleetPlanner>,
    told: Vec<PlacementChange>,
}

impl Planner {
    /// Wishes for all engines, if this gateway is the one that plans.
    pub(super) fn run(
        &mut self,
        now: Instant,
        state: &State,
        agents: &HashMap<EndpointId, AgentFacts>,
        demand: &[Demand],
        plans: bool,
    ) -> Vec<PlacementChange> {
        if !plans {
            *self = Self::default();
            return Vec::new();
        }
        if now < *self.since.get_or_insert(now) + LISTEN_FIRST {
            return Vec::new();
        }
        let Some(table) = &state.table else { return Vec::new() };
        let mut wishes = Vec::new();
        for service in table.services() {
            let Some(spec) = &service.engine else { continue };
            let engines = engines(state, &service.name, agents);
            let demand = by_model(demand, &service.name);
            let plan = self.plans.entry(service.name.clone());
            let plan = plan.or_insert_with(|| FleetPlanner::new(now));
            wishes.extend(plan.plan(now, spec, &engines, &demand));
        }
        for wish in wishes.iter().filter(|w| !self.told.contains(w)) {
            info!(
                "event=wish endpoint={} load={} unload={:?}",
                wish.engine, wish.load, wish.unload
            );
        }
        self.told.clone_from(&wishes);
        wishes
    }
}

fn engines(
    state: &State,
    service: &ServiceName,
    agents: &HashMap<EndpointId, AgentFacts>,
) -> Vec<EngineSnapshot> {
    let of_service = state.book.iter().filter(|e| {
        e.registration.service == *service && e.registration.state == EndpointState::Ready
    });
    of_service
        .map(|e| {
            let facts = agents.get(e.id());
            let residency = e.residency();
            EngineSnapshot {
                id: e.id().clone(),
                held: residency.held.iter().map(|m| m.name.clone()).collect(),
                cached: residency.at_hand.clone(),
                used_memory: facts.map_or(Mib::MAX, |f| f.taken),
                in_use: facts.map(|f| f.in_use.clone()).unwrap_or_default(),
                controllable: facts.is_some_and(|f| f.able),
                busy: residency.busy,
                running_requests: state.dispatcher.load(e.id()).all_running(Instant::now()),
            }
        })
        .collect()
}

fn by_model(demand: &[Demand], service: &str) -> HashMap<ModelName, ModelDemand> {
    let mut models: HashMap<ModelName, ModelDemand> = HashMap::new();
    for asked in demand.iter().filter(|d| d.service == service) {
        let sum = models.entry(asked.model.as_str().into()).or_default();
        sum.tokens_per_s += f64::from(asked.tokens_per_s);
        sum.waiting += asked.waiting;
    }
    models
}

/// The demand that this gateway sees.
pub(super) fn own_demand(now: Instant, state: &State) -> Vec<Demand> {
    let mut unserved = state.dispatcher.unserved(&state.book);
    let rates = state.demand.rates(now);
    let mut demand: Vec<Demand> = rates
        .into_iter()
        .map(|(service, model, rate)| Demand {
            waiting: unserved.remove(&(service.clone(), model.clone())).unwrap_or(0),
            service: service.to_string(),
            model: model.to_string(),
            tokens_per_s: rate as f32,
        })
        .collect();
    demand.sort_by_key(|d| std::cmp::Reverse(d.waiting));
    demand.truncate(MAX_DEMAND);
    demand
}

/// What an agent is told of a wish.
pub(super) fn wishes_of(wish: &PlacementChange) -> Vec<Wish> {
    let one = |kind: WishKind, model: &ModelName| Wish {
        kind: kind.into(),
        model: model.to_string(),
        adapter: String::new(),
    };
    let unload = wish.unload.iter().map(|m| one(WishKind::Unload, m));
    unload.chain([one(WishKind::Load, &wish.load)]).collect()
}

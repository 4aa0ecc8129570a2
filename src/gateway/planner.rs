//! Plans model placement while this gateway is the planner of the fleet, and turns
//! the plan into messages to engine agents.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use log::info;

use crate::{
    core::{
        forwarding::{EndpointState, PrefillSpeeds, ServiceName},
        ids::{EndpointId, Mib, ModelName},
        placement::{EngineSnapshot, FleetPlanner, ModelDemand, PlacementChange, discount_limited},
    },
    gateway::shared::State,
    gossip::{ChangeKind, Demand, ResidencyChange},
};

/// A new planner waits this long, so that it has the demand of the other gateways
/// before its first plan.
const START_DELAY: Duration = Duration::from_millis(300);
/// Most models whose demand is sent in one datagram.
const MAX_DEMANDS: usize = 20;

/// Status that an agent has reported of its engine, apart from the loaded models.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct AgentInfo {
    /// When the last message arrived.
    pub(super) last_heard: Instant,
    /// Start time of the agent and sequence number of its last engine status.
    pub(super) sequence: (u64, u64),
    /// Start time of the agent and sequence number of its last status or load.
    pub(super) load_sequence: (u64, u64),
    /// Memory used by weights and adapters.
    pub(super) used_memory: Mib,
    /// The agent is able to send orders to the engine.
    pub(super) can_order: bool,
    /// Models that requests of any gateway use.
    pub(super) in_use: Vec<ModelName>,
}

/// The placement planners of all services.
#[derive(Debug, Default)]
pub(super) struct Planner {
    // When this gateway became the planner.
    planner_since: Option<Instant>,
    planners: HashMap<ServiceName, FleetPlanner>,
    // The changes of the last run, to log only new ones.
    last_changes: Vec<PlacementChange>,
}

impl Planner {
    /// Plans all services and returns the changes to request from their engines. Returns
    /// none, and forgets all plans, if this gateway is not the planner.
    pub(super) fn run(
        &mut self,
        now: Instant,
        state: &State,
        agents: &HashMap<EndpointId, AgentInfo>,
        demand: &[Demand],
        is_planner: bool,
    ) -> Vec<PlacementChange> {
        if !is_planner {
            *self = Self::default();
            return Vec::new();
        }
        if now < *self.planner_since.get_or_insert(now) + START_DELAY {
            return Vec::new();
        }
        let Some(table) = &state.table else { return Vec::new() };
        let mut changes = Vec::new();
        for service in table.services() {
            let Some(spec) = &service.engine else { continue };
            let mut engines = engines(state, &service.name, agents);
            let demand = demand_by_model(demand, &service.name, state.dispatcher.speeds());
            let limits = state.dispatcher.limits();
            discount_limited(&mut engines, &demand, |id| limits.rate(id));
            let planner = self.planners.entry(service.name.clone());
            let planner = planner.or_insert_with(|| FleetPlanner::new(now));
            changes.extend(planner.plan(now, spec, &engines, &demand));
        }
        for change in changes.iter().filter(|c| !self.last_changes.contains(c)) {
            info!(
                "event=wish endpoint={} load={} unload={:?}",
                change.engine, change.load, change.unload
            );
        }
        self.last_changes.clone_from(&changes);
        changes
    }
}

/// The engines of a service that are ready, with what is known of each.
fn engines(
    state: &State,
    service: &ServiceName,
    agents: &HashMap<EndpointId, AgentInfo>,
) -> Vec<EngineSnapshot> {
    let of_service = state.registry.iter().filter(|e| {
        e.registration.service == *service && e.registration.state == EndpointState::Ready
    });
    of_service
        .map(|e| {
            let agent = agents.get(e.id());
            let residency = e.residency();
            EngineSnapshot {
                id: e.id().clone(),
                loaded: residency.loaded.iter().map(|m| m.name.clone()).collect(),
                cached: residency.cached.clone(),
                used_memory: agent.map_or(Mib::MAX, |a| a.used_memory),
                in_use: agent.map(|a| a.in_use.clone()).unwrap_or_default(),
                can_order: agent.is_some_and(|a| a.can_order),
                order_in_progress: residency.order_in_progress,
                running_requests: state.dispatcher.load(e.id()).total_running(Instant::now()),
            }
        })
        .collect()
}

/// The demand of all gateways for the models of a service, as work for an engine of the operators'
/// data sheet.
fn demand_by_model(
    demand: &[Demand],
    service: &ServiceName,
    speeds: &PrefillSpeeds,
) -> HashMap<ModelName, ModelDemand> {
    let mut models: HashMap<ModelName, ModelDemand> = HashMap::new();
    // A number that is none comes from a peer that sends what cannot be used.
    let usable = |d: &&Demand| *d.service == **service && d.tokens_per_s.is_finite();
    for entry in demand.iter().filter(usable) {
        let model: ModelName = entry.model.as_str().into();
        let cost = speeds.cost(service, &model);
        let sum = models.entry(model).or_default();
        sum.tokens_per_s += f64::from(entry.tokens_per_s.max(0.0)) * cost;
        sum.waiting = sum.waiting.saturating_add(entry.waiting);
        sum.requests = sum.requests.saturating_add(entry.requests);
        sum.kv_tokens = sum.kv_tokens.saturating_add(entry.kv_tokens);
    }
    models
}

/// The demand at this gateway, limited to the models with the most waiting requests.
pub(super) fn own_demand(now: Instant, state: &State) -> Vec<Demand> {
    let mut unserved = state.dispatcher.unserved_models(&state.registry);
    let requests = state.dispatcher.requests_by_model();
    let rates = state.demand.rates(now);
    let mut demand: Vec<Demand> = rates
        .into_iter()
        .map(|(service, model, rate)| {
            let key = (service, model);
            let (requests, kv_tokens) = requests.get(&key).copied().unwrap_or_default();
            Demand {
                waiting: unserved.remove(&key).unwrap_or(0),
                service: key.0.to_string(),
                model: key.1.to_string(),
                tokens_per_s: rate as f32,
                requests,
                kv_tokens,
            }
        })
        .collect();
    demand.sort_by_key(|d| std::cmp::Reverse(d.waiting));
    demand.truncate(MAX_DEMANDS);
    demand
}

/// Converts a placement change into requests to the agent, the unloads first.
pub(super) fn residency_changes(change: &PlacementChange) -> Vec<ResidencyChange> {
    let residency_change = |kind: ChangeKind, model: &ModelName| ResidencyChange {
        kind: kind.into(),
        model: model.to_string(),
        adapter: String::new(),
    };
    let unload = change.unload.iter().map(|m| residency_change(ChangeKind::Unload, m));
    unload.chain([residency_change(ChangeKind::Load, &change.load)]).collect()
}

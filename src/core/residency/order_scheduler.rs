//! Selects the next load or unload order for an engine.
//!
//! Only the agent on the engine's VM sends it orders. Every order carries the
//! number of orders that the engine has accepted so far, and the engine rejects
//! an order whose number differs. At most one of several in-flight orders can
//! therefore take effect. The number starts anew with the engine, so an order also
//! names the engine, and one that may reach a later start of the same engine has
//! its memory reserved there. After a start of the agent that may be one which it does
//! not know, so that there is room for any.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use crate::core::{
    forwarding::{EndpointState, EngineSpec, LoadedModel, ModelRef},
    ids::{EndpointId, Mib, ModelName},
    residency::{
        EngineOrder, EngineReport, EngineStart, Operation, OrderAnswer,
        predecessor::{LATE_ORDER_LIFETIME, Predecessor},
    },
};

/// Time after which a change request expires unless it is repeated. Four times the
/// period at which gateways repeat their requests.
const REQUEST_LIFETIME: Duration = Duration::from_millis(1600);
/// Delay before the next order after the engine refused one.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(300);
/// A model or an adapter counts as in use for this long after a gateway last reported
/// its use. Unloading it earlier would wait for its running requests while new ones are
/// refused. Twice the period at which gateways report what they use.
const USE_LIFETIME: Duration = Duration::from_millis(900);

/// How long an engine's id is known after a gateway last named it: several times the
/// interval at which gateways do so.
const ENDPOINT_LIFETIME: Duration = Duration::from_secs(10);

/// Origin of a change request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeSource {
    /// A gateway with requests that wait for an adapter.
    Request,
    /// The gateway that plans model placement.
    Planner,
}

#[derive(Clone, Debug)]
struct ChangeRequest {
    operation: Operation,
    expires_at: Instant,
}

/// An engine at the agent's address, as gateways name it.
#[derive(Clone, Copy, Debug)]
struct NamedEndpoint {
    // Start in Unix milliseconds; 0 if it is unknown.
    started_ms: u64,
    last_named: Instant,
}

/// An order without an answer.
#[derive(Clone, Debug)]
struct LateOrder {
    order: EngineOrder,
    sent_before: Instant,
    // The engine has started again since.
    is_from_earlier_start: bool,
}

/// Turns change requests from gateways into orders to one engine, one at a time.
///
/// ```
/// use std::{collections::HashMap, time::{Duration, Instant}};
/// use goldcrestpitch::core::{forwarding::*, residency::*};
/// let spec = |weights_size| ModelSpec {
///     weights_size, adapter_size: 1,
///     load_time: Duration::from_secs(5), disk_load_time: Duration::from_secs(1),
/// };
/// let engine = EngineSpec {
///     weights_memory: 80, adapter_slots: 8,
///     models: HashMap::from([("a".into(), spec(50)), ("b".into(), spec(60))]),
///     ..EngineSpec::default()
/// };
/// let empty = EngineReport {
///     started_ms: None,
///     residency: Residency::default(), incoming_adapters: vec![], running: vec![], order_seq: 0,
///     state: EndpointState::Ready, load: LoadReport::default(),
/// };
/// let now = Instant::now();
/// let mut scheduler = OrderScheduler::default();
/// scheduler.set_spec(engine);
/// scheduler.set_fence(7);
/// scheduler.request_change(now, ChangeSource::Planner, Operation::Load, "a".into(), None);
/// scheduler.handle_report(now, empty);
/// let order = scheduler.next_order(now).unwrap();
/// assert_eq!((&*order.model, order.expected), ("a", 0));
/// // One order at a time.
/// assert!(scheduler.next_order(now).is_none());
/// ```
#[derive(Debug, Default)]
pub struct OrderScheduler {
    spec: Option<EngineSpec>,
    last_report: Option<EngineReport>,
    fence: Option<u64>,
    requests: HashMap<ModelRef, ChangeRequest>,
    last_requested: HashMap<ModelRef, Instant>,
    last_used: HashMap<ModelName, Instant>,
    // The order whose answer is awaited.
    awaiting_answer: Option<EngineOrder>,
    // The model whose load was accepted but is not in the reports yet, with the
    // number of accepted orders before that load.
    loading: Option<(ModelName, u64)>,
    // Adapters whose unload was accepted but that are still in the reports.
    unloading_adapters: HashSet<(ModelName, Arc<str>)>,
    backoff_until: Option<Instant>,
    endpoints: HashMap<EndpointId, NamedEndpoint>,
    // Start and number of accepted orders in the newest report.
    reported_start: Option<(Option<u64>, u64)>,
    late_orders: Vec<LateOrder>,
    // None if no process of the agent has run before.
    predecessor: Option<Predecessor>,
    // The engine may carry out an order of the predecessor.
    expects_late_order: bool,
    requires_records: bool,
    // The start of the engine that is recorded.
    recorded: Option<EngineStart>,
}

impl OrderScheduler {
    /// Sets the engine's memory, its adapter slots and the models that it can load.
    pub fn set_spec(&mut self, spec: EngineSpec) {
        self.spec = Some(spec);
    }

    /// Sets the fencing token before the first order; each order increments it. No
    /// order is issued until it is set.
    pub fn set_fence(&mut self, fence: u64) {
        self.fence = Some(fence);
    }

    /// Records that a gateway names the engine at the agent's address, with its start in Unix
    /// milliseconds (0 if it is unknown). After a restart, gateways may name either for a while.
    pub fn set_endpoint(&mut self, now: Instant, id: EndpointId, started_ms: u64) {
        self.endpoints.insert(id, NamedEndpoint { started_ms, last_named: now });
    }

    /// Records that other processes may have sent orders until this one started, at this time.
    pub fn set_predecessor(&mut self, started_at: Instant) {
        self.predecessor = Some(Predecessor::new(started_at));
    }

    /// Sets the starts of engines to which other processes may have sent orders, as they have
    /// recorded.
    pub fn set_predecessor_starts(&mut self, starts: Vec<EngineStart>) {
        if let Some(predecessor) = &mut self.predecessor {
            predecessor.set_starts(starts);
        }
    }

    /// From now on an engine gets no order before its start is recorded, for the next process.
    pub fn require_records(&mut self) {
        self.requires_records = true;
    }

    /// The start of the engine that has sent the last report, if a gateway has named it.
    pub fn engine_start(&self) -> Option<EngineStart> {
        self.current_start(self.last_report.as_ref()?)
    }

    /// Whether the engine has a start that is not recorded yet.
    pub fn has_unrecorded_start(&self) -> bool {
        let current = self.engine_start();
        current.is_some() && self.recorded != current
    }

    /// The starts that the next process has to know: those to which an earlier process may have
    /// sent orders that are still under way, the one recorded last, and the engine's. None if the
    /// earlier ones are not known.
    pub fn starts_to_record(&self, now: Instant) -> Option<Vec<EngineStart>> {
        let mut starts = self.predecessor.as_ref().map_or(Some(Vec::new()), |p| p.starts(now))?;
        starts.extend(self.recorded.clone());
        starts.extend(self.engine_start());
        starts.dedup();
        Some(starts)
    }

    /// Notes that this start of the engine is recorded; none if the record was lost.
    pub fn set_recorded(&mut self, start: Option<EngineStart>) {
        self.recorded = start;
    }

    /// Whether room is kept for an order of an earlier process, as of the last report.
    pub fn expects_late_order(&self) -> bool {
        self.expects_late_order
    }

    /// Whether both the engine's specification and a fencing token are known.
    pub fn can_issue_orders(&self) -> bool {
        self.spec.is_some() && self.fence.is_some()
    }

    /// The engine's last report; `None` after an order until the next report.
    pub fn last_report(&self) -> Option<&EngineReport> {
        self.last_report.as_ref()
    }

    /// Whether the answer to an order is awaited. A report that was requested in
    /// the meantime may be older than the order and must not be passed to
    /// [`Self::handle_report`].
    pub fn is_awaiting_answer(&self) -> bool {
        self.awaiting_answer.is_some()
    }

    /// Whether the last report reflects the outcome of all orders so far.
    pub fn is_up_to_date(&self) -> bool {
        self.awaiting_answer.is_none() && self.last_report.is_some()
    }

    /// The model that is being loaded.
    pub fn loading(&self) -> Option<&ModelName> {
        self.loading.as_ref().map(|(model, _)| model)
    }

    /// Requests that the engine loads or unloads a model or an adapter.
    pub fn request_change(
        &mut self,
        now: Instant,
        source: ChangeSource,
        operation: Operation,
        model: ModelName,
        adapter: Option<Arc<str>>,
    ) {
        // Waiting requests may only load adapters; the planner decides on models.
        if source == ChangeSource::Request && (adapter.is_none() || operation == Operation::Unload)
        {
            return;
        }
        let model_ref = (model, adapter);
        if operation == Operation::Load {
            self.last_requested.insert(model_ref.clone(), now);
        }
        self.requests
            .insert(model_ref, ChangeRequest { operation, expires_at: now + REQUEST_LIFETIME });
    }

    /// Records that a request uses a model and, where given, an adapter of it.
    pub fn mark_used(&mut self, now: Instant, model: ModelName, adapter: Option<Arc<str>>) {
        self.last_used.insert(model.clone(), now);
        if adapter.is_some() {
            self.last_requested.insert((model, adapter), now);
        }
    }

    /// Models that requests have used recently.
    pub fn in_use(&self, now: Instant) -> impl Iterator<Item = &ModelName> {
        self.last_used
            .iter()
            .filter(move |(_, at)| now < **at + USE_LIFETIME)
            .map(|(model, _)| model)
    }

    /// Memory used by weights and adapters, loads in progress included; `Mib::MAX`
    /// until the specification is known.
    pub fn used_memory(&self, report: &EngineReport) -> Mib {
        let known = self
            .spec
            .as_ref()
            .map(|s| s.weights_memory - self.free_memory(s, report, None).min(s.weights_memory));
        known.unwrap_or(Mib::MAX)
    }

    /// Models that the engine holds and that are not to be unloaded, without the
    /// adapters that are being unloaded.
    pub fn retained_models(&self, report: &EngineReport) -> Vec<LoadedModel> {
        let unloads = |model: &ModelName| {
            let request = self.requests.get(&(model.clone(), None));
            request.is_some_and(|r| r.operation == Operation::Unload)
        };
        let retained = report.residency.loaded.iter().filter(|m| !unloads(&m.name)).cloned();
        let without_unloading = |mut model: LoadedModel| {
            model
                .adapters
                .retain(|a| !self.unloading_adapters.contains(&(model.name.clone(), a.clone())));
            model
        };
        retained.map(without_unloading).collect()
    }

    /// Processes an engine report. Returns whether the loaded models, the engine's
    /// state or the number of accepted orders has changed.
    pub fn handle_report(&mut self, now: Instant, report: EngineReport) -> bool {
        self.requests.retain(|_, r| now < r.expires_at);
        self.last_used.retain(|_, at| now < *at + USE_LIFETIME);
        let changed = self.last_report.as_ref().is_none_or(|old| {
            old.residency != report.residency
                || old.state != report.state
                || old.order_seq != report.order_seq
        });
        self.endpoints.retain(|_, e| now < e.last_named + ENDPOINT_LIFETIME);
        self.late_orders.retain(|late| now < late.sent_before + LATE_ORDER_LIFETIME);
        let start = (report.started_ms, report.order_seq);
        if self.reported_start.replace(start).is_some_and(|last| is_restart(last, start)) {
            self.loading = None;
            self.unloading_adapters.clear();
            self.late_orders.iter_mut().for_each(|late| late.is_from_earlier_start = true);
        }
        if let Some((model, order_seq)) = &self.loading {
            let done = *order_seq < report.order_seq && !report.residency.order_in_progress;
            if done || report.residency.is_loaded(model, None) {
                self.loading = None;
            }
        }
        let present = report.adapters();
        self.unloading_adapters.retain(|item| present.contains(item));
        let current = self.current_start(&report);
        self.expects_late_order =
            self.predecessor.as_ref().is_some_and(|p| p.may_have_sent(now, current.as_ref()));
        self.last_report = Some(report);
        changed
    }

    /// The next order, if there is one. [`Self::handle_answer`] must be called with
    /// its answer before another order is issued.
    pub fn next_order(&mut self, now: Instant) -> Option<EngineOrder> {
        if self.awaiting_answer.is_some() || self.backoff_until.is_some_and(|until| now < until) {
            return None;
        }
        let (spec, report, fence) = (self.spec.as_ref()?, self.last_report.as_ref()?, self.fence?);
        if report.state == EndpointState::Draining {
            return None;
        }
        let endpoint = self.endpoint(report).cloned();
        if endpoint.is_none() && !self.endpoints.is_empty() {
            // Gateways have yet to learn of this start.
            return None;
        }
        if self.requires_records && self.has_unrecorded_start() {
            return None;
        }
        let (operation, (model, adapter)) = self
            .next_adapter_order(now, spec, report)
            .or_else(|| self.next_model_order(spec, report))?;
        let expected = report.order_seq;
        let order = EngineOrder { endpoint, operation, model, adapter, expected, fence: fence + 1 };
        self.fence = Some(order.fence);
        self.awaiting_answer = Some(order.clone());
        Some(order)
    }

    /// Processes the answer to the last order; `None` when no answer arrived.
    pub fn handle_answer(&mut self, now: Instant, answer: Option<OrderAnswer>) {
        let Some(order) = self.awaiting_answer.take() else { return };
        // The next report shows the effect; the last one was read before the order.
        self.backoff_until = match answer {
            Some(OrderAnswer::Accepted) | None => None,
            Some(_) => Some(now + REFUSAL_BACKOFF),
        };
        let loads_model = order.adapter.is_none() && order.operation == Operation::Load;
        if answer == Some(OrderAnswer::Accepted) && loads_model {
            self.loading = Some((order.model.clone(), order.expected));
        }
        if answer == Some(OrderAnswer::Accepted) && order.operation == Operation::Unload {
            self.unloading_adapters.extend(order.adapter.clone().map(|a| (order.model.clone(), a)));
        }
        // An order without an answer may still be executed late. The next order
        // then expects the same number of accepted orders, so that the engine
        // accepts only one of the two.
        self.last_report = None;
        if answer.is_none() {
            let (sent_before, is_from_earlier_start) = (now, false);
            self.late_orders.push(LateOrder { order, sent_before, is_from_earlier_start });
        }
    }

    fn next_adapter_order(
        &self,
        now: Instant,
        spec: &EngineSpec,
        report: &EngineReport,
    ) -> Option<(Operation, ModelRef)> {
        let present = report.adapters();
        let missing = self.requests.iter().find_map(|((model, adapter), request)| {
            let adapter = adapter.as_ref()?;
            let load = request.operation == Operation::Load
                && report.residency.is_loaded(model, None)
                && !present.contains(&(model.clone(), adapter.clone()));
            load.then(|| (model.clone(), adapter.clone()))
        });
        let (model, adapter) = missing?;
        let size = spec.models.get(&model)?.adapter_size;
        let late = self.late_loads(report).filter(|order| order.adapter.is_some()).count();
        let late = late + usize::from(self.expects_late_order);
        let slots = (spec.adapter_slots as usize).saturating_sub(late);
        let free = self.free_memory(spec, report, None);
        if present.len() < slots && size <= free {
            return Some((Operation::Load, (model, Some(adapter))));
        }
        // Unloads of adapters make no room for the load of a model.
        let is_kept_free = free < size && size <= self.unclaimed_memory(spec, report);
        if !self.unloading_adapters.is_empty() || is_kept_free {
            return None;
        }
        let idle_since = |item: &(ModelName, Arc<str>)| {
            let at = self.last_requested.get(&(item.0.clone(), Some(item.1.clone()))).copied();
            let idle = at.is_none_or(|at| at + USE_LIFETIME < now);
            idle.then(|| (at, item.clone()))
        };
        let loaded = present.iter().filter(|item| !report.incoming_adapters.contains(item));
        let least_recent = loaded.filter_map(idle_since).min();
        least_recent.map(|(_, (model, adapter))| (Operation::Unload, (model, Some(adapter))))
    }

    fn next_model_order(
        &self,
        spec: &EngineSpec,
        report: &EngineReport,
    ) -> Option<(Operation, ModelRef)> {
        if report.residency.order_in_progress || self.loading.is_some() {
            return None;
        }
        let holds = |model: &ModelName| report.residency.is_loaded(model, None);
        let mut models: Vec<_> = self.requests.iter().filter(|((_, a), _)| a.is_none()).collect();
        models.sort_by_key(|((model, _), _)| (*model).clone());
        let unload = models
            .iter()
            .find(|((model, _), request)| request.operation == Operation::Unload && holds(model));
        if let Some(((model, _), _)) = unload {
            return Some((Operation::Unload, (model.clone(), None)));
        }
        let load = models.iter().find(|((model, _), request)| {
            let size = spec.models.get(model).map(|s| s.weights_size);
            let fits = size.is_some_and(|s| s <= self.free_memory(spec, report, Some(model)));
            request.operation == Operation::Load && !holds(model) && fits
        });
        load.map(|((model, _), _)| (Operation::Load, (model.clone(), None)))
    }

    /// Memory for further loads, or for the load of this model.
    fn free_memory(
        &self,
        spec: &EngineSpec,
        report: &EngineReport,
        next: Option<&ModelName>,
    ) -> Mib {
        let unclaimed = self.unclaimed_memory(spec, report);
        let is_held = |model: &ModelName| {
            let is_loading = self.loading() == Some(model) || next == Some(model);
            is_loading || report.residency.is_loaded(model, None)
        };
        let reserve = if self.expects_late_order { largest_load(spec, is_held) } else { 0 };
        unclaimed.saturating_sub(reserve)
    }

    /// Memory that neither the engine's models nor the orders of this process take up.
    fn unclaimed_memory(&self, spec: &EngineSpec, report: &EngineReport) -> Mib {
        let loading = self.loading.as_ref().map(|(model, _)| model);
        let loading = loading.filter(|m| !report.residency.is_loaded(m, None));
        let loading = loading
            .map_or(0, |m| spec.models.get(m).map_or(spec.weights_memory, |s| s.weights_size));
        let unknown_load = if report.residency.order_in_progress && self.loading.is_none() {
            spec.weights_memory
        } else {
            0
        };
        let late = self.late_loads(report).map(|order| match spec.models.get(&order.model) {
            Some(model) if order.adapter.is_some() => model.adapter_size,
            Some(model) => model.weights_size,
            None => spec.weights_memory,
        });
        let late: Mib = late.sum();
        let used = report.used_memory(spec) + loading + unknown_load + late;
        spec.weights_memory.saturating_sub(used)
    }

    /// The id of the engine that has sent the report, if a gateway has named it.
    fn endpoint(&self, report: &EngineReport) -> Option<&EndpointId> {
        let is_start = |e: &NamedEndpoint| match report.started_ms {
            Some(started_ms) => [0, started_ms].contains(&e.started_ms),
            None => true,
        };
        let matching = self.endpoints.iter().filter(|(_, e)| is_start(e));
        matching.max_by_key(|(_, e)| e.last_named).map(|(id, _)| id)
    }

    /// The start of the engine that has sent the report, if a gateway has named it; 0 if the engine
    /// does not tell it.
    fn current_start(&self, report: &EngineReport) -> Option<EngineStart> {
        let id = self.endpoint(report)?.clone();
        Some(EngineStart { id, started_ms: report.started_ms.unwrap_or(0) })
    }

    /// Loads from before the last restart of the engine that this start may still carry out.
    fn late_loads(&self, report: &EngineReport) -> impl Iterator<Item = &EngineOrder> {
        let endpoint = self.endpoint(report);
        let late = self.late_orders.iter().filter(|late| late.is_from_earlier_start);
        late.map(|late| &late.order).filter(move |order| {
            let reaches = order.endpoint.is_none() || order.endpoint.as_ref() == endpoint;
            let is_present = report.residency.is_loaded(&order.model, order.adapter.as_deref());
            let is_load = order.operation == Operation::Load && !is_present;
            reaches && is_load && report.order_seq <= order.expected
        })
    }
}

/// The most memory that one order can take up. A load of a model that is held changes nothing.
fn largest_load(spec: &EngineSpec, is_held: impl Fn(&ModelName) -> bool) -> Mib {
    let sizes = spec
        .models
        .iter()
        .map(|(name, model)| if is_held(name) { model.adapter_size } else { model.weights_size });
    sizes.max().unwrap_or(0).min(spec.weights_memory)
}

/// Whether the engine has started again between two reports, of which each gives the start and
/// the number of accepted orders.
fn is_restart(before: (Option<u64>, u64), after: (Option<u64>, u64)) -> bool {
    match (before.0, after.0) {
        (Some(before), Some(after)) => before != after,
        _ => after.1 < before.1,
    }
}

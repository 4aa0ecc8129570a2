//! Decides which order an engine gets next.
//!
//! The process beside an engine is the only one that gives it orders. Each
//! order names the number of orders that the engine has accepted, so that of
//! all orders that are still on their way one at most is carried out.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use crate::core::{
    forwarding::{EndpointState, EngineSpec, LoadedModel, ModelRef},
    ids::{Mib, ModelName},
    residency::{EngineOrder, EngineView, Operation, OrderAnswer},
};

/// A wish that is not repeated holds no longer. Source: four times the period in
/// which gateways repeat theirs.
const WISH_LIFETIME: Duration = Duration::from_millis(1600);
/// Time until an order that the engine refused is given again.
const REFUSED_PAUSE: Duration = Duration::from_millis(300);
/// What was in use so lately still is: its unload would wait for its runs, and its
/// requests would be refused meanwhile. Source: twice the period in which gateways
/// tell what they use.
const USE_LIFETIME: Duration = Duration::from_millis(900);

/// Who wishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WishSource {
    /// A gateway whose requests wait.
    Request,
    /// The gateway that plans placement.
    Plan,
}

#[derive(Clone, Debug)]
struct Wish {
    operation: Operation,
    until: Instant,
}

/// The orders of one engine.
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
/// let empty = EngineView {
///     residency: Residency::default(), coming: vec![], runs: vec![], seq: 0,
///     state: EndpointState::Ready, reported: LoadReport::default(),
/// };
/// let now = Instant::now();
/// let mut desk = Desk::default();
/// desk.set_spec(engine);
/// desk.set_fence(7);
/// desk.wish(now, WishSource::Plan, Operation::Load, "a".into(), None);
/// desk.report(now, empty);
/// let order = desk.next(now).unwrap();
/// assert_eq!((&*order.model, order.expected), ("a", 0));
/// // One order at a time.
/// assert!(desk.next(now).is_none());
/// ```
#[derive(Debug, Default)]
pub struct Desk {
    spec: Option<EngineSpec>,
    view: Option<EngineView>,
    fence: Option<u64>,
    wishes: HashMap<ModelRef, Wish>,
    wanted: HashMap<ModelRef, Instant>,
    in_use: HashMap<ModelName, Instant>,
    // The order that is being sent.
    sending: Option<EngineOrder>,
    // The model whose load was accepted and is not in the reports yet.
    loading: Option<(ModelName, u64)>,
    // Adapters whose unload was accepted and that are still in the reports.
    leaving: HashSet<(ModelName, Arc<str>)>,
    quiet_until: Option<Instant>,
}

impl Desk {
    /// Sets what the engine can hold.
    pub fn set_spec(&mut self, spec: EngineSpec) {
        self.spec = Some(spec);
    }

    /// Sets the first fencing token. Without one there are no orders.
    pub fn set_fence(&mut self, fence: u64) {
        self.fence = Some(fence);
    }

    /// Whether orders can be given.
    pub fn is_able(&self) -> bool {
        self.spec.is_some() && self.fence.is_some()
    }

    /// What the engine last reported.
    pub fn view(&self) -> Option<&EngineView> {
        self.view.as_ref()
    }

    /// Whether the answer to an order is awaited. A report that was asked for
    /// meanwhile may be older than the order and is not to be told.
    pub fn is_sending(&self) -> bool {
        self.sending.is_some()
    }

    /// Whether the last report tells what came of all orders.
    pub fn is_current(&self) -> bool {
        self.sending.is_none() && self.view.is_some()
    }

    /// The model that is being loaded.
    pub fn loading(&self) -> Option<&ModelName> {
        self.loading.as_ref().map(|(model, _)| model)
    }

    /// A gateway wishes that the engine holds or gives up something.
    pub fn wish(
        &mut self,
        now: Instant,
        source: WishSource,
        operation: Operation,
        model: ModelName,
        adapter: Option<Arc<str>>,
    ) {
        // Requests only ask for adapters; models are the plan's.
        if source == WishSource::Request && (adapter.is_none() || operation == Operation::Unload) {
            return;
        }
        let item = (model, adapter);
        if operation == Operation::Load {
            self.wanted.insert(item.clone(), now);
        }
        self.wishes.insert(item, Wish { operation, until: now + WISH_LIFETIME });
    }

    /// A request uses a model or an adapter of it.
    pub fn used(&mut self, now: Instant, model: ModelName, adapter: Option<Arc<str>>) {
        self.in_use.insert(model.clone(), now);
        if adapter.is_some() {
            self.wanted.insert((model, adapter), now);
        }
    }

    /// Models that requests use.
    pub fn in_use(&self, now: Instant) -> impl Iterator<Item = &ModelName> {
        self.in_use.iter().filter(move |(_, at)| now < **at + USE_LIFETIME).map(|(model, _)| model)
    }

    /// Memory that weights and adapters take; all of it while that is not known.
    pub fn taken(&self, view: &EngineView) -> Mib {
        let known =
            self.spec.as_ref().map(|s| s.weights_memory - self.free(s, view).min(s.weights_memory));
        known.unwrap_or(Mib::MAX)
    }

    /// Models that the engine holds and is not to give up.
    pub fn staying(&self, view: &EngineView) -> Vec<LoadedModel> {
        let leaves = |model: &ModelName| {
            let wish = self.wishes.get(&(model.clone(), None));
            wish.is_some_and(|w| w.operation == Operation::Unload)
        };
        let staying = view.residency.loaded.iter().filter(|m| !leaves(&m.name)).cloned();
        let without_leaving = |mut model: LoadedModel| {
            model.adapters.retain(|a| !self.leaving.contains(&(model.name.clone(), a.clone())));
            model
        };
        staying.map(without_leaving).collect()
    }

    /// The engine reported. Returns whether what it holds has changed.
    pub fn report(&mut self, now: Instant, view: EngineView) -> bool {
        self.wishes.retain(|_, w| now < w.until);
        self.in_use.retain(|_, at| now < *at + USE_LIFETIME);
        let changed = self.view.as_ref().is_none_or(|old| {
            old.residency != view.residency || old.state != view.state || old.seq != view.seq
        });
        if let Some((model, seq)) = &self.loading {
            let restarted = view.seq < *seq;
            let done = *seq < view.seq && !view.residency.order_in_progress;
            if restarted || done || view.residency.is_loaded(model, None) {
                self.loading = None;
            }
        }
        let present = view.adapters();
        self.leaving.retain(|item| present.contains(item));
        self.view = Some(view);
        changed
    }

    /// The next order, if there is one. Its answer is to be told before the next.
    pub fn next(&mut self, now: Instant) -> Option<EngineOrder> {
        if self.sending.is_some() || self.quiet_until.is_some_and(|until| now < until) {
            return None;
        }
        let (spec, view, fence) = (self.spec.as_ref()?, self.view.as_ref()?, self.fence?);
        if view.state == EndpointState::Draining {
            return None;
        }
        let (operation, (model, adapter)) =
            self.adapter_order(now, spec, view).or_else(|| self.model_order(spec, view))?;
        let order = EngineOrder { operation, model, adapter, expected: view.seq, fence: fence + 1 };
        self.fence = Some(order.fence);
        self.sending = Some(order.clone());
        Some(order)
    }

    /// The engine answered the order, or nothing came.
    pub fn answered(&mut self, now: Instant, answer: Option<OrderAnswer>) {
        let Some(order) = self.sending.take() else { return };
        // What is reported was read before the order; the next report decides.
        self.quiet_until = match answer {
            Some(OrderAnswer::Accepted) | None => None,
            Some(_) => Some(now + REFUSED_PAUSE),
        };
        let loads_model = order.adapter.is_none() && order.operation == Operation::Load;
        if answer == Some(OrderAnswer::Accepted) && loads_model {
            self.loading = Some((order.model.clone(), order.expected));
        }
        if answer == Some(OrderAnswer::Accepted) && order.operation == Operation::Unload {
            self.leaving.extend(order.adapter.map(|a| (order.model, a)));
        }
        // An order without an answer may be carried out late. It names the number
        // of orders that the next one names too, so that only one of them counts.
        self.view = None;
    }

    fn adapter_order(
        &self,
        now: Instant,
        spec: &EngineSpec,
        view: &EngineView,
    ) -> Option<(Operation, ModelRef)> {
        let present = view.adapters();
        let missing = self.wishes.iter().find_map(|((model, adapter), wish)| {
            let adapter = adapter.as_ref()?;
            let wanted = wish.operation == Operation::Load
                && view.residency.is_loaded(model, None)
                && !present.contains(&(model.clone(), adapter.clone()));
            wanted.then(|| (model.clone(), adapter.clone()))
        });
        let (model, adapter) = missing?;
        let size = spec.models.get(&model)?.adapter_size;
        let slots = spec.adapter_slots as usize;
        if present.len() < slots && self.free(spec, view) >= size {
            return Some((Operation::Load, (model, Some(adapter))));
        }
        if !self.leaving.is_empty() {
            return None;
        }
        let rested = |item: &(ModelName, Arc<str>)| {
            let at = self.wanted.get(&(item.0.clone(), Some(item.1.clone()))).copied();
            let rested = at.is_none_or(|at| at + USE_LIFETIME < now);
            rested.then(|| (at, item.clone()))
        };
        let held = present.iter().filter(|item| !view.coming.contains(item));
        let oldest = held.filter_map(rested).min();
        oldest.map(|(_, (model, adapter))| (Operation::Unload, (model, Some(adapter))))
    }

    fn model_order(&self, spec: &EngineSpec, view: &EngineView) -> Option<(Operation, ModelRef)> {
        if view.residency.order_in_progress || self.loading.is_some() {
            return None;
        }
        let holds = |model: &ModelName| view.residency.is_loaded(model, None);
        let mut models: Vec<_> = self.wishes.iter().filter(|((_, a), _)| a.is_none()).collect();
        models.sort_by_key(|((model, _), _)| (*model).clone());
        let unload = models
            .iter()
            .find(|((model, _), wish)| wish.operation == Operation::Unload && holds(model));
        if let Some(((model, _), _)) = unload {
            return Some((Operation::Unload, (model.clone(), None)));
        }
        let free = self.free(spec, view);
        let load = models.iter().find(|((model, _), wish)| {
            let size = spec.models.get(model).map(|s| s.weights_size);
            wish.operation == Operation::Load && !holds(model) && size.is_some_and(|s| s <= free)
        });
        load.map(|((model, _), _)| (Operation::Load, (model.clone(), None)))
    }

    fn free(&self, spec: &EngineSpec, view: &EngineView) -> Mib {
        let loading = self.loading.as_ref().map(|(model, _)| model);
        let loading = loading.filter(|m| !view.residency.is_loaded(m, None));
        let loading = loading
            .map_or(0, |m| spec.models.get(m).map_or(spec.weights_memory, |s| s.weights_size));
        let unknown = if view.residency.order_in_progress && self.loading.is_none() {
            spec.weights_memory
        } else {
            0
        };
        spec.weights_memory.saturating_sub(view.taken(spec) + loading + unknown)
    }
}

//! Decides where a request goes, whether it waits and when it is refused.
//!
//! Load patterns that it answers: bursts of one class or all (the more urgent
//! goes first, what an engine has to read within a pause is bounded, so that
//! answers in progress do not stall); demand for a model that no engine
//! or only a busy one holds (the request waits for the load within its time);
//! slow endpoints (their measured pace counts).

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::{Duration, Instant},
};

use crate::core::{
    forwarding::{
        Decision, EndpointLoad, EndpointRegistry, EndpointSubset, LoadReport, ModelRef,
        RefusalReason, Requirements, Route, RouteKind, RouteTable, Service, ServiceName,
        WantedAdapter,
        selection::{
            BASE_ANSWER, BASE_FIRST_TOKEN, Locality, PREFILL_TOKENS_PER_MS, Selection, segment_key,
            unknown_model,
        },
    },
    ids::{EndpointId, ModelName},
};

/// One waiting or running request.
pub type Ticket = u64;

/// A request that has waited for more of its target cannot be answered within it.
const ON_TIME_SHARE_OF_TARGET: f64 = 0.8;
/// Part of the target within which a request may wait for its endpoint: a late
/// answer serves the caller better than none.
const WAIT_SHARE_OF_TARGET: f64 = 1.6;
/// Share of the deadline within which a request may wait for a model to load.
const WAIT_SHARE_OF_DEADLINE: f64 = 0.45;
/// Shortest delay that a refused caller is told.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(1200);
/// An adapter that did not come in time is wanted anew, maybe elsewhere.
const WANT_LIFETIME: Duration = Duration::from_millis(500);
/// How long an endpoint whose connections failed is left alone.
const AVOID_FOR: Duration = Duration::from_millis(1500);
/// How long an endpoint counts as gone after another has answered in its place.
/// Source: a registration lapses, or is renewed under another id, within this time.
const GONE_FOR: Duration = Duration::from_millis(3000);
/// Prompt parts that are remembered per endpoint.
const MAX_CACHED_SEGMENTS: usize = 512;

#[derive(Clone, Debug)]
pub(super) struct QueuedRequest {
    pub(super) ticket: Ticket,
    pub(super) service: ServiceName,
    pub(super) requirements: Requirements,
    pub(super) kind: RouteKind,
    pub(super) since: Instant,
    pub(super) target: Duration,
    pub(super) deadline: Instant,
    pub(super) tried: Vec<EndpointId>,
}

#[derive(Clone, Debug)]
struct RunningRequest {
    endpoint: EndpointId,
    prompt_tokens: u32,
    kv_tokens: u64,
    sent_at: Instant,
    expected: Duration,
    answered: bool,
    item: Option<ModelRef>,
}

/// Waiting and running requests of one process.
#[derive(Debug)]
pub struct Dispatcher {
    pub(super) locality: Locality,
    pub(super) rng: fastrand::Rng,
    next: Ticket,
    // By urgency, then by order of arrival.
    waiting: BTreeMap<(u8, Ticket), QueuedRequest>,
    running: HashMap<Ticket, RunningRequest>,
    loads: HashMap<EndpointId, EndpointLoad>,
    pub(super) avoided_until: HashMap<EndpointId, Instant>,
    replaced_until: HashMap<EndpointId, Instant>,
    pub(super) cached_segments: HashMap<EndpointId, Vec<u64>>,
    // When the load of an adapter was first wanted.
    pub(super) wanted_adapters: HashMap<WantedAdapter, Instant>,
    recently_used: HashMap<EndpointId, HashSet<ModelRef>>,
    pub(super) processes: usize,
    pub(super) subset: EndpointSubset,
    // Requests that still wait then are refused: the process ends soon after.
    max_wait_until: Option<Instant>,
}

impl Dispatcher {
    /// A dispatcher; the seed decides between equal endpoints.
    pub fn new(locality: Locality, seed: u64) -> Self {
        Self {
            locality,
            rng: fastrand::Rng::with_seed(seed),
            next: 0,
            waiting: BTreeMap::new(),
            running: HashMap::new(),
            loads: HashMap::new(),
            avoided_until: HashMap::new(),
            replaced_until: HashMap::new(),
            cached_segments: HashMap::new(),
            wanted_adapters: HashMap::new(),
            recently_used: HashMap::new(),
            processes: 1,
            subset: EndpointSubset::SINGLE,
            max_wait_until: None,
        }
    }

    /// Where this process stands.
    pub fn locality(&self) -> &Locality {
        &self.locality
    }

    /// Sets how many processes share the endpoints' connections.
    pub fn set_processes(&mut self, processes: usize) {
        self.processes = processes.max(1);
    }

    /// Sets which part of the engines this process uses first.
    pub fn set_subset(&mut self, subset: EndpointSubset) {
        self.subset = subset;
    }

    /// How many processes share them.
    pub fn processes(&self) -> usize {
        self.processes
    }

    /// The process stops: requests wait until then at most.
    pub fn set_wait_limit(&mut self, until: Instant) {
        self.max_wait_until = Some(until);
    }

    /// A request asks for an endpoint, other than those that it has `tried`.
    pub fn enqueue(
        &mut self,
        now: Instant,
        route: &Route,
        service: ServiceName,
        requirements: Requirements,
        deadline: Instant,
        tried: Vec<EndpointId>,
    ) -> Ticket {
        self.next += 1;
        let ticket = self.next;
        let waiting = QueuedRequest {
            ticket,
            service,
            requirements,
            kind: route.kind,
            since: now,
            target: route.target,
            deadline,
            tried,
        };
        self.waiting.insert((route.priority, ticket), waiting);
        ticket
    }

    /// The caller of a waiting request is gone, or a running one has ended.
    pub fn finish(&mut self, ticket: Ticket) {
        self.waiting.retain(|(_, t), _| *t != ticket);
        let Some(running) = self.running.remove(&ticket) else { return };
        if let Some(load) = self.loads.get_mut(&running.endpoint) {
            load.record_end(running.prompt_tokens, running.kv_tokens, running.answered);
        }
    }

    /// The first part of an answer came.
    pub fn record_first_response(&mut self, now: Instant, ticket: Ticket) {
        let Some(running) = self.running.get_mut(&ticket).filter(|r| !r.answered) else { return };
        running.answered = true;
        let Some(load) = self.loads.get_mut(&running.endpoint) else { return };
        load.record_first_response(now, running.prompt_tokens);
        load.record_latency(now.saturating_duration_since(running.sent_at), running.expected);
    }

    /// An endpoint could not be reached or refused; it is left alone for a while.
    pub fn avoid(&mut self, now: Instant, endpoint: &EndpointId) {
        self.avoided_until.insert(endpoint.clone(), now + AVOID_FOR);
    }

    /// What answers at an endpoint's address is another, or lacks what was asked for.
    /// The endpoint is gone if the agent beside it does not tell otherwise.
    pub fn record_misdirected(&mut self, now: Instant, endpoint: &EndpointId) {
        if self.load(endpoint).report_age(now).is_none() {
            self.replaced_until.insert(endpoint.clone(), now + GONE_FOR);
        }
    }

    /// Whether an endpoint was found gone lately.
    pub(super) fn was_replaced(&self, now: Instant, endpoint: &str) -> bool {
        self.replaced_until.get(endpoint).is_some_and(|until| now < *until)
    }

    /// An endpoint reported its load.
    pub fn record_report(&mut self, now: Instant, endpoint: &EndpointId, report: LoadReport) {
        self.loads.entry(endpoint.clone()).or_default().record_report(now, report);
    }

    /// The load of an endpoint.
    pub fn load(&self, endpoint: &str) -> &EndpointLoad {
        self.loads.get(endpoint).unwrap_or(EndpointLoad::idle())
    }

    /// Forgets endpoints that are gone.
    pub fn retain_registered(&mut self, registry: &EndpointRegistry) {
        let running: Vec<&EndpointId> = self.running.values().map(|r| &r.endpoint).collect();
        self.loads.retain(|id, _| registry.get(id).is_some() || running.contains(&id));
        self.cached_segments.retain(|id, _| registry.get(id).is_some());
        self.avoided_until.retain(|id, _| registry.get(id).is_some());
        self.replaced_until.retain(|id, _| registry.get(id).is_some());
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Adapters that requests wait for, where they are to be loaded.
    pub fn wanted_adapters(&self) -> impl Iterator<Item = &WantedAdapter> {
        self.wanted_adapters.keys()
    }

    /// Models and adapters that are in use at endpoints, or were since the last call.
    pub fn take_in_use(&mut self) -> HashMap<EndpointId, HashSet<ModelRef>> {
        let mut recently_used = std::mem::take(&mut self.recently_used);
        for running in self.running.values() {
            if let Some(item) = &running.item {
                recently_used.entry(running.endpoint.clone()).or_default().insert(item.clone());
            }
        }
        recently_used
    }

    /// Waiting requests by model, for models that no usable endpoint holds.
    pub fn unserved_models(
        &self,
        registry: &EndpointRegistry,
    ) -> HashMap<(ServiceName, ModelName), u32> {
        let mut unserved = HashMap::new();
        for waiting in self.waiting.values() {
            let Some(model) = &waiting.requirements.model else { continue };
            let of_service = registry.iter().filter(|e| e.registration.service == waiting.service);
            if of_service.filter(|e| e.is_usable()).all(|e| !e.residency().is_loaded(model, None)) {
                *unserved.entry((waiting.service.clone(), model.clone())).or_default() += 1;
            }
        }
        unserved
    }

    /// Decides on all waiting requests, the most urgent first.
    pub fn poll(
        &mut self,
        now: Instant,
        table: &RouteTable,
        registry: &EndpointRegistry,
    ) -> Vec<(Ticket, Decision)> {
        let mut decisions = Vec::new();
        self.wanted_adapters.retain(|_, since| now < *since + WANT_LIFETIME);
        for key in self.queue_order(now) {
            let Some(waiting) = self.waiting.get(&key).cloned() else { continue };
            let Some(decision) = self.decide(now, table, registry, &waiting) else { continue };
            self.waiting.remove(&key);
            if let Decision::Send(endpoint) = &decision {
                self.start(now, &waiting, endpoint);
            }
            decisions.push((waiting.ticket, decision));
        }
        decisions
    }

    /// Waiting requests by urgency; those that can still be on time before those
    /// that are late in any case.
    fn queue_order(&self, now: Instant) -> Vec<(u8, Ticket)> {
        let late = |w: &QueuedRequest| w.since + w.target.mul_f64(ON_TIME_SHARE_OF_TARGET) < now;
        let mut keys: Vec<_> = self.waiting.iter().map(|(key, w)| (*key, late(w))).collect();
        keys.sort_by_key(|((priority, ticket), late)| (*priority, *late, *ticket));
        keys.into_iter().map(|(key, _)| key).collect()
    }

    fn decide(
        &mut self,
        now: Instant,
        table: &RouteTable,
        registry: &EndpointRegistry,
        waiting: &QueuedRequest,
    ) -> Option<Decision> {
        let Some(service) = table.service(&waiting.service).cloned() else {
            return Some(Decision::Refuse(RefusalReason::UnknownService, MIN_RETRY_AFTER));
        };
        if let Some(reason) = unknown_model(&service, &waiting.requirements) {
            return Some(Decision::Refuse(reason, MIN_RETRY_AFTER));
        }
        let Selection { best, usable, resident } =
            self.select_endpoint(now, registry, &service, waiting);
        match best {
            Some((endpoint, None)) => return Some(Decision::Send(endpoint)),
            Some((_, Some(wanted))) => {
                self.wanted_adapters.entry(wanted).or_insert(now);
            }
            None => {}
        }
        let reason = match (usable, resident) {
            (false, _) => RefusalReason::NoEndpoint,
            (true, false) => RefusalReason::NotResident,
            (true, true) => RefusalReason::Full,
        };
        let until = self.wait_deadline(waiting, reason);
        (until <= now).then(|| {
            Decision::Refuse(reason, self.retry_after(&service, &waiting.requirements, reason))
        })
    }

    fn wait_deadline(&self, waiting: &QueuedRequest, reason: RefusalReason) -> Instant {
        let whole = waiting.deadline.saturating_duration_since(waiting.since);
        let share = match reason {
            RefusalReason::NotResident => whole.mul_f64(WAIT_SHARE_OF_DEADLINE),
            _ => waiting.target.mul_f64(WAIT_SHARE_OF_TARGET).min(whole / 2),
        };
        let until = waiting.since + share;
        self.max_wait_until.map_or(until, |last| until.min(last))
    }

    fn retry_after(
        &mut self,
        service: &Service,
        requirements: &Requirements,
        reason: RefusalReason,
    ) -> Duration {
        let base = match reason {
            RefusalReason::NotResident => {
                let model = requirements.model.as_ref();
                let spec = service.engine.as_ref().zip(model);
                spec.and_then(|(e, m)| e.models.get(m)).map_or(MIN_RETRY_AFTER, |m| m.load_time)
            }
            _ => MIN_RETRY_AFTER,
        };
        base.mul_f64(1.0 + self.rng.f64())
    }

    fn start(&mut self, now: Instant, waiting: &QueuedRequest, endpoint: &EndpointId) {
        let requirements = &waiting.requirements;
        let prompt_tokens = self.tokens_to_prefill(endpoint, requirements);
        let load = self.loads.entry(endpoint.clone()).or_default();
        let backlog = load.backlog_tokens(now);
        let tokens = backlog + u64::from(prompt_tokens);
        let expected = match waiting.kind {
            RouteKind::Streaming { .. } => {
                BASE_FIRST_TOKEN
                    + Duration::from_secs_f64(tokens as f64 / PREFILL_TOKENS_PER_MS / 1e3)
            }
            _ => BASE_ANSWER,
        };
        load.record_sent(now, prompt_tokens, requirements.kv_tokens());
        let running = RunningRequest {
            endpoint: endpoint.clone(),
            prompt_tokens,
            kv_tokens: requirements.kv_tokens(),
            sent_at: now,
            expected,
            answered: false,
            item: requirements.model.clone().map(|m| (m, requirements.adapter.clone())),
        };
        let item = running.item.clone();
        self.running.insert(waiting.ticket, running);
        if let Some(item) = item {
            self.recently_used.entry(endpoint.clone()).or_default().insert(item);
        }
        let kept = self.cached_segments.entry(endpoint.clone()).or_default();
        for segment in &requirements.prompt_segments {
            let key = segment_key(requirements, segment.id);
            kept.retain(|k| *k != key);
            kept.push(key);
        }
        let surplus = kept.len().saturating_sub(MAX_CACHED_SEGMENTS);
        kept.drain(..surplus);
    }
}

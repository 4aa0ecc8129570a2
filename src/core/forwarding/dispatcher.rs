//! Queues requests and decides for each whether to send, hold or refuse it.
//!
//! It handles three load patterns. In bursts, requests are served by priority, and
//! the prompt tokens that an engine prefills at a time are bounded, so that running
//! streams do not stall. When a model is not loaded, or only on busy engines, the
//! request waits for the load within its time limit. Slow endpoints are chosen
//! less often, by their measured latency. Endpoints that limit their requests get those for
//! which no other one has room, and what they can't take in time is refused at once.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use crate::core::{
    forwarding::{
        Endpoint, EndpointLoad, EndpointRegistry, EndpointRests, EndpointSubset, KeptPrompts,
        KeptSegment, LoadReport, MissingModels, ModelLoads, ModelRef, PrefillSpeeds, Requirements,
        Route, RouteKind, ServiceName, WantedAdapter, chain,
        selection::{BASE_FIRST_TOKEN_TIME, BASE_RESPONSE_TIME, Locality, PREFILL_TOKENS_PER_MS},
        wait_queue::WaitQueue,
    },
    ids::{EndpointId, ModelName, VersionId},
    limits::EndpointLimits,
};

/// Identifies a queued or running request.
pub type Ticket = u64;

/// Share of the latency target after which a queued request counts as late: it can
/// no longer be answered within the target.
const ON_TIME_SHARE_OF_TARGET: f64 = 0.8;
/// After this time without a load, the adapter is requested again, possibly at
/// another endpoint.
pub(super) const WANTED_ADAPTER_LIFETIME: Duration = Duration::from_millis(500);
/// How long an endpoint is avoided after a failed connection, a refusal or silence.
const AVOID_FOR: Duration = Duration::from_millis(1500);
/// How long an endpoint is excluded after another one answered at its address. Within
/// this time a registration lapses or is renewed under another id.
const EXCLUDE_REPLACED_FOR: Duration = Duration::from_millis(3000);

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
    pub(super) version: Option<VersionId>,
}

impl QueuedRequest {
    /// When it can no longer meet its target.
    pub(super) fn late_at(&self) -> Instant {
        self.since + self.target.mul_f64(ON_TIME_SHARE_OF_TARGET)
    }
}

#[derive(Clone, Debug)]
struct RunningRequest {
    // As it was queued, with its priority.
    request: Arc<QueuedRequest>,
    priority: u8,
    endpoint: EndpointId,
    service: ServiceName,
    // Work to read the prompt, in tokens of the data sheet's engine.
    prompt_tokens: u32,
    // Tokens to read, if the endpoint has no other prompt to read.
    alone: Option<u32>,
    kv_tokens: u64,
    sent_at: Instant,
    admitted_at: Instant,
    expected: Duration,
    responded: bool,
    model_ref: Option<ModelRef>,
    segments: Vec<KeptSegment>,
}

/// The queued and running requests of one gateway process.
#[derive(Debug)]
pub struct Dispatcher {
    pub(super) locality: Locality,
    pub(super) rng: fastrand::Rng,
    next_ticket: Ticket,
    pub(super) examined: u64,
    pub(super) queue: WaitQueue,
    pub(super) polled_at: Option<Instant>,
    running: HashMap<Ticket, RunningRequest>,
    loads: HashMap<EndpointId, EndpointLoad>,
    pub(super) avoided_until: HashMap<EndpointId, Instant>,
    pub(super) silent_until: HashMap<EndpointId, Instant>,
    replaced_until: HashMap<EndpointId, Instant>,
    pub(super) full_until: HashMap<EndpointId, Instant>,
    // Endpoints whose agents decide when a prompt is sent.
    admitting: HashSet<EndpointId>,
    pub(super) missing_models: MissingModels,
    pub(super) model_loads: ModelLoads,
    pub(super) speeds: PrefillSpeeds,
    pub(super) kept_prompts: KeptPrompts,
    // When each adapter was first requested; entries expire after `WANTED_ADAPTER_LIFETIME`.
    pub(super) wanted_adapters: HashMap<WantedAdapter, Instant>,
    // An adapter was added to `wanted_adapters`: its agent has to know.
    pub(super) adapter_wanted: bool,
    recently_used: HashMap<EndpointId, HashSet<ModelRef>>,
    pub(super) processes: usize,
    pub(super) subset: EndpointSubset,
    pub(super) limits: EndpointLimits,
    pub(super) rests: EndpointRests,
    // Requests wait for an endpoint that limits them, or were sent there: other processes
    // have to know.
    pub(super) limits_changed: bool,
    // Set at shutdown: requests still queued then are refused, since the process exits
    // soon after.
    pub(super) max_wait_until: Option<Instant>,
}

impl Dispatcher {
    /// Creates an empty dispatcher. The seed drives the random part of the scores.
    pub fn new(locality: Locality, seed: u64) -> Self {
        Self {
            locality,
            rng: fastrand::Rng::with_seed(seed),
            next_ticket: 0,
            examined: 0,
            queue: WaitQueue::default(),
            polled_at: None,
            running: HashMap::new(),
            loads: HashMap::new(),
            avoided_until: HashMap::new(),
            silent_until: HashMap::new(),
            replaced_until: HashMap::new(),
            full_until: HashMap::new(),
            admitting: HashSet::new(),
            missing_models: MissingModels::default(),
            model_loads: ModelLoads::default(),
            speeds: PrefillSpeeds::default(),
            kept_prompts: KeptPrompts::default(),
            wanted_adapters: HashMap::new(),
            adapter_wanted: false,
            recently_used: HashMap::new(),
            processes: 1,
            subset: EndpointSubset::SINGLE,
            limits: EndpointLimits::new(seed),
            rests: EndpointRests::default(),
            limits_changed: false,
            max_wait_until: None,
        }
    }

    /// The availability zone and regions of this process.
    pub fn locality(&self) -> &Locality {
        &self.locality
    }

    /// Sets the number of processes among which each endpoint's connection limit is
    /// divided.
    pub fn set_processes(&mut self, processes: usize) {
        self.processes = processes.max(1);
    }

    /// Sets the subset of the engines that this process prefers.
    pub fn set_subset(&mut self, subset: EndpointSubset) {
        self.subset = subset;
    }

    /// The number of processes that share the endpoints.
    pub fn processes(&self) -> usize {
        self.processes
    }

    /// Caps all waits at `until`, because the process is shutting down.
    pub fn set_wait_limit(&mut self, until: Instant) {
        self.max_wait_until = Some(until);
    }

    /// Queues a request for an endpoint other than those it has already `tried`. A stream that
    /// goes on needs one of its `version`.
    #[expect(clippy::too_many_arguments, reason = "each is a property of the request")]
    pub fn enqueue(
        &mut self,
        now: Instant,
        route: &Route,
        service: ServiceName,
        requirements: Requirements,
        deadline: Instant,
        tried: Vec<EndpointId>,
        version: Option<VersionId>,
    ) -> Ticket {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let request = QueuedRequest {
            ticket,
            service,
            requirements,
            kind: route.kind,
            since: now,
            target: route.target,
            deadline,
            tried,
            version,
        };
        self.queue.insert(route.priority, request);
        ticket
    }

    /// Removes a queued request whose caller has gone, or a running one that has ended.
    pub fn finish(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
        let Some(running) = self.running.remove(&ticket) else { return };
        if let Some(load) = self.loads.get_mut(&running.endpoint) {
            load.record_end(running.prompt_tokens, running.kv_tokens, running.responded);
        }
    }

    /// Records whether the agent of an endpoint decides when prompts are sent there.
    pub fn set_admits(&mut self, endpoint: &EndpointId, admits: bool) {
        match admits {
            true => self.admitting.insert(endpoint.clone()),
            false => self.admitting.remove(endpoint),
        };
    }

    /// Whether the agent of an endpoint decides when prompts are sent there, and was heard.
    pub fn admits(&self, now: Instant, endpoint: &str) -> bool {
        self.admitting.contains(endpoint) && self.load(endpoint).report_age(now).is_some()
    }

    /// Work to read the prompt of a request that is to be sent, in tokens of the data sheet's
    /// engine; none if it states no prompt.
    pub fn prompt_work(&self, ticket: Ticket) -> Option<u32> {
        let running = self.running.get(&ticket)?;
        (0 < running.request.requirements.prompt_tokens).then_some(running.prompt_tokens)
    }

    /// Records that a request is sent only now, since its prompt had to be admitted.
    pub fn record_admitted(&mut self, now: Instant, ticket: Ticket) {
        if let Some(running) = self.running.get_mut(&ticket) {
            running.admitted_at = now;
        }
    }

    /// Queues a request again that was not sent, in its former place. Its endpoint has no room
    /// for this long.
    pub fn requeue(&mut self, now: Instant, ticket: Ticket, full: Duration) {
        self.record_not_run(ticket);
        let Some(running) = self.running.remove(&ticket) else { return };
        if let Some(load) = self.loads.get_mut(&running.endpoint) {
            load.record_end(running.prompt_tokens, running.kv_tokens, false);
        }
        self.full_until.insert(running.endpoint, now + full);
        self.queue.insert(running.priority, (*running.request).clone());
    }

    /// Records the first part of a response and its latency.
    pub fn record_first_response(&mut self, now: Instant, ticket: Ticket) {
        let Some(running) = self.running.get_mut(&ticket).filter(|r| !r.responded) else { return };
        running.responded = true;
        let segments = std::mem::take(&mut running.segments);
        self.kept_prompts.record_first_event(now, &running.endpoint, &segments);
        if let Some(model) = &running.model_ref {
            self.missing_models.clear(&running.endpoint, model);
        }
        let Some(load) = self.loads.get_mut(&running.endpoint) else { return };
        load.record_first_response(now, running.prompt_tokens);
        let took = now.saturating_duration_since(running.admitted_at);
        load.record_latency(took, running.expected);
        if let (Some(tokens), Some((model, _))) = (running.alone, &running.model_ref) {
            self.speeds.record(&running.service, model, tokens, took.as_secs_f64() * 1e3);
        }
    }

    /// Records that a request that was sent did not run.
    pub fn record_not_run(&mut self, ticket: Ticket) {
        let Some(running) = self.running.get(&ticket) else { return };
        if let Some(load) = self.loads.get_mut(&running.endpoint) {
            load.record_not_run(running.sent_at, running.prompt_tokens);
        }
    }

    /// Avoids an endpoint for a while after it refused or could not be reached.
    pub fn avoid(&mut self, now: Instant, endpoint: &EndpointId) {
        self.avoided_until.insert(endpoint.clone(), now + AVOID_FOR);
    }

    /// Avoids an endpoint for a while after it has left a request without a response.
    pub fn record_silence(&mut self, now: Instant, endpoint: &EndpointId) {
        self.silent_until.insert(endpoint.clone(), now + AVOID_FOR);
    }

    /// Records that another endpoint answered at this address, or that the model was
    /// missing. Unless a recent report from the agent shows that the endpoint lives,
    /// it is excluded for a while.
    pub fn record_misdirected(&mut self, now: Instant, endpoint: &EndpointId) {
        if self.load(endpoint).report_age(now).is_none() {
            self.replaced_until.insert(endpoint.clone(), now + EXCLUDE_REPLACED_FOR);
        }
    }

    /// Records that an endpoint did not have what a request requires: others for the same model go
    /// elsewhere for a while.
    pub fn record_missing(&mut self, now: Instant, endpoint: &EndpointId, required: &Requirements) {
        if let Some(model) = required.model_ref() {
            self.missing_models.record(now, endpoint, &model);
        }
    }

    /// Records the model that an endpoint loads, if it does.
    pub fn record_loading(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        loading: Option<ModelName>,
    ) {
        self.model_loads.record(now, endpoint, loading);
    }

    /// Whether another endpoint recently answered at this one's address.
    pub(super) fn was_replaced(&self, now: Instant, endpoint: &str) -> bool {
        self.replaced_until.get(endpoint).is_some_and(|until| now < *until)
    }

    /// Stores a load report of an endpoint.
    pub fn record_report(&mut self, now: Instant, endpoint: &Endpoint, report: LoadReport) {
        self.kept_prompts.record_report(endpoint, &report);
        let loaded = &endpoint.residency().loaded;
        let service = &endpoint.registration.service;
        let costs = loaded.iter().map(|m| self.speeds.cost(service, &m.name));
        let cost = if loaded.is_empty() { 1.0 } else { costs.sum::<f64>() / loaded.len() as f64 };
        // An agent that admits prompts reports the work that it was told, others whole prompts.
        let cost = match self.admitting.contains(endpoint.id()) {
            true => 1.0,
            false => cost * self.kept_prompts.prefilled_share(endpoint.id()),
        };
        self.loads.entry(endpoint.id().clone()).or_default().record_report(now, report, cost);
    }

    /// The prompt segments that engines are believed to keep.
    pub fn kept_prompts(&self) -> &KeptPrompts {
        &self.kept_prompts
    }

    /// The same, to exchange them with other processes.
    pub fn kept_prompts_mut(&mut self) -> &mut KeptPrompts {
        &mut self.kept_prompts
    }

    /// The speeds at which engines read prompts.
    pub fn speeds(&self) -> &PrefillSpeeds {
        &self.speeds
    }

    /// Work to read a token of the request's prompt, 1 for an engine of the data sheet.
    pub(super) fn prompt_cost(&self, service: &ServiceName, requirements: &Requirements) -> f64 {
        requirements.model.as_ref().map_or(1.0, |model| self.speeds.cost(service, model))
    }

    /// The load of an endpoint; an idle one if nothing is known of it.
    pub fn load(&self, endpoint: &str) -> &EndpointLoad {
        self.loads.get(endpoint).unwrap_or(EndpointLoad::idle())
    }

    /// Drops the state of endpoints that are no longer registered.
    pub fn retain_registered(&mut self, registry: &EndpointRegistry) {
        let running: HashSet<&EndpointId> = self.running.values().map(|r| &r.endpoint).collect();
        self.loads.retain(|id, _| registry.get(id).is_some() || running.contains(id));
        self.kept_prompts.retain_registered(registry);
        self.avoided_until.retain(|id, _| registry.get(id).is_some());
        self.silent_until.retain(|id, _| registry.get(id).is_some());
        self.replaced_until.retain(|id, _| registry.get(id).is_some());
        self.full_until.retain(|id, _| registry.get(id).is_some());
        self.admitting.retain(|id| registry.get(id).is_some());
        self.missing_models.retain(|id| registry.get(id).is_some());
        self.model_loads.retain(|id| registry.get(id).is_some());
        let started_ms = |id: &EndpointId| registry.get(id).map(|e| e.registration.started_ms);
        self.limits.retain(started_ms);
        self.rests.retain(started_ms);
    }

    /// Number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Endpoints that were examined for queued requests since the start: the work of
    /// [`Self::poll`].
    pub fn examined(&self) -> u64 {
        self.examined
    }

    /// Adapters that queued requests wait for, with the endpoints that should load them.
    pub fn wanted_adapters(&self) -> impl Iterator<Item = &WantedAdapter> {
        self.wanted_adapters.keys()
    }

    /// Whether there are new [`Self::wanted_adapters`] since the last call.
    pub fn take_adapter_wanted(&mut self) -> bool {
        std::mem::take(&mut self.adapter_wanted)
    }

    /// Takes the models and adapters used at each endpoint since the last call,
    /// including those of running requests.
    pub fn take_in_use(&mut self) -> HashMap<EndpointId, HashSet<ModelRef>> {
        let mut recently_used = std::mem::take(&mut self.recently_used);
        for running in self.running.values() {
            if let Some(model_ref) = &running.model_ref {
                recently_used
                    .entry(running.endpoint.clone())
                    .or_default()
                    .insert(model_ref.clone());
            }
        }
        recently_used
    }

    /// Running and waiting requests by service and model, with the KV cache tokens that the
    /// running ones occupy when they end.
    pub fn requests_by_model(&self) -> HashMap<(ServiceName, ModelName), (u32, u64)> {
        let queued = self.queue.by_model().iter();
        let queued = queued.filter_map(|((service, model), count)| {
            Some(((service.clone(), model.clone()?), (*count, 0)))
        });
        let mut by_model: HashMap<_, (u32, u64)> = queued.collect();
        for running in self.running.values() {
            let Some((model, _)) = &running.model_ref else { continue };
            let sum = by_model.entry((running.service.clone(), model.clone())).or_default();
            *sum = (sum.0 + 1, sum.1 + running.kv_tokens);
        }
        by_model
    }

    /// Number of queued requests per model, for models that no usable endpoint has
    /// loaded.
    pub fn unserved_models(
        &self,
        registry: &EndpointRegistry,
    ) -> HashMap<(ServiceName, ModelName), u32> {
        let mut unserved = HashMap::new();
        for ((service, model), waiting) in self.queue.by_model() {
            let Some(model) = model else { continue };
            let mut in_service =
                registry.iter().filter(|e| e.registration.service == *service && e.is_usable());
            if in_service.all(|e| !e.residency().is_loaded(model, None)) {
                unserved.insert((service.clone(), model.clone()), *waiting);
            }
        }
        unserved
    }

    pub(super) fn start(
        &mut self,
        now: Instant,
        priority: u8,
        request: &Arc<QueuedRequest>,
        endpoint: &EndpointId,
    ) {
        let requirements = &request.requirements;
        self.limits_changed |= self.limits.take(endpoint);
        self.rests.take(now, endpoint);
        let read_tokens = self.tokens_to_prefill(now, endpoint, requirements);
        self.kept_prompts.record_sent(endpoint, requirements.prompt_tokens, read_tokens);
        let cost = self.prompt_cost(&request.service, requirements);
        let prompt_tokens = (f64::from(read_tokens) * cost) as u32;
        let load = self.loads.entry(endpoint.clone()).or_default();
        let backlog = load.backlog_tokens(now);
        let tokens = backlog + u64::from(prompt_tokens);
        let expected = match request.kind {
            RouteKind::Streaming { .. } => {
                BASE_FIRST_TOKEN_TIME
                    + Duration::from_secs_f64(tokens as f64 / PREFILL_TOKENS_PER_MS / 1e3)
            }
            _ => BASE_RESPONSE_TIME,
        };
        let is_alone = load.total_awaiting_first_token(now) == 0;
        load.record_sent(now, prompt_tokens, requirements.kv_tokens());
        let running = RunningRequest {
            request: request.clone(),
            priority,
            endpoint: endpoint.clone(),
            service: request.service.clone(),
            prompt_tokens,
            alone: is_alone.then_some(read_tokens),
            kv_tokens: requirements.kv_tokens(),
            sent_at: now,
            admitted_at: now,
            expected,
            responded: false,
            model_ref: requirements.model_ref(),
            segments: chain(requirements),
        };
        let model_ref = running.model_ref.clone();
        self.running.insert(request.ticket, running);
        if let Some(model_ref) = model_ref {
            self.recently_used.entry(endpoint.clone()).or_default().insert(model_ref);
        }
    }
}

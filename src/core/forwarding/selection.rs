//! Selects the endpoint that is expected to answer a request soonest.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::core::{
    forwarding::{
        Endpoint, EndpointLoad, EndpointRegistry, EngineSpec, RefusalReason, Requirements, Service,
        WantedAdapter,
        dispatcher::{Dispatcher, QueuedRequest},
    },
    hash,
    ids::EndpointId,
};

/// Prompt tokens that an engine prefills per millisecond, by the operators' data sheet. Work to
/// read prompts is stated in such tokens; [`PrefillSpeeds`] corrects it for each model.
///
/// [`PrefillSpeeds`]: crate::core::forwarding::PrefillSpeeds
pub(crate) const PREFILL_TOKENS_PER_MS: f64 = 19.2;
/// Part of the time to first token that does not depend on the prompt.
pub(super) const BASE_FIRST_TOKEN_TIME: Duration = Duration::from_millis(90);
/// Expected response time of an idle endpoint that is not an engine.
pub(super) const BASE_RESPONSE_TIME: Duration = Duration::from_millis(60);

/// Time that an engine needs for one step of its batch, without prompts, by the operators' data
/// sheet.
const STEP_TIME: Duration = Duration::from_millis(10);
/// Prefill time that other processes may add before this one hears of it.
const UNREPORTED_PREFILL_TIME: Duration = Duration::from_millis(45);
/// Shortest prefill time that an engine is given within a pause.
const MIN_PREFILL_TIME: Duration = Duration::from_millis(50);
/// Share of the prefill limit that this process alone may use at an engine outside its subset.
const UNASSIGNED_SHARE: f64 = 0.2;
/// A prompt of any length is accepted while the pending tokens are below this share of
/// the limit.
const FREE_PREFILL_SHARE: f64 = 0.3;
/// Score penalty for an engine outside this process's subset: how much longer a request
/// may wait at an engine in the subset instead.
const UNASSIGNED_COST_MS: f64 = 40.0;
/// KV cache utilization from which an engine gets no further requests.
const MAX_KV_UTILIZATION: f64 = 0.9;
/// Network round trip to another region.
const OTHER_REGION_COST_MS: f64 = 60.0;
/// Network round trip to another availability zone of the same region.
const OTHER_ZONE_COST_MS: f64 = 5.0;
/// Delay that each request in an engine's batch adds to the time to first token, since
/// it lengthens every step.
const RUNNING_REQUEST_COST_MS: f64 = 0.5;
/// Maximum random part of a score. It keeps processes that have the same stale reports
/// from all selecting the same endpoint.
const JITTER_MS: f64 = 30.0;
/// Score penalty for an endpoint that must load the adapter first: the time to decide
/// on, transmit and execute the load order.
const ADAPTER_LOAD_COST_MS: f64 = 200.0;
/// The same penalty if the load was already requested for another request.
const ADAPTER_LOADING_COST_MS: f64 = 40.0;
/// Range of the hash-based scores that rank endpoints for an adapter.
const MAX_SPREAD_MS: f64 = 80.0;
/// Score penalty for an endpoint that limits its requests, which is selected only if all
/// others without a limit are full.
const LIMITED_COST_MS: f64 = 5_000.0;
/// Score penalty for an avoided endpoint, which is selected only if all others are full.
const AVOIDED_COST_MS: f64 = 10_000.0;
/// Score penalty for a silent endpoint: one that refuses a request does so at once, and a silent
/// one may keep it until its deadline.
const SILENT_COST_MS: f64 = 20_000.0;

/// The zone of this process and the region of each zone, to rank endpoints by distance.
#[derive(Clone, Debug, Default)]
pub struct Locality {
    /// The availability zone of this process.
    pub zone: Arc<str>,
    /// Region of each availability zone.
    pub regions: HashMap<Arc<str>, Arc<str>>,
}

impl Locality {
    /// Sort key that groups availability zones by region.
    pub fn sort_key<'a>(&'a self, zone: &'a str) -> (Option<&'a str>, &'a str) {
        (self.regions.get(zone).map(|region| &**region), zone)
    }

    fn distance_ms(&self, zone: &str) -> f64 {
        if *self.zone == *zone {
            return 0.0;
        }
        let same = self.regions.get(zone) == self.regions.get(&self.zone);
        if same { OTHER_ZONE_COST_MS } else { OTHER_REGION_COST_MS }
    }
}

/// The result of selecting an endpoint.
#[derive(Debug)]
pub(super) struct Selection {
    /// The endpoint with the lowest score, and the adapter that it has yet to load.
    pub(super) best: Option<(EndpointId, Option<WantedAdapter>)>,
    /// Whether any endpoint of the service, and of the version that a stream needs, accepts
    /// requests, also one that the request has tried.
    pub(super) exists: bool,
    /// Whether any untried one of those does.
    pub(super) usable: bool,
    /// Whether any of those has the model loaded.
    pub(super) resident: bool,
    /// Whether all of those limit their requests.
    pub(super) all_limited: bool,
    /// Those that limit their requests and have room otherwise.
    pub(super) limited: Vec<EndpointId>,
    /// All that have the model loaded, if each of them rests.
    pub(super) resting: Option<Vec<EndpointId>>,
    /// Whether one that has rested takes another request in a moment.
    pub(super) spreads: bool,
    /// Whether `best` is avoided while others that have the model loaded are full.
    pub(super) only_avoided: bool,
}

impl Dispatcher {
    /// Selects among the endpoints of the service that the request has not tried.
    pub(super) fn select_endpoint(
        &mut self,
        now: Instant,
        registry: &EndpointRegistry,
        service: &Service,
        request: &QueuedRequest,
    ) -> Selection {
        self.examined += registry.len() as u64;
        let mut best: Option<(f64, &Endpoint, Option<WantedAdapter>)> = None;
        let mut others_full = false;
        let in_service = |e: &&Endpoint| e.registration.service == request.service;
        let untried = |e: &&Endpoint| !request.tried.contains(e.id());
        let fits = |e: &&Endpoint| request.version.is_none_or(|version| e.version() == version);
        let available = |e: &&Endpoint| e.is_usable() && !self.was_replaced(now, e.id());
        let mut eligible: Vec<&Endpoint> =
            registry.iter().filter(in_service).filter(fits).filter(available).collect();
        let exists = !eligible.is_empty();
        let usable = eligible.iter().any(untried);
        eligible.retain(|e| service.engine.is_none() || has_model(e, &request.requirements));
        if !self.missing_models.is_empty()
            && let Some(model) = request.requirements.model_ref()
        {
            eligible.retain(|e| !self.missing_models.contains(now, e.id(), &model));
        }
        eligible.sort_by_cached_key(|e| self.locality.sort_key(&e.registration.zone));
        let resident = eligible.iter().any(untried);
        let mut untried_endpoints = eligible.iter().copied().filter(untried);
        let all_limited = untried_endpoints.all(|e| self.limits.rate(e.id()).is_some());
        let with_model: Vec<EndpointId> =
            eligible.iter().copied().filter(untried).map(|e| e.id().clone()).collect();
        let all_rest = with_model.iter().all(|id| self.rests.is_resting(now, id));
        let resting = Some(with_model).filter(|all| all_rest && !all.is_empty());
        let mut spreads = false;
        let mut limited = Vec::new();
        let count = eligible.len();
        for (position, endpoint) in eligible.into_iter().enumerate().filter(|(_, e)| untried(e)) {
            if request.version.is_some() && endpoint.may_have_restarted() {
                continue;
            }
            if !self.rests.wait(now, endpoint.id()).is_zero() {
                spreads |= !self.rests.is_resting(now, endpoint.id());
                continue;
            }
            let share = self.subset.share(position, count);
            let score = self.score(now, service, endpoint, &request.requirements, share);
            let Some(score) = score else {
                others_full |= !self.is_avoided(now, endpoint);
                continue;
            };
            if self.limits.rate(endpoint.id()).is_some() {
                limited.push(endpoint.id().clone());
                if !self.limits.wait(now, endpoint.id(), 0).is_zero() {
                    continue;
                }
            }
            let jitter = if service.engine.is_some() { self.rng.f64() * JITTER_MS } else { 0.0 };
            let score = score + jitter;
            let missing_adapter = service
                .engine
                .as_ref()
                .and_then(|_| missing_adapter(endpoint, &request.requirements));
            let cost = missing_adapter.as_ref().map_or(0.0, |w| {
                match self.wanted_adapters.contains_key(w) {
                    true => ADAPTER_LOADING_COST_MS,
                    false => ADAPTER_LOAD_COST_MS,
                }
            });
            if best.as_ref().is_none_or(|(least, ..)| score + cost < *least) {
                best = Some((score + cost, endpoint, missing_adapter));
            }
        }
        let only_avoided =
            others_full && best.as_ref().is_some_and(|(_, e, _)| self.is_avoided(now, e));
        let best =
            best.map(|(_, endpoint, missing_adapter)| (endpoint.id().clone(), missing_adapter));
        Selection {
            best,
            exists,
            usable,
            resident,
            all_limited,
            limited,
            resting,
            spreads,
            only_avoided,
        }
    }

    /// Score penalty for an endpoint that may not serve a request.
    fn avoidance(&self, now: Instant, endpoint: &Endpoint) -> f64 {
        let id = endpoint.id();
        let lasts = |until: Option<&Instant>| until.is_some_and(|until| now < *until);
        if lasts(self.silent_until.get(id)) || self.load(id).is_unresponsive(now) {
            return SILENT_COST_MS;
        }
        let avoided = lasts(self.avoided_until.get(id)) || endpoint.may_have_restarted();
        if avoided { AVOIDED_COST_MS } else { 0.0 }
    }

    fn is_avoided(&self, now: Instant, endpoint: &Endpoint) -> bool {
        0.0 < self.avoidance(now, endpoint)
    }

    /// Expected milliseconds to a response plus penalties; `None` if the endpoint is full.
    fn score(
        &self,
        now: Instant,
        service: &Service,
        endpoint: &Endpoint,
        requirements: &Requirements,
        share: f64,
    ) -> Option<f64> {
        let load = self.load(endpoint.id());
        let connection_limit = (service.max_connections / self.processes).max(1);
        if connection_limit <= load.running() as usize {
            return None;
        }
        if self.full_until.get(endpoint.id()).is_some_and(|until| now < *until) {
            return None;
        }
        let avoidance = self.avoidance(now, endpoint);
        let is_limited = self.limits.rate(endpoint.id()).is_some();
        let limit = if is_limited { LIMITED_COST_MS } else { 0.0 };
        let penalty = avoidance + limit + self.locality.distance_ms(&endpoint.registration.zone);
        let latency = match &service.engine {
            Some(spec) => {
                let limit = prefill_limit(spec, service.pause_target);
                self.engine_score(now, spec, endpoint, load, requirements, share, limit)?
            }
            None => service_score(endpoint, load)?,
        };
        Some(penalty + latency)
    }

    #[expect(clippy::too_many_arguments, reason = "each bounds what the engine is given")]
    fn engine_score(
        &self,
        now: Instant,
        spec: &EngineSpec,
        endpoint: &Endpoint,
        load: &EndpointLoad,
        requirements: &Requirements,
        share: f64,
        limit: f64,
    ) -> Option<f64> {
        let running = load.total_running(now);
        let slots = if spec.slots == 0 { endpoint.registration.slots } else { spec.slots };
        let full =
            slots <= running || MAX_KV_UTILIZATION <= load.kv_utilization(now, spec.kv_tokens);
        let pending = load.prefill_tokens(now);
        let cost = self.prompt_cost(&endpoint.registration.service, requirements);
        let prompt = f64::from(self.tokens_to_prefill(now, endpoint.id(), requirements)) * cost;
        let own = load.own_prefill_tokens(now);
        let own_limit = UNASSIGNED_SHARE.max(share) * limit;
        if full || !fits(prompt, pending, limit) || !fits(prompt, own, own_limit) {
            return None;
        }
        let first_token_ms =
            BASE_FIRST_TOKEN_TIME.as_secs_f64() * 1e3 + (pending + prompt) / PREFILL_TOKENS_PER_MS;
        let spread = spread_ms(endpoint, requirements, share);
        Some(
            first_token_ms * load.slowdown()
                + f64::from(running) * RUNNING_REQUEST_COST_MS
                + spread,
        )
    }

    /// Prompt tokens left to prefill after the leading segments that the endpoint is believed to
    /// keep.
    pub(super) fn tokens_to_prefill(&self, now: Instant, endpoint: &str, r: &Requirements) -> u32 {
        r.prompt_tokens.saturating_sub(self.kept_prompts.kept_tokens(now, endpoint, r))
    }
}

/// Work to prefill that an engine is given within the longest pause that is on time, in tokens of
/// the data sheet's engine: what that engine prefills in the pause beside the steps that decode
/// one event.
fn prefill_limit(spec: &EngineSpec, pause_target: Duration) -> f64 {
    let decoding = STEP_TIME * spec.tokens_per_event.max(1);
    let prefill = pause_target.saturating_sub(decoding + UNREPORTED_PREFILL_TIME);
    prefill.max(MIN_PREFILL_TIME).as_secs_f64() * 1e3 * PREFILL_TOKENS_PER_MS
}

fn service_score(endpoint: &Endpoint, load: &EndpointLoad) -> Option<f64> {
    let slots = endpoint.registration.slots.max(1);
    let utilization = f64::from(load.running()) / f64::from(slots);
    let latency = BASE_RESPONSE_TIME.as_secs_f64() * 1e3 * (1.0 + utilization);
    (load.running() < slots).then(|| latency * load.slowdown())
}

/// Score penalty in milliseconds that spreads requests over engines: by adapter where
/// one is needed, else by this process's subset.
fn spread_ms(endpoint: &Endpoint, requirements: &Requirements, share: f64) -> f64 {
    match &requirements.adapter {
        // Hashing makes all processes prefer the same endpoints for an adapter.
        Some(adapter) => {
            hash::unit_interval(&[endpoint.id().as_bytes(), adapter.as_bytes()]) * MAX_SPREAD_MS
        }
        None if share == 0.0 => UNASSIGNED_COST_MS,
        None => 0.0,
    }
}

/// Whether a prompt may be added to the tokens that an engine has yet to prefill.
fn fits(prompt: f64, pending: f64, limit: f64) -> bool {
    pending <= (limit - prompt).max(limit * FREE_PREFILL_SHARE)
}

fn has_model(endpoint: &Endpoint, requirements: &Requirements) -> bool {
    requirements.model.as_ref().is_none_or(|model| endpoint.residency().is_loaded(model, None))
}

/// The adapter that a request needs and the endpoint has not loaded.
fn missing_adapter(endpoint: &Endpoint, requirements: &Requirements) -> Option<WantedAdapter> {
    let (model, adapter) = requirements.model.as_ref().zip(requirements.adapter.as_ref())?;
    if endpoint.residency().is_loaded(model, Some(adapter)) {
        return None;
    }
    let (model, adapter) = (model.clone(), adapter.clone());
    Some(WantedAdapter { endpoint: endpoint.id().clone(), model, adapter })
}

pub(super) fn unknown_model(
    service: &Service,
    requirements: &Requirements,
) -> Option<RefusalReason> {
    let engine = service.engine.as_ref()?;
    let model = requirements.model.as_ref()?;
    (!engine.models.contains_key(model)).then_some(RefusalReason::UnknownModel)
}

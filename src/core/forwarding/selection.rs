//! Which of the endpoints that could serve a request answers it soonest.

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

/// Prompt tokens that an engine reads in a millisecond. Source: the operators'
/// sheet; the measured pace of an endpoint corrects it.
pub(super) const PREFILL_TOKENS_PER_MS: f64 = 19.2;
/// Time to a first token that reading the prompt does not explain.
pub(super) const BASE_FIRST_TOKEN: Duration = Duration::from_millis(90);
/// Usual time of a plain answer.
pub(super) const BASE_ANSWER: Duration = Duration::from_millis(60);

/// Prompt tokens that an engine may have to read within the pause of 300 ms that
/// a stream may have: what it reads in that time, less the steps between.
const MAX_PREFILL_TOKENS: f64 = 4500.0;
/// The same of this process alone at an engine that is others' to use first.
const MAX_UNASSIGNED_TOKENS: f64 = 900.0;
/// Share of a limit up to which an engine takes a prompt of any length.
const FREE_PREFILL_SHARE: f64 = 0.3;
/// What a request may wait longer at an engine that is this process's to use first.
const UNASSIGNED_COST_MS: f64 = 40.0;
/// Share of an engine's memory beyond which it gets no further request.
const MAX_KV_UTILIZATION: f64 = 0.9;
/// Time that a byte takes to another region and back.
const OTHER_REGION_COST_MS: f64 = 60.0;
/// The same to another availability zone of the region.
const OTHER_ZONE_COST_MS: f64 = 5.0;
/// What each request that runs at an engine adds to the time of a step, over the
/// steps to a first token.
const RUNNING_REQUEST_COST_MS: f64 = 0.5;
/// Largest random part of a score; keeps processes with the same stale reports
/// from choosing the same endpoint.
const JITTER_MS: f64 = 30.0;
/// What a request may wait longer at an endpoint that has its adapter rather
/// than have it loaded at another: the order, its way and the load.
const ADAPTER_LOAD_COST_MS: f64 = 200.0;
/// The same while the adapter is being loaded for another request.
const ADAPTER_LOADING_COST_MS: f64 = 40.0;
/// What endpoints differ by in the choice for an adapter that none of them has.
const MAX_SPREAD_MS: f64 = 80.0;
/// An endpoint that is left alone is chosen only before one that is full.
const AVOIDED_COST_MS: f64 = 10_000.0;

/// Where this process stands, to tell near endpoints from far ones.
#[derive(Clone, Debug, Default)]
pub struct Locality {
    /// Own availability zone.
    pub zone: Arc<str>,
    /// Region of each availability zone.
    pub regions: HashMap<Arc<str>, Arc<str>>,
}

impl Locality {
    /// Order of availability zones, those of a region together.
    pub fn sort_key<'a>(&'a self, zone: &'a str) -> (Option<&'a str>, &'a str) {
        (self.regions.get(zone).map(|region| &**region), zone)
    }

    fn cost_ms(&self, zone: &str) -> f64 {
        if *self.zone == *zone {
            return 0.0;
        }
        let same = self.regions.get(zone) == self.regions.get(&self.zone);
        if same { OTHER_ZONE_COST_MS } else { OTHER_REGION_COST_MS }
    }
}

/// The best endpoint for a request, if there is one.
#[derive(Debug)]
pub(super) struct Selection {
    /// The endpoint, and the adapter that it lacks.
    pub(super) best: Option<(EndpointId, Option<WantedAdapter>)>,
    /// Some endpoint of the service takes requests.
    pub(super) usable: bool,
    /// Some of those hold the model.
    pub(super) resident: bool,
}

impl Dispatcher {
    /// Chooses among the endpoints of a service that the request has not tried.
    pub(super) fn select_endpoint(
        &mut self,
        now: Instant,
        registry: &EndpointRegistry,
        service: &Service,
        waiting: &QueuedRequest,
    ) -> Selection {
        let mut best: Option<(f64, EndpointId, Option<WantedAdapter>)> = None;
        let of_service = |e: &&Endpoint| e.registration.service == waiting.service;
        let untried = |e: &&Endpoint| !waiting.tried.contains(e.id());
        let available = |e: &&Endpoint| e.is_usable() && !self.was_replaced(now, e.id());
        let mut eligible: Vec<&Endpoint> =
            registry.iter().filter(of_service).filter(available).collect();
        let usable = eligible.iter().any(untried);
        eligible.retain(|e| service.engine.is_none() || has_model(e, &waiting.requirements));
        eligible.sort_by(|a, b| {
            let (a, b) = (&a.registration.zone, &b.registration.zone);
            self.locality.sort_key(a).cmp(&self.locality.sort_key(b))
        });
        let resident = eligible.iter().any(untried);
        let count = eligible.len();
        for (position, endpoint) in eligible.into_iter().enumerate().filter(|(_, e)| untried(e)) {
            let share = self.subset.share(position, count);
            let score = self.score(now, service, endpoint, &waiting.requirements, share);
            let Some(score) = score else { continue };
            let jitter = if service.engine.is_some() { self.rng.f64() * JITTER_MS } else { 0.0 };
            let score = score + jitter;
            let missing_adapter = service
                .engine
                .as_ref()
                .and_then(|_| missing_adapter(endpoint, &waiting.requirements));
            let cost = missing_adapter.as_ref().map_or(0.0, |w| {
                match self.wanted_adapters.contains_key(w) {
                    true => ADAPTER_LOADING_COST_MS,
                    false => ADAPTER_LOAD_COST_MS,
                }
            });
            if best.as_ref().is_none_or(|(least, ..)| score + cost < *least) {
                best = Some((score + cost, endpoint.id().clone(), missing_adapter));
            }
        }
        let best = best.map(|(_, endpoint, missing_adapter)| (endpoint, missing_adapter));
        Selection { best, usable, resident }
    }

    /// How soon the endpoint would answer, milliseconds; nothing when it is full.
    fn score(
        &self,
        now: Instant,
        service: &Service,
        endpoint: &Endpoint,
        requirements: &Requirements,
        share: f64,
    ) -> Option<f64> {
        let load = self.load(endpoint.id());
        let avoided = self.avoided_until.get(endpoint.id()).is_some_and(|until| now < *until)
            || load.is_unresponsive(now);
        let connections = (service.max_connections / self.processes).max(1);
        if connections <= load.running() as usize {
            return None;
        }
        let avoidance = if avoided { AVOIDED_COST_MS } else { 0.0 };
        let penalty = avoidance + self.locality.cost_ms(&endpoint.registration.zone);
        let answer = match &service.engine {
            Some(spec) => self.engine_score(now, spec, endpoint, load, requirements, share)?,
            None => service_score(endpoint, load)?,
        };
        Some(penalty + answer)
    }

    fn engine_score(
        &self,
        now: Instant,
        spec: &EngineSpec,
        endpoint: &Endpoint,
        load: &EndpointLoad,
        requirements: &Requirements,
        share: f64,
    ) -> Option<f64> {
        let running = load.total_running(now);
        let slots = if spec.slots == 0 { endpoint.registration.slots } else { spec.slots };
        let full =
            slots <= running || MAX_KV_UTILIZATION <= load.kv_utilization(now, spec.kv_tokens);
        let reading = load.prefill_tokens(now);
        let prompt = f64::from(self.tokens_to_prefill(endpoint.id(), requirements));
        let own = load.own_prefill_tokens(now);
        let own_limit = MAX_UNASSIGNED_TOKENS.max(share * MAX_PREFILL_TOKENS);
        if full || !fits(prompt, reading, MAX_PREFILL_TOKENS) || !fits(prompt, own, own_limit) {
            return None;
        }
        let first =
            BASE_FIRST_TOKEN.as_secs_f64() * 1e3 + (reading + prompt) / PREFILL_TOKENS_PER_MS;
        let spread = spread_ms(endpoint, requirements, share);
        Some(first * load.slowdown() + f64::from(running) * RUNNING_REQUEST_COST_MS + spread)
    }

    /// Tokens of the prompt without its first parts that the endpoint has read before.
    pub(super) fn tokens_to_prefill(&self, endpoint: &str, requirements: &Requirements) -> u32 {
        let Some(kept) = self.cached_segments.get(endpoint) else {
            return requirements.prompt_tokens;
        };
        let known = requirements
            .prompt_segments
            .iter()
            .take_while(|p| kept.contains(&segment_key(requirements, p.id)));
        requirements.prompt_tokens.saturating_sub(known.map(|p| p.tokens).sum())
    }
}

fn service_score(endpoint: &Endpoint, load: &EndpointLoad) -> Option<f64> {
    let slots = endpoint.registration.slots.max(1);
    let busy = f64::from(load.running()) / f64::from(slots);
    let answer = BASE_ANSWER.as_secs_f64() * 1e3 * (1.0 + busy);
    (load.running() < slots).then(|| answer * load.slowdown())
}

/// What an engine costs since another process, or another engine, is to be used
/// first, milliseconds.
fn spread_ms(endpoint: &Endpoint, requirements: &Requirements, share: f64) -> f64 {
    match &requirements.adapter {
        // Processes agree where an adapter is best loaded.
        Some(adapter) => {
            hash::unit(&[endpoint.id().as_bytes(), adapter.as_bytes()]) * MAX_SPREAD_MS
        }
        None if share == 0.0 => UNASSIGNED_COST_MS,
        None => 0.0,
    }
}

/// Whether a prompt may follow what an engine already reads.
fn fits(prompt: f64, reading: f64, limit: f64) -> bool {
    reading <= (limit - prompt).max(limit * FREE_PREFILL_SHARE)
}

fn has_model(endpoint: &Endpoint, requirements: &Requirements) -> bool {
    requirements.model.as_ref().is_none_or(|model| endpoint.residency().is_loaded(model, None))
}

/// The adapter that an endpoint lacks for a request.
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

/// What an engine keeps of a prompt is kept for one model and adapter.
pub(super) fn segment_key(requirements: &Requirements, segment: u64) -> u64 {
    let model = requirements.model.as_deref().unwrap_or_default();
    let adapter = requirements.adapter.as_deref().unwrap_or_default();
    hash::stable(&[model.as_bytes(), adapter.as_bytes(), &segment.to_le_bytes()])
}

//! The registered endpoints and whether each may receive requests.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::core::{
    forwarding::ServiceName,
    hash,
    ids::{EndpointId, ModelName, VersionId},
};

/// A model that an engine has loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedModel {
    /// Name of the model.
    pub name: ModelName,
    /// Its loaded adapters.
    pub adapters: Vec<Arc<str>>,
}

/// The models that an engine has loaded or cached locally.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Residency {
    /// Models in accelerator memory.
    pub loaded: Vec<LoadedModel>,
    /// Models that load from the endpoint's own memory or disk instead of the weight
    /// store.
    pub cached: Vec<ModelName>,
    /// Whether a load or unload order is in progress.
    pub order_in_progress: bool,
}

impl Residency {
    /// Whether a model, and its adapter if one is named, is loaded.
    pub fn is_loaded(&self, model: &str, adapter: Option<&str>) -> bool {
        let Some(loaded) = self.loaded.iter().find(|m| &*m.name == model) else { return false };
        adapter.is_none_or(|a| loaded.adapters.iter().any(|h| &**h == a))
    }
}

/// Whether an endpoint accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It accepts requests.
    Ready,
    /// It finishes its running requests and accepts no new ones.
    Draining,
}

/// What an endpoint has registered about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Endpoint id; usually new after each start.
    pub id: EndpointId,
    /// Service that the endpoint belongs to.
    pub service: ServiceName,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Version of its software; none if it states none, or an empty one.
    pub version: Option<Arc<str>>,
    /// Whether it accepts new requests.
    pub state: EndpointState,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Start time in Unix milliseconds by the endpoint's own clock.
    pub started_ms: u64,
    /// Number of orders accepted since the start.
    pub order_seq: u64,
    /// The models that it has loaded or cached.
    pub residency: Residency,
}

/// A change of the registrations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A new or updated registration.
    Registered(Registration),
    /// A registration was removed or has expired.
    Removed(EndpointId),
}

/// An endpoint and what is known about it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The latest registration.
    pub registration: Registration,
    // The registration is gone, but the endpoint may still be alive.
    lapsed: bool,
    // Reported by the agent of the endpoint; cleared when the agent falls silent.
    agent_residency: Option<Residency>,
    // When it was last unreachable, until a later registration.
    doubted_at: Option<Instant>,
}

impl Endpoint {
    /// Whether the endpoint may receive new requests.
    pub fn is_usable(&self) -> bool {
        self.registration.state == EndpointState::Ready
    }

    /// The endpoint's id.
    pub fn id(&self) -> &EndpointId {
        &self.registration.id
    }

    /// The software version. One that states none is a version of its own, until it is started
    /// again.
    pub fn version(&self) -> VersionId {
        let Registration { id, service, version, started_ms, .. } = &self.registration;
        match version {
            Some(version) => hash::stable(&[service.as_bytes(), version.as_bytes()]),
            None => {
                hash::stable(&[service.as_bytes(), b"", id.as_bytes(), &started_ms.to_le_bytes()])
            }
        }
    }

    /// Whether it may have been started again, perhaps with another version, since it last
    /// registered.
    pub fn may_have_restarted(&self) -> bool {
        self.doubted_at.is_some()
    }

    /// The loaded and cached models, by the agent's report if there is one, else by the
    /// registration.
    pub fn residency(&self) -> &Residency {
        self.agent_residency.as_ref().unwrap_or(&self.registration.residency)
    }
}

/// How much later than an endpoint was unreachable a registration is read that must have been
/// written after that.
const REGISTRATION_DELAY: Duration = Duration::from_millis(1500);

/// The registered endpoints by id.
///
/// ```
/// use std::{sync::Arc, time::Instant};
/// use goldcrestpitch::core::forwarding::*;
/// let registration = |started_ms, order_seq, state| Registration {
///     id: "i-1".into(), service: "desk".into(), address: "127.0.0.1:1".parse().unwrap(),
///     zone: "a".into(), version: None, state, slots: 6, started_ms, order_seq,
///     residency: Residency::default(),
/// };
/// let mut registry = EndpointRegistry::default();
/// let now = Instant::now();
/// registry.apply(now, Change::Registered(registration(10, 2, EndpointState::Draining)), false);
/// // A delayed older record is ignored.
/// registry.apply(now, Change::Registered(registration(10, 1, EndpointState::Ready)), false);
/// assert!(!registry.get("i-1").unwrap().is_usable());
/// // A restart under the same id replaces the registration.
/// registry.apply(now, Change::Registered(registration(11, 0, EndpointState::Ready)), false);
/// assert!(registry.get("i-1").unwrap().is_usable());
/// ```
#[derive(Clone, Debug, Default)]
pub struct EndpointRegistry {
    // Sorted by id, so that every process sees the endpoints in the same order.
    all: BTreeMap<EndpointId, Endpoint>,
    // Starts that have said in a response that they leave, also of endpoints whose registration
    // is gone: it may come back from an older copy.
    leaving: BTreeMap<EndpointId, u64>,
}

/// Most endpoints that are remembered as leaving.
const MAX_LEAVING: usize = 10_000;

impl EndpointRegistry {
    /// Applies a change. `after_outage` means that the store was unreachable until
    /// recently, so that a live endpoint may have lost its registration.
    ///
    /// Returns whether anything relevant to requests has changed.
    pub fn apply(&mut self, now: Instant, change: Change, after_outage: bool) -> bool {
        match change {
            Change::Registered(registration) => self.register(now, registration),
            Change::Removed(id) => self.remove(&id, after_outage),
        }
    }

    /// Replaces all registrations, after changes may have been missed.
    pub fn replace(&mut self, now: Instant, all: Vec<Registration>, after_outage: bool) {
        let missing: Vec<EndpointId> =
            self.all.keys().filter(|id| all.iter().all(|r| r.id != **id)).cloned().collect();
        for id in missing {
            self.remove(&id, after_outage);
        }
        for registration in all {
            self.register(now, registration);
        }
    }

    /// Removes endpoints whose lapsed registration was not renewed and returns their ids, unless
    /// a live endpoint may still be about to renew it, `after_outage`.
    pub fn expire(&mut self, after_outage: bool) -> Vec<EndpointId> {
        if after_outage {
            return Vec::new();
        }
        let mut expired = Vec::new();
        self.all.retain(|id, endpoint| {
            if endpoint.lapsed {
                expired.push(id.clone());
            }
            !endpoint.lapsed
        });
        expired
    }

    /// Looks up an endpoint by id.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.all.get(id)
    }

    /// The endpoint that listens on an address; the latest started one if several are
    /// registered with it.
    pub fn find_by_address(&self, address: SocketAddr) -> Option<&Endpoint> {
        let matching = self.all.values().filter(|e| e.registration.address == address);
        matching.max_by_key(|e| e.registration.started_ms)
    }

    /// Sets or clears what the agent reports as loaded at an endpoint.
    pub fn set_agent_residency(&mut self, id: &str, agent_residency: Option<Residency>) {
        if let Some(endpoint) = self.all.get_mut(id) {
            endpoint.agent_residency = agent_residency;
        }
    }

    /// Marks an endpoint as draining.
    pub fn mark_draining(&mut self, id: &str) {
        if let Some(endpoint) = self.all.get_mut(id) {
            endpoint.registration.state = EndpointState::Draining;
        }
    }

    /// Notes that a start of an endpoint may have ended.
    pub fn doubt_start(&mut self, now: Instant, id: &str, started_ms: u64) {
        let found = self.all.get_mut(id).filter(|e| e.registration.started_ms == started_ms);
        if let Some(endpoint) = found {
            endpoint.doubted_at = Some(now);
        }
    }

    /// Whether an endpoint may have been started again since it last registered.
    pub fn may_have_restarted(&self, id: &str) -> bool {
        self.get(id).is_some_and(Endpoint::may_have_restarted)
    }

    /// Whether a run that was sent to this start of an endpoint is certain to be there.
    pub fn is_certain_start(&self, id: &str, started_ms: u64) -> bool {
        self.get(id).is_none_or(|endpoint| {
            endpoint.registration.started_ms == started_ms && !endpoint.may_have_restarted()
        })
    }

    /// Whether no later start of an endpoint than this one is known.
    pub fn is_known_start(&self, id: &str, started_ms: u64) -> bool {
        self.get(id).is_none_or(|endpoint| endpoint.registration.started_ms == started_ms)
    }

    /// Notes that a start of an endpoint has not ended.
    pub fn confirm_start(&mut self, id: &str, started_ms: u64) {
        let found = self.all.get_mut(id).filter(|e| e.registration.started_ms == started_ms);
        if let Some(endpoint) = found {
            endpoint.doubted_at = None;
        }
    }

    /// Notes that a start of an endpoint has said that it leaves. Returns whether that is news.
    pub fn record_leaving(&mut self, id: &EndpointId, started_ms: u64) -> bool {
        let before = self.leaving.get(id).copied();
        if before.is_some_and(|before| started_ms <= before) {
            return false;
        }
        if MAX_LEAVING <= self.leaving.len() {
            let all = &self.all;
            self.leaving.retain(|id, _| all.contains_key(id));
        }
        self.leaving.insert(id.clone(), started_ms);
        let found = self.all.get_mut(id).filter(|e| e.registration.started_ms <= started_ms);
        if let Some(endpoint) = found {
            endpoint.registration.state = EndpointState::Draining;
        }
        true
    }

    /// All endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.all.values()
    }

    /// Number of endpoints.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether no endpoint is registered.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    fn register(&mut self, now: Instant, mut registration: Registration) -> bool {
        match self.leaving.get(&registration.id) {
            Some(started_ms) if registration.started_ms <= *started_ms => {
                registration.state = EndpointState::Draining;
            }
            Some(_) => {
                self.leaving.remove(&registration.id);
            }
            None => {}
        }
        let Some(known) = self.all.get_mut(&registration.id) else {
            let endpoint =
                Endpoint { registration, lapsed: false, agent_residency: None, doubted_at: None };
            self.all.insert(endpoint.registration.id.clone(), endpoint);
            return true;
        };
        let old = &known.registration;
        if (registration.started_ms, registration.order_seq) < (old.started_ms, old.order_seq) {
            return false;
        }
        let same_process = registration.started_ms == old.started_ms;
        if same_process
            && old.state == EndpointState::Draining
            && registration.state == EndpointState::Ready
        {
            // An endpoint never goes back from draining to ready, so the record is stale.
            return false;
        }
        if same_process && old.version != registration.version {
            // The software of a process does not change, so neither record is to be trusted.
            registration.version = None;
        }
        let changed = *old != registration;
        if !same_process {
            known.agent_residency = None;
        }
        known.doubted_at =
            known.doubted_at.filter(|at| same_process && now < *at + REGISTRATION_DELAY);
        known.registration = registration;
        known.lapsed = false;
        changed
    }

    fn remove(&mut self, id: &str, after_outage: bool) -> bool {
        let Some(endpoint) = self.all.get_mut(id) else { return false };
        let draining = endpoint.registration.state == EndpointState::Draining;
        if !after_outage || draining {
            return self.all.remove(id).is_some();
        }
        endpoint.lapsed = true;
        false
    }
}

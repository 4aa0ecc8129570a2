//! Endpoints as they register themselves, and which of them may be used.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::core::{
    forwarding::ServiceName,
    ids::{EndpointId, ModelName},
};

/// A model that an engine holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedModel {
    /// Its name.
    pub name: ModelName,
    /// Adapters that are loaded.
    pub adapters: Vec<Arc<str>>,
}

/// What an engine holds and has at hand.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Residency {
    /// Models in accelerator memory.
    pub loaded: Vec<LoadedModel>,
    /// Models that load from the endpoint's own memory or disk.
    pub cached: Vec<ModelName>,
    /// An order is in progress.
    pub order_in_progress: bool,
}

impl Residency {
    /// Whether a model, and an adapter of it where one is named, is loaded.
    pub fn is_loaded(&self, model: &str, adapter: Option<&str>) -> bool {
        let Some(loaded) = self.loaded.iter().find(|m| &*m.name == model) else { return false };
        adapter.is_none_or(|a| loaded.adapters.iter().any(|h| &**h == a))
    }
}

/// Whether an endpoint takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It does.
    Ready,
    /// It is leaving.
    Draining,
}

/// What an endpoint says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Its id, new with nearly every start.
    pub id: EndpointId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// Requests that it runs at once.
    pub slots: u32,
    /// When it started, Unix milliseconds by its own clock.
    pub started_ms: u64,
    /// Orders that it has accepted since its start.
    pub order_seq: u64,
    /// What it holds.
    pub residency: Residency,
}

/// A change of the registrations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An endpoint registered itself, again or for the first time.
    Registered(Registration),
    /// The registration is gone.
    Removed(EndpointId),
}

/// An endpoint with what follows from its registrations.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its last registration.
    pub registration: Registration,
    // Set while the registration is gone but the endpoint may still live.
    grace_until: Option<Instant>,
    // What the agent beside the endpoint says, until it was heard too long ago.
    agent_residency: Option<Residency>,
}

impl Endpoint {
    /// Whether it may get new requests.
    pub fn is_usable(&self) -> bool {
        self.registration.state == EndpointState::Ready
    }

    /// Its id.
    pub fn id(&self) -> &EndpointId {
        &self.registration.id
    }

    /// What it holds, by the newest source.
    pub fn residency(&self) -> &Residency {
        self.agent_residency.as_ref().unwrap_or(&self.registration.residency)
    }
}

/// How long an endpoint whose registration lapsed during an outage of the store
/// may take to register again. Source: the platform's promise of two seconds.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2000);

/// All endpoints that are registered.
///
/// ```
/// use std::{sync::Arc, time::Instant};
/// use goldcrestpitch::core::forwarding::*;
/// let registration = |started_ms, order_seq, state| Registration {
///     id: "i-1".into(), service: "desk".into(), address: "127.0.0.1:1".parse().unwrap(),
///     zone: "a".into(), state, slots: 6, started_ms, order_seq, residency: Residency::default(),
/// };
/// let mut book = EndpointRegistry::default();
/// let now = Instant::now();
/// book.apply(now, Change::Registered(registration(10, 2, EndpointState::Draining)), false);
/// // An older record that arrives late changes nothing.
/// book.apply(now, Change::Registered(registration(10, 1, EndpointState::Ready)), false);
/// assert!(!book.get("i-1").unwrap().is_usable());
/// // A new start under the same id does.
/// book.apply(now, Change::Registered(registration(11, 0, EndpointState::Ready)), false);
/// assert!(book.get("i-1").unwrap().is_usable());
/// ```
#[derive(Clone, Debug, Default)]
pub struct EndpointRegistry {
    // In the order of ids, so that equal endpoints are met in the same order.
    all: BTreeMap<EndpointId, Endpoint>,
}

impl EndpointRegistry {
    /// Takes a change in. `lapse` says that the store was away until just now, so
    /// that a registration may be gone although its endpoint lives.
    ///
    /// Returns whether anything changed that matters to requests.
    pub fn apply(&mut self, now: Instant, change: Change, after_outage: bool) -> bool {
        match change {
            Change::Registered(registration) => self.register(registration),
            Change::Removed(id) => self.remove(now, &id, after_outage),
        }
    }

    /// Replaces all registrations after a gap in the changes.
    pub fn replace(&mut self, now: Instant, all: Vec<Registration>, after_outage: bool) {
        let gone: Vec<EndpointId> =
            self.all.keys().filter(|id| all.iter().all(|r| r.id != **id)).cloned().collect();
        for id in gone {
            self.remove(now, &id, after_outage);
        }
        for registration in all {
            self.register(registration);
        }
    }

    /// Drops endpoints whose lapsed registration did not come back in time.
    /// Returns their ids.
    pub fn expire(&mut self, now: Instant) -> Vec<EndpointId> {
        let expired = |e: &Endpoint| e.grace_until.is_some_and(|until| until <= now);
        let gone: Vec<EndpointId> =
            self.all.iter().filter(|(_, e)| expired(e)).map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.all.remove(id);
        }
        gone
    }

    /// Moves the end of running lapses to `until`, when the store was away again.
    pub fn extend_grace(&mut self, until: Instant) {
        for endpoint in self.all.values_mut() {
            endpoint.grace_until = endpoint.grace_until.map(|at| at.max(until));
        }
    }

    /// An endpoint by its id.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.all.get(id)
    }

    /// The endpoint that listens at an address; the youngest where several did.
    pub fn find_by_address(&self, address: SocketAddr) -> Option<&Endpoint> {
        let here = self.all.values().filter(|e| e.registration.address == address);
        here.max_by_key(|e| e.registration.started_ms)
    }

    /// Sets what the agent beside an endpoint says that it holds, or forgets it.
    pub fn set_agent_residency(&mut self, id: &str, agent_residency: Option<Residency>) {
        if let Some(endpoint) = self.all.get_mut(id) {
            endpoint.agent_residency = agent_residency;
        }
    }

    /// An endpoint says that it is leaving.
    pub fn mark_draining(&mut self, id: &str) {
        if let Some(endpoint) = self.all.get_mut(id) {
            endpoint.registration.state = EndpointState::Draining;
        }
    }

    /// All endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.all.values()
    }

    /// Number of endpoints.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    fn register(&mut self, registration: Registration) -> bool {
        let Some(known) = self.all.get_mut(&registration.id) else {
            let endpoint = Endpoint { registration, grace_until: None, agent_residency: None };
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
            // No endpoint takes its leaving back, so the record is an old one.
            return false;
        }
        let changed = *old != registration;
        if !same_process {
            known.agent_residency = None;
        }
        known.registration = registration;
        known.grace_until = None;
        changed
    }

    fn remove(&mut self, now: Instant, id: &str, after_outage: bool) -> bool {
        let Some(endpoint) = self.all.get_mut(id) else { return false };
        let leaving = endpoint.registration.state == EndpointState::Draining;
        if !after_outage || leaving {
            return self.all.remove(id).is_some();
        }
        endpoint.grace_until.get_or_insert(now + REREGISTRATION_GRACE);
        false
    }
}

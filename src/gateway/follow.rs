//! Keeps the configuration and the registrations of a gateway current.

use std::{
    collections::{BTreeMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use log::{info, warn};
use metrics::gauge;

use crate::{
    core::forwarding::{Change, EndpointRegistry, EndpointState, Registration},
    fleet::Followed,
    gateway::hub::Hub,
    platform::{
        CONFIG_KEY, CONFIGURATION, KeyedRecord, REGISTRATIONS, StoreError, Topic,
        decode_configuration, decode_registration,
    },
    telemetry::names,
};

/// Longest wait of a read for a change of the configuration. A connection that
/// went silent is noticed by then, within the time in which a change is due.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(2000);
/// Pause between reads of registrations. Each endpoint registers again every
/// heartbeat, so that a waiting read would return at once.
const REGISTRATION_PAUSE: Duration = Duration::from_millis(800);
const REGISTRATION_WAIT: Duration = Duration::ZERO;

/// The operator's configuration.
#[derive(Debug)]
pub(super) struct Routes {
    pub(super) hub: Arc<Hub>,
}

impl Followed for Routes {
    const TOPIC: Topic = CONFIGURATION;
    const WAIT: Duration = CONFIGURATION_WAIT;
    const PAUSE: Duration = Duration::ZERO;

    fn replace(&mut self, records: Vec<KeyedRecord>) {
        self.changed(records);
    }

    fn changed(&mut self, records: Vec<KeyedRecord>) {
        let versions = records.into_iter().filter(|r| r.key == CONFIG_KEY);
        // A storm of changes costs one decoding: only the newest counts.
        let Some(text) = versions.filter_map(|r| r.value).last() else { return };
        match decode_configuration(&text) {
            Ok(table) => {
                let mut state = self.hub.lock();
                let known = state.table.as_ref().map(|t| t.version);
                if known.is_some_and(|known| table.version <= known) {
                    return;
                }
                info!("event=configuration version={} before={known:?}", table.version);
                gauge!(names::REVISION).set(table.version as f64);
                state.table = Some(Arc::new(table));
                state.known.configuration = Some(text);
            }
            Err(err) => warn!("event=configuration_unreadable error=\"{err}\""),
        }
    }

    fn answered(&mut self) {
        note_answer(&self.hub, Self::TOPIC);
    }

    fn failed(&mut self, err: &StoreError) {
        note_failure(&self.hub, Self::TOPIC, err);
    }
}

/// Registrations of endpoints.
#[derive(Debug)]
pub(super) struct Endpoints {
    hub: Arc<Hub>,
    unreadable: HashSet<String>,
}

impl Endpoints {
    pub(super) fn new(hub: Arc<Hub>) -> Self {
        Self { hub, unreadable: HashSet::new() }
    }

    fn decode(&mut self, key: &str, value: &[u8]) -> Option<Registration> {
        match decode_registration(key, value) {
            Ok(registration) => Some(registration),
            Err(err) => {
                if self.unreadable.insert(key.to_owned()) {
                    warn!("event=registration_unreadable endpoint={key} error=\"{err}\"");
                }
                None
            }
        }
    }
}

impl Followed for Endpoints {
    const TOPIC: Topic = REGISTRATIONS;
    const WAIT: Duration = REGISTRATION_WAIT;
    const PAUSE: Duration = REGISTRATION_PAUSE;

    fn replace(&mut self, records: Vec<KeyedRecord>) {
        let values: BTreeMap<String, Bytes> =
            records.into_iter().filter_map(|r| r.value.map(|v| (r.key, v))).collect();
        let all: Vec<_> = values.iter().filter_map(|(k, v)| self.decode(k, v)).collect();
        info!("event=registrations endpoints={}", all.len());
        let now = Instant::now();
        let state = &mut *self.hub.lock();
        let lapse = state.is_lapse(now);
        state.book.replace(now, all, lapse);
        state.known.registrations = values;
        state.dispatcher.retain_registered(&state.book);
    }

    fn changed(&mut self, records: Vec<KeyedRecord>) {
        let now = Instant::now();
        for record in records {
            let change = match &record.value {
                None => Change::Removed(record.key.as_str().into()),
                Some(value) => match self.decode(&record.key, value) {
                    Some(registration) => Change::Registered(registration),
                    None => continue,
                },
            };
            let mut state = self.hub.lock();
            match record.value {
                Some(value) => state.known.registrations.insert(record.key, value),
                None => state.known.registrations.remove(&record.key),
            };
            let lapse = state.is_lapse(now);
            log_change(&state.book, &change, lapse);
            state.book.apply(now, change, lapse);
        }
        let state = &mut *self.hub.lock();
        for id in state.book.expire(now) {
            info!("event=endpoint_lapsed endpoint={id}");
        }
        state.dispatcher.retain_registered(&state.book);
    }

    fn answered(&mut self) {
        note_answer(&self.hub, Self::TOPIC);
    }

    fn failed(&mut self, err: &StoreError) {
        note_failure(&self.hub, Self::TOPIC, err);
    }
}

fn log_change(book: &EndpointRegistry, change: &Change, lapse: bool) {
    match change {
        Change::Removed(id) => info!("event=endpoint_removed endpoint={id} lapse={lapse}"),
        Change::Registered(new) => {
            let known = book.get(&new.id).map(|e| &e.registration);
            if known.is_none_or(|k| k.started_ms != new.started_ms) {
                info!(
                    "event=endpoint_registered endpoint={} service={} at={} zone={} born={}",
                    new.id, new.service, new.address, new.zone, new.started_ms
                );
            } else if known.is_some_and(|k| k.state != new.state) {
                let leaving = new.state == EndpointState::Draining;
                info!("event=endpoint_state endpoint={} leaving={leaving}", new.id);
            }
        }
    }
}

fn note_answer(hub: &Hub, topic: Topic) {
    if hub.store_answered(Instant::now()) {
        info!("event=store_back topic={topic}");
    }
}

fn note_failure(hub: &Hub, topic: Topic, err: &StoreError) {
    if hub.store_failed() {
        warn!("event=store_lost topic={topic} error=\"{err}\"");
    }
}

//! Follows the configuration and the endpoint registrations in the platform's store.

use std::{
    collections::{BTreeMap, HashSet},
    fmt,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use log::{info, warn};
use metrics::gauge;

use crate::{
    core::forwarding::{Change, EndpointRegistry, EndpointState, Registration},
    fleet::{TopicHandler, newest_configuration},
    gateway::shared::SharedState,
    platform::{
        CONFIGURATION, KeyedRecord, Position, REGISTRATIONS, StoreEra, StoreError, Topic,
        decode_registration,
    },
    telemetry::names,
};

/// How long a read of the configuration waits for a new version. A dead connection goes
/// unnoticed for this time and that of a call; meanwhile other gateways deliver versions.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(2000);
/// Pause between reads of registrations. They are polled: each endpoint registers again
/// with every heartbeat, so a long-polling read would return at once.
const REGISTRATION_PAUSE: Duration = Duration::from_millis(800);
const REGISTRATION_WAIT: Duration = Duration::ZERO;

/// Where records come from, as log lines show it.
#[derive(Clone, Copy, Debug)]
pub(super) enum RecordSource {
    /// The store; where the next read begins.
    Store(Position),
    /// Another gateway.
    Gateway(SocketAddr),
}

impl fmt::Display for RecordSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(next) => write!(f, "store next={next}"),
            Self::Gateway(address) => write!(f, "{address} next=-"),
        }
    }
}

/// Updates the routes from the operator's configuration.
#[derive(Debug)]
pub(super) struct RouteUpdater {
    pub(super) shared: Arc<SharedState>,
}

impl RouteUpdater {
    /// Applies the newest version among the records, unless a newer one is in force.
    pub(super) fn apply(&mut self, records: Vec<KeyedRecord>, source: &RecordSource) {
        let Some((table, text)) = newest_configuration(records, source) else { return };
        let mut state = self.shared.lock();
        let current = state.table.as_ref().map(|t| t.version);
        if current.is_some_and(|current| table.version <= current) {
            return;
        }
        info!("event=configuration version={} before={current:?} source={source}", table.version);
        gauge!(names::REVISION).set(table.version as f64);
        self.shared.update_quotas(&mut state, Instant::now(), &table);
        state.table = Some(Arc::new(table));
        state.cache.configuration = Some(text);
    }
}

impl TopicHandler for RouteUpdater {
    const TOPIC: Topic = CONFIGURATION;
    const MAX_WAIT: Duration = CONFIGURATION_WAIT;
    const READ_PAUSE: Duration = Duration::ZERO;

    fn replace(&mut self, records: Vec<KeyedRecord>, next: Position) {
        self.update(records, next);
    }

    fn update(&mut self, records: Vec<KeyedRecord>, next: Position) {
        self.apply(records, &RecordSource::Store(next));
    }

    fn store_answered(&mut self) {
        self.shared.record_configuration_read(Instant::now());
        record_answer(&self.shared, Self::TOPIC);
    }

    fn store_failed(&mut self, sent_at: Instant, err: &StoreError) {
        record_failure(&self.shared, Self::TOPIC, sent_at, err);
    }

    fn store_went_back(&mut self, era: StoreEra) {
        self.shared.store_went_back(Instant::now(), era);
    }
}

/// Updates the endpoints from their registrations.
#[derive(Debug)]
pub(super) struct EndpointUpdater {
    shared: Arc<SharedState>,
    // Keys of records that could not be decoded; each is logged once.
    unreadable: HashSet<String>,
}

impl EndpointUpdater {
    pub(super) fn new(shared: Arc<SharedState>) -> Self {
        Self { shared, unreadable: HashSet::new() }
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

    /// Applies changes of registrations.
    pub(super) fn apply(&mut self, records: Vec<KeyedRecord>) {
        let now = Instant::now();
        for record in records {
            let change = match &record.value {
                None => Change::Removed(record.key.as_str().into()),
                Some(value) => match self.decode(&record.key, value) {
                    Some(registration) => Change::Registered(registration),
                    None => continue,
                },
            };
            let mut state = self.shared.lock();
            match record.value {
                Some(value) => state.cache.registrations.insert(record.key, value),
                None => state.cache.registrations.remove(&record.key),
            };
            let after_outage = state.store_outage.affects_registrations(now);
            log_change(&state.registry, &change, after_outage);
            let counted = match &change {
                Change::Registered(new) => state.record_restart(now, new),
                Change::Removed(_) => Vec::new(),
            };
            state.registry.apply(now, change, after_outage);
            drop(state);
            if !counted.is_empty() {
                self.shared.publish_crashes(&counted);
            }
        }
        let state = &mut *self.shared.lock();
        let after_outage = state.store_outage.affects_registrations(now);
        for id in state.registry.expire(after_outage) {
            info!("event=endpoint_lapsed endpoint={id}");
        }
        state.record_versions(now);
        state.dispatcher.retain_registered(&state.registry);
    }
}

impl TopicHandler for EndpointUpdater {
    const TOPIC: Topic = REGISTRATIONS;
    const MAX_WAIT: Duration = REGISTRATION_WAIT;
    const READ_PAUSE: Duration = REGISTRATION_PAUSE;

    fn replace(&mut self, records: Vec<KeyedRecord>, next: Position) {
        let values: BTreeMap<String, Bytes> =
            records.into_iter().filter_map(|r| r.value.map(|v| (r.key, v))).collect();
        let all: Vec<_> = values.iter().filter_map(|(k, v)| self.decode(k, v)).collect();
        info!("event=registrations endpoints={} next={next}", all.len());
        let now = Instant::now();
        let mut guard = self.shared.lock();
        let state = &mut *guard;
        let after_outage = state.store_outage.affects_registrations(now);
        let counted: Vec<_> = all.iter().flat_map(|new| state.record_restart(now, new)).collect();
        state.registry.replace(now, all, after_outage);
        state.versions.record_gap();
        state.record_versions(now);
        state.cache.registrations = values;
        state.knows_registrations = true;
        state.dispatcher.retain_registered(&state.registry);
        drop(guard);
        if !counted.is_empty() {
            self.shared.publish_crashes(&counted);
        }
    }

    fn update(&mut self, records: Vec<KeyedRecord>, _next: Position) {
        self.apply(records);
    }

    fn store_answered(&mut self) {
        record_answer(&self.shared, Self::TOPIC);
    }

    fn store_failed(&mut self, sent_at: Instant, err: &StoreError) {
        record_failure(&self.shared, Self::TOPIC, sent_at, err);
    }

    fn store_went_back(&mut self, era: StoreEra) {
        self.shared.store_went_back(Instant::now(), era);
    }
}

/// Logs a change of a registration, unless it is only renewed.
fn log_change(registry: &EndpointRegistry, change: &Change, after_outage: bool) {
    match change {
        Change::Removed(id) => info!("event=endpoint_removed endpoint={id} lapse={after_outage}"),
        Change::Registered(new) => {
            let old = registry.get(&new.id).map(|e| &e.registration);
            if old.is_none_or(|old| old.started_ms != new.started_ms) {
                info!(
                    "event=endpoint_registered endpoint={} service={} at={} zone={} born={} \
                     software={}",
                    new.id,
                    new.service,
                    new.address,
                    new.zone,
                    new.started_ms,
                    new.version.as_deref().unwrap_or("-")
                );
            } else if old.is_some_and(|old| old.state != new.state) {
                let leaving = new.state == EndpointState::Draining;
                info!("event=endpoint_state endpoint={} leaving={leaving}", new.id);
            }
        }
    }
}

fn record_answer(shared: &SharedState, topic: Topic) {
    if shared.lock().store_outage.record_answer(Instant::now()) {
        info!("event=store_back topic={topic}");
    }
}

fn record_failure(shared: &SharedState, topic: Topic, sent_at: Instant, err: &StoreError) {
    if shared.lock().store_outage.record_failure(sent_at) {
        warn!("event=store_lost topic={topic} error=\"{err}\"");
    }
}

//! The directory of gateways in the platform's store, by which gateways find each other that hear
//! none of those in their settings.
//!
//! Each gateway writes its record before it reads those of the others. Of any two, the one that
//! writes later therefore learns of the other, and its messages make it known there.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use log::{info, warn};
use metrics::counter;
use tokio::time;

use crate::{
    fleet::{TopicHandler, follow_topic},
    gateway::{
        limits::process_id,
        shared::{SharedState, State},
    },
    platform::{GATEWAYS, KeyedRecord, Position, Store, StoreEra, Topic},
    telemetry::names,
};

/// Mean delay before another attempt to write a record.
const RETRY_DELAY: Duration = Duration::from_millis(800);
/// Pause between reads. Gateways that start make themselves known by messages; a record matters
/// where these do not arrive, and then before its gateway takes part in the retry budget, 60 s
/// after its start.
const READ_PAUSE: Duration = Duration::from_secs(30);

/// What the tasks of a gateway have to tell each other about the directory.
#[derive(Debug, Default)]
pub(super) struct DirectoryState {
    // Addresses that were read and that no message was sent to yet.
    listed: Vec<SocketAddr>,
    // Gateways whose records are to be deleted.
    forgotten: Vec<SocketAddr>,
    // The store has lost the record of this gateway.
    pub(super) is_lost: bool,
}

impl State {
    /// The gateways that were read from the directory since the last call.
    pub(super) fn take_listed_gateways(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.directory.listed)
    }
}

impl SharedState {
    /// Has the records of gateways deleted that are gone.
    pub(super) fn delete_from_directory(&self, gateways: Vec<SocketAddr>) {
        self.lock().directory.forgotten.extend(gateways);
        self.directory_changed.notify_one();
    }
}

/// Keeps this gateway in the directory and follows the others there until the process ends.
pub(super) async fn run(shared: Arc<SharedState>, store: Store, own: SocketAddr) {
    register(&store, own).await;
    let reader =
        DirectoryReader { shared: shared.clone(), own, known: HashSet::new(), has_read: false };
    tokio::join!(follow_topic(store.clone(), reader), maintain(&shared, &store, own));
}

/// Writes the record of this gateway; the address is its key.
async fn register(store: &Store, own: SocketAddr) {
    loop {
        counter!(names::STORE_CALLS).increment(1);
        match store.put(GATEWAYS, &own.to_string(), b"{\"role\":\"gateway\"}").await {
            Ok(position) => return info!("event=gateway_registered position={position}"),
            Err(err) => {
                counter!(names::STORE_FAILURES).increment(1);
                warn!("event=gateway_not_registered error=\"{err}\"");
                time::sleep(RETRY_DELAY.mul_f64(0.5 + fastrand::f64())).await;
            }
        }
    }
}

/// Writes the record again when the store has lost it, and deletes those of gateways that are
/// gone.
async fn maintain(shared: &SharedState, store: &Store, own: SocketAddr) {
    loop {
        shared.directory_changed.notified().await;
        if std::mem::take(&mut shared.lock().directory.is_lost) {
            register(store, own).await;
        }
        let forgotten = std::mem::take(&mut shared.lock().directory.forgotten);
        for gateway in forgotten {
            counter!(names::STORE_CALLS).increment(1);
            match store.put(GATEWAYS, &gateway.to_string(), b"").await {
                Ok(_) => info!("event=gateway_forgotten at={gateway}"),
                // The record only costs a message now and then until another gateway deletes it.
                Err(err) => warn!("event=gateway_not_deleted at={gateway} error=\"{err}\""),
            }
        }
    }
}

#[derive(Debug)]
struct DirectoryReader {
    shared: Arc<SharedState>,
    own: SocketAddr,
    // Gateways whose records were read.
    known: HashSet<SocketAddr>,
    has_read: bool,
}

impl DirectoryReader {
    fn decode(&self, record: &KeyedRecord) -> Option<SocketAddr> {
        record.value.as_ref()?;
        let address = record.key.parse();
        if address.is_err() {
            warn!("event=gateway_unreadable key={}", record.key);
        }
        address.ok().filter(|address| *address != self.own)
    }

    /// Notes gateways that have started since the last read.
    fn record_started(&mut self, gateways: Vec<SocketAddr>) {
        let now = Instant::now();
        let mut state = self.shared.lock();
        for gateway in gateways {
            info!("event=gateway_listed at={gateway}");
            self.known.insert(gateway);
            state.retry_share.record_started(now, process_id(gateway));
            state.directory.listed.push(gateway);
        }
    }
}

impl TopicHandler for DirectoryReader {
    const TOPIC: Topic = GATEWAYS;
    const MAX_WAIT: Duration = Duration::ZERO;
    const READ_PAUSE: Duration = READ_PAUSE;

    fn replace(&mut self, records: Vec<KeyedRecord>, _next: Position) {
        let gateways: Vec<SocketAddr> = records.iter().filter_map(|r| self.decode(r)).collect();
        if std::mem::replace(&mut self.has_read, true) {
            let new = gateways.into_iter().filter(|g| !self.known.contains(g)).collect();
            return self.record_started(new);
        }
        info!("event=gateways_listed count={}", gateways.len());
        let mut state = self.shared.lock();
        state.retry_share.record_directory(gateways.iter().map(|g| process_id(*g)));
        state.directory.listed.extend(&gateways);
        drop(state);
        self.known = gateways.into_iter().collect();
    }

    fn update(&mut self, records: Vec<KeyedRecord>, _next: Position) {
        let started = records.iter().filter_map(|r| self.decode(r)).collect();
        self.record_started(started);
    }

    fn store_went_back(&mut self, era: StoreEra) {
        self.shared.store_went_back(Instant::now(), era);
    }
}

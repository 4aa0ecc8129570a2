//! Keeps the configuration of a process up to date. Records come from the log; peers
//! are asked when the log is unavailable or the process is behind, and a snapshot is
//! loaded when the log has dropped records that are still needed.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use log::{info, warn};
use tokio::time;

use crate::{
    core::{
        config::{ApplyResult, Record, Snapshot, State},
        ids::Offset,
    },
    fleet::{ConfigStore, Log, LogRecord, ReadError, VmWatch, operator::snapshot_state},
    http::Stop,
    rpc::{
        Channels,
        pb::{CatchupRequest, peer_client::PeerClient},
    },
};

/// Name of the log stream that holds the configuration.
pub const CONFIG_STREAM: &str = "config";

// A new record ends a read at once, so a long wait does not delay changes.
const POLL_WAIT: Duration = Duration::from_secs(2);
const RETRY_DELAY: Duration = Duration::from_millis(200);
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
const PEERS_PER_CATCH_UP: usize = 2;
// A snapshot is appended after this many records.
const RECORDS_PER_SNAPSHOT: Offset = 200;
// Upper bound of the random delay before a snapshot, which lets one process write it
// while the others see its record and skip theirs.
const MAX_SNAPSHOT_DELAY_MS: u64 = 2000;

/// Applies the configuration stream to the store of a process.
#[derive(Debug)]
pub struct Follower<L> {
    log: L,
    store: Arc<ConfigStore>,
    vms: VmWatch,
    channels: Channels,
    own_address: Option<SocketAddr>,
}

impl<L: Log> Follower<L> {
    /// Creates a follower. `own_address` is the address of this process if it is itself
    /// listed as a peer.
    pub fn new(
        log: L,
        store: Arc<ConfigStore>,
        vms: VmWatch,
        channels: Channels,
        own_address: Option<SocketAddr>,
    ) -> Self {
        Self { log, store, vms, channels, own_address }
    }

    /// Follows the stream until the stop is signalled.
    pub async fn run(self, mut stop: Stop) {
        loop {
            tokio::select! {
                () = self.poll() => {}
                _ = stop.wait_for(|s| *s) => return,
            }
        }
    }

    /// Reads and applies the next records, and catches up from peers where needed.
    async fn poll(&self) {
        let from = self.store.revision() + 1;
        match self.log.read(CONFIG_STREAM, from, POLL_WAIT).await {
            Ok(page) => {
                self.apply(&page.records);
                self.store.confirm(Instant::now());
                self.append_snapshot_if_due().await;
            }
            Err(ReadError::Expired { first }) => self.recover(first).await,
            Err(ReadError::Unavailable(text)) => {
                warn!("event=log_unavailable stream={CONFIG_STREAM} error={text:?}");
                self.catch_up().await;
                time::sleep(RETRY_DELAY).await;
            }
        }
        if self.store.is_behind() {
            self.catch_up().await;
        }
    }

    fn apply(&self, records: &[LogRecord]) {
        let results = self.store.apply(records.iter().map(|r| (r.offset, &r.payload[..])));
        for (offset, result) in results {
            match result {
                ApplyResult::Accepted => info!("event=config_in_force revision={offset}"),
                ApplyResult::Rejected(refusal) => {
                    warn!("event=config_rejected revision={offset} error=\"{refusal}\"");
                }
                ApplyResult::NoChange => {}
            }
        }
    }

    /// Continues from the newest snapshot if the log keeps every record after it, else
    /// from a peer. `first_offset` is the oldest record that the log keeps.
    async fn recover(&self, first_offset: Offset) {
        let mut newest_snapshot: Option<State> = None;
        let mut from = first_offset;
        while let Ok(page) = self.log.read(CONFIG_STREAM, from, Duration::ZERO).await {
            let Some(last) = page.records.last() else {
                break;
            };
            from = last.offset + 1;
            for record in &page.records {
                if let Some(state) = snapshot_state(record) {
                    newest_snapshot = Some(state);
                }
            }
        }
        match newest_snapshot {
            Some(state) if first_offset <= state.revision + 1 => {
                info!("event=snapshot_adopted revision={}", state.revision);
                self.store.adopt(state);
            }
            _ => {
                warn!("event=no_snapshot first={first_offset}");
                self.catch_up().await;
                time::sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Takes a newer configuration from peers, if they have one. A peer's reply also
    /// confirms the revision.
    async fn catch_up(&self) {
        let mut peers: Vec<SocketAddr> = self.vms.entries().into_iter().map(|(_, a)| a).collect();
        peers.retain(|a| Some(*a) != self.own_address);
        if peers.is_empty() && self.vms.is_loaded() {
            // Without another entry, no peer can have a newer revision.
            self.store.confirm(Instant::now());
            return;
        }
        fastrand::shuffle(&mut peers);
        for peer in peers.into_iter().take(PEERS_PER_CATCH_UP) {
            self.catch_up_from(peer).await;
        }
    }

    async fn catch_up_from(&self, peer: SocketAddr) {
        let mut client = PeerClient::new(self.channels.to(peer));
        let request = CatchupRequest { revision: self.store.revision() };
        let Ok(Ok(reply)) = time::timeout(PEER_TIMEOUT, client.catchup(request)).await else {
            return;
        };
        let reply = reply.into_inner();
        if !reply.state.is_empty() {
            let Ok(state) = serde_json::from_slice(&reply.state) else {
                return;
            };
            if self.store.adopt(state) {
                info!("event=config_from_peer revision={} peer={peer}", reply.revision);
            }
        }
        self.store.confirm(Instant::now());
    }

    /// Appends a snapshot if the last one is [`RECORDS_PER_SNAPSHOT`] records old and no
    /// other process appends one during the random delay.
    async fn append_snapshot_if_due(&self) {
        let is_due = |store: &ConfigStore| {
            store.snapshot_offset() + RECORDS_PER_SNAPSHOT <= store.revision()
        };
        if !is_due(&self.store) {
            return;
        }
        time::sleep(Duration::from_millis(fastrand::u64(..MAX_SNAPSHOT_DELAY_MS))).await;
        let from = self.store.revision() + 1;
        if let Ok(page) = self.log.read(CONFIG_STREAM, from, Duration::ZERO).await {
            self.apply(&page.records);
        }
        if !is_due(&self.store) {
            return;
        }
        let state = self.store.view().state.as_ref().clone();
        let record = Record::Snapshot(Snapshot { state });
        let Ok(payload) = serde_json::to_vec(&record) else {
            return;
        };
        // If the response is lost, another snapshot may be appended, which is harmless.
        let appended = self.log.append(CONFIG_STREAM, payload.into()).await;
        info!("event=snapshot_appended ok={}", appended.is_ok());
    }
}

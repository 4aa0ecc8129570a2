//! Keeps the configuration of a process up to date: from the log, else from
//! peers, and from a snapshot when the log no longer has all records.

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
    fleet::{ConfigStore, Log, LogRecord, ReadError, VmWatch, operator::snapshot_of},
    http::Stop,
    rpc::{
        Channels,
        pb::{CatchupRequest, peer_client::PeerClient},
    },
};

/// Stream of the configuration.
pub const CONFIG_STREAM: &str = "config";

// A change ends the wait at once, so that its length costs no time.
const POLL_WAIT: Duration = Duration::from_secs(2);
const RETRY_AFTER: Duration = Duration::from_millis(200);
const PEER_LIMIT: Duration = Duration::from_millis(500);
const PEERS_ASKED: usize = 2;
const RECORDS_PER_SNAPSHOT: Offset = 200;
const MAX_SNAPSHOT_DELAY_MS: u64 = 2000;

/// Follows the configuration stream.
#[derive(Debug)]
pub struct Follower<L> {
    log: L,
    store: Arc<ConfigStore>,
    vms: VmWatch,
    channels: Channels,
    own: Option<SocketAddr>,
}

impl<L: Log> Follower<L> {
    /// A follower of a process; `own` is its address among peers, if it is one.
    pub fn new(
        log: L,
        store: Arc<ConfigStore>,
        vms: VmWatch,
        channels: Channels,
        own: Option<SocketAddr>,
    ) -> Self {
        Self { log, store, vms, channels, own }
    }

    /// Follows until the stop.
    pub async fn run(self, mut stop: Stop) {
        loop {
            tokio::select! {
                () = self.step() => {}
                _ = stop.wait_for(|s| *s) => return,
            }
        }
    }

    async fn step(&self) {
        let from = self.store.revision() + 1;
        match self.log.read(CONFIG_STREAM, from, POLL_WAIT).await {
            Ok(page) => {
                self.apply(&page.records);
                self.store.confirm(Instant::now());
                self.snapshot_when_due().await;
            }
            Err(ReadError::Expired { first }) => self.recover(first).await,
            Err(ReadError::Unavailable(text)) => {
                warn!("event=log_unavailable stream={CONFIG_STREAM} error={text:?}");
                self.catch_up().await;
                time::sleep(RETRY_AFTER).await;
            }
        }
        if self.store.is_behind() {
            self.catch_up().await;
        }
    }

    fn apply(&self, records: &[LogRecord]) {
        let verdicts = self.store.apply(records.iter().map(|r| (r.offset, &r.payload[..])));
        for (offset, verdict) in verdicts {
            match verdict {
                ApplyResult::Accepted => info!("event=config_in_force revision={offset}"),
                ApplyResult::Rejected(refusal) => {
                    warn!("event=config_rejected revision={offset} error=\"{refusal}\"");
                }
                ApplyResult::NoChange => {}
            }
        }
    }

    /// Starts from the newest snapshot that leaves no gap, else from a peer.
    async fn recover(&self, first: Offset) {
        let mut newest: Option<State> = None;
        let mut from = first;
        while let Ok(page) = self.log.read(CONFIG_STREAM, from, Duration::ZERO).await {
            let Some(last) = page.records.last() else {
                break;
            };
            from = last.offset + 1;
            for record in &page.records {
                if let Some(state) = snapshot_of(record) {
                    newest = Some(state);
                }
            }
        }
        match newest {
            Some(state) if first <= state.revision + 1 => {
                info!("event=snapshot_adopted revision={}", state.revision);
                self.store.adopt(state);
            }
            _ => {
                warn!("event=no_snapshot first={first}");
                self.catch_up().await;
                time::sleep(RETRY_AFTER).await;
            }
        }
    }

    /// Takes a later configuration from peers and confirms the revision with them.
    async fn catch_up(&self) {
        let mut peers: Vec<SocketAddr> = self.vms.entries().into_iter().map(|(_, a)| a).collect();
        peers.retain(|a| Some(*a) != self.own);
        if peers.is_empty() && self.vms.is_loaded() {
            // With no other entry nobody can have a later revision.
            self.store.confirm(Instant::now());
            return;
        }
        fastrand::shuffle(&mut peers);
        for peer in peers.into_iter().take(PEERS_ASKED) {
            self.ask(peer).await;
        }
    }

    async fn ask(&self, peer: SocketAddr) {
        let mut client = PeerClient::new(self.channels.to(peer));
        let request = CatchupRequest { revision: self.store.revision() };
        let Ok(Ok(reply)) = time::timeout(PEER_LIMIT, client.catchup(request)).await else {
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

    /// Appends a snapshot when the last one is old, unless somebody else did meanwhile.
    async fn snapshot_when_due(&self) {
        let due = |store: &ConfigStore| {
            store.snapshot_offset() + RECORDS_PER_SNAPSHOT <= store.revision()
        };
        if !due(&self.store) {
            return;
        }
        time::sleep(Duration::from_millis(fastrand::u64(..MAX_SNAPSHOT_DELAY_MS))).await;
        let from = self.store.revision() + 1;
        if let Ok(page) = self.log.read(CONFIG_STREAM, from, Duration::ZERO).await {
            self.apply(&page.records);
        }
        if !due(&self.store) {
            return;
        }
        let state = self.store.view().state.as_ref().clone();
        let record = Record::Snapshot(Snapshot { state });
        let Ok(payload) = serde_json::to_vec(&record) else {
            return;
        };
        // A lost answer leads at worst to a second snapshot, which does no harm.
        let appended = self.log.append(CONFIG_STREAM, payload.into()).await;
        info!("event=snapshot_appended ok={}", appended.is_ok());
    }
}

//! Claims of idempotency keys. Keys fall into partitions, each with a stream of
//! the log; one entry, found by rendezvous hashing, batches the claims of a
//! partition. It is only a way to save appends: any entry may claim by itself,
//! and the order of the log decides.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::time;

use crate::{
    core::{
        hash,
        idempotency::{Claim, ClaimRecord, ClaimResult},
        ids::EntryId,
    },
    entry::partition::Partition,
    fleet::{Log, VmWatch},
    rpc::{
        Channels,
        pb::{
            ClaimReply, ClaimRequest, SettleRequest, claim_reply::State, peer_client::PeerClient,
        },
    },
};

/// Partitions of keys; the same in every process.
pub const CLAIM_PARTITIONS: u64 = 32;

const PEER_LIMIT: Duration = Duration::from_millis(3500);

/// Claims keys for one entry, and for others as the home of partitions.
#[derive(Debug)]
pub struct ClaimService<L> {
    inner: Arc<Inner<L>>,
}

impl<L> Clone for ClaimService<L> {
    fn clone(&self) -> Self {
        Self { inner: self.inner.clone() }
    }
}

#[derive(Debug)]
struct Inner<L> {
    name: EntryId,
    log: L,
    vms: VmWatch,
    channels: Channels,
    partitions: Mutex<HashMap<u64, Partition>>,
}

impl<L: Log> ClaimService<L> {
    /// A service of the entry of that name.
    pub fn new(name: EntryId, log: L, vms: VmWatch, channels: Channels) -> Self {
        let partitions = Mutex::default();
        Self { inner: Arc::new(Inner { name, log, vms, channels, partitions }) }
    }

    /// Claims a key, at the home of its partition if that answers.
    pub async fn claim(&self, claim: Claim) -> ClaimResult {
        let key = claim.key.clone();
        if let Some(home) = self.remote_home(&key) {
            let record = serde_json::to_vec(&claim).unwrap_or_default();
            let request = ClaimRequest { record: record.into(), key: key.clone() };
            if let Some(verdict) = self.ask(home, request).await {
                return verdict;
            }
        }
        self.claim_here(claim).await
    }

    /// Looks up who holds a key.
    pub async fn look(&self, key: &str) -> ClaimResult {
        if let Some(home) = self.remote_home(key) {
            let request = ClaimRequest { record: Vec::new().into(), key: key.to_owned() };
            if let Some(verdict) = self.ask(home, request).await {
                return verdict;
            }
        }
        self.look_here(key).await
    }

    /// Appends a record whose loss does no harm.
    pub fn tell(&self, record: ClaimRecord) {
        let Some(home) = self.remote_home(record.key()) else {
            return self.tell_here(record);
        };
        let me = self.clone();
        tokio::spawn(async move {
            let bytes = serde_json::to_vec(&record).unwrap_or_default();
            let mut client = PeerClient::new(me.inner.channels.to(home));
            let told = client.settle(SettleRequest { record: bytes.into() });
            if !matches!(time::timeout(PEER_LIMIT, told).await, Ok(Ok(_))) {
                me.tell_here(record);
            }
        });
    }

    /// Claims a key by this entry's own append.
    pub(super) async fn claim_here(&self, claim: Claim) -> ClaimResult {
        self.partition(&claim.key).claim(claim).await
    }

    /// Looks up a key in the log itself.
    pub(super) async fn look_here(&self, key: &str) -> ClaimResult {
        self.partition(key).look(key.to_owned()).await
    }

    /// Appends a record by this entry's own append.
    pub(super) fn tell_here(&self, record: ClaimRecord) {
        self.partition(record.key()).tell(record);
    }

    fn partition(&self, key: &str) -> Partition {
        let number = partition_of(key);
        let mut open = self.inner.partitions.lock().unwrap_or_else(PoisonError::into_inner);
        let start = || Partition::start(self.inner.log.clone(), number);
        open.entry(number).or_insert_with(start).clone()
    }

    /// Address of the home of a key, unless it is this entry.
    fn remote_home(&self, key: &str) -> Option<SocketAddr> {
        self.inner.vms.home_of(partition_of(key), &self.inner.name)
    }

    async fn ask(&self, home: SocketAddr, request: ClaimRequest) -> Option<ClaimResult> {
        let mut client = PeerClient::new(self.inner.channels.to(home));
        let answer = time::timeout(PEER_LIMIT, client.claim(request)).await;
        verdict(answer.ok()?.ok()?.into_inner())
    }
}

fn partition_of(key: &str) -> u64 {
    hash::stable(&[key.as_bytes()]) % CLAIM_PARTITIONS
}

fn verdict(reply: ClaimReply) -> Option<ClaimResult> {
    Some(match reply.state() {
        State::Unavailable => ClaimResult::Unavailable,
        State::Won => ClaimResult::Won(reply.offset),
        State::Held => ClaimResult::Held(Box::new(serde_json::from_slice(&reply.holder).ok()?)),
        State::Free => ClaimResult::Free,
    })
}

impl From<ClaimResult> for ClaimReply {
    fn from(verdict: ClaimResult) -> Self {
        let mut reply = Self { state: State::Unavailable.into(), ..Self::default() };
        match verdict {
            ClaimResult::Won(offset) => {
                reply.state = State::Won.into();
                reply.offset = offset;
            }
            ClaimResult::Held(held) => {
                reply.state = State::Held.into();
                reply.holder = serde_json::to_vec(&held).unwrap_or_default().into();
            }
            ClaimResult::Free => reply.state = State::Free.into(),
            ClaimResult::Unavailable => {}
        }
        reply
    }
}

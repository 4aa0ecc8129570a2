//! Claims of idempotency keys. Keys are hashed to partitions, each with its own
//! stream in the log. One entry, the owner by rendezvous hashing, batches the
//! claims of a partition. Ownership only saves appends: any entry may append a
//! claim itself, since the order of the log decides which claim wins.

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
    entry::claim_partition::ClaimPartition,
    fleet::{Log, VmWatch},
    rpc::{
        Channels,
        pb::{
            ClaimReply, ClaimRequest, SettleRequest, claim_reply::State, peer_client::PeerClient,
        },
    },
};

/// Number of partitions of the keys. It must be the same in every process, since it decides
/// which stream holds a key.
pub const CLAIM_PARTITIONS: u64 = 32;

const PEER_TIMEOUT: Duration = Duration::from_millis(3500);

/// Claims keys for its own entry, and for other entries in the partitions that it owns.
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
    partitions: Mutex<HashMap<u64, ClaimPartition>>,
}

impl<L: Log> ClaimService<L> {
    /// Creates the service of the entry `name`.
    pub fn new(name: EntryId, log: L, vms: VmWatch, channels: Channels) -> Self {
        let partitions = Mutex::default();
        Self { inner: Arc::new(Inner { name, log, vms, channels, partitions }) }
    }

    /// Claims a key at the owner of its partition, or locally when the owner does not answer.
    pub async fn claim(&self, claim: Claim) -> ClaimResult {
        let key = claim.key.clone();
        if let Some(owner) = self.remote_owner(&key) {
            let record = serde_json::to_vec(&claim).unwrap_or_default();
            let request = ClaimRequest { record: record.into(), key: key.clone() };
            if let Some(result) = self.claim_at_owner(owner, request).await {
                return result;
            }
        }
        self.claim_locally(claim).await
    }

    /// Looks up the claim that holds a key.
    pub async fn look_up(&self, key: &str) -> ClaimResult {
        if let Some(owner) = self.remote_owner(key) {
            let request = ClaimRequest { record: Vec::new().into(), key: key.to_owned() };
            if let Some(result) = self.claim_at_owner(owner, request).await {
                return result;
            }
        }
        self.look_up_locally(key).await
    }

    /// Appends a record whose loss is safe, without waiting for the result.
    pub fn append_in_background(&self, record: ClaimRecord) {
        let Some(owner) = self.remote_owner(record.key()) else {
            return self.append_locally(record);
        };
        let service = self.clone();
        tokio::spawn(async move {
            let bytes = serde_json::to_vec(&record).unwrap_or_default();
            let mut client = PeerClient::new(service.inner.channels.to(owner));
            let reply = client.settle(SettleRequest { record: bytes.into() });
            if !matches!(time::timeout(PEER_TIMEOUT, reply).await, Ok(Ok(_))) {
                service.append_locally(record);
            }
        });
    }

    /// Claims a key with an append by this entry.
    pub(super) async fn claim_locally(&self, claim: Claim) -> ClaimResult {
        self.partition(&claim.key).claim(claim).await
    }

    /// Looks up a key in the log, not at the owner of its partition.
    pub(super) async fn look_up_locally(&self, key: &str) -> ClaimResult {
        self.partition(key).look_up(key.to_owned()).await
    }

    /// Appends a record from this entry, without waiting for the result.
    pub(super) fn append_locally(&self, record: ClaimRecord) {
        self.partition(record.key()).append_in_background(record);
    }

    fn partition(&self, key: &str) -> ClaimPartition {
        let number = partition_of(key);
        let mut partitions = self.inner.partitions.lock().unwrap_or_else(PoisonError::into_inner);
        let start = || ClaimPartition::start(self.inner.log.clone(), number);
        partitions.entry(number).or_insert_with(start).clone()
    }

    /// Address of the owner of a key's partition; `None` when it is this entry or no entry
    /// is listed.
    fn remote_owner(&self, key: &str) -> Option<SocketAddr> {
        self.inner.vms.owner_of(partition_of(key), &self.inner.name)
    }

    async fn claim_at_owner(
        &self,
        owner: SocketAddr,
        request: ClaimRequest,
    ) -> Option<ClaimResult> {
        let mut client = PeerClient::new(self.inner.channels.to(owner));
        let reply = time::timeout(PEER_TIMEOUT, client.claim(request)).await;
        claim_result(reply.ok()?.ok()?.into_inner())
    }
}

fn partition_of(key: &str) -> u64 {
    hash::stable(&[key.as_bytes()]) % CLAIM_PARTITIONS
}

fn claim_result(reply: ClaimReply) -> Option<ClaimResult> {
    Some(match reply.state() {
        State::Unavailable => ClaimResult::Unavailable,
        State::Won => ClaimResult::Won(reply.offset),
        State::Held => ClaimResult::Held(Box::new(serde_json::from_slice(&reply.holder).ok()?)),
        State::Free => ClaimResult::Free,
    })
}

impl From<ClaimResult> for ClaimReply {
    fn from(result: ClaimResult) -> Self {
        let mut reply = Self { state: State::Unavailable.into(), ..Self::default() };
        match result {
            ClaimResult::Won(offset) => {
                reply.state = State::Won.into();
                reply.offset = offset;
            }
            ClaimResult::Held(holder) => {
                reply.state = State::Held.into();
                reply.holder = serde_json::to_vec(&holder).unwrap_or_default().into();
            }
            ClaimResult::Free => reply.state = State::Free.into(),
            ClaimResult::Unavailable => {}
        }
        reply
    }
}

//! An engine in memory: continuous batching, a prefix cache, orders, crashes.
//! It counts its own memory and remembers whether it was ever overcommitted.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{
    sync::{Semaphore, watch},
    time,
};

use crate::{
    agent::{BackendError, EngineReport},
    core::{
        hash,
        ids::Mib,
        memory::Resource,
        orders::{EngineState, FencingToken, Order, OrderResult, Role},
    },
};

/// How the engine behaves.
#[derive(Clone, Copy, Debug)]
pub struct EngineTraits {
    /// Accelerator memory, MiB.
    pub memory: Mib,
    /// Refuses orders with an old number.
    pub checks_fencing: bool,
    /// Time to the first token of an idle engine.
    pub first_token: Duration,
    /// Time between tokens of an idle engine.
    pub gap: Duration,
    /// Requests at which these times have doubled.
    pub doubling_batch: f64,
    /// Time to load a gibibyte of weights.
    pub load_per_gib: Duration,
    /// Share of the first token time that a cached prefix saves.
    pub cache_saves: f64,
    /// Time that the engine is away after a crash.
    pub restart: Duration,
}

impl Default for EngineTraits {
    fn default() -> Self {
        Self {
            memory: 80 * 1024,
            checks_fencing: true,
            first_token: Duration::from_millis(40),
            gap: Duration::from_millis(5),
            doubling_batch: 32.0,
            load_per_gib: Duration::from_millis(10),
            cache_saves: 0.6,
            restart: Duration::from_secs(2),
        }
    }
}

/// The weight store that engines share.
#[derive(Clone, Debug)]
pub struct WeightStore {
    slots: Arc<Semaphore>,
}

impl WeightStore {
    /// A store that serves so many loads at once.
    pub fn new(at_once: usize) -> Self {
        Self { slots: Arc::new(Semaphore::new(at_once)) }
    }

    async fn fetch(&self, takes: Duration) {
        let _slot = self.slots.acquire().await;
        time::sleep(takes).await;
    }
}

#[derive(Debug)]
struct Inner {
    seen: FencingToken,
    held: BTreeMap<Resource, Mib>,
    loading: Vec<Resource>,
    role: Role,
    overcommitted: bool,
    running: usize,
    boot: u64,
    down: bool,
    crashes: u64,
    loads: u64,
    unloads: u64,
    cancelled: u64,
    cache: VecDeque<u64>,
    cache_hits: u64,
    cache_lookups: u64,
    runs: HashMap<u64, u64>,
}

const CACHED_PREFIXES: usize = 64;
// A prompt with this word crashes the engine.
const POISON: &str = "CRASH-ENGINE";
const PREFIX_BYTES: usize = 256;

/// The engine; its clones are one engine.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    inner: Arc<Mutex<Inner>>,
    boots: watch::Sender<u64>,
    traits: EngineTraits,
    store: WeightStore,
}

/// A run in the batch; dropping it takes it out.
#[derive(Debug)]
pub(super) struct BatchSlot {
    engine: FakeEngine,
    boots: watch::Receiver<u64>,
    complete: bool,
}

impl Drop for BatchSlot {
    fn drop(&mut self) {
        let mut inner = self.engine.lock();
        inner.running = inner.running.saturating_sub(1);
        inner.cancelled += u64::from(!self.complete);
    }
}

impl BatchSlot {
    /// Waits as long as a step of the batch takes now; fails when the engine crashes.
    pub(super) async fn step(&mut self, base: Duration) -> Result<(), BackendError> {
        let takes = base.mul_f64(self.engine.load_factor());
        tokio::select! {
            () = time::sleep(takes) => Ok(()),
            _ = self.boots.changed() => Err(BackendError::Interrupted("crashed".to_owned())),
        }
    }

    pub(super) fn completed(&mut self) {
        self.complete = true;
    }
}

impl FakeEngine {
    /// An engine that holds nothing.
    pub fn new(traits: EngineTraits, store: WeightStore) -> Self {
        let inner = Inner {
            seen: FencingToken::default(),
            held: BTreeMap::new(),
            loading: Vec::new(),
            role: Role::Mixed,
            overcommitted: false,
            running: 0,
            boot: 1,
            down: false,
            crashes: 0,
            loads: 0,
            unloads: 0,
            cancelled: 0,
            cache: VecDeque::new(),
            cache_hits: 0,
            cache_lookups: 0,
            runs: HashMap::new(),
        };
        Self { inner: Arc::new(Mutex::new(inner)), boots: watch::channel(1).0, traits, store }
    }

    /// Whether the engine ever held more than its memory.
    pub fn was_overcommitted(&self) -> bool {
        self.lock().overcommitted
    }

    /// Loads and unloads so far.
    pub fn moves(&self) -> (u64, u64) {
        let inner = self.lock();
        (inner.loads, inner.unloads)
    }

    /// Crashes so far.
    pub fn crashes(&self) -> u64 {
        self.lock().crashes
    }

    /// Runs that were cancelled so far.
    pub fn cancelled(&self) -> u64 {
        self.lock().cancelled
    }

    /// Runs in progress.
    pub fn running(&self) -> usize {
        self.lock().running
    }

    /// Whether a version of a model is loaded.
    pub fn holds(&self, model: &str) -> bool {
        let inner = self.lock();
        let is = |r: &Resource| matches!(r, Resource::Model { name, .. } if **name == *model);
        inner.held.keys().any(|r| is(r) && !inner.loading.contains(r))
    }

    /// Prefix cache hits and lookups so far.
    pub fn cache(&self) -> (u64, u64) {
        let inner = self.lock();
        (inner.cache_hits, inner.cache_lookups)
    }

    /// Crashes the engine; it comes back without weights after its restart time.
    pub fn crash(&self) {
        let boot = {
            let mut inner = self.lock();
            inner.crashes += 1;
            inner.boot += 1;
            inner.down = true;
            inner.held.clear();
            inner.loading.clear();
            inner.cache.clear();
            inner.seen = FencingToken::default();
            inner.role = Role::Mixed;
            inner.boot
        };
        self.boots.send_replace(boot);
        let me = self.clone();
        tokio::spawn(async move {
            time::sleep(me.traits.restart).await;
            me.lock().down = false;
        });
    }

    pub(super) fn report(&self) -> Result<EngineReport, BackendError> {
        let inner = self.lock();
        if inner.down {
            return Err(BackendError::NotSent("down".to_owned()));
        }
        let held = inner.held.iter().map(|(r, s)| (r.clone(), *s)).collect();
        let state = EngineState { held, loading: inner.loading.clone(), role: inner.role };
        Ok(EngineReport { state, boot: inner.boot })
    }

    pub(super) async fn order(
        &self,
        number: FencingToken,
        order: Order,
    ) -> Result<OrderResult, BackendError> {
        if let Some(refused) = self.number(number)? {
            return Ok(refused);
        }
        match order {
            Order::Barrier => {}
            Order::Load { resource, size } => return self.load(resource, size).await,
            Order::Unload { resource } => {
                let mut inner = self.lock();
                let removed = inner.held.remove(&resource).is_some();
                inner.unloads += u64::from(removed);
            }
            Order::SetRole { role, kv_cache } => {
                self.lock().role = role;
                self.hold(Resource::KvCache, kv_cache);
            }
        }
        Ok(OrderResult::Done)
    }

    /// Takes a run into the batch.
    pub(super) fn join(&self, model: &str, prompt: &str) -> Result<BatchSlot, BackendError> {
        let boots = self.boots.subscribe();
        let mut inner = self.lock();
        if inner.down {
            return Err(BackendError::NotSent("down".to_owned()));
        }
        let loaded = |r: &Resource| matches!(r, Resource::Model { name, .. } if **name == *model);
        let ready = inner.held.keys().any(|r| loaded(r) && !inner.loading.contains(r));
        if !ready {
            return Err(BackendError::Refused(format!("model {model:?} is not loaded")));
        }
        inner.running += 1;
        *inner.runs.entry(hash::stable(&[prompt.as_bytes()])).or_default() += 1;
        drop(inner);
        if prompt.contains(POISON) {
            let me = self.clone();
            tokio::spawn(async move {
                time::sleep(me.traits.first_token).await;
                me.crash();
            });
        }
        Ok(BatchSlot { engine: self.clone(), boots, complete: false })
    }

    /// Time to the first token of a prompt, by what the prefix cache holds.
    pub(super) fn prefill(&self, model: &str, prompt: &str) -> Duration {
        let end = prompt.len().min(PREFIX_BYTES);
        let prefix = hash::stable(&[model.as_bytes(), &prompt.as_bytes()[..end]]);
        let mut inner = self.lock();
        inner.cache_lookups += 1;
        let found = inner.cache.iter().position(|p| *p == prefix);
        if let Some(at) = found {
            inner.cache_hits += 1;
            inner.cache.remove(at);
        }
        inner.cache.push_back(prefix);
        if CACHED_PREFIXES < inner.cache.len() {
            inner.cache.pop_front();
        }
        let saved = if found.is_some() { self.traits.cache_saves } else { 0.0 };
        self.traits.first_token.mul_f64(1.0 - saved)
    }

    pub(super) fn gap(&self) -> Duration {
        self.traits.gap
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn load_factor(&self) -> f64 {
        let inner = self.lock();
        1.0 + inner.running as f64 / self.traits.doubling_batch
    }

    fn number(&self, number: FencingToken) -> Result<Option<OrderResult>, BackendError> {
        let mut inner = self.lock();
        if inner.down {
            return Err(BackendError::NotSent("down".to_owned()));
        }
        if self.traits.checks_fencing && number < inner.seen {
            return Ok(Some(OrderResult::OldNumber { seen: inner.seen }));
        }
        inner.seen = inner.seen.max(number);
        Ok(None)
    }

    fn hold(&self, resource: Resource, size: Mib) {
        let mut inner = self.lock();
        inner.held.insert(resource, size);
        let used: Mib = inner.held.values().sum();
        inner.overcommitted |= self.traits.memory < used;
    }

    async fn load(&self, resource: Resource, size: Mib) -> Result<OrderResult, BackendError> {
        let boot = {
            let inner = self.lock();
            if inner.held.contains_key(&resource) && !inner.loading.contains(&resource) {
                return Ok(OrderResult::Done);
            }
            inner.boot
        };
        self.hold(resource.clone(), size);
        self.lock().loading.push(resource.clone());
        let takes = self.traits.load_per_gib.mul_f64(size as f64 / 1024.0);
        self.store.fetch(takes).await;
        let mut inner = self.lock();
        if inner.boot != boot {
            return Err(BackendError::Interrupted("crashed".to_owned()));
        }
        inner.loading.retain(|r| *r != resource);
        inner.loads += 1;
        Ok(OrderResult::Done)
    }
}

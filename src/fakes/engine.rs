//! Simulated engine with continuous batching, a prefix cache, orders and crashes. It
//! accounts for its own memory and records whether it was ever overcommitted.

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

/// Properties of a simulated engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineProfile {
    /// Accelerator memory in MiB.
    pub memory: Mib,
    /// Whether orders with an outdated fencing token are rejected.
    pub checks_fencing: bool,
    /// Time to the first token of an idle engine.
    pub first_token: Duration,
    /// Time between tokens of an idle engine.
    pub token_gap: Duration,
    /// Number of running requests at which both times have doubled.
    pub latency_doubling_batch: f64,
    /// Time to load one GiB of weights.
    pub load_time_per_gib: Duration,
    /// Fraction of the time to the first token that a cached prefix saves.
    pub cache_hit_saving: f64,
    /// Time for which the engine is down after a crash.
    pub restart_time: Duration,
}

impl Default for EngineProfile {
    fn default() -> Self {
        Self {
            memory: 80 * 1024,
            checks_fencing: true,
            first_token: Duration::from_millis(40),
            token_gap: Duration::from_millis(5),
            latency_doubling_batch: 32.0,
            load_time_per_gib: Duration::from_millis(10),
            cache_hit_saving: 0.6,
            restart_time: Duration::from_secs(2),
        }
    }
}

/// The store from which all engines load their weights.
#[derive(Clone, Debug)]
pub struct WeightStore {
    permits: Arc<Semaphore>,
}

impl WeightStore {
    /// Creates a store that serves up to `max_concurrent` loads at once.
    pub fn new(max_concurrent: usize) -> Self {
        Self { permits: Arc::new(Semaphore::new(max_concurrent)) }
    }

    async fn fetch(&self, duration: Duration) {
        let _permit = self.permits.acquire().await;
        time::sleep(duration).await;
    }
}

#[derive(Debug)]
struct EngineInner {
    highest_token: FencingToken,
    allocated: BTreeMap<Resource, Mib>,
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
    prefix_cache: VecDeque<u64>,
    prefix_cache_hits: u64,
    prefix_cache_lookups: u64,
    runs: HashMap<u64, u64>,
}

const MAX_CACHED_PREFIXES: usize = 64;
// A prompt that contains this text crashes the engine.
const CRASH_PROMPT: &str = "CRASH-ENGINE";
// Prompts that share this many leading bytes share a cache item.
const PREFIX_BYTES: usize = 256;

/// A simulated engine. Clones refer to the same engine.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    inner: Arc<Mutex<EngineInner>>,
    boot: watch::Sender<u64>,
    profile: EngineProfile,
    store: WeightStore,
}

/// A running request in the batch. Dropping it removes the request, which counts as
/// cancelled unless it was marked complete.
#[derive(Debug)]
pub(super) struct BatchSlot {
    engine: FakeEngine,
    boot_changes: watch::Receiver<u64>,
    is_complete: bool,
}

impl Drop for BatchSlot {
    fn drop(&mut self) {
        let mut inner = self.engine.lock();
        inner.running = inner.running.saturating_sub(1);
        inner.cancelled += u64::from(!self.is_complete);
    }
}

impl BatchSlot {
    /// Waits for `idle_duration`, scaled by the current slowdown of the batch. Fails if the
    /// engine crashes meanwhile.
    pub(super) async fn step(&mut self, idle_duration: Duration) -> Result<(), BackendError> {
        let duration = idle_duration.mul_f64(self.engine.slowdown());
        tokio::select! {
            () = time::sleep(duration) => Ok(()),
            _ = self.boot_changes.changed() => Err(BackendError::Interrupted("crashed".to_owned())),
        }
    }

    pub(super) fn mark_complete(&mut self) {
        self.is_complete = true;
    }
}

impl FakeEngine {
    /// Creates an engine without any loaded weights.
    pub fn new(profile: EngineProfile, store: WeightStore) -> Self {
        let inner = EngineInner {
            highest_token: FencingToken::default(),
            allocated: BTreeMap::new(),
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
            prefix_cache: VecDeque::new(),
            prefix_cache_hits: 0,
            prefix_cache_lookups: 0,
            runs: HashMap::new(),
        };
        Self { inner: Arc::new(Mutex::new(inner)), boot: watch::channel(1).0, profile, store }
    }

    /// Whether the allocated memory ever exceeded the engine's memory.
    pub fn was_overcommitted(&self) -> bool {
        self.lock().overcommitted
    }

    /// Number of completed loads and unloads so far.
    pub fn load_counts(&self) -> (u64, u64) {
        let inner = self.lock();
        (inner.loads, inner.unloads)
    }

    /// Number of crashes so far.
    pub fn crashes(&self) -> u64 {
        self.lock().crashes
    }

    /// Number of requests cancelled so far.
    pub fn cancelled(&self) -> u64 {
        self.lock().cancelled
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.lock().running
    }

    /// Whether any version of a model is fully loaded.
    pub fn has_loaded(&self, model: &str) -> bool {
        let inner = self.lock();
        let is_model = |r: &Resource| matches!(r, Resource::Model { name, .. } if **name == *model);
        inner.allocated.keys().any(|r| is_model(r) && !inner.loading.contains(r))
    }

    /// Number of prefix cache hits and lookups so far.
    pub fn prefix_cache_counts(&self) -> (u64, u64) {
        let inner = self.lock();
        (inner.prefix_cache_hits, inner.prefix_cache_lookups)
    }

    /// Crashes the engine. It is up again, without weights, after its restart time.
    pub fn crash(&self) {
        let boot = {
            let mut inner = self.lock();
            inner.crashes += 1;
            inner.boot += 1;
            inner.down = true;
            inner.allocated.clear();
            inner.loading.clear();
            inner.prefix_cache.clear();
            inner.highest_token = FencingToken::default();
            inner.role = Role::Mixed;
            inner.boot
        };
        self.boot.send_replace(boot);
        let engine = self.clone();
        tokio::spawn(async move {
            time::sleep(engine.profile.restart_time).await;
            engine.lock().down = false;
        });
    }

    pub(super) fn report(&self) -> Result<EngineReport, BackendError> {
        let inner = self.lock();
        if inner.down {
            return Err(BackendError::NotSent("down".to_owned()));
        }
        let allocated = inner.allocated.iter().map(|(r, s)| (r.clone(), *s)).collect();
        let state = EngineState { allocated, loading: inner.loading.clone(), role: inner.role };
        Ok(EngineReport { state, boot: inner.boot })
    }

    pub(super) async fn order(
        &self,
        token: FencingToken,
        order: Order,
    ) -> Result<OrderResult, BackendError> {
        if let Some(rejection) = self.check_token(token)? {
            return Ok(rejection);
        }
        match order {
            Order::Barrier => {}
            Order::Load { resource, size } => return self.load(resource, size).await,
            Order::Unload { resource } => {
                let mut inner = self.lock();
                let removed = inner.allocated.remove(&resource).is_some();
                inner.unloads += u64::from(removed);
            }
            Order::SetRole { role, kv_cache } => {
                self.lock().role = role;
                self.allocate(Resource::KvCache, kv_cache);
            }
        }
        Ok(OrderResult::Done)
    }

    /// Adds a request to the batch.
    pub(super) fn start_run(&self, model: &str, prompt: &str) -> Result<BatchSlot, BackendError> {
        let boot_changes = self.boot.subscribe();
        let mut inner = self.lock();
        if inner.down {
            return Err(BackendError::NotSent("down".to_owned()));
        }
        let is_model = |r: &Resource| matches!(r, Resource::Model { name, .. } if **name == *model);
        let is_loaded = inner.allocated.keys().any(|r| is_model(r) && !inner.loading.contains(r));
        if !is_loaded {
            return Err(BackendError::Refused(format!("model {model:?} is not loaded")));
        }
        inner.running += 1;
        *inner.runs.entry(hash::stable(&[prompt.as_bytes()])).or_default() += 1;
        drop(inner);
        if prompt.contains(CRASH_PROMPT) {
            let engine = self.clone();
            tokio::spawn(async move {
                time::sleep(engine.profile.first_token).await;
                engine.crash();
            });
        }
        Ok(BatchSlot { engine: self.clone(), boot_changes, is_complete: false })
    }

    /// Time to the first token of a prompt on an idle engine, which is shorter if its prefix
    /// is cached. Adds the prefix to the cache.
    pub(super) fn prefill_time(&self, model: &str, prompt: &str) -> Duration {
        let end = prompt.len().min(PREFIX_BYTES);
        let prefix = hash::stable(&[model.as_bytes(), &prompt.as_bytes()[..end]]);
        let mut inner = self.lock();
        inner.prefix_cache_lookups += 1;
        let cached_at = inner.prefix_cache.iter().position(|p| *p == prefix);
        if let Some(index) = cached_at {
            inner.prefix_cache_hits += 1;
            inner.prefix_cache.remove(index);
        }
        inner.prefix_cache.push_back(prefix);
        if MAX_CACHED_PREFIXES < inner.prefix_cache.len() {
            inner.prefix_cache.pop_front();
        }
        let saved = if cached_at.is_some() { self.profile.cache_hit_saving } else { 0.0 };
        self.profile.first_token.mul_f64(1.0 - saved)
    }

    pub(super) fn token_gap(&self) -> Duration {
        self.profile.token_gap
    }

    fn lock(&self) -> MutexGuard<'_, EngineInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Factor by which the running requests lengthen each step.
    fn slowdown(&self) -> f64 {
        let inner = self.lock();
        1.0 + inner.running as f64 / self.profile.latency_doubling_batch
    }

    /// Records a fencing token. Returns the result of the order if the token is outdated.
    fn check_token(&self, token: FencingToken) -> Result<Option<OrderResult>, BackendError> {
        let mut inner = self.lock();
        if inner.down {
            return Err(BackendError::NotSent("down".to_owned()));
        }
        if self.profile.checks_fencing && token < inner.highest_token {
            return Ok(Some(OrderResult::StaleToken { seen: inner.highest_token }));
        }
        inner.highest_token = inner.highest_token.max(token);
        Ok(None)
    }

    fn allocate(&self, resource: Resource, size: Mib) {
        let mut inner = self.lock();
        inner.allocated.insert(resource, size);
        let used: Mib = inner.allocated.values().sum();
        inner.overcommitted |= self.profile.memory < used;
    }

    async fn load(&self, resource: Resource, size: Mib) -> Result<OrderResult, BackendError> {
        let boot = {
            let inner = self.lock();
            if inner.allocated.contains_key(&resource) && !inner.loading.contains(&resource) {
                return Ok(OrderResult::Done);
            }
            inner.boot
        };
        self.allocate(resource.clone(), size);
        self.lock().loading.push(resource.clone());
        let duration = self.profile.load_time_per_gib.mul_f64(size as f64 / 1024.0);
        self.store.fetch(duration).await;
        let mut inner = self.lock();
        if inner.boot != boot {
            return Err(BackendError::Interrupted("crashed".to_owned()));
        }
        inner.loading.retain(|r| *r != resource);
        inner.loads += 1;
        Ok(OrderResult::Done)
    }
}

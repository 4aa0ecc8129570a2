//! State that the modules of an entry share. Its locks are held only briefly and
//! never across an await.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Instant,
};

use crate::{
    core::{
        config::{Key, Scope},
        ids::{EntryId, TenantName},
        limits::{Limits, TenantLimits},
        routing::{EndpointHealth, Site},
    },
    entry::{attempt_registry::AttemptRegistry, claims::ClaimService},
    errors::Refusal,
    fleet::{ConfigStore, ConfigView, VmWatch},
    rpc::Channels,
};

/// State of an entry that its request handlers and RPC server share.
pub(super) struct Shared<L> {
    pub(super) name: EntryId,
    pub(super) site: Site,
    pub(super) store: Arc<ConfigStore>,
    pub(super) channels: Channels,
    pub(super) vms: VmWatch,
    pub(super) claims: ClaimService<L>,
    pub(super) attempt_registry: AttemptRegistry,
    pub(super) draining: AtomicBool,
    request_count: AtomicU64,
    /// Random value that makes request ids differ between starts of an entry.
    start_nonce: u64,
    health: Mutex<EndpointHealth>,
    limits: Mutex<TenantLimits>,
}

impl<L> Shared<L> {
    pub(super) fn new(
        name: EntryId,
        site: Site,
        store: Arc<ConfigStore>,
        channels: Channels,
        vms: VmWatch,
        claims: ClaimService<L>,
    ) -> Self {
        Self {
            name,
            site,
            store,
            channels,
            vms,
            claims,
            attempt_registry: AttemptRegistry::new(Key::QuarantineCrashes.default_value() as u32),
            draining: AtomicBool::new(false),
            request_count: AtomicU64::new(0),
            start_nonce: fastrand::u64(..),
            health: Mutex::default(),
            limits: Mutex::default(),
        }
    }

    /// A request id that is unique across all entries.
    pub(super) fn request_id(&self) -> String {
        let number = self.request_count.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number:x}", self.name, self.start_nonce)
    }

    pub(super) fn health(&self) -> MutexGuard<'_, EndpointHealth> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn limits(&self) -> MutexGuard<'_, TenantLimits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a request under the limits of its tenant. It counts as in progress until the guard
    /// is dropped.
    pub(super) fn admit(
        self: &Arc<Self>,
        view: &ConfigView,
        tenant: &TenantName,
    ) -> Result<TenantGuard<L>, Refusal> {
        let scope = Scope { tenant: Some(tenant), ..Scope::default() };
        let limits = Limits {
            rate_per_s: view.state.value(Key::RatePerSecond, &scope),
            concurrency: view.state.value(Key::Concurrency, &scope),
            retry_percent: view.state.value(Key::RetryPercent, &scope),
        };
        self.limits().begin(Instant::now(), tenant, limits)?;
        Ok(TenantGuard { shared: self.clone(), tenant: tenant.clone() })
    }
}

/// Counts a request of a tenant as in progress until it is dropped.
pub(super) struct TenantGuard<L> {
    shared: Arc<Shared<L>>,
    tenant: TenantName,
}

impl<L> Drop for TenantGuard<L> {
    fn drop(&mut self) {
        self.shared.limits().end(&self.tenant);
    }
}

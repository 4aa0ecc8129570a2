//! State that the parts of an entry share. It is locked for short steps only,
//! never while waiting.

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
    entry::{claims::ClaimService, vetting::Vetting},
    errors::Refusal,
    fleet::{ConfigStore, View, VmWatch},
    rpc::Channels,
};

/// Shared by the parts of an entry.
pub(super) struct Shared<L> {
    pub(super) name: EntryId,
    pub(super) site: Site,
    pub(super) store: Arc<ConfigStore>,
    pub(super) channels: Channels,
    pub(super) vms: VmWatch,
    pub(super) claims: ClaimService<L>,
    pub(super) vetting: Vetting,
    pub(super) draining: AtomicBool,
    requests: AtomicU64,
    /// Makes request ids differ between starts of one entry.
    start: u64,
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
            vetting: Vetting::new(Key::QuarantineCrashes.default_value() as u32),
            draining: AtomicBool::new(false),
            requests: AtomicU64::new(0),
            start: fastrand::u64(..),
            health: Mutex::default(),
            limits: Mutex::default(),
        }
    }

    /// An id that no other request of any entry has.
    pub(super) fn request_id(&self) -> String {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number:x}", self.name, self.start)
    }

    pub(super) fn health(&self) -> MutexGuard<'_, EndpointHealth> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn limits(&self) -> MutexGuard<'_, TenantLimits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a request of a tenant until the guard is dropped.
    pub(super) fn begin(
        self: &Arc<Self>,
        view: &View,
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

/// Counts a request as in progress.
pub(super) struct TenantGuard<L> {
    shared: Arc<Shared<L>>,
    tenant: TenantName,
}

impl<L> Drop for TenantGuard<L> {
    fn drop(&mut self) {
        self.shared.limits().end(&self.tenant);
    }
}

//! Loads the models that requests need or that the plan places at the endpoint, and unloads
//! others to free memory for them.

use std::{
    cmp::Reverse,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::time;

use crate::{
    agent::shared::{AgentState, Shared},
    core::{
        config::{Item, ItemKind, Key, Scope},
        ids::Mib,
        memory::{ReservationState, Resource},
        orders::Role,
        placement::required_resources,
    },
    errors::{Code, Refusal},
    fleet::ConfigView,
};

// After a request has waited this long for memory, on-demand resources that are in use take no new
// requests, so that they become idle and can be unloaded.
const RECLAIM_AFTER: Duration = Duration::from_millis(500);
// Such a resource takes requests again when no request has asked for its memory for this long.
const RECLAIM_LIFETIME: Duration = Duration::from_millis(400);
// A planned model displaces an on-demand resource only after that has had no request for this
// long.
const ON_DEMAND_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);
const NOT_RESIDENT_RETRY_AFTER: Duration = Duration::from_secs(2);

impl<B, L> Shared<B, L> {
    /// Waits until resources are loaded and keeps them loaded until [`AgentState::release`].
    ///
    /// # Errors
    /// [`Code::NotResident`] when memory for them cannot be freed or they are not loaded before the
    /// deadline.
    pub(super) async fn acquire_loaded(
        self: &Arc<Self>,
        needed: &[(Resource, Mib)],
        deadline: Instant,
    ) -> Result<(), Refusal> {
        let started_at = Instant::now();
        loop {
            let changed = self.state_changed.notified();
            {
                let view = self.store.view();
                let mut state = self.lock();
                let now = Instant::now();
                if state.all_available(now, needed) {
                    state.acquire(now, needed);
                    return Ok(());
                }
                let may_reclaim = RECLAIM_AFTER <= started_at.elapsed();
                state.request_load(&view, &self.identity.endpoint, needed, may_reclaim)?;
            }
            self.order_wakeup.notify_one();
            if deadline <= Instant::now() {
                return Err(not_resident("the model was not loaded before the deadline"));
            }
            let _ = time::timeout(RECHECK_INTERVAL, changed).await;
        }
    }

    /// Queues orders for the KV cache and for the models that the plan places at this endpoint, as
    /// far as they fit into its memory.
    pub(super) fn apply_plan(&self) {
        let view = self.store.view();
        let Some((memory, None)) = self.endpoint() else {
            return;
        };
        let endpoint = &self.identity.endpoint;
        let percent = view.state.value(Key::KvReservePercent, &Scope::endpoint(endpoint));
        let mut state = self.lock();
        if !state.controller.as_ref().is_some_and(|c| c.is_running()) {
            return;
        }
        state.reserve_kv_cache(memory * percent / 100);
        for model in view.plan.models_of(endpoint) {
            let Ok(needed) = required_resources(&view.state, model) else {
                continue;
            };
            state.load_planned(&view, endpoint, &needed);
        }
        state.unload_old_versions(&view);
    }
}

impl AgentState {
    /// Requests loads of resources and unloads others where memory is missing. With `may_reclaim`,
    /// on-demand resources that are in use take no new requests, so that they can be unloaded.
    fn request_load(
        &mut self,
        view: &ConfigView,
        endpoint: &str,
        needed: &[(Resource, Mib)],
        may_reclaim: bool,
    ) -> Result<(), Refusal> {
        for (resource, size) in needed {
            let Some(controller) = &mut self.controller else { return Ok(()) };
            if !controller.is_running() {
                return Ok(());
            }
            let Err(insufficient) = controller.load(resource.clone(), *size) else { continue };
            let pending = |r: ReservationState| r != ReservationState::Resident;
            let change_pending = controller.ledger().reservations().any(|(_, s)| pending(s.state));
            if self.evict_idle(view, endpoint, insufficient.missing, needed) || change_pending {
                continue;
            }
            let on_demand = self.on_demand_resources(view, endpoint, needed);
            let size: Mib = on_demand.iter().map(|(_, size)| size).sum();
            if size < insufficient.missing {
                return Err(not_resident(&format!(
                    "{} MiB of memory are missing",
                    insufficient.missing
                )));
            }
            if may_reclaim {
                let until = Instant::now() + RECLAIM_LIFETIME;
                self.reclaiming.extend(on_demand.into_iter().map(|(r, _)| (r, until)));
            }
        }
        Ok(())
    }

    /// Loaded models that the plan does not place at this endpoint and loaded adapters, in use or
    /// not, without the needed ones.
    fn on_demand_resources(
        &self,
        view: &ConfigView,
        endpoint: &str,
        needed: &[(Resource, Mib)],
    ) -> Vec<(Resource, Mib)> {
        let Some(controller) = &self.controller else { return Vec::new() };
        let on_demand = |r: &Resource| match r {
            Resource::Model { name, .. } => !view.plan.places(name, endpoint),
            Resource::Adapter { .. } => true,
            Resource::KvCache => false,
        };
        let reservations = controller.ledger().reservations();
        reservations
            .filter(|(r, s)| s.state == ReservationState::Resident && on_demand(r))
            .filter(|(r, _)| !needed.iter().any(|(n, _)| n == *r))
            .map(|(r, s)| (r.clone(), s.size))
            .collect()
    }

    /// Whether resources fit into the free memory, or would after unloads of idle and on-demand
    /// resources.
    pub(super) fn could_fit(
        &self,
        view: &ConfigView,
        endpoint: &str,
        needed: &[(Resource, Mib)],
    ) -> bool {
        let Some(controller) = &self.controller else {
            return needed.is_empty();
        };
        let ledger = controller.ledger();
        let missing: Mib =
            needed.iter().filter(|(r, _)| ledger.reservation(r).is_none()).map(|(_, s)| s).sum();
        if missing <= ledger.free() {
            return true;
        }
        let idle = self.eviction_candidates(view, endpoint, needed);
        let on_demand = self.on_demand_resources(view, endpoint, needed);
        let in_use = on_demand.iter().filter(|(r, _)| !idle.iter().any(|(i, _)| i == r));
        let freed: Mib = idle.iter().chain(in_use).map(|(_, size)| size).sum();
        missing <= ledger.free() + freed
    }

    /// Unloads eviction candidates in their order until `missing` memory will be free. Returns
    /// false, without unloading any, when they are too small together.
    fn evict_idle(
        &mut self,
        view: &ConfigView,
        endpoint: &str,
        missing: Mib,
        needed: &[(Resource, Mib)],
    ) -> bool {
        let candidates = self.eviction_candidates(view, endpoint, needed);
        let idle: Mib = candidates.iter().map(|(_, size)| size).sum();
        if idle < missing {
            return false;
        }
        self.unload_until_free(missing, candidates);
        true
    }

    /// Unloads resources in order until `missing` memory will be free.
    fn unload_until_free(&mut self, missing: Mib, candidates: Vec<(Resource, Mib)>) {
        let mut freed = 0;
        for (resource, size) in candidates {
            if missing <= freed {
                return;
            }
            freed += size;
            if let Some(controller) = &mut self.controller {
                controller.unload(&resource);
            }
            self.reclaiming.remove(&resource);
        }
    }

    /// Idle resources that may be unloaded, in this order: resources outside the plan, then models
    /// with the most planned replicas elsewhere; among equals the least recently used first. The
    /// only planned replica of a model and the KV cache are never unloaded.
    fn eviction_candidates(
        &self,
        view: &ConfigView,
        endpoint: &str,
        needed: &[(Resource, Mib)],
    ) -> Vec<(Resource, Mib)> {
        let Some(controller) = &self.controller else {
            return Vec::new();
        };
        let other_replicas = |resource: &Resource| match resource {
            Resource::Model { name, .. } if view.plan.places(name, endpoint) => {
                view.plan.engines_of(name).len() - 1
            }
            Resource::KvCache => 0,
            Resource::Model { .. } | Resource::Adapter { .. } => usize::MAX,
        };
        let mut idle: Vec<(Resource, Mib)> = controller
            .ledger()
            .reservations()
            .filter(|(r, s)| {
                s.state == ReservationState::Resident && !self.use_counts.contains_key(r)
            })
            .filter(|(r, _)| other_replicas(r) != 0 && !needed.iter().any(|(n, _)| n == *r))
            .map(|(r, s)| (r.clone(), s.size))
            .collect();
        idle.sort_by_key(|(r, _)| (Reverse(other_replicas(r)), self.last_used.get(r).copied()));
        idle
    }

    /// Queues a role change when the KV cache does not have the configured size.
    fn reserve_kv_cache(&mut self, size: Mib) {
        let Some(controller) = &mut self.controller else {
            return;
        };
        let reservation = controller.ledger().reservation(&Resource::KvCache);
        if reservation.is_none_or(|s| s.size != size && s.state == ReservationState::Resident) {
            // Tried again by the next `apply_plan` when the memory is insufficient.
            let _ = controller.set_role(Role::Mixed, size);
        }
    }

    /// Queues the load of a planned model. Unloads on-demand resources that have been idle for
    /// [`ON_DEMAND_IDLE_TIMEOUT`] where memory is missing.
    fn load_planned(&mut self, view: &ConfigView, endpoint: &str, needed: &[(Resource, Mib)]) {
        let Some(controller) = &mut self.controller else {
            return;
        };
        let [(resource, size)] = needed else { return };
        let Err(insufficient) = controller.load(resource.clone(), *size) else {
            return;
        };
        if controller.ledger().reservation(resource).is_some() {
            return;
        }
        let now = Instant::now();
        let idle_expired = |r: &Resource| {
            let used = self.last_used.get(r);
            used.is_none_or(|at| *at + ON_DEMAND_IDLE_TIMEOUT < now)
        };
        let candidates = self.eviction_candidates(view, endpoint, needed);
        let unplanned = candidates.into_iter().filter(|(r, _)| match r {
            Resource::Model { name, .. } => !view.plan.places(name, endpoint) && idle_expired(r),
            Resource::Adapter { .. } => idle_expired(r),
            Resource::KvCache => false,
        });
        let unplanned = unplanned.collect();
        self.unload_until_free(insufficient.missing, unplanned);
    }

    /// Unloads idle models that are no longer configured, and idle old versions of a model once its
    /// configured version is loaded.
    fn unload_old_versions(&mut self, view: &ConfigView) {
        let Some(controller) = &mut self.controller else {
            return;
        };
        let current = |name: &str| match view.state.item(ItemKind::Model, name) {
            Some(Item::Model { version, .. }) => Some(*version),
            _ => None,
        };
        let old: Vec<Resource> = controller
            .ledger()
            .reservations()
            .filter_map(|(resource, _)| match resource {
                Resource::Model { name, version } => match current(name) {
                    Some(v) if v == *version => None,
                    Some(v) if !controller.is_resident(&Resource::model(name, v)) => None,
                    _ => Some(resource.clone()),
                },
                _ => None,
            })
            .collect();
        for resource in old {
            if !self.use_counts.contains_key(&resource) {
                controller.unload(&resource);
            }
        }
    }
}

fn not_resident(text: &str) -> Refusal {
    Refusal::new(Code::NotResident, text).retry_after(NOT_RESIDENT_RETRY_AFTER)
}

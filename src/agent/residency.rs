//! Gets the models of requests and of the plan loaded, and makes room.

use std::{
    cmp::Reverse,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::time;

use crate::{
    agent::shared::{Core, Shared},
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

// A request that waited so long for room lets models on demand that are in use go next.
const YIELD_AFTER: Duration = Duration::from_millis(500);
// The wait is over when nobody has asked for the room for so long.
const YIELD_LAPSES: Duration = Duration::from_millis(400);
// A model that is loaded outside the plan stays for so long after its last request.
const ON_DEMAND_STAYS: Duration = Duration::from_secs(60);
const RECHECK: Duration = Duration::from_millis(100);
const RETRY_NOT_RESIDENT: Duration = Duration::from_secs(2);

impl<B, L> Shared<B, L> {
    /// Waits until resources are loaded and holds them.
    ///
    /// # Errors
    /// [`Code::NotResident`] when they cannot be made to fit or are not there in time.
    pub(super) async fn ensure(
        self: &Arc<Self>,
        needed: &[(Resource, Mib)],
        deadline: Instant,
    ) -> Result<(), Refusal> {
        let began = Instant::now();
        loop {
            let changed = self.changed.notified();
            {
                let view = self.store.view();
                let mut core = self.lock();
                let now = Instant::now();
                if core.all_usable(now, needed) {
                    core.hold(now, needed);
                    return Ok(());
                }
                let long = YIELD_AFTER <= began.elapsed();
                core.want(&view, &self.identity.endpoint, needed, long)?;
            }
            self.work.notify_one();
            if deadline <= Instant::now() {
                return Err(not_resident("the model was not loaded before the deadline"));
            }
            let _ = time::timeout(RECHECK, changed).await;
        }
    }

    /// Orders what the plan places here, as far as there is room, and the KV cache.
    pub(super) fn follow_plan(&self) {
        let view = self.store.view();
        let Some((memory, None)) = self.endpoint() else {
            return;
        };
        let endpoint = &self.identity.endpoint;
        let percent = view.state.value(Key::KvReservePercent, &Scope::endpoint(endpoint));
        let mut core = self.lock();
        if !core.controller.as_ref().is_some_and(|c| c.is_running()) {
            return;
        }
        core.reserve_kv_cache(memory * percent / 100);
        for model in view.plan.models_of(endpoint) {
            let Ok(needed) = required_resources(&view.state, model) else {
                continue;
            };
            core.load_planned(&view, endpoint, &needed);
        }
        core.retire_old(&view);
    }
}

impl Core {
    /// Loads resources, making room where that is allowed.
    fn want(
        &mut self,
        view: &ConfigView,
        endpoint: &str,
        needed: &[(Resource, Mib)],
        waited_long: bool,
    ) -> Result<(), Refusal> {
        for (resource, size) in needed {
            let Some(controller) = &mut self.controller else { return Ok(()) };
            if !controller.is_running() {
                return Ok(());
            }
            let Err(no_room) = controller.load(resource.clone(), *size) else { continue };
            let moving = |r: ReservationState| r != ReservationState::Resident;
            let busy = controller.ledger().reservations().any(|(_, s)| moving(s.state));
            if self.make_room(view, endpoint, no_room.missing, needed) || busy {
                continue;
            }
            let later = self.in_use_on_demand(view, endpoint, needed);
            let size: Mib = later.iter().map(|(_, size)| size).sum();
            if size < no_room.missing {
                return Err(not_resident(&format!("{} MiB are missing", no_room.missing)));
            }
            if waited_long {
                let until = Instant::now() + YIELD_LAPSES;
                self.yielding.extend(later.into_iter().map(|(r, _)| (r, until)));
            }
        }
        Ok(())
    }

    /// Resources outside the plan that requests may keep loaded.
    fn in_use_on_demand(
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
        let held = controller.ledger().reservations();
        held.filter(|(r, s)| s.state == ReservationState::Resident && on_demand(r))
            .filter(|(r, _)| !needed.iter().any(|(n, _)| n == *r))
            .map(|(r, s)| (r.clone(), s.size))
            .collect()
    }

    /// Whether resources could be loaded now or after allowed unloads.
    pub(super) fn could_hold(
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
        let idle = self.victims(view, endpoint, needed);
        let in_use = self.in_use_on_demand(view, endpoint, needed);
        let later = in_use.iter().filter(|(r, _)| !idle.iter().any(|(i, _)| i == r));
        let freed: Mib = idle.iter().chain(later).map(|(_, size)| size).sum();
        missing <= ledger.free() + freed
    }

    /// Unloads idle resources that may go, the least recently used first.
    fn make_room(
        &mut self,
        view: &ConfigView,
        endpoint: &str,
        missing: Mib,
        needed: &[(Resource, Mib)],
    ) -> bool {
        let victims = self.victims(view, endpoint, needed);
        let idle: Mib = victims.iter().map(|(_, size)| size).sum();
        if idle < missing {
            return false;
        }
        self.unload_until(missing, victims);
        true
    }

    /// Unloads resources in order until enough memory will be free.
    fn unload_until(&mut self, missing: Mib, victims: Vec<(Resource, Mib)>) {
        let mut freed = 0;
        for (resource, size) in victims {
            if missing <= freed {
                return;
            }
            freed += size;
            if let Some(controller) = &mut self.controller {
                controller.unload(&resource);
            }
            self.yielding.remove(&resource);
        }
    }

    /// Idle resources that may be unloaded. The only planned replica of a model never is.
    fn victims(
        &self,
        view: &ConfigView,
        endpoint: &str,
        needed: &[(Resource, Mib)],
    ) -> Vec<(Resource, Mib)> {
        let Some(controller) = &self.controller else {
            return Vec::new();
        };
        let replicas_left = |resource: &Resource| match resource {
            Resource::Model { name, .. } if view.plan.places(name, endpoint) => {
                view.plan.engines_of(name).len() - 1
            }
            Resource::KvCache => 0,
            Resource::Model { .. } | Resource::Adapter { .. } => usize::MAX,
        };
        let mut idle: Vec<(Resource, Mib)> = controller
            .ledger()
            .reservations()
            .filter(|(r, s)| s.state == ReservationState::Resident && !self.in_use.contains_key(r))
            .filter(|(r, _)| replicas_left(r) != 0 && !needed.iter().any(|(n, _)| n == *r))
            .map(|(r, s)| (r.clone(), s.size))
            .collect();
        idle.sort_by_key(|(r, _)| (Reverse(replicas_left(r)), self.last_used.get(r).copied()));
        idle
    }

    fn reserve_kv_cache(&mut self, size: Mib) {
        let Some(controller) = &mut self.controller else {
            return;
        };
        let held = controller.ledger().reservation(&Resource::KvCache);
        if held.is_none_or(|s| s.size != size && s.state == ReservationState::Resident) {
            // Without room it is tried again after the next change.
            let _ = controller.set_role(Role::Mixed, size);
        }
    }

    fn load_planned(&mut self, view: &ConfigView, endpoint: &str, needed: &[(Resource, Mib)]) {
        let Some(controller) = &mut self.controller else {
            return;
        };
        let [(resource, size)] = needed else { return };
        let Err(no_room) = controller.load(resource.clone(), *size) else {
            return;
        };
        if controller.ledger().reservation(resource).is_some() {
            return;
        }
        // What was loaded on demand goes once it is idle for long enough.
        let now = Instant::now();
        let stale = |r: &Resource| {
            let used = self.last_used.get(r);
            used.is_none_or(|at| *at + ON_DEMAND_STAYS < now)
        };
        let victims = self.victims(view, endpoint, needed);
        let unplanned = victims.into_iter().filter(|(r, _)| match r {
            Resource::Model { name, .. } => !view.plan.places(name, endpoint) && stale(r),
            Resource::Adapter { .. } => stale(r),
            Resource::KvCache => false,
        });
        let unplanned = unplanned.collect();
        self.unload_until(no_room.missing, unplanned);
    }

    /// Unloads versions that are no longer in force once the new one is loaded.
    fn retire_old(&mut self, view: &ConfigView) {
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
            if !self.in_use.contains_key(&resource) {
                controller.unload(&resource);
            }
        }
    }
}

fn not_resident(text: &str) -> Refusal {
    Refusal::new(Code::NotResident, text).retry_after(RETRY_NOT_RESIDENT)
}

//! State that the parts of an agent share. It is locked for short steps only,
//! never while waiting.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use metrics::gauge;
use tokio::sync::{Notify, oneshot};

use crate::{
    core::{
        config::{Item, ItemKind, Key, Scope},
        idempotency::AttemptHistory,
        ids::{AttemptId, EndpointId, Incarnation, Mib},
        memory::Resource,
        orders::{Controller, ControllerSettings},
        scheduling::{CrashTracker, Decision, Scheduler, SchedulerLimits},
    },
    errors::{Code, Refusal},
    fleet::ConfigStore,
    http::Stop,
    telemetry::names,
};

// Age up to which a probe lets an attempt be run.
const TICKET_LIFE: Duration = Duration::from_secs(30);
const REMEMBERED_ATTEMPTS: usize = 4096;
const DEFAULT_LIMITS: SchedulerLimits = SchedulerLimits { max_running: 1, queue_limit: 0 };

/// Who an agent is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The endpoint that it stands beside.
    pub endpoint: EndpointId,
    /// Differs for each start.
    pub incarnation: Incarnation,
}

/// Told whether an attempt may start.
pub(super) type StartSignal = oneshot::Sender<Result<(), Refusal>>;

/// The state behind the lock.
pub(super) struct Core {
    pub(super) controller: Option<Controller>,
    pub(super) scheduler: Scheduler,
    pub(super) memory: AttemptHistory,
    pub(super) crash_tracker: CrashTracker,
    pub(super) waiting: HashMap<AttemptId, StartSignal>,
    pub(super) in_use: HashMap<Resource, usize>,
    pub(super) last_used: HashMap<Resource, Instant>,
    /// Resources that take no new requests until a time, because others wait for their room.
    pub(super) yielding: HashMap<Resource, Instant>,
    /// Attempts that ran when the endpoint crashed, until they have noticed.
    pub(super) crashed: HashSet<AttemptId>,
    pub(super) boot: u64,
    pub(super) engine_up: bool,
    pub(super) draining: bool,
}

/// Shared by the parts of an agent.
pub(super) struct Shared<B, L> {
    pub(super) identity: Identity,
    pub(super) store: Arc<ConfigStore>,
    pub(super) backend: B,
    pub(super) log: L,
    /// Wakes who waits for a change of what is loaded or runs.
    pub(super) changed: Notify,
    /// Wakes the order loop.
    pub(super) work: Notify,
    pub(super) stop: Stop,
    started: Instant,
    core: Mutex<Core>,
}

impl<B, L> Shared<B, L> {
    pub(super) fn new(
        identity: Identity,
        store: Arc<ConfigStore>,
        backend: B,
        log: L,
        stop: Stop,
    ) -> Self {
        let core = Core {
            controller: None,
            scheduler: Scheduler::new(DEFAULT_LIMITS),
            memory: AttemptHistory::new(TICKET_LIFE, REMEMBERED_ATTEMPTS),
            crash_tracker: CrashTracker::new(Key::QuarantineCrashes.default_value() as u32),
            waiting: HashMap::new(),
            in_use: HashMap::new(),
            last_used: HashMap::new(),
            yielding: HashMap::new(),
            crashed: HashSet::new(),
            boot: 0,
            engine_up: false,
            draining: false,
        };
        Self {
            identity,
            store,
            backend,
            log,
            changed: Notify::new(),
            work: Notify::new(),
            stop,
            started: Instant::now(),
            core: Mutex::new(core),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time since the start of the agent, by which tickets are counted.
    pub(super) fn uptime(&self) -> Duration {
        self.started.elapsed()
    }

    /// The endpoint's memory, and the plain service that it runs.
    pub(super) fn endpoint(&self) -> Option<(Mib, Option<String>)> {
        let view = self.store.view();
        match view.state.item(ItemKind::Endpoint, &self.identity.endpoint) {
            Some(Item::Endpoint { memory_mib, service, .. }) => {
                Some((*memory_mib, service.clone()))
            }
            _ => None,
        }
    }

    /// Takes over limits from the configuration and creates the controller of an engine.
    pub(super) fn configure(&self) {
        let view = self.store.view();
        let state = &view.state;
        let scope = Scope::endpoint(&self.identity.endpoint);
        let limits = SchedulerLimits {
            max_running: state.value(Key::MaxRunning, &scope) as usize,
            queue_limit: state.value(Key::QueueLimit, &scope) as usize,
        };
        let Some((capacity, service)) = self.endpoint() else {
            return;
        };
        let mut core = self.lock();
        core.scheduler.set_limits(limits);
        let crashes = state.value(Key::QuarantineCrashes, &Scope::default());
        core.crash_tracker.set_limit(crashes as u32);
        if service.is_some() {
            core.engine_up = true;
        } else if core.controller.is_none() {
            let settings = ControllerSettings {
                capacity,
                checks_fencing: state.value(Key::ChecksFencing, &scope) == 1,
                order_delay_max: state.duration(Key::OrderDelayMaxMs, &scope),
                incarnation: self.identity.incarnation,
            };
            core.controller = Some(Controller::new(settings, Instant::now()));
        }
    }

    /// Starts what may start and refuses what cannot start in time.
    pub(super) fn pump(&self) {
        let now = Instant::now();
        let mut core = self.lock();
        while let Some(next) = core.scheduler.poll_next(now) {
            match next {
                Decision::Start(attempt) => core.start(now, &attempt),
                Decision::Expired(attempt) => {
                    let text = "the request could not start in time";
                    core.refuse(&attempt, Refusal::new(Code::DeadlineTooShort, text));
                }
            }
        }
        gauge!(names::RUNNING).set(core.scheduler.running() as f64);
    }
}

impl Core {
    fn start(&mut self, now: Instant, attempt: &AttemptId) {
        let signal = self.waiting.remove(attempt);
        let told = signal.is_some_and(|s| s.send(Ok(())).is_ok());
        if !told {
            // The caller went away between its turn and now.
            self.scheduler.finish(now, attempt);
        }
    }

    /// Refuses an attempt that waits.
    pub(super) fn refuse(&mut self, attempt: &AttemptId, refusal: Refusal) {
        if let Some(signal) = self.waiting.remove(attempt) {
            // Nobody listens when the caller went away.
            let _ = signal.send(Err(refusal));
        }
    }

    /// Whether all resources are loaded and stay for a new request.
    pub(super) fn all_usable(&self, now: Instant, resources: &[(Resource, Mib)]) -> bool {
        let yields = |r: &Resource| self.yielding.get(r).is_some_and(|until| now < *until);
        let stays = |(r, _): &(Resource, Mib)| !yields(r);
        self.all_resident(resources) && resources.iter().all(stays)
    }

    /// Whether all resources are loaded.
    pub(super) fn all_resident(&self, resources: &[(Resource, Mib)]) -> bool {
        let Some(controller) = &self.controller else {
            return resources.is_empty();
        };
        resources.iter().all(|(r, _)| controller.is_resident(r))
    }

    /// Keeps resources loaded until [`Self::release`].
    pub(super) fn hold(&mut self, now: Instant, resources: &[(Resource, Mib)]) {
        for (resource, _) in resources {
            *self.in_use.entry(resource.clone()).or_default() += 1;
            self.last_used.insert(resource.clone(), now);
        }
    }

    /// Lets resources be unloaded again.
    pub(super) fn release(&mut self, resources: &[(Resource, Mib)]) {
        for (resource, _) in resources {
            if let Some(count) = self.in_use.get_mut(resource) {
                *count = count.saturating_sub(1);
            }
        }
        self.in_use.retain(|_, count| *count != 0);
    }
}

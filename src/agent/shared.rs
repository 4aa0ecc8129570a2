//! State that the modules of an agent share. Its lock is held only briefly and never across an
//! await.

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

// An attempt is admitted only within this time after the probe that selected the agent.
const MAX_TICKET_AGE: Duration = Duration::from_secs(30);
const ATTEMPT_HISTORY_CAPACITY: usize = 4096;
const INITIAL_LIMITS: SchedulerLimits = SchedulerLimits { max_running: 1, queue_limit: 0 };

/// Identity of one start of an agent.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The endpoint that the agent controls.
    pub endpoint: EndpointId,
    /// Differs between starts of the agent.
    pub incarnation: Incarnation,
}

/// Tells a queued attempt that it may start, or why it is refused.
pub(super) type StartSignal = oneshot::Sender<Result<(), Refusal>>;

/// State of an agent behind the lock of [`Shared`].
pub(super) struct AgentState {
    /// Orders to the engine; `None` for a plain service and until the endpoint is configured.
    pub(super) controller: Option<Controller>,
    pub(super) scheduler: Scheduler,
    pub(super) attempt_history: AttemptHistory,
    pub(super) crash_tracker: CrashTracker,
    pub(super) start_signals: HashMap<AttemptId, StartSignal>,
    /// Number of attempts that keep a resource loaded.
    pub(super) use_counts: HashMap<Resource, usize>,
    pub(super) last_used: HashMap<Resource, Instant>,
    /// Resources that take no new requests until the given time, because other requests wait for
    /// their memory.
    pub(super) reclaiming: HashMap<Resource, Instant>,
    /// Attempts that ran when the endpoint crashed, until [`Shared::detect_crash`] reports it.
    pub(super) crashed_attempts: HashSet<AttemptId>,
    /// `boot` of the engine's last report; 0 before the first one.
    pub(super) last_boot: u64,
    pub(super) engine_up: bool,
    pub(super) draining: bool,
}

/// State of an agent that its request handlers, loops and RPC server share.
pub(super) struct Shared<B, L> {
    pub(super) identity: Identity,
    pub(super) store: Arc<ConfigStore>,
    pub(super) backend: B,
    pub(super) log: L,
    /// Notifies tasks that wait until resources are loaded or attempts have ended.
    pub(super) state_changed: Notify,
    /// Wakes the order loop before its next tick.
    pub(super) order_wakeup: Notify,
    pub(super) stop: Stop,
    started_at: Instant,
    state: Mutex<AgentState>,
}

impl<B, L> Shared<B, L> {
    pub(super) fn new(
        identity: Identity,
        store: Arc<ConfigStore>,
        backend: B,
        log: L,
        stop: Stop,
    ) -> Self {
        let state = AgentState {
            controller: None,
            scheduler: Scheduler::new(INITIAL_LIMITS),
            attempt_history: AttemptHistory::new(MAX_TICKET_AGE, ATTEMPT_HISTORY_CAPACITY),
            crash_tracker: CrashTracker::new(Key::QuarantineCrashes.default_value() as u32),
            start_signals: HashMap::new(),
            use_counts: HashMap::new(),
            last_used: HashMap::new(),
            reclaiming: HashMap::new(),
            crashed_attempts: HashSet::new(),
            last_boot: 0,
            engine_up: false,
            draining: false,
        };
        Self {
            identity,
            store,
            backend,
            log,
            state_changed: Notify::new(),
            order_wakeup: Notify::new(),
            stop,
            started_at: Instant::now(),
            state: Mutex::new(state),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, AgentState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time since the start of the agent, which is the time base of tickets.
    pub(super) fn uptime(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// The configured memory of the endpoint, and the name of its plain service if it is not an
    /// engine; `None` while the endpoint is not configured.
    pub(super) fn endpoint(&self) -> Option<(Mib, Option<String>)> {
        let view = self.store.view();
        match view.state.item(ItemKind::Endpoint, &self.identity.endpoint) {
            Some(Item::Endpoint { memory_mib, service, .. }) => {
                Some((*memory_mib, service.clone()))
            }
            _ => None,
        }
    }

    /// Applies the configured limits. Creates the controller of an engine on the first call with a
    /// configured endpoint.
    pub(super) fn configure(&self) {
        let view = self.store.view();
        let config = &view.state;
        let scope = Scope::endpoint(&self.identity.endpoint);
        let limits = SchedulerLimits {
            max_running: config.value(Key::MaxRunning, &scope) as usize,
            queue_limit: config.value(Key::QueueLimit, &scope) as usize,
        };
        let Some((capacity, service)) = self.endpoint() else {
            return;
        };
        let mut state = self.lock();
        state.scheduler.set_limits(limits);
        let crashes = config.value(Key::QuarantineCrashes, &Scope::default());
        state.crash_tracker.set_limit(crashes as u32);
        if service.is_some() {
            state.engine_up = true;
        } else if state.controller.is_none() {
            let settings = ControllerSettings {
                capacity,
                checks_fencing: config.value(Key::ChecksFencing, &scope) == 1,
                order_delay_max: config.duration(Key::OrderDelayMaxMs, &scope),
                incarnation: self.identity.incarnation,
            };
            state.controller = Some(Controller::new(settings, Instant::now()));
        }
    }

    /// Starts queued attempts as far as the scheduler allows, and refuses those that can no longer
    /// start in time.
    pub(super) fn dispatch(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        while let Some(next) = state.scheduler.poll_next(now) {
            match next {
                Decision::Start(attempt) => state.start(now, &attempt),
                Decision::Expired(attempt) => {
                    let text = "the request could not start before its latest start time";
                    state.refuse(&attempt, Refusal::new(Code::DeadlineTooShort, text));
                }
            }
        }
        gauge!(names::RUNNING).set(state.scheduler.running() as f64);
    }
}

impl AgentState {
    /// Signals a queued attempt to start.
    fn start(&mut self, now: Instant, attempt: &AttemptId) {
        let signal = self.start_signals.remove(attempt);
        let delivered = signal.is_some_and(|s| s.send(Ok(())).is_ok());
        if !delivered {
            // The entry disconnected after the scheduler had selected the attempt.
            self.scheduler.finish(now, attempt);
        }
    }

    /// Refuses a queued attempt.
    pub(super) fn refuse(&mut self, attempt: &AttemptId, refusal: Refusal) {
        if let Some(signal) = self.start_signals.remove(attempt) {
            // The receiver is gone when the entry has disconnected.
            let _ = signal.send(Err(refusal));
        }
    }

    /// Whether all resources are loaded and take new requests.
    pub(super) fn all_available(&self, now: Instant, resources: &[(Resource, Mib)]) -> bool {
        let reclaimed = |r: &Resource| self.reclaiming.get(r).is_some_and(|until| now < *until);
        let available = |(r, _): &(Resource, Mib)| !reclaimed(r);
        self.all_resident(resources) && resources.iter().all(available)
    }

    /// Whether all resources are loaded.
    pub(super) fn all_resident(&self, resources: &[(Resource, Mib)]) -> bool {
        let Some(controller) = &self.controller else {
            return resources.is_empty();
        };
        resources.iter().all(|(r, _)| controller.is_resident(r))
    }

    /// Keeps resources loaded until [`Self::release`].
    pub(super) fn acquire(&mut self, now: Instant, resources: &[(Resource, Mib)]) {
        for (resource, _) in resources {
            *self.use_counts.entry(resource.clone()).or_default() += 1;
            self.last_used.insert(resource.clone(), now);
        }
    }

    /// Ends the use of resources by one attempt; unused resources may be unloaded.
    pub(super) fn release(&mut self, resources: &[(Resource, Mib)]) {
        for (resource, _) in resources {
            if let Some(count) = self.use_counts.get_mut(resource) {
                *count = count.saturating_sub(1);
            }
        }
        self.use_counts.retain(|_, count| *count != 0);
    }
}

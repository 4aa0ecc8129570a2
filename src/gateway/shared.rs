//! State that all requests and background tasks of a gateway share.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use metrics::gauge;
use tokio::sync::{Notify, mpsc, oneshot, watch};

use crate::{
    core::{
        admission::Answer,
        forwarding::{
            Decision, Dispatcher, Endpoint, EndpointRegistry, Locality, RefusalReason,
            Requirements, RetryBudget, RetryShare, Route, RouteTable, ServiceName, StoreOutage,
            Ticket, TimeLimit,
        },
        ids::{CrashId, EndpointId, VersionId},
        limits::{LoopLag, SharedQuotas},
        placement::DemandMeter,
        quarantine::{RunGate, Suspect},
        resumption::{Lookups, ServiceVersions, StreamOrigins},
    },
    gateway::{
        accounts::{AccountSettings, AccountState},
        bootstrap::StoreCache,
        directory::DirectoryState,
        run::{RunTarget, crash_id},
        upstream::ConnectionPool,
    },
    gossip::AdmissionRequest,
    http::MemoryBudget,
    platform::StoreEra,
    telemetry::names,
};

/// Limits that the platform sets for all gateway processes together, and for the
/// shutdown of each.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Retries (sends after the first) allowed per request.
    pub retry_ratio: f64,
    /// Sliding window in which requests and retries are counted.
    pub retry_window: Duration,
    /// Retries allowed in addition to the ratio, shared by all processes.
    pub retry_slack: f64,
    /// Time between the stop signal and the kill.
    pub grace: Duration,
}

/// The stages of a graceful shutdown, each by the time since it began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// Until when requests may wait for an endpoint.
    pub max_wait: Duration,
    /// Until when the load balancer may open new connections.
    pub accepts_until: Duration,
    /// When the grace period is over.
    pub ends_at: Duration,
}

/// Crashes of endpoints after which a request must no longer be run, by the platform's
/// rules.
const MAX_CRASHES: usize = 3;
/// Crashes of endpoints after which requests with a segment must no longer be run, by the
/// platform's rules.
const MAX_SEGMENT_CRASHES: usize = 5;

#[derive(Debug)]
pub(super) struct State {
    pub(super) table: Option<Arc<RouteTable>>,
    pub(super) registry: EndpointRegistry,
    pub(super) dispatcher: Dispatcher,
    pub(super) gate: RunGate,
    pub(super) demand: DemandMeter,
    pub(super) lag: LoopLag,
    pub(super) origins: StreamOrigins,
    pub(super) lookups: Lookups,
    pub(super) versions: ServiceVersions,
    pub(super) accounts: AccountState,
    // Served to gateways that start while the store is unavailable.
    pub(super) cache: StoreCache,
    // Each service has its own retry budget.
    pub(super) retry_budgets: HashMap<ServiceName, RetryBudget>,
    pub(super) retry_share: RetryShare,
    pub(super) directory: DirectoryState,
    // None until a configuration has accounts with limits.
    pub(super) quotas: Option<SharedQuotas>,
    // Gateways that are known, this one included.
    pub(super) known_gateways: usize,
    // Where the decision on each waiting request is delivered.
    pending: HashMap<Ticket, oneshot::Sender<EndpointChoice>>,
    // Where the answers of agents on the admission of prompts are delivered, by question.
    pub(super) admission_answers: HashMap<u64, mpsc::UnboundedSender<Answer>>,
    // Requests for admission that are to be sent, with the address of the engine.
    pub(super) admission_outbox: Vec<(SocketAddr, AdmissionRequest)>,
    pub(super) store_outage: StoreOutage,
    // The registrations were read from the store since the start.
    pub(super) knows_registrations: bool,
    // The latest era in which the store returned from an older copy since the start.
    store_era: Option<StoreEra>,
    // A graceful shutdown and when it began.
    shutdown: Option<(Instant, ShutdownPlan)>,
    // Suspects whose crashes are in the store.
    pub(super) saved_reports: HashSet<Suspect>,
    // Suspects whose crashes changed here and have yet to be written to the store.
    pub(super) unsaved_reports: HashSet<Suspect>,
    // The saved crashes were read since the start.
    pub(super) knows_quarantines: bool,
    // Endpoint starts that are being checked for a crash.
    pub(super) crash_checks: HashSet<CrashId>,
    // Endpoint starts that are being checked for another start.
    pub(super) restart_checks: HashSet<CrashId>,
}

/// The decision on a waiting request.
#[derive(Debug)]
pub(super) enum EndpointChoice {
    /// Send it to this endpoint.
    Endpoint {
        /// Id of the endpoint.
        endpoint: EndpointId,
        /// Address that the endpoint listens on.
        address: SocketAddr,
    },
    /// Refuse it, with the delay after which the caller may retry.
    Refused(RefusalReason, Duration),
}

/// State that all requests and background tasks of a gateway share.
#[derive(Debug)]
pub struct SharedState {
    bounds: Bounds,
    account_settings: AccountSettings,
    state: Mutex<State>,
    pub(super) pool: ConnectionPool,
    // Charged for what is held for callers.
    pub(super) memory: MemoryBudget,
    // Wakes the dispatch loop when a request starts to wait.
    pub(super) request_queued: Notify,
    // Triggers a message to all peers before the next regular one is due.
    pub(super) peer_update_due: Notify,
    // Triggers messages to agents about prompts to be admitted.
    pub(super) admission_due: Notify,
    // Triggers a message to all peers about requests to endpoints that limit them.
    pub(super) limits_changed: Notify,
    // Triggers a report of what was charged to client accounts.
    pub(super) quota_report_due: Notify,
    // Triggers messages to peers about streams that have begun here or that callers resume.
    pub(super) streams_changed: Notify,
    // Wakes the task that keeps the directory of gateways.
    pub(super) directory_changed: Notify,
    // Wakes requests that wait for what peers know of a stream.
    pub(super) origin_heard: Notify,
    // Triggers messages to agents when requests wait for an adapter to be loaded.
    pub(super) adapter_wanted: Notify,
    // Wakes requests that wait for the end of another run or for a crash check.
    pub(super) runs_changed: Notify,
    // Wakes the task that saves crash reports.
    pub(super) report_unsaved: Notify,
    grace_period_ended: watch::Sender<bool>,
    process_ends: watch::Sender<bool>,
}

impl SharedState {
    /// Creates the state without routes or endpoints.
    pub fn new(
        locality: Locality,
        bounds: Bounds,
        account_settings: AccountSettings,
        retry_share: RetryShare,
        seed: u64,
        memory: MemoryBudget,
    ) -> Arc<Self> {
        let state = State {
            table: None,
            registry: EndpointRegistry::default(),
            dispatcher: Dispatcher::new(locality, seed),
            gate: RunGate::new(MAX_CRASHES, MAX_SEGMENT_CRASHES),
            demand: DemandMeter::new(),
            lag: LoopLag::default(),
            origins: StreamOrigins::default(),
            lookups: Lookups::default(),
            versions: ServiceVersions::default(),
            accounts: AccountState::default(),
            cache: StoreCache::default(),
            retry_budgets: HashMap::new(),
            retry_share,
            directory: DirectoryState::default(),
            quotas: None,
            known_gateways: 1,
            pending: HashMap::new(),
            admission_answers: HashMap::new(),
            admission_outbox: Vec::new(),
            store_outage: StoreOutage::default(),
            knows_registrations: false,
            store_era: None,
            shutdown: None,
            saved_reports: HashSet::new(),
            unsaved_reports: HashSet::new(),
            knows_quarantines: false,
            crash_checks: HashSet::new(),
            restart_checks: HashSet::new(),
        };
        Arc::new(Self {
            bounds,
            account_settings,
            state: Mutex::new(state),
            pool: ConnectionPool::default(),
            memory,
            request_queued: Notify::new(),
            peer_update_due: Notify::new(),
            admission_due: Notify::new(),
            limits_changed: Notify::new(),
            quota_report_due: Notify::new(),
            streams_changed: Notify::new(),
            directory_changed: Notify::new(),
            origin_heard: Notify::new(),
            adapter_wanted: Notify::new(),
            runs_changed: Notify::new(),
            report_unsaved: Notify::new(),
            grace_period_ended: watch::Sender::new(false),
            process_ends: watch::Sender::new(false),
        })
    }

    /// The limits of the platform.
    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// Settings of the client accounts.
    pub fn account_settings(&self) -> &AccountSettings {
        &self.account_settings
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The current routes; none before the first configuration was read.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.lock().table.clone()
    }

    /// Version of the current routes.
    pub fn version(&self) -> Option<u64> {
        self.lock().table.as_ref().map(|t| t.version)
    }

    /// Number of endpoints that accept requests.
    pub fn usable_endpoints(&self) -> usize {
        self.lock().registry.iter().filter(|e| e.is_usable()).count()
    }

    /// Number of endpoints that name a limit on their requests.
    pub fn limited_endpoints(&self) -> usize {
        self.lock().dispatcher.limits().len()
    }

    /// Number of endpoints that get no requests because they asked for rest.
    pub fn resting_endpoints(&self) -> usize {
        self.lock().dispatcher.rests().resting(Instant::now())
    }

    /// Number of gateways among which quotas are divided, this one included.
    pub fn known_gateways(&self) -> usize {
        self.lock().known_gateways
    }

    /// Number of gateways among which the retry allowance is divided; the largest number there is
    /// if this one has no part.
    pub fn retry_processes(&self) -> usize {
        self.lock().retry_share.processes(Instant::now())
    }

    /// Number of requests that wait for an endpoint.
    pub fn waiting_requests(&self) -> usize {
        self.lock().dispatcher.waiting()
    }

    /// How late the event loop is.
    pub fn loop_lag(&self, now: Instant) -> Duration {
        self.lock().lag.current(now)
    }

    /// Whether an endpoint is registered.
    pub fn is_registered(&self, endpoint: &str) -> bool {
        self.lock().registry.get(endpoint).is_some()
    }

    /// Whether an endpoint may have been started again since it last registered.
    pub fn may_have_restarted(&self, endpoint: &str) -> bool {
        self.lock().registry.may_have_restarted(endpoint)
    }

    /// The address that an endpoint has registered.
    pub fn address_of(&self, endpoint: &str) -> Option<SocketAddr> {
        self.lock().registry.get(endpoint).map(|e| e.registration.address)
    }

    /// Whether the store has answered no read since one that failed was sent.
    pub fn is_store_unavailable(&self) -> bool {
        self.lock().store_outage.is_unavailable()
    }

    /// Whether a check for a crashed endpoint is in progress.
    pub fn is_checking_for_crash(&self) -> bool {
        !self.lock().crash_checks.is_empty()
    }

    /// Number of requests and segments of prompts that are quarantined because they crashed
    /// endpoints.
    pub fn quarantined_suspects(&self) -> usize {
        self.lock().gate.quarantined(Instant::now())
    }

    /// Number of crashes counted against all suspects.
    pub fn counted_crashes(&self) -> usize {
        let state = self.lock();
        let requests = state.gate.history().reports(|_, _, _| true);
        let segments = state.gate.segments().reports(|_, _, _| true);
        requests.iter().chain(&segments).map(|r| r.crashes.len()).sum()
    }

    /// Number of suspects whose crashes have yet to be written to the store.
    pub fn unsaved_reports(&self) -> usize {
        self.lock().unsaved_reports.len()
    }

    /// Whether the crashes of suspects were read from the store since the start.
    pub fn knows_quarantines(&self) -> bool {
        self.lock().knows_quarantines
    }

    /// Whether the gateway accepts new connections.
    pub fn is_ready(&self) -> bool {
        let state = self.lock();
        state.table.is_some() && state.shutdown.is_none()
    }

    /// Begins a graceful shutdown.
    pub fn begin_shutdown(&self, plan: ShutdownPlan) {
        let mut state = self.lock();
        let now = Instant::now();
        state.shutdown = Some((now, plan));
        state.dispatcher.set_wait_limit(now + plan.max_wait);
        drop(state);
        // What this gateway knows of streams is handed over.
        self.streams_changed.notify_one();
    }

    /// Ends the grace period: requests without a response get an error response.
    pub(super) fn end_grace_period(&self) {
        self.grace_period_ended.send_replace(true);
    }

    /// Waits until the grace period has ended.
    pub(super) async fn grace_period_ended(&self) {
        let mut ended = self.grace_period_ended.subscribe();
        // An error is impossible: the sender lives as long as `self`.
        let _ = ended.wait_for(|ended| *ended).await;
    }

    /// Cuts off the streams that have not ended, since the process is about to end.
    pub(super) fn cut_off_streams(&self) {
        self.process_ends.send_replace(true);
    }

    /// Waits until the process is about to end.
    pub(super) async fn process_ends(&self) {
        let mut ends = self.process_ends.subscribe();
        // An error is impossible: the sender lives as long as `self`.
        let _ = ends.wait_for(|ends| *ends).await;
    }

    /// Whether a graceful shutdown has begun.
    pub fn is_shutting_down(&self) -> bool {
        self.stopped_at().is_some()
    }

    /// When a graceful shutdown began.
    pub(super) fn stopped_at(&self) -> Option<Instant> {
        self.lock().shutdown.map(|(began, _)| began)
    }

    /// Whether a stream with this limit, not passed on yet, comes so late in a graceful shutdown
    /// that the end of the process may cut it off. While the load balancer still opens
    /// connections here, refusing it is no better: its caller may come back.
    pub(super) fn may_cut_off(&self, now: Instant, limit: &TimeLimit) -> bool {
        self.lock().shutdown.is_some_and(|(began, plan)| {
            began + plan.accepts_until <= now && began + plan.ends_at < limit.answer_by()
        })
    }

    /// Notes that the store has returned from an older copy in this era. Registrations may be
    /// missing in it until the endpoints renew them, as after an outage, and so may saved
    /// crashes and the record of this gateway.
    pub(super) fn store_went_back(&self, now: Instant, era: StoreEra) {
        let mut state = self.lock();
        if state.store_era.is_some_and(|known| era <= known) {
            return;
        }
        state.store_era = Some(era);
        state.store_outage.record_loss(now);
        state.save_reports_again();
        state.directory.is_lost = true;
        drop(state);
        self.report_unsaved.notify_one();
        self.directory_changed.notify_one();
    }

    /// Queues a request and waits until an endpoint is chosen or it is refused.
    pub(super) async fn choose_endpoint(
        self: &Arc<Self>,
        route: &Route,
        service: &ServiceName,
        requirements: &Requirements,
        deadline: Instant,
        tried: &[EndpointId],
        version: Option<VersionId>,
    ) -> (RequestGuard, EndpointChoice) {
        let (tx, rx) = oneshot::channel();
        let ticket = {
            let now = Instant::now();
            let mut state = self.lock();
            let service = service.clone();
            let tried = tried.to_vec();
            let ticket = state.dispatcher.enqueue(
                now,
                route,
                service,
                requirements.clone(),
                deadline,
                tried,
                version,
            );
            let table = state.table.clone();
            let State { dispatcher, registry, .. } = &mut *state;
            let decision = table.and_then(|t| dispatcher.poll_new(now, ticket, &t, registry));
            state.pending.insert(ticket, tx);
            match decision {
                Some(decision) => state.deliver(ticket, decision),
                None => self.request_queued.notify_one(),
            }
            self.notify_changes(&mut state);
            ticket
        };
        let guard = RequestGuard { shared: self.clone(), ticket };
        let refused = EndpointChoice::Refused(RefusalReason::NoEndpoint, Duration::ZERO);
        (guard, rx.await.unwrap_or(refused))
    }

    /// Queues a request again whose endpoint has no room for this long, and waits until another
    /// is chosen or it is refused.
    pub(super) async fn choose_again(
        &self,
        guard: &RequestGuard,
        full: Duration,
    ) -> EndpointChoice {
        let (tx, rx) = oneshot::channel();
        {
            let now = Instant::now();
            let mut state = self.lock();
            state.dispatcher.requeue(now, guard.ticket, full);
            state.pending.insert(guard.ticket, tx);
        }
        self.request_queued.notify_one();
        let refused = EndpointChoice::Refused(RefusalReason::NoEndpoint, Duration::ZERO);
        rx.await.unwrap_or(refused)
    }

    /// Lets the dispatcher decide on the waiting requests and delivers the decisions: now, or
    /// shortly after the last time.
    pub(super) fn dispatch_waiting(&self) {
        let now = Instant::now();
        let mut guard = self.lock();
        let state = &mut *guard;
        if state.dispatcher.waiting() == 0 {
            return;
        }
        if state.dispatcher.next_poll().is_some_and(|at| now < at) {
            return self.request_queued.notify_one();
        }
        let Some(table) = state.table.clone() else { return };
        for (ticket, decision) in state.dispatcher.poll(now, &table, &state.registry) {
            state.deliver(ticket, decision);
        }
        self.notify_changes(state);
        gauge!(names::WAITING).set(state.dispatcher.waiting() as f64);
    }

    /// Wakes the tasks that tell other processes what the last decisions have changed.
    fn notify_changes(&self, state: &mut State) {
        if state.dispatcher.take_adapter_wanted() {
            self.adapter_wanted.notify_one();
        }
        if state.dispatcher.take_limits_changed() {
            self.limits_changed.notify_one();
        }
    }

    /// Time until waiting requests may be decided on again.
    pub(super) fn until_next_poll(&self) -> Duration {
        let next = self.lock().dispatcher.next_poll();
        next.map_or(Duration::ZERO, |at| at.saturating_duration_since(Instant::now()))
    }
}

impl State {
    /// Delivers the decision on a waiting request.
    fn deliver(&mut self, ticket: Ticket, decision: Decision) {
        let choice = match decision {
            Decision::Refuse(reason, delay) => EndpointChoice::Refused(reason, delay),
            Decision::Send(endpoint) => match self.registry.get(&endpoint) {
                Some(found) => {
                    EndpointChoice::Endpoint { address: found.registration.address, endpoint }
                }
                None => EndpointChoice::Refused(RefusalReason::NoEndpoint, Duration::ZERO),
            },
        };
        if let Some(tx) = self.pending.remove(&ticket) {
            // Sending fails if the caller is gone; its guard then ends the ticket.
            let _ = tx.send(choice);
        }
    }

    /// The current start of an endpoint.
    pub(super) fn run_target(&self, endpoint: &EndpointId, address: SocketAddr) -> RunTarget {
        let found = self.registry.get(endpoint);
        let started_ms = found.map_or(0, |e| e.registration.started_ms);
        let version = found.map_or(0, Endpoint::version);
        let crash = crash_id(endpoint, started_ms);
        RunTarget { endpoint: endpoint.clone(), address, started_ms, version, crash }
    }
}

/// Keeps a request registered with the dispatcher, waiting or running, until dropped.
#[derive(Debug)]
pub(super) struct RequestGuard {
    shared: Arc<SharedState>,
    ticket: Ticket,
}

impl RequestGuard {
    /// Identifies the request.
    pub(super) fn ticket(&self) -> Ticket {
        self.ticket
    }

    /// Records that the first part of the response has arrived.
    pub(super) fn record_first_response(&self) {
        self.shared.lock().dispatcher.record_first_response(Instant::now(), self.ticket);
        self.shared.dispatch_waiting();
    }

    /// Records that the endpoint did not run the request.
    pub(super) fn record_not_run(&self) {
        self.shared.lock().dispatcher.record_not_run(self.ticket);
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.dispatcher.finish(self.ticket);
        state.pending.remove(&self.ticket);
        drop(state);
        self.shared.dispatch_waiting();
    }
}

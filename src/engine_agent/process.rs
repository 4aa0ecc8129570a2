//! Polls the engine's report, sends it orders and exchanges messages with gateways.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use log::{info, warn};
use metrics::counter;
use tokio::{sync::Notify, time};

use crate::{
    core::{
        admission::PromptAdmission,
        forwarding::{EndpointState, ServiceName},
        residency::{
            ArrivalTracker, ChangeSource, EngineOrder, EngineReport, Operation, OrderAnswer,
            OrderError, OrderScheduler,
        },
    },
    engine_agent::{admission, record},
    fleet::{TopicHandler, follow_topic, newest_configuration},
    gossip::{
        Body, ChangeKind, EngineLoad, EngineStatus, Hello, LoadedModel, ResidencyChange, Socket,
        rotating_subset,
    },
    platform::{CONFIGURATION, EngineClient, KeyedRecord, Position, Store, StoreEra, Topic},
    telemetry::names,
};

/// Interval at which the engine's report is read. The engine runs on the same VM, so
/// that a read costs nothing on the network.
const REPORT_INTERVAL: Duration = Duration::from_millis(60);
/// The same until a report shows the outcome of the last order.
const ORDER_REPORT_INTERVAL: Duration = Duration::from_millis(12);
/// Interval of messages to gateways while only the load changes.
const LOAD_INTERVAL: Duration = Duration::from_millis(200);
/// The same while nothing changes: the messages show that an idle engine is alive.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(600);
/// Interval of full status messages to every gateway, even if it does not use the
/// engine. A gateway ignores the status of an engine that it has not discovered yet,
/// and datagrams can be lost.
const BROADCAST_INTERVAL: Duration = Duration::from_millis(1800);
/// A gateway without a message for this long gets no more messages. Longer than three
/// of the intervals at which gateways send a hello to each agent.
const GATEWAY_TIMEOUT: Duration = Duration::from_millis(5000);
/// A gateway counts as the planner for this long after it last said so.
const PLANNER_TIMEOUT: Duration = Duration::from_millis(2000);
/// A gateway gets load messages for this long after its requests last used the engine.
const USE_LIFETIME: Duration = Duration::from_millis(2000);
/// Longest wait of a read for a configuration change. The models of a service change
/// rarely, and requests for a new model reach the gateways first.
const CONFIGURATION_WAIT: Duration = Duration::from_secs(10);

/// Settings of an engine agent.
#[derive(Clone, Debug)]
pub struct EngineAgentConfig {
    /// Name of the VM: the key of the agent's status record, and the holder in its orders.
    pub name: String,
    /// Service to which the engine belongs.
    pub service: String,
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Gateways ask the agent before they send prompts to the engine.
    pub admits: bool,
    /// No agent has run on this VM before.
    pub first_start: bool,
}

/// State that the tasks of the agent share.
#[derive(Debug)]
pub(super) struct SharedState {
    pub(super) config: EngineAgentConfig,
    engine: EngineClient,
    pub(super) socket: Socket,
    state: Mutex<State>,
    change_requested: Notify,
    // Wakes the task that admits prompts.
    pub(super) admission_changed: Notify,
    // Wakes the task that records the engine's starts.
    pub(super) record_due: Notify,
    pub(super) started_ms: u64,
}

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) order_scheduler: OrderScheduler,
    pub(super) admission: PromptAdmission,
    // The report that was read last. The scheduler has its own copy, which is cleared by
    // the answer to an order.
    pub(super) last_report: Option<EngineReport>,
    arrivals: ArrivalTracker,
    gateways: HashMap<SocketAddr, GatewayInfo>,
    sequence: u64,
    engine_lost: bool,
}

/// A gateway from which the agent has received messages.
#[derive(Clone, Copy, Debug)]
struct GatewayInfo {
    last_heard: Instant,
    // When the gateway last said that it plans model placement.
    last_planner_hello: Option<Instant>,
    // When a hello last named used models or requested a change.
    last_used: Option<Instant>,
    last_full_status: Instant,
}

/// A running agent.
#[derive(Debug)]
pub struct EngineAgent {
    tasks: Vec<tokio::task::AbortHandle>,
}

impl EngineAgent {
    /// Aborts the agent's tasks. No graceful shutdown is needed, as it keeps no durable
    /// state.
    pub fn stop(self) {
        self.tasks.iter().for_each(tokio::task::AbortHandle::abort);
    }
}

/// Starts an engine agent on the current Tokio runtime.
pub fn start(config: EngineAgentConfig, socket: Socket) -> EngineAgent {
    let store = Store::new(config.store);
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let started_ms = since_epoch.as_millis() as u64;
    let mut state = State::default();
    if !config.first_start {
        state.order_scheduler.set_predecessor(Instant::now());
    }
    state.order_scheduler.require_records();
    let shared = Arc::new(SharedState {
        engine: EngineClient::new(config.engine, &config.name),
        config,
        socket,
        state: Mutex::new(state),
        change_requested: Notify::new(),
        admission_changed: Notify::new(),
        record_due: Notify::new(),
        started_ms,
    });
    let spec = SpecUpdater { shared: shared.clone(), version: None };
    let tasks = [
        tokio::spawn(follow_topic(store.clone(), spec)).abort_handle(),
        tokio::spawn(record::keep(shared.clone(), store)).abort_handle(),
        tokio::spawn(receive_messages(shared.clone())).abort_handle(),
        tokio::spawn(admission::run(shared.clone())).abort_handle(),
        tokio::spawn(control_engine(shared)).abort_handle(),
    ];
    EngineAgent { tasks: tasks.into() }
}

impl SharedState {
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Passes the engine's specification from the operator's configuration to the scheduler.
#[derive(Debug)]
struct SpecUpdater {
    shared: Arc<SharedState>,
    // The newest version that was applied.
    version: Option<u64>,
}

impl TopicHandler for SpecUpdater {
    const TOPIC: Topic = CONFIGURATION;
    const MAX_WAIT: Duration = CONFIGURATION_WAIT;
    const READ_PAUSE: Duration = Duration::from_millis(500);

    /// The record of this agent may be lost.
    fn store_went_back(&mut self, _era: StoreEra) {
        self.shared.lock().order_scheduler.set_recorded(None);
    }

    fn replace(&mut self, records: Vec<KeyedRecord>, next: Position) {
        self.update(records, next);
    }

    fn update(&mut self, records: Vec<KeyedRecord>, next: Position) {
        let source = format!("store next={next}");
        let Some((table, _)) = newest_configuration(records, source) else { return };
        if self.version.is_some_and(|version| table.version <= version) {
            return;
        }
        self.version = Some(table.version);
        let service: ServiceName = self.shared.config.service.as_str().into();
        if let Some(spec) = table.service(&service).and_then(|s| s.engine.clone()) {
            info!("event=configuration version={} models={}", table.version, spec.models.len());
            let mut state = self.shared.lock();
            state.admission.configure(spec.slots, spec.tokens_per_event, spec.kv_tokens);
            state.order_scheduler.set_spec(spec);
        }
    }
}

async fn receive_messages(shared: Arc<SharedState>) {
    loop {
        let Ok((from, body)) = shared.socket.receive().await else {
            time::sleep(REPORT_INTERVAL).await;
            continue;
        };
        match body {
            Body::Hello(hello) => shared.handle_hello(from, &hello),
            Body::AdmissionRequest(request) => shared.handle_admission(from, &request),
            _ => {}
        }
    }
}

impl SharedState {
    fn handle_hello(&self, from: SocketAddr, hello: &Hello) {
        let now = Instant::now();
        let mut state = self.lock();
        let is_new = !state.gateways.contains_key(&from);
        let gateway = state.gateways.entry(from).or_insert(GatewayInfo {
            last_heard: now,
            last_planner_hello: None,
            last_used: None,
            last_full_status: now,
        });
        gateway.last_heard = now;
        if hello.is_planner {
            gateway.last_planner_hello = Some(now);
        }
        if !hello.used_models.is_empty() || !hello.changes.is_empty() {
            gateway.last_used = Some(now);
        }
        if !hello.engine_id.is_empty() {
            let id = hello.engine_id.as_str().into();
            state.order_scheduler.set_endpoint(now, id, hello.engine_started_ms);
        }
        let planner = planner_address(&state.gateways, now);
        for change in &hello.changes {
            let source = match change.adapter.is_empty() {
                true if planner == Some(from) => ChangeSource::Planner,
                true => continue,
                false => ChangeSource::Request,
            };
            request_change(&mut state.order_scheduler, now, source, change);
        }
        for used in &hello.used_models {
            let (model, adapter) =
                used.split_once('/').map_or((&**used, None), |(m, a)| (m, Some(a)));
            state.order_scheduler.mark_used(now, model.into(), adapter.map(Into::into));
        }
        if is_new {
            info!("event=gateway_heard at={from}");
        }
        if is_new || hello.wants_status {
            self.send_updates(&mut state, now, |address| address == from);
        }
        drop(state);
        if !hello.changes.is_empty() {
            self.change_requested.notify_one();
        }
    }

    /// Sends the full status to the gateways that `needs_status` selects and to those
    /// that are due for it, and only the load to the planner and to other gateways that
    /// use the engine.
    fn send_updates(
        &self,
        state: &mut State,
        now: Instant,
        needs_status: impl Fn(SocketAddr) -> bool,
    ) {
        let Some(report) = state.last_report.clone() else { return };
        state.sequence += 1;
        let status = self.engine_status(state, &report, now);
        let planner = planner_address(&state.gateways, now);
        for (address, gateway) in &mut state.gateways {
            if gateway.last_heard + GATEWAY_TIMEOUT <= now {
                continue;
            }
            let uses_engine = gateway.last_used.is_some_and(|at| now < at + USE_LIFETIME);
            if needs_status(*address) || gateway.last_full_status + BROADCAST_INTERVAL <= now {
                gateway.last_full_status = now;
                self.socket.send(*address, Body::EngineStatus(status.clone()));
            } else if uses_engine || planner == Some(*address) {
                self.socket.send(*address, Body::EngineLoad(EngineLoad::from(&status)));
            }
        }
    }

    fn engine_status(&self, state: &State, report: &EngineReport, now: Instant) -> EngineStatus {
        let live = state.gateways.iter().filter(|(_, g)| now < g.last_heard + GATEWAY_TIMEOUT);
        let live: Vec<SocketAddr> = live.map(|(address, _)| *address).collect();
        EngineStatus {
            engine: self.config.engine.to_string(),
            sequence: state.sequence,
            loaded: state
                .order_scheduler
                .retained_models(report)
                .iter()
                .map(LoadedModel::from)
                .collect(),
            cached: report.residency.cached.iter().map(ToString::to_string).collect(),
            order_in_progress: report.residency.order_in_progress,
            active: report.load.active,
            queued: report.load.queued,
            awaiting_first_token: report.load.awaiting_first_token,
            recent_tokens: report.load.recent_tokens,
            kv_used: report.load.kv_used,
            kv_total: report.load.kv_total,
            draining: report.state == EndpointState::Draining,
            gateways: rotating_subset(&live, state.sequence as usize),
            loading: state.order_scheduler.loading().map(ToString::to_string).unwrap_or_default(),
            started_ms: self.started_ms,
            weights_mib: state.order_scheduler.used_memory(report),
            can_order: state.order_scheduler.can_issue_orders(),
            in_use: state.order_scheduler.in_use(now).map(ToString::to_string).collect(),
            admits: self.config.admits,
        }
    }
}

/// Address of the gateway that plans model placement. While several claim to, the
/// lowest address wins.
fn planner_address(
    gateways: &HashMap<SocketAddr, GatewayInfo>,
    now: Instant,
) -> Option<SocketAddr> {
    let is_planner =
        |g: &GatewayInfo| g.last_planner_hello.is_some_and(|at| now < at + PLANNER_TIMEOUT);
    gateways.iter().filter(|(_, g)| is_planner(g)).map(|(address, _)| *address).min()
}

fn request_change(
    order_scheduler: &mut OrderScheduler,
    now: Instant,
    source: ChangeSource,
    change: &ResidencyChange,
) {
    let operation = match change.kind() {
        ChangeKind::Load => Operation::Load,
        ChangeKind::Unload => Operation::Unload,
    };
    let adapter = (!change.adapter.is_empty()).then(|| change.adapter.as_str().into());
    order_scheduler.request_change(now, source, operation, change.model.as_str().into(), adapter);
}

/// Reads the engine's reports and sends orders and updates until the task is aborted.
async fn control_engine(shared: Arc<SharedState>) {
    let mut last_update = Instant::now();
    let mut awaiting_first_token = 0;
    let mut wait = REPORT_INTERVAL;
    loop {
        tokio::select! {
            () = time::sleep(wait) => {}
            () = shared.change_requested.notified() => {}
        }
        wait = REPORT_INTERVAL;
        let order_in_flight = shared.lock().order_scheduler.is_awaiting_answer();
        let report = shared.engine.report().await;
        // The process may have been paused meanwhile: requests for changes have expired by now.
        let now = Instant::now();
        match report {
            Ok(mut report) => {
                let mut state = shared.lock();
                let started_ms = report.started_ms;
                if state.last_report.as_ref().is_some_and(|r| r.started_ms != started_ms) {
                    state.admission.restart();
                }
                state.admission.record_report(now, &report.running);
                shared.admit_waiting(&mut state, now);
                let arrived = state.arrivals.recent_tokens(now, &report.running);
                let backlog = state.admission.backlog(now);
                report.load.recent_tokens = if shared.config.admits { backlog } else { arrived };
                if std::mem::take(&mut state.engine_lost) {
                    let started_ms = report.started_ms.unwrap_or(0);
                    info!("event=engine_back seq={} started_ms={started_ms}", report.order_seq);
                }
                let load_changed = state.last_report.as_ref().map(|r| r.load) != Some(report.load);
                let residency_changed = state.last_report.as_ref().map(|r| (&r.residency, r.state))
                    != Some((&report.residency, report.state));
                let waiting = report.load.awaiting_first_token;
                let previously_waiting = std::mem::replace(&mut awaiting_first_token, waiting);
                if !order_in_flight {
                    let expected_late = state.order_scheduler.expects_late_order();
                    state.order_scheduler.handle_report(now, report.clone());
                    let expects_late = state.order_scheduler.expects_late_order();
                    if expects_late != expected_late {
                        info!("event=late_order_expected expected={expects_late}");
                    }
                    if state.order_scheduler.has_unrecorded_start() {
                        shared.record_due.notify_one();
                    }
                }
                state.last_report = Some(report);
                let due =
                    last_update + if load_changed { LOAD_INTERVAL } else { HEARTBEAT_INTERVAL };
                if residency_changed || previously_waiting < waiting || due <= now {
                    last_update = now;
                    shared.send_updates(&mut state, now, |_| residency_changed);
                }
                state.gateways.retain(|_, g| now < g.last_heard + GATEWAY_TIMEOUT);
            }
            Err(err) => {
                let mut state = shared.lock();
                state.last_report = None;
                if !std::mem::replace(&mut state.engine_lost, true) {
                    warn!("event=engine_lost error=\"{err}\"");
                }
                continue;
            }
        }
        let order = shared.lock().order_scheduler.next_order(now);
        if let Some(order) = order {
            // Sent in a task of its own, so that gateways still get load updates while the
            // engine's answer is awaited.
            let shared = shared.clone();
            tokio::spawn(async move { send_order(&shared, &order).await });
        }
        if !shared.lock().order_scheduler.is_up_to_date() {
            wait = ORDER_REPORT_INTERVAL;
        }
    }
}

async fn send_order(shared: &SharedState, order: &EngineOrder) {
    let answer = shared.engine.order(order).await;
    let (text, error) = match &answer {
        Ok(answer) => (format!("{answer:?}"), "-"),
        Err(OrderError::NotSent(error)) => ("NotSent".to_owned(), error.as_str()),
        Err(OrderError::Unknown(error)) => ("Unknown".to_owned(), error.as_str()),
    };
    info!(
        "event=order engine={} kind={:?} model={} adapter={} expected={} fence={} answer={text} \
         error=\"{error}\"",
        order.endpoint.as_deref().unwrap_or("-"),
        order.operation,
        order.model,
        order.adapter.as_deref().unwrap_or("-"),
        order.expected,
        order.fence
    );
    counter!(names::ORDERS, "answer" => text).increment(1);
    let answer = match answer {
        Ok(answer) => Some(answer),
        Err(OrderError::NotSent(_)) => Some(OrderAnswer::Conflict),
        Err(OrderError::Unknown(_)) => None,
    };
    shared.lock().order_scheduler.handle_answer(Instant::now(), answer);
}

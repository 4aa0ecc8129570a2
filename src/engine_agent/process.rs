//! Reads the engine's report, gives orders and answers gateways.

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
        forwarding::{EndpointState, ServiceName},
        residency::{
            ArrivalTracker, ChangeSource, EngineOrder, EngineReport, Operation, OrderAnswer,
            OrderError, OrderScheduler,
        },
    },
    fleet::{Followed, follow},
    gossip::{
        Body, ChangeKind, EngineLoad, EngineStatus, Hello, LoadedModel, ResidencyChange, Socket,
        rotating_subset,
    },
    platform::{
        CONFIG_KEY, CONFIGURATION, EngineClient, KeyedRecord, STATUS, Store, Topic,
        decode_configuration,
    },
    telemetry::names,
};

/// Time between reads of the engine's report, which is free on its own VM.
const REPORT_EVERY: Duration = Duration::from_millis(60);
/// The same while an order is awaited.
const REPORT_SOON: Duration = Duration::from_millis(12);
/// Time between messages to gateways when only the load has changed.
const TELL_LOAD_EVERY: Duration = Duration::from_millis(200);
/// The same when nothing has changed, so that an idle engine is known to live.
const TELL_EVERY: Duration = Duration::from_millis(600);
/// Time between messages to a gateway that does not use the engine. A gateway
/// learns of a new engine after its agent, and datagrams are lost.
const TELL_ALL_EVERY: Duration = Duration::from_millis(1800);
/// A gateway that was not heard for so long gets no more messages. Source: three of
/// the greetings that gateways send to each agent.
const SILENT_AFTER: Duration = Duration::from_millis(5000);
/// A gateway that has not said for so long that it plans does so no more.
const PLANS_FOR: Duration = Duration::from_millis(2000);
/// A gateway whose requests used the engine so lately hears of its load.
const USES_FOR: Duration = Duration::from_millis(2000);
/// Fencing tokens that one start of an agent may use.
const TOKENS_PER_START: u64 = 1_000_000;
/// Longest wait of a read for a change of the configuration. The models of a
/// service change rarely; a new one is first asked of the gateways.
const CONFIGURATION_WAIT: Duration = Duration::from_secs(10);
const RETRY_AFTER: Duration = Duration::from_millis(800);

/// Settings of an agent beside an engine.
#[derive(Clone, Debug)]
pub struct EngineAgentConfig {
    /// Name of the VM; it names the holder of the engine in orders.
    pub name: String,
    /// The engine's service.
    pub service: String,
    /// Where the engine listens.
    pub engine: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
}

#[derive(Debug)]
struct Shared {
    config: EngineAgentConfig,
    engine: EngineClient,
    socket: Socket,
    state: Mutex<Inner>,
    wished: Notify,
    started: u64,
}

#[derive(Debug, Default)]
struct Inner {
    order_scheduler: OrderScheduler,
    // What was last read; the scheduler forgets it when it gives an order.
    seen: Option<EngineReport>,
    arrivals: ArrivalTracker,
    gateways: HashMap<SocketAddr, Gateway>,
    number: u64,
    engine_lost: bool,
}

#[derive(Clone, Copy, Debug)]
struct Gateway {
    at: Instant,
    plans: Option<Instant>,
    used: Option<Instant>,
    told_all: Instant,
}

/// A running agent.
#[derive(Debug)]
pub struct EngineAgent {
    tasks: Vec<tokio::task::AbortHandle>,
}

impl EngineAgent {
    /// Stops at once: it holds nothing that lasts.
    pub fn stop(self) {
        self.tasks.iter().for_each(tokio::task::AbortHandle::abort);
    }
}

/// Starts an agent in the current runtime.
pub fn start(config: EngineAgentConfig, socket: Socket) -> EngineAgent {
    let store = Store::new(config.store);
    let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let shared = Arc::new(Shared {
        engine: EngineClient::new(config.engine, &config.name),
        config,
        socket,
        state: Mutex::default(),
        wished: Notify::new(),
        started: started.as_millis() as u64,
    });
    let spec = Specification { shared: shared.clone() };
    let tasks = [
        tokio::spawn(follow(store.clone(), spec)).abort_handle(),
        tokio::spawn(take_token(shared.clone(), store)).abort_handle(),
        tokio::spawn(hear(shared.clone())).abort_handle(),
        tokio::spawn(work(shared)).abort_handle(),
    ];
    EngineAgent { tasks: tasks.into() }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What the engine can hold, by the operator's configuration.
#[derive(Debug)]
struct Specification {
    shared: Arc<Shared>,
}

impl Followed for Specification {
    const TOPIC: Topic = CONFIGURATION;
    const WAIT: Duration = CONFIGURATION_WAIT;
    const PAUSE: Duration = Duration::from_millis(500);

    fn replace(&mut self, records: Vec<KeyedRecord>) {
        self.changed(records);
    }

    fn changed(&mut self, records: Vec<KeyedRecord>) {
        let newest = records.into_iter().filter(|r| r.key == CONFIG_KEY).filter_map(|r| r.value);
        let Some(text) = newest.last() else { return };
        let table = match decode_configuration(&text) {
            Ok(table) => table,
            Err(err) => return warn!("event=configuration_unreadable error=\"{err}\""),
        };
        let service: ServiceName = self.shared.config.service.as_str().into();
        if let Some(spec) = table.service(&service).and_then(|s| s.engine.clone()) {
            info!("event=configuration version={} models={}", table.version, spec.models.len());
            self.shared.lock().order_scheduler.set_spec(spec);
        }
    }
}

/// Takes the fencing tokens of this start: the place of its record in the store
/// is larger than that of every start before.
async fn take_token(shared: Arc<Shared>, store: Store) {
    let key = &shared.config.name;
    let value = format!("{{\"role\":\"engine-agent\",\"started\":{}}}", shared.started);
    loop {
        counter!(names::STORE_CALLS).increment(1);
        match store.put(STATUS, key, value.as_bytes()).await {
            Ok(offset) => {
                info!("event=fencing_token offset={offset}");
                return shared.lock().order_scheduler.set_fence((offset + 1) * TOKENS_PER_START);
            }
            Err(err) => {
                warn!("event=no_fencing_token error=\"{err}\"");
                time::sleep(RETRY_AFTER.mul_f64(0.5 + fastrand::f64())).await;
            }
        }
    }
}

async fn hear(shared: Arc<Shared>) {
    loop {
        let Ok((from, body)) = shared.socket.receive().await else {
            time::sleep(REPORT_EVERY).await;
            continue;
        };
        if let Body::Hello(hello) = body {
            shared.heard(from, &hello);
        }
    }
}

impl Shared {
    fn heard(&self, from: SocketAddr, hello: &Hello) {
        let now = Instant::now();
        let mut state = self.lock();
        let new = !state.gateways.contains_key(&from);
        let gateway = state.gateways.entry(from).or_insert(Gateway {
            at: now,
            plans: None,
            used: None,
            told_all: now,
        });
        gateway.at = now;
        if hello.is_planner {
            gateway.plans = Some(now);
        }
        if !hello.used_models.is_empty() || !hello.changes.is_empty() {
            gateway.used = Some(now);
        }
        let planner = planner(&state.gateways, now);
        for wish in &hello.changes {
            let source = match wish.adapter.is_empty() {
                true if planner == Some(from) => ChangeSource::Planner,
                true => continue,
                false => ChangeSource::Request,
            };
            take_wish(&mut state.order_scheduler, now, source, wish);
        }
        for used in &hello.used_models {
            let (model, adapter) =
                used.split_once('/').map_or((&**used, None), |(m, a)| (m, Some(a)));
            state.order_scheduler.mark_used(now, model.into(), adapter.map(Into::into));
        }
        if new {
            info!("event=gateway_heard at={from}");
        }
        if new || hello.wants_status {
            self.tell(&mut state, now, |address| address == from);
        }
        drop(state);
        if !hello.changes.is_empty() {
            self.wished.notify_one();
        }
    }

    /// Tells gateways what the engine holds and its load: those that `whole` picks
    /// all of it, others that use the engine its load.
    fn tell(&self, state: &mut Inner, now: Instant, whole: impl Fn(SocketAddr) -> bool) {
        let Some(view) = state.seen.clone() else { return };
        state.number += 1;
        let message = self.message(state, &view, now);
        let planner = planner(&state.gateways, now);
        for (address, gateway) in &mut state.gateways {
            if gateway.at + SILENT_AFTER <= now {
                continue;
            }
            let uses = gateway.used.is_some_and(|at| now < at + USES_FOR);
            if whole(*address) || gateway.told_all + TELL_ALL_EVERY <= now {
                gateway.told_all = now;
                self.socket.send(*address, Body::EngineStatus(message.clone()));
            } else if uses || planner == Some(*address) {
                self.socket.send(*address, Body::EngineLoad(EngineLoad::from(&message)));
            }
        }
    }

    fn message(&self, state: &Inner, view: &EngineReport, now: Instant) -> EngineStatus {
        let live = state.gateways.iter().filter(|(_, g)| now < g.at + SILENT_AFTER);
        let live: Vec<SocketAddr> = live.map(|(address, _)| *address).collect();
        EngineStatus {
            engine: self.config.engine.to_string(),
            sequence: state.number,
            loaded: state
                .order_scheduler
                .retained_models(view)
                .iter()
                .map(LoadedModel::from)
                .collect(),
            cached: view.residency.cached.iter().map(ToString::to_string).collect(),
            order_in_progress: view.residency.order_in_progress,
            active: view.reported.active,
            queued: view.reported.queued,
            awaiting_first_token: view.reported.awaiting_first_token,
            recent_tokens: view.reported.recent_tokens,
            kv_used: view.reported.kv_used,
            kv_total: view.reported.kv_total,
            draining: view.state == EndpointState::Draining,
            gateways: rotating_subset(&live, state.number as usize),
            loading: state.order_scheduler.loading().map(ToString::to_string).unwrap_or_default(),
            started_ms: self.started,
            weights_mib: state.order_scheduler.used_memory(view),
            can_order: state.order_scheduler.can_issue_orders(),
            in_use: state.order_scheduler.in_use(now).map(ToString::to_string).collect(),
        }
    }
}

/// The gateway whose plan counts: of those that say they plan, the one with the
/// lowest address.
fn planner(gateways: &HashMap<SocketAddr, Gateway>, now: Instant) -> Option<SocketAddr> {
    let plans = |g: &Gateway| g.plans.is_some_and(|at| now < at + PLANS_FOR);
    gateways.iter().filter(|(_, g)| plans(g)).map(|(address, _)| *address).min()
}

fn take_wish(
    order_scheduler: &mut OrderScheduler,
    now: Instant,
    source: ChangeSource,
    wish: &ResidencyChange,
) {
    let operation = match wish.kind() {
        ChangeKind::Load => Operation::Load,
        ChangeKind::Unload => Operation::Unload,
    };
    let adapter = (!wish.adapter.is_empty()).then(|| wish.adapter.as_str().into());
    order_scheduler.request_change(now, source, operation, wish.model.as_str().into(), adapter);
}

/// Reads reports and gives orders for ever.
async fn work(shared: Arc<Shared>) {
    let mut told = Instant::now();
    let mut unread_told = 0;
    let mut wait = REPORT_EVERY;
    loop {
        tokio::select! {
            () = time::sleep(wait) => {}
            () = shared.wished.notified() => {}
        }
        wait = REPORT_EVERY;
        let now = Instant::now();
        let order_under_way = shared.lock().order_scheduler.is_awaiting_answer();
        match shared.engine.report().await {
            Ok(mut view) => {
                let mut state = shared.lock();
                view.reported.recent_tokens = state.arrivals.recent_tokens(now, &view.runs);
                if std::mem::take(&mut state.engine_lost) {
                    info!("event=engine_back seq={}", view.seq);
                }
                let load = state.seen.as_ref().map(|v| v.reported) != Some(view.reported);
                let held = state.seen.as_ref().map(|v| (&v.residency, v.state))
                    != Some((&view.residency, view.state));
                let unread = view.reported.awaiting_first_token;
                let before = std::mem::replace(&mut unread_told, unread);
                if !order_under_way {
                    state.order_scheduler.handle_report(now, view.clone());
                }
                state.seen = Some(view);
                let due = told + if load { TELL_LOAD_EVERY } else { TELL_EVERY };
                if held || before < unread || due <= now {
                    told = now;
                    shared.tell(&mut state, now, |_| held);
                }
                state.gateways.retain(|_, g| now < g.at + SILENT_AFTER);
            }
            Err(err) => {
                let mut state = shared.lock();
                state.seen = None;
                if !std::mem::replace(&mut state.engine_lost, true) {
                    warn!("event=engine_lost error=\"{err}\"");
                }
                continue;
            }
        }
        let order = shared.lock().order_scheduler.next_order(now);
        if let Some(order) = order {
            // Gateways go on hearing of the load while an answer is awaited.
            let shared = shared.clone();
            tokio::spawn(async move { give(&shared, &order).await });
        }
        if !shared.lock().order_scheduler.is_up_to_date() {
            wait = REPORT_SOON;
        }
    }
}

async fn give(shared: &Shared, order: &EngineOrder) {
    let answer = shared.engine.order(order).await;
    let text = match &answer {
        Ok(answer) => format!("{answer:?}"),
        Err(OrderError::NotSent(_)) => "NotSent".to_owned(),
        Err(OrderError::Unknown(_)) => "Unknown".to_owned(),
    };
    info!(
        "event=order kind={:?} model={} adapter={} expected={} fence={} answer={text}",
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

//! What the tasks of a gateway share.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use metrics::{counter, gauge};
use tokio::sync::{Notify, oneshot, watch};

use crate::{
    core::{
        forwarding::{
            Dispatcher, EndpointBook, LAPSE_GRACE, Needs, Place, RetryBudget, Route, RouteTable,
            ServiceName, Suspects, Ticket, Verdict, Why,
        },
        ids::EndpointId,
        placement::DemandMeter,
    },
    gateway::{known::Known, upstream::Pool},
    telemetry::names,
};

/// Bounds that the platform sets for all processes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Sends beyond the first per request.
    pub retry_ratio: f64,
    /// Window in which they are counted.
    pub retry_window: Duration,
    /// Sends beyond the first that are allowed besides, in all processes together.
    pub retry_slack: f64,
    /// Time between the signal to stop and being killed.
    pub grace: Duration,
}

/// Runs of a request that end with their endpoint before it is no longer run.
const MAX_BREAKS: u32 = 2;

#[derive(Debug)]
pub(super) struct State {
    pub(super) table: Option<Arc<RouteTable>>,
    pub(super) book: EndpointBook,
    pub(super) dispatcher: Dispatcher,
    pub(super) suspects: Suspects,
    pub(super) demand: DemandMeter,
    // For gateways that start while the store is away.
    pub(super) known: Known,
    // One budget a service.
    budgets: HashMap<ServiceName, RetryBudget>,
    asking: HashMap<Ticket, oneshot::Sender<Placement>>,
    store_away: bool,
    store_back: Option<Instant>,
    leaving: bool,
    pub(super) checks: u32,
}

/// Where a request goes.
#[derive(Debug)]
pub(super) enum Placement {
    /// To this endpoint.
    At {
        /// Its id.
        endpoint: EndpointId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Nowhere.
    Refused(Why, Duration),
}

/// What the tasks of a gateway share.
#[derive(Debug)]
pub struct Hub {
    bounds: Bounds,
    state: Mutex<State>,
    pub(super) pool: Pool,
    pub(super) asked: Notify,
    // Something that peers and agents should hear of soon.
    pub(super) urgent: Notify,
    // Requests wait for an adapter that an agent is to load.
    pub(super) wanted: Notify,
    last_call: watch::Sender<bool>,
}

impl Hub {
    /// A hub that knows nothing yet.
    pub fn new(place: Place, bounds: Bounds, seed: u64) -> Arc<Self> {
        let state = State {
            table: None,
            book: EndpointBook::default(),
            dispatcher: Dispatcher::new(place, seed),
            suspects: Suspects::new(MAX_BREAKS),
            demand: DemandMeter::new(),
            known: Known::default(),
            budgets: HashMap::new(),
            asking: HashMap::new(),
            store_away: false,
            store_back: None,
            leaving: false,
            checks: 0,
        };
        Arc::new(Self {
            bounds,
            state: Mutex::new(state),
            pool: Pool::default(),
            asked: Notify::new(),
            urgent: Notify::new(),
            wanted: Notify::new(),
            last_call: watch::Sender::new(false),
        })
    }

    /// The bounds that are in force.
    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The routes in force.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.lock().table.clone()
    }

    /// Version of the routes in force.
    pub fn version(&self) -> Option<u64> {
        self.lock().table.as_ref().map(|t| t.version)
    }

    /// Number of endpoints that take requests.
    pub fn usable_endpoints(&self) -> usize {
        self.lock().book.iter().filter(|e| e.is_usable()).count()
    }

    /// Number of requests that wait for an endpoint.
    pub fn waiting(&self) -> usize {
        self.lock().dispatcher.waiting()
    }

    /// Whether an endpoint is registered.
    pub fn knows(&self, endpoint: &str) -> bool {
        self.lock().book.get(endpoint).is_some()
    }

    /// Whether the store did not answer last.
    pub fn is_store_away(&self) -> bool {
        self.lock().store_away
    }

    /// Whether it is being looked at whether an endpoint has crashed.
    pub fn is_checking(&self) -> bool {
        0 < self.lock().checks
    }

    /// Whether new connections are welcome.
    pub fn is_ready(&self) -> bool {
        let state = self.lock();
        state.table.is_some() && !state.leaving
    }

    /// The planned stop has begun. Requests wait for an endpoint so long at most.
    pub fn leave(&self, wait: Duration) {
        let mut state = self.lock();
        state.leaving = true;
        state.dispatcher.stop_waiting(Instant::now() + wait);
    }

    /// The process ends within a moment: what has no answer yet is answered.
    pub(super) fn call_last(&self) {
        self.last_call.send_replace(true);
    }

    /// Waits for the last moment before the process ends.
    pub(super) async fn last_call(&self) {
        let mut last_call = self.last_call.subscribe();
        // The sender lives as long as the hub.
        let _ = last_call.wait_for(|called| *called).await;
    }

    /// Whether the planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.lock().leaving
    }

    /// The store did not answer, or turned this process away.
    pub(super) fn store_failed(&self) -> bool {
        let mut state = self.lock();
        !std::mem::replace(&mut state.store_away, true)
    }

    /// The store answered. Returns whether it had been away.
    pub(super) fn store_answered(&self, now: Instant) -> bool {
        let mut state = self.lock();
        if !std::mem::replace(&mut state.store_away, false) {
            return false;
        }
        state.store_back = Some(now);
        state.book.extend_lapses(now + LAPSE_GRACE);
        true
    }

    /// Asks where a request is to go.
    pub(super) async fn place(
        self: &Arc<Self>,
        route: &Route,
        service: &ServiceName,
        needs: &Needs,
        deadline: Instant,
        tried: &[EndpointId],
    ) -> (Running, Placement) {
        let (tx, rx) = oneshot::channel();
        let ticket = {
            let now = Instant::now();
            let mut state = self.lock();
            let service = service.clone();
            let tried = tried.to_vec();
            let ticket = state.dispatcher.ask(now, route, service, needs.clone(), deadline, tried);
            state.asking.insert(ticket, tx);
            ticket
        };
        let running = Running { hub: self.clone(), ticket };
        self.pump();
        self.asked.notify_one();
        let refused = Placement::Refused(Why::NoEndpoint, Duration::ZERO);
        (running, rx.await.unwrap_or(refused))
    }

    /// Decides on waiting requests.
    pub(super) fn pump(&self) {
        let now = Instant::now();
        let mut guard = self.lock();
        let state = &mut *guard;
        if state.dispatcher.waiting() == 0 {
            return;
        }
        let Some(table) = state.table.clone() else { return };
        let wanted = state.dispatcher.wanted().count();
        for (ticket, verdict) in state.dispatcher.poll(now, &table, &state.book) {
            let placement = match verdict {
                Verdict::Refuse(why, delay) => Placement::Refused(why, delay),
                Verdict::Send(endpoint) => match state.book.get(&endpoint) {
                    Some(found) => Placement::At { address: found.registration.address, endpoint },
                    None => Placement::Refused(Why::NoEndpoint, Duration::ZERO),
                },
            };
            if let Some(tx) = state.asking.remove(&ticket) {
                // A caller that is gone ends its ticket by itself.
                let _ = tx.send(placement);
            }
        }
        if wanted < state.dispatcher.wanted().count() {
            self.wanted.notify_one();
        }
        gauge!(names::WAITING).set(state.dispatcher.waiting() as f64);
    }

    /// Takes one send beyond the first of a request out of the shared budget.
    pub(super) fn may_retry(&self, service: &ServiceName) -> bool {
        let now = Instant::now();
        let mut state = self.lock();
        let processes = state.dispatcher.processes();
        let bounds = self.bounds;
        let allowed = budget(&mut state.budgets, &bounds, service, now).take(now, processes);
        counter!(names::RETRIES, "allowed" => if allowed { "yes" } else { "no" }).increment(1);
        allowed
    }

    /// Counts a request for a service and what it needs.
    pub(super) fn count(&self, service: &ServiceName, needs: &Needs) {
        let now = Instant::now();
        let mut state = self.lock();
        let bounds = self.bounds;
        budget(&mut state.budgets, &bounds, service, now).request(now);
        state.demand.record_request(now, service, needs);
    }
}

impl State {
    /// Whether a registration may be gone only because the store was away.
    pub(super) fn is_lapse(&self, now: Instant) -> bool {
        self.store_away || self.store_back.is_some_and(|at| now < at + LAPSE_GRACE)
    }
}

fn budget<'a>(
    budgets: &'a mut HashMap<ServiceName, RetryBudget>,
    bounds: &Bounds,
    service: &ServiceName,
    now: Instant,
) -> &'a mut RetryBudget {
    let new = || RetryBudget::new(bounds.retry_ratio, bounds.retry_window, bounds.retry_slack, now);
    budgets.entry(service.clone()).or_insert_with(new)
}

/// A request that waits for or runs at an endpoint, until it is dropped.
#[derive(Debug)]
pub(super) struct Running {
    hub: Arc<Hub>,
    ticket: Ticket,
}

impl Running {
    /// The first part of the answer came.
    pub(super) fn answered(&self) {
        self.hub.lock().dispatcher.answered(Instant::now(), self.ticket);
        self.hub.pump();
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = self.hub.lock();
        state.dispatcher.end(self.ticket);
        state.asking.remove(&self.ticket);
        drop(state);
        self.hub.pump();
    }
}

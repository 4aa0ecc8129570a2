//! Start and graceful shutdown of a gateway.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::{Request, StatusCode};
use log::info;
use tokio::{net::TcpListener, task::JoinHandle, time};

use crate::{
    core::{forwarding::RetryShare, limits::ProcessLimits},
    fleet::follow_topic,
    gateway::{
        accounts::AccountSettings,
        bootstrap, directory,
        follow::{EndpointUpdater, RouteUpdater},
        forward,
        limits::process_id,
        loop_probe, peers,
        quarantine_store::{QuarantineReader, save_reports},
        quotas,
        shared::{Bounds, SharedState, ShutdownPlan},
    },
    gossip::Socket,
    http::{self, MemoryBudget, ServerLimits, StopSignal, stop_channel},
    platform::{READY_PATH, Store},
};

/// Interval of decisions on waiting requests when no other event triggers one.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which idle connections to endpoints are checked.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(250);
/// Longest pause between two requests on a caller's connection. The operator's limit is
/// lower.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_HEADER_BYTES: usize = 32 * 1024;
/// How long the load balancer may still open new connections after the process has
/// become unready: two readiness probes, one per second, and a margin.
const UNREADY_DELAY: Duration = Duration::from_millis(2600);
/// Time before the end of the grace period at which the remaining requests are aborted.
const ABORT_MARGIN: Duration = Duration::from_millis(900);
/// Time to send the error responses of aborted requests, in which streams may still end.
const ABORT_RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time in which streams that are cut off write their log lines.
const CUT_OFF_TIME: Duration = Duration::from_millis(20);
/// Share of the grace period in which requests may still wait for an endpoint.
const WAIT_SHARE_OF_GRACE: f64 = 0.6;

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// Availability zone of this gateway.
    pub zone: String,
    /// Region of each availability zone.
    pub regions: Vec<(String, String)>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Addresses of VMs on which other gateways may run.
    pub seeds: Vec<IpAddr>,
    /// No gateway of this system has run before.
    pub first_start: bool,
    /// Limits that the platform sets.
    pub bounds: Bounds,
    /// Settings of the client accounts.
    pub accounts: AccountSettings,
    /// Memory and descriptors of the process.
    pub limits: ProcessLimits,
}

/// The listening sockets of a gateway.
#[derive(Debug)]
pub struct Listeners {
    /// Requests of callers.
    pub callers: TcpListener,
    /// Readiness probes of the load balancer.
    pub ready: TcpListener,
    /// Gossip with other gateways and engine agents.
    pub peers: Socket,
    /// Address of `peers`.
    pub peer_address: SocketAddr,
    /// Gateways that fetch cached records at their start: TCP, at the address of `peers`.
    pub bootstrap: TcpListener,
}

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    shared: Arc<SharedState>,
    stop: StopSignal,
    server: JoinHandle<()>,
}

/// Starts a gateway in the current Tokio runtime.
pub fn start(config: GatewayConfig, listeners: Listeners) -> Gateway {
    let locality = peers::locality(&config.zone, &config.regions);
    let own = listeners.peer_address;
    let others = config.seeds.iter().map(|ip| SocketAddr::new(*ip, own.port()));
    let others: Vec<SocketAddr> = others.filter(|address| *address != own).collect();
    let ids = others.iter().map(|address| process_id(*address));
    let (window, first_start) = (config.bounds.retry_window, config.first_start);
    let share = RetryShare::new(Instant::now(), window, ids, first_start).with_directory();
    let memory = MemoryBudget::new(&config.limits);
    let seed = fastrand::u64(..);
    let shared =
        SharedState::new(locality, config.bounds, config.accounts, share, seed, memory.clone());
    shared.lock().accounts.first_start = first_start;
    let store = Store::new(config.store);
    tokio::spawn(follow_topic(store.clone(), RouteUpdater { shared: shared.clone() }));
    tokio::spawn(follow_topic(store.clone(), EndpointUpdater::new(shared.clone())));
    tokio::spawn(follow_topic(store.clone(), QuarantineReader { shared: shared.clone() }));
    tokio::spawn(save_reports(shared.clone(), store.clone()));
    tokio::spawn(directory::run(shared.clone(), store, own));
    tokio::spawn(bootstrap::fetch_from_gateways(shared.clone(), others));
    tokio::spawn(peers::run(shared.clone(), listeners.peers, own, config.seeds));
    tokio::spawn(dispatch_loop(shared.clone()));
    tokio::spawn(expire_connections(shared.clone()));
    tokio::spawn(loop_probe::run(shared.clone()));
    tokio::spawn(quotas::run(shared.clone()));
    let (stop, stopped) = stop_channel();
    let limits = ServerLimits {
        read_timeout: IDLE_TIMEOUT,
        max_header_bytes: MAX_HEADER_BYTES,
        max_connections: config.limits.caller_connections(),
        memory: Some(memory),
    };
    let other = ServerLimits::for_other_address(&config.limits);
    let handler = {
        let shared = shared.clone();
        move |req: Request<http::RequestBody>| forward::handle(shared.clone(), req)
    };
    let server =
        tokio::spawn(http::serve_with_limits(listeners.callers, handler, stopped.clone(), limits));
    let bootstrap = {
        let shared = shared.clone();
        move |req: Request<http::RequestBody>| bootstrap::handle(shared.clone(), req)
    };
    tokio::spawn(http::serve_with_limits(
        listeners.bootstrap,
        bootstrap,
        stopped.clone(),
        other.clone(),
    ));
    let ready = ready_handler(shared.clone());
    tokio::spawn(http::serve_with_limits(listeners.ready, ready, stopped, other));
    Gateway { shared, stop, server }
}

fn ready_handler(
    shared: Arc<SharedState>,
) -> impl Fn(Request<http::RequestBody>) -> std::future::Ready<Result<http::Reply, http::ReplyAborted>>
+ Clone {
    move |req| {
        let path_exists = req.uri().path() == READY_PATH;
        std::future::ready(Ok(match (path_exists, shared.is_ready()) {
            (false, _) => http::text(StatusCode::NOT_FOUND, "no such path\n"),
            (true, true) => http::text(StatusCode::OK, "ready\n"),
            (true, false) => http::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        }))
    }
}

async fn dispatch_loop(shared: Arc<SharedState>) {
    loop {
        if shared.lock().dispatcher.waiting() == 0 {
            shared.request_queued.notified().await;
        }
        tokio::select! {
            () = time::sleep(DISPATCH_INTERVAL) => {}
            () = shared.request_queued.notified() => time::sleep(shared.until_next_poll()).await,
        }
        shared.dispatch_waiting();
    }
}

async fn expire_connections(shared: Arc<SharedState>) {
    loop {
        time::sleep(EXPIRE_INTERVAL).await;
        shared.pool.close_expired();
        shared.record_accounts_age(Instant::now());
    }
}

impl Gateway {
    /// State that the requests and background tasks share.
    pub fn shared(&self) -> &Arc<SharedState> {
        &self.shared
    }

    /// Shuts down gracefully: becomes unready at once, later stops accepting requests,
    /// and then waits for the last response or the end of the grace period.
    pub async fn stop(self) {
        let grace = self.shared.bounds().grace.saturating_sub(ABORT_MARGIN);
        let accepts_until = UNREADY_DELAY.min(grace / 2);
        let max_wait = grace.mul_f64(WAIT_SHARE_OF_GRACE);
        self.shared.begin_shutdown(ShutdownPlan { max_wait, accepts_until, ends_at: grace });
        info!("event=leaving grace_ms={}", grace.as_millis());
        let mut server = self.server;
        let finish = async {
            time::sleep(accepts_until).await;
            self.stop.send_replace(true);
            // The result is ignored: a panic in the server ends the process anyway.
            let _ = (&mut server).await;
        };
        let completed = time::timeout(grace, finish).await.is_ok();
        if !completed {
            self.shared.end_grace_period();
            // Meanwhile the error responses are sent to the callers.
            if time::timeout(ABORT_RESPONSE_TIMEOUT, server).await.is_err() {
                self.shared.cut_off_streams();
                time::sleep(CUT_OFF_TIME).await;
            }
        }
        info!("event=left whole={completed}");
    }
}

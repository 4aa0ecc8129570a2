//! Start and planned stop of a gateway.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use hyper::{Request, StatusCode, body::Incoming};
use log::info;
use tokio::{net::TcpListener, task::JoinHandle, time};

use crate::{
    fleet::follow,
    gateway::{
        bootstrap,
        follow::{Endpoints, Routes},
        forward, peers,
        shared::{Bounds, SharedState},
    },
    gossip::Socket,
    http::{self, ServeLimits, StopSignal, stop_channel},
    platform::{READY_PATH, Store},
};

/// Time between decisions on waiting requests when nothing else happens.
const PUMP_EVERY: Duration = Duration::from_millis(20);
/// Time between looks at idle connections.
const EXPIRE_EVERY: Duration = Duration::from_millis(250);
/// Longest pause between a caller's requests; the operator's limit is lower.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
const MAX_HEADER_BYTES: usize = 32 * 1024;
/// How long the balancer goes on sending new connections to a process that has
/// said that it is not ready: two questions, one a second, and a margin.
const NOTICE: Duration = Duration::from_millis(2600);
/// Time that is left of the grace period when the last requests are given up.
const STOP_MARGIN: Duration = Duration::from_millis(900);
/// Time for the answers to what was given up.
const LAST_ANSWERS: Duration = Duration::from_millis(300);
/// Share of the grace period within which requests may wait for an endpoint.
const WAIT_SHARE_OF_GRACE: f64 = 0.6;

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// Availability zone.
    pub zone: String,
    /// Region of each availability zone.
    pub regions: Vec<(String, String)>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Addresses of VMs on which other gateways may run.
    pub seeds: Vec<IpAddr>,
    /// Bounds of the platform.
    pub bounds: Bounds,
}

/// The sockets of a gateway.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub callers: TcpListener,
    /// For the balancer's question whether it is ready.
    pub ready: TcpListener,
    /// For other processes of the system.
    pub peers: Socket,
    /// The address of `peers`.
    pub peer_address: SocketAddr,
    /// For gateways that ask what this one knows, at the same address over TCP.
    pub bootstrap: TcpListener,
}

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    shared: Arc<SharedState>,
    stop: StopSignal,
    server: JoinHandle<()>,
}

/// Starts a gateway in the current runtime.
pub fn start(config: GatewayConfig, listeners: Listeners) -> Gateway {
    let place = peers::place(&config.zone, &config.regions);
    let shared = SharedState::new(place, config.bounds, fastrand::u64(..));
    let store = Store::new(config.store);
    tokio::spawn(follow(store.clone(), Routes { shared: shared.clone() }));
    tokio::spawn(follow(store, Endpoints::new(shared.clone())));
    let own = listeners.peer_address;
    let others = config.seeds.iter().map(|ip| SocketAddr::new(*ip, own.port()));
    let others = others.filter(|address| *address != own).collect();
    tokio::spawn(bootstrap::ask_others(shared.clone(), others));
    tokio::spawn(peers::run(shared.clone(), listeners.peers, own, config.seeds));
    tokio::spawn(pump(shared.clone()));
    tokio::spawn(expire(shared.clone()));
    let (stop, stopped) = stop_channel();
    let limits = ServeLimits { header: IDLE_LIMIT, max_header_bytes: MAX_HEADER_BYTES };
    let handler = {
        let shared = shared.clone();
        move |req: Request<Incoming>| forward::handle(shared.clone(), req)
    };
    let server =
        tokio::spawn(http::serve_within(listeners.callers, handler, stopped.clone(), limits));
    let bootstrap = {
        let shared = shared.clone();
        move |req: Request<Incoming>| bootstrap::answer(shared.clone(), req)
    };
    tokio::spawn(http::serve(listeners.bootstrap, bootstrap, stopped.clone()));
    tokio::spawn(http::serve(listeners.ready, ready_handler(shared.clone()), stopped));
    Gateway { shared, stop, server }
}

fn ready_handler(
    shared: Arc<SharedState>,
) -> impl Fn(Request<Incoming>) -> std::future::Ready<Result<http::Reply, http::Broken>> + Clone {
    move |req| {
        let known = req.uri().path() == READY_PATH;
        std::future::ready(Ok(match (known, shared.is_ready()) {
            (false, _) => http::text(StatusCode::NOT_FOUND, "no such path\n"),
            (true, true) => http::text(StatusCode::OK, "ready\n"),
            (true, false) => http::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        }))
    }
}

async fn pump(shared: Arc<SharedState>) {
    loop {
        if shared.lock().dispatcher.waiting() == 0 {
            shared.request_queued.notified().await;
        }
        time::sleep(PUMP_EVERY).await;
        shared.dispatch_waiting();
    }
}

async fn expire(shared: Arc<SharedState>) {
    loop {
        time::sleep(EXPIRE_EVERY).await;
        shared.pool.expire();
    }
}

impl Gateway {
    /// What its tasks share.
    pub fn shared(&self) -> &Arc<SharedState> {
        &self.shared
    }

    /// Stops: unready at once, then no further requests, then the end of the
    /// last answer or of the grace period.
    pub async fn stop(self) {
        let grace = self.shared.bounds().grace.saturating_sub(STOP_MARGIN);
        self.shared.begin_shutdown(grace.mul_f64(WAIT_SHARE_OF_GRACE));
        info!("event=leaving grace_ms={}", grace.as_millis());
        let mut server = self.server;
        let finish = async {
            time::sleep(NOTICE.min(grace / 2)).await;
            self.stop.send_replace(true);
            // The server ends by itself; a panic in it ends the process as well.
            let _ = (&mut server).await;
        };
        let whole = time::timeout(grace, finish).await.is_ok();
        if !whole {
            self.shared.end_grace_period();
            // What was answered last is on its way to the callers meanwhile.
            let _ = time::timeout(LAST_ANSWERS, server).await;
        }
        info!("event=left whole={whole}");
    }
}

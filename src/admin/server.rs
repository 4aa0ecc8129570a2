//! `/metrics`, `/healthz` and `/readyz`.

use std::{sync::Arc, time::Instant};

use hyper::{Request, StatusCode, body::Incoming};
use metrics::gauge;
use tokio::net::TcpListener;

use crate::{
    fleet::ConfigStore,
    http::{self, Reply, StopSignal, stop_channel},
    telemetry::{Metrics, names},
};

/// The running server.
#[derive(Debug)]
pub struct AdminServer {
    stop: StopSignal,
}

impl AdminServer {
    /// Ends the server.
    pub fn stop(self) {
        self.stop.send_replace(true);
    }
}

/// Starts the server of a process. Without metrics their page is empty.
pub fn start(
    listener: TcpListener,
    metrics: Option<Metrics>,
    store: Arc<ConfigStore>,
) -> AdminServer {
    start_with(listener, metrics, move || {
        gauge!(names::REVISION).set(store.revision() as f64);
        store.is_ready(Instant::now())
    })
}

/// Like [`start`], for a process that says by itself whether it is ready.
pub fn start_with<R>(listener: TcpListener, metrics: Option<Metrics>, is_ready: R) -> AdminServer
where
    R: Fn() -> bool + Clone + Send + Sync + 'static,
{
    let (stop, stopped) = stop_channel();
    let handler = move |req: Request<Incoming>| {
        let reply = answer(req.uri().path(), metrics.as_ref(), is_ready());
        async move { Ok(reply) }
    };
    tokio::spawn(http::serve(listener, handler, stopped));
    AdminServer { stop }
}

fn answer(path: &str, metrics: Option<&Metrics>, is_ready: bool) -> Reply {
    match path {
        "/metrics" => http::text(StatusCode::OK, metrics.map(Metrics::render).unwrap_or_default()),
        "/healthz" => http::text(StatusCode::OK, "ok\n"),
        "/readyz" if is_ready => http::text(StatusCode::OK, "ready\n"),
        "/readyz" => http::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        _ => http::text(StatusCode::NOT_FOUND, "there are /metrics, /healthz and /readyz\n"),
    }
}

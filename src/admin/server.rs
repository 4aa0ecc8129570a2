//! Serves `/metrics`, `/healthz` and `/readyz`.

use std::{sync::Arc, time::Instant};

use hyper::{Request, StatusCode};
use metrics::gauge;
use tokio::net::TcpListener;

use crate::{
    fleet::ConfigStore,
    http::{self, Reply, ServerLimits, StopSignal, stop_channel},
    telemetry::{Metrics, names},
};

/// Handle of a running admin server.
#[derive(Debug)]
pub struct AdminServer {
    stop: StopSignal,
}

impl AdminServer {
    /// Stops the server.
    pub fn stop(self) {
        self.stop.send_replace(true);
    }
}

/// Starts the admin server of a process whose readiness depends on its configuration.
/// Without `metrics` the `/metrics` page is empty.
pub fn start(
    listener: TcpListener,
    metrics: Option<Metrics>,
    store: Arc<ConfigStore>,
) -> AdminServer {
    start_with_readiness(listener, metrics, ServerLimits::default(), move || {
        gauge!(names::REVISION).set(store.revision() as f64);
        store.is_ready(Instant::now())
    })
}

/// Like [`start`], with the limits of the listener and the readiness check of the process.
pub fn start_with_readiness<R>(
    listener: TcpListener,
    metrics: Option<Metrics>,
    limits: ServerLimits,
    is_ready: R,
) -> AdminServer
where
    R: Fn() -> bool + Clone + Send + Sync + 'static,
{
    let (stop, stopped) = stop_channel();
    let handler = move |req: Request<http::RequestBody>| {
        let reply = handle_request(req.uri().path(), metrics.as_ref(), is_ready());
        async move { Ok(reply) }
    };
    tokio::spawn(http::serve_with_limits(listener, handler, stopped, limits));
    AdminServer { stop }
}

fn handle_request(path: &str, metrics: Option<&Metrics>, is_ready: bool) -> Reply {
    match path {
        "/metrics" => http::text(StatusCode::OK, metrics.map(Metrics::render).unwrap_or_default()),
        "/healthz" => http::text(StatusCode::OK, "ok\n"),
        "/readyz" if is_ready => http::text(StatusCode::OK, "ready\n"),
        "/readyz" => http::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        _ => http::text(
            StatusCode::NOT_FOUND,
            "not found; the paths are /metrics, /healthz and /readyz\n",
        ),
    }
}

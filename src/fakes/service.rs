//! Simulated service that counts its executions by the `id` in the request body.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, time};

use crate::http::{self, Reply, ReplyAborted, Stop};

const MAX_BODY_BYTES: usize = 1024 * 1024;

#[derive(Deserialize)]
struct ServiceRequest {
    id: String,
}

#[derive(Serialize)]
struct Confirmation {
    confirmed: String,
    run: u64,
}

/// A simulated service. Clones refer to the same service.
#[derive(Clone, Debug)]
pub struct FakeService {
    runs: Arc<Mutex<BTreeMap<String, u64>>>,
    duration: Duration,
}

impl FakeService {
    /// Creates a service whose requests take `duration` each.
    pub fn new(duration: Duration) -> Self {
        Self { runs: Arc::default(), duration }
    }

    /// Number of executions by request id.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.lock().clone()
    }

    /// Serves requests over HTTP until the stop is signalled.
    pub async fn serve(self, listener: TcpListener, stop: Stop) {
        let handler = move |req| {
            let service = self.clone();
            async move { service.handle(req).await }
        };
        http::serve(listener, handler, stop).await;
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, u64>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, req: Request<http::RequestBody>) -> Result<Reply, ReplyAborted> {
        let body = http::read_body(req.into_body(), MAX_BODY_BYTES, Duration::from_secs(5)).await;
        let body = body.map_err(|_| ReplyAborted)?;
        let Ok(request) = serde_json::from_slice::<ServiceRequest>(&body) else {
            return Ok(http::text(StatusCode::BAD_REQUEST, "the body has no id"));
        };
        let run = {
            let mut runs = self.lock();
            let count = runs.entry(request.id.clone()).or_default();
            *count += 1;
            *count
        };
        time::sleep(self.duration).await;
        Ok(http::json(StatusCode::OK, &Confirmation { confirmed: request.id, run }))
    }
}

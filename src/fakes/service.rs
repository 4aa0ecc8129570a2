//! A plain service that counts its runs by the `id` of the body.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use hyper::{Request, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, time};

use crate::http::{self, Reply, ReplyAborted, Stop};

const MAX_BODY_BYTES: usize = 1024 * 1024;

#[derive(Deserialize)]
struct Call {
    id: String,
}

#[derive(Serialize)]
struct Confirmation {
    confirmed: String,
    run: u64,
}

/// The service; its clones are one service.
#[derive(Clone, Debug)]
pub struct FakeService {
    runs: Arc<Mutex<BTreeMap<String, u64>>>,
    takes: Duration,
}

impl FakeService {
    /// A service whose calls take a time each.
    pub fn new(takes: Duration) -> Self {
        Self { runs: Arc::default(), takes }
    }

    /// Runs by id.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.lock().clone()
    }

    /// Serves calls over HTTP until the stop.
    pub async fn serve(self, listener: TcpListener, stop: Stop) {
        let handler = move |req| {
            let me = self.clone();
            async move { me.handle(req).await }
        };
        http::serve(listener, handler, stop).await;
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, u64>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, req: Request<Incoming>) -> Result<Reply, ReplyAborted> {
        let body = http::read_body(req.into_body(), MAX_BODY_BYTES, Duration::from_secs(5)).await;
        let body = body.map_err(|_| ReplyAborted)?;
        let Ok(call) = serde_json::from_slice::<Call>(&body) else {
            return Ok(http::text(StatusCode::BAD_REQUEST, "the body has no id"));
        };
        let run = {
            let mut runs = self.lock();
            let count = runs.entry(call.id.clone()).or_default();
            *count += 1;
            *count
        };
        time::sleep(self.takes).await;
        Ok(http::json(StatusCode::OK, &Confirmation { confirmed: call.id, run }))
    }
}

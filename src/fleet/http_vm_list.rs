//! Reads the list of VMs with `GET /vms`; a list whose ETag is unchanged isn't sent again.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{HeaderMap, Method, StatusCode, header};
use tokio::time;

use crate::{
    fleet::{Vm, VmList},
    http::Client,
};

const READ_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;

/// Reads the list over HTTP and caches the last one. Clones share the cache.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    client: Client,
    cache: Arc<Mutex<Option<CachedList>>>,
}

#[derive(Clone, Debug)]
struct CachedList {
    etag: Option<header::HeaderValue>,
    vms: Vec<Vm>,
}

impl HttpVmList {
    /// Creates a client of the server at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { client: Client::new(address), cache: Arc::default() }
    }

    fn cached(&self) -> Option<CachedList> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    async fn read(&self) -> Option<Vec<Vm>> {
        let cached = self.cached();
        let mut headers = HeaderMap::new();
        if let Some(etag) = cached.as_ref().and_then(|c| c.etag.clone()) {
            headers.insert(header::IF_NONE_MATCH, etag);
        }
        let response = self.client.send(Method::GET, "/vms", headers, Bytes::new()).await.ok()?;
        if response.status() == StatusCode::NOT_MODIFIED {
            return cached.map(|c| c.vms);
        }
        let etag = response.headers().get(header::ETAG).cloned();
        let body = Limited::new(response.into_body(), MAX_LIST_BYTES).collect().await.ok()?;
        let vms: Vec<Vm> = serde_json::from_slice(&body.to_bytes()).ok()?;
        let cached = CachedList { etag, vms: vms.clone() };
        *self.cache.lock().unwrap_or_else(PoisonError::into_inner) = Some(cached);
        Some(vms)
    }
}

impl VmList for HttpVmList {
    async fn vms(&self) -> Option<Vec<Vm>> {
        time::timeout(READ_TIMEOUT, self.read()).await.ok()?
    }
}

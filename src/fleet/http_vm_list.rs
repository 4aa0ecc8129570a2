//! The list of VMs over HTTP: `GET /vms`, read anew only when its ETag changed.

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

const READ_LIMIT: Duration = Duration::from_secs(2);
const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;

/// A client of the list over HTTP.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    client: Client,
    last: Arc<Mutex<Option<Read>>>,
}

#[derive(Clone, Debug)]
struct Read {
    etag: Option<header::HeaderValue>,
    vms: Vec<Vm>,
}

impl HttpVmList {
    /// A client of the list at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { client: Client::new(address), last: Arc::default() }
    }

    fn last(&self) -> Option<Read> {
        self.last.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    async fn read(&self) -> Option<Vec<Vm>> {
        let last = self.last();
        let mut headers = HeaderMap::new();
        if let Some(etag) = last.as_ref().and_then(|l| l.etag.clone()) {
            headers.insert(header::IF_NONE_MATCH, etag);
        }
        let reply = self.client.send(Method::GET, "/vms", headers, Bytes::new()).await.ok()?;
        if reply.status() == StatusCode::NOT_MODIFIED {
            return last.map(|l| l.vms);
        }
        let etag = reply.headers().get(header::ETAG).cloned();
        let body = Limited::new(reply.into_body(), MAX_LIST_BYTES).collect().await.ok()?;
        let vms: Vec<Vm> = serde_json::from_slice(&body.to_bytes()).ok()?;
        let read = Read { etag, vms: vms.clone() };
        *self.last.lock().unwrap_or_else(PoisonError::into_inner) = Some(read);
        Some(vms)
    }
}

impl VmList for HttpVmList {
    async fn vms(&self) -> Option<Vec<Vm>> {
        time::timeout(READ_LIMIT, self.read()).await.ok()?
    }
}

//! An HTTP client that can reuse connections and limits the time of each call.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming, header};
use hyper_util::{
    client::legacy::{Client as PooledClient, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time;

pub(super) const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an idle connection is kept.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a request has no usable response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientError {
    /// The request was not sent: its path was invalid or no connection could be made.
    NotSent(String),
    /// The connection failed, the request timed out, or the response may be that to another
    /// request; it may have been executed.
    NoResponse(String),
    /// The peer responded with a status other than 2xx.
    Status(StatusCode, Bytes),
    /// A document could not be encoded or decoded.
    Malformed(String),
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(text) => write!(f, "request not sent: {text}"),
            Self::NoResponse(text) => write!(f, "no response: {text}"),
            Self::Status(status, body) => {
                write!(f, "status {status}: {}", String::from_utf8_lossy(body))
            }
            Self::Malformed(text) => write!(f, "malformed JSON document: {text}"),
        }
    }
}

impl std::error::Error for ClientError {}

/// A client of one peer. Clones share its idle connections.
#[derive(Clone, Debug)]
pub struct Client {
    peer: SocketAddr,
    pool: PooledClient<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client of the peer at an address.
    pub fn new(peer: SocketAddr) -> Self {
        Self::with_idle_connections(peer, usize::MAX)
    }

    /// Creates a client that opens a connection for each call, so that no answer to an earlier
    /// call can arrive on it.
    pub fn without_reuse(peer: SocketAddr) -> Self {
        Self::with_idle_connections(peer, 0)
    }

    fn with_idle_connections(peer: SocketAddr, max_idle: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let pool = PooledClient::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(max_idle)
            .retry_canceled_requests(false)
            .build(connector);
        Self { peer, pool }
    }

    /// Sends a request and returns as soon as the response headers arrive. There is no
    /// time limit apart from that of the connection attempt.
    ///
    /// # Errors
    /// [`ClientError::NotSent`] if the request was certainly not sent, else
    /// [`ClientError::NoResponse`].
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<Response<Incoming>, ClientError> {
        let uri = format!("http://{}{path}", self.peer);
        let mut req = Request::new(Full::new(body));
        *req.method_mut() = method;
        *req.uri_mut() =
            uri.parse().map_err(|_| ClientError::NotSent(format!("invalid path {path:?}")))?;
        *req.headers_mut() = headers;
        self.pool.request(req).await.map_err(|err| match err.is_connect() {
            true => ClientError::NotSent(err.to_string()),
            false => ClientError::NoResponse(err.to_string()),
        })
    }

    /// Sends a request and reads the whole response body.
    ///
    /// # Errors
    /// Any [`ClientError`]; a status other than 2xx is [`ClientError::Status`].
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, ClientError> {
        Ok(self.call_with_head(method, path, headers, body, timeout).await?.into_body())
    }

    /// Like [`Self::call`], with the head of the response.
    ///
    /// # Errors
    /// Any [`ClientError`]; a status other than 2xx is [`ClientError::Status`].
    pub async fn call_with_head(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response<Bytes>, ClientError> {
        let exchange = async {
            let (head, body) = self.send(method, path, headers, body).await?.into_parts();
            let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|err| ClientError::NoResponse(err.to_string()))?.to_bytes();
            match head.status.is_success() {
                true => Ok(Response::from_parts(head, body)),
                false => Err(ClientError::Status(head.status, body)),
            }
        };
        let result = time::timeout(timeout, exchange).await;
        result.map_err(|_| ClientError::NoResponse(format!("timed out after {timeout:?}")))?
    }

    /// Sends a GET request and decodes the JSON response.
    ///
    /// # Errors
    /// Any [`ClientError`].
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<T, ClientError> {
        let body = self.call(Method::GET, path, HeaderMap::new(), Bytes::new(), timeout).await?;
        decode(&body)
    }

    /// Posts a JSON document and decodes the JSON response.
    ///
    /// # Errors
    /// Any [`ClientError`].
    pub async fn post_json<T: DeserializeOwned>(
        &self,
        path: &str,
        document: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, ClientError> {
        let body = serde_json::to_vec(document);
        let body = body.map_err(|err| ClientError::Malformed(err.to_string()))?;
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
        let response = self.call(Method::POST, path, headers, body.into(), timeout).await?;
        decode(&response)
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, ClientError> {
    serde_json::from_slice(body).map_err(|err| ClientError::Malformed(err.to_string()))
}

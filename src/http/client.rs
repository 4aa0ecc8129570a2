//! A client with kept connections and a time limit on each call.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming, header};
use hyper_util::{
    client::legacy::{Client as Pool, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time;

const MAX_REPLY_BYTES: usize = 64 * 1024 * 1024;
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Why a call has no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientError {
    /// The call was not sent: there was no connection.
    NotSent(String),
    /// The connection failed or the time was up; the call may have been carried out.
    NoResponse(String),
    /// The peer answered with another status than success.
    Status(StatusCode, Bytes),
    /// The answer is not of the kind that was expected.
    Malformed(String),
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(text) => write!(f, "no connection: {text}"),
            Self::NoResponse(text) => write!(f, "no answer: {text}"),
            Self::Status(status, body) => {
                write!(f, "status {status}: {}", String::from_utf8_lossy(body))
            }
            Self::Malformed(text) => write!(f, "malformed answer: {text}"),
        }
    }
}

impl std::error::Error for ClientError {}

/// A client of one peer.
#[derive(Clone, Debug)]
pub struct Client {
    peer: SocketAddr,
    pool: Pool<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// A client of the peer at an address.
    pub fn new(peer: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_LIMIT));
        connector.set_nodelay(true);
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(30))
            .retry_canceled_requests(false)
            .build(connector);
        Self { peer, pool }
    }

    /// Sends a call and returns as soon as the head of the answer is there.
    ///
    /// # Errors
    /// [`ClientError::NotSent`] when no connection could be made, else
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
        *req.uri_mut() = uri.parse().map_err(|_| ClientError::NotSent(format!("path {path:?}")))?;
        *req.headers_mut() = headers;
        self.pool.request(req).await.map_err(|err| match err.is_connect() {
            true => ClientError::NotSent(err.to_string()),
            false => ClientError::NoResponse(err.to_string()),
        })
    }

    /// Sends a call and reads the whole answer.
    ///
    /// # Errors
    /// Any [`ClientError`]; statuses other than success are errors.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        limit: Duration,
    ) -> Result<Bytes, ClientError> {
        let whole = async {
            let reply = self.send(method, path, headers, body).await?;
            let status = reply.status();
            let body = Limited::new(reply.into_body(), MAX_REPLY_BYTES).collect().await;
            let body = body.map_err(|err| ClientError::NoResponse(err.to_string()))?.to_bytes();
            if status.is_success() { Ok(body) } else { Err(ClientError::Status(status, body)) }
        };
        let timed = time::timeout(limit, whole).await;
        timed.map_err(|_| ClientError::NoResponse(format!("none within {limit:?}")))?
    }

    /// Gets a JSON document.
    ///
    /// # Errors
    /// Any [`ClientError`].
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        path: &str,
        limit: Duration,
    ) -> Result<T, ClientError> {
        let body = self.call(Method::GET, path, HeaderMap::new(), Bytes::new(), limit).await?;
        parse(&body)
    }

    /// Posts a JSON document and reads one.
    ///
    /// # Errors
    /// Any [`ClientError`].
    pub async fn post_json<T: DeserializeOwned>(
        &self,
        path: &str,
        document: &impl Serialize,
        limit: Duration,
    ) -> Result<T, ClientError> {
        let body = serde_json::to_vec(document);
        let body = body.map_err(|err| ClientError::Malformed(err.to_string()))?;
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
        let reply = self.call(Method::POST, path, headers, body.into(), limit).await?;
        parse(&reply)
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, ClientError> {
    serde_json::from_slice(body).map_err(|err| ClientError::Malformed(err.to_string()))
}

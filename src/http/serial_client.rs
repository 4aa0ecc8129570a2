//! An HTTP client whose answers are matched to requests by their ids.

use std::{
    fmt,
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
    header::{self, HeaderName, HeaderValue},
};
use hyper_util::rt::TokioIo;
use metrics::counter;
use tokio::{net::TcpStream, sync::Mutex, task::AbortHandle, time};

use crate::{
    core::correlation::{ConnectionHistory, ResponseId},
    http::{
        ClientError,
        client::{CONNECT_TIMEOUT, IDLE_TIMEOUT, MAX_RESPONSE_BYTES},
    },
    telemetry::names,
};

/// Number of the next request of this process.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// A client of one peer that sends one request at a time and keeps at most one connection.
///
/// Each request has an id of its own. A peer may send a copy of an earlier answer where the next
/// one is due, so an answer counts only if it has the id of its request, or if it has none and is
/// the first on its connection, which is then closed.
pub struct SerialClient {
    peer: SocketAddr,
    // Header of the ids in requests and answers.
    id_header: HeaderName,
    id_prefix: String,
    idle: Mutex<Option<Connection>>,
}

impl fmt::Debug for SerialClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SerialClient").field("peer", &self.peer).finish_non_exhaustive()
    }
}

/// A connection, closed when dropped.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    history: ConnectionHistory,
    last_used: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    async fn open(peer: SocketAddr) -> Result<Self, ClientError> {
        let not_sent = |text: String| ClientError::NotSent(text);
        counter!(names::CONNECTIONS).increment(1);
        let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await;
        let stream = stream.map_err(|err| not_sent(err.to_string()))?;
        let stream = stream.map_err(|err| not_sent(err.to_string()))?;
        stream.set_nodelay(true).map_err(|err| not_sent(err.to_string()))?;
        let connected = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = connected.map_err(|err| not_sent(err.to_string()))?;
        let driver = tokio::spawn(async move {
            // A pending request reports the error.
            let _ = connection.await;
        });
        let (driver, last_used) = (driver.abort_handle(), Instant::now());
        Ok(Self { sender, driver, history: ConnectionHistory::default(), last_used })
    }

    /// Whether another request can be sent.
    async fn is_usable(&mut self) -> bool {
        let is_open = !self.history.is_full() && self.last_used.elapsed() < IDLE_TIMEOUT;
        is_open && self.sender.ready().await.is_ok()
    }

    async fn send(
        &mut self,
        id: &HeaderValue,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ClientError> {
        self.history.record(id.as_bytes());
        let response = self.sender.send_request(req).await;
        response.map_err(|err| ClientError::NoResponse(err.to_string()))
    }
}

impl SerialClient {
    /// Creates a client of the peer at an address. `name` is that of this process, and part of the
    /// ids of its requests.
    pub fn new(peer: SocketAddr, id_header: HeaderName, name: &str) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let id_prefix = format!("{name}-{}", since_epoch.as_millis());
        Self { peer, id_header, id_prefix, idle: Mutex::default() }
    }

    /// Sends a request and reads the whole response body.
    ///
    /// # Errors
    /// Any [`ClientError`]; a status other than 2xx is [`ClientError::Status`], and an answer that
    /// may be that to another request [`ClientError::NoResponse`].
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, ClientError> {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let id = HeaderValue::from_str(&format!("{}-{number}", self.id_prefix));
        let id = id.map_err(|err| ClientError::NotSent(err.to_string()))?;
        let mut req = Request::new(Full::new(body));
        *req.method_mut() = method;
        *req.uri_mut() =
            path.parse().map_err(|_| ClientError::NotSent(format!("invalid path {path:?}")))?;
        *req.headers_mut() = headers;
        let host = HeaderValue::from_str(&self.peer.to_string());
        let host = host.map_err(|err| ClientError::NotSent(err.to_string()))?;
        req.headers_mut().insert(header::HOST, host);
        req.headers_mut().insert(self.id_header.clone(), id.clone());
        let result = time::timeout(timeout, self.exchange(&id, req)).await;
        let result =
            result.map_err(|_| ClientError::NoResponse(format!("timed out after {timeout:?}")));
        let (status, body) = result??;
        if status.is_success() { Ok(body) } else { Err(ClientError::Status(status, body)) }
    }

    /// Returns the answer to a request. The connection is closed on any error.
    async fn exchange(
        &self,
        id: &HeaderValue,
        req: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), ClientError> {
        let mut idle = self.idle.lock().await;
        let kept = match idle.take() {
            Some(mut connection) => connection.is_usable().await.then_some(connection),
            None => None,
        };
        let mut connection = match kept {
            Some(connection) => connection,
            None => Connection::open(self.peer).await?,
        };
        let (head, body) = connection.send(id, req).await?.into_parts();
        let found = head.headers.get(&self.id_header).map(HeaderValue::as_bytes);
        let response_id = ResponseId::new(found, id.as_bytes());
        counter!(names::RESPONSES, "id" => response_id.as_str()).increment(1);
        if !connection.history.correlates(response_id) {
            let (status, number) = (head.status, connection.history.requests());
            return Err(ClientError::NoResponse(format!(
                "answer {status} to request {number} of a connection, id {}",
                response_id.as_str()
            )));
        }
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|err| ClientError::NoResponse(err.to_string()))?.to_bytes();
        if response_id == ResponseId::Own {
            connection.last_used = Instant::now();
            *idle = Some(connection);
        }
        Ok((head.status, body))
    }
}

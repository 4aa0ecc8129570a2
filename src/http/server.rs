//! An HTTP/1.1 and HTTP/2 server with graceful shutdown.

use std::{
    convert::Infallible, future::Future, io, net::SocketAddr, pin::pin, sync::Arc, time::Duration,
};

use bytes::Bytes;
use hyper::{Request, Response, StatusCode, Version, body::Incoming, header, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto::Builder,
};
use serde::Serialize;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, mpsc, watch},
    time,
};

use crate::{
    core::limits::ProcessLimits,
    errors::Refusal,
    http::{
        MemoryBudget, ReplyAborted, ReplyBody, RequestBody, connections::Connections,
        tracked_body::TrackedBody,
    },
};

/// A response of the server.
pub type Reply = Response<ReplyBody>;
/// Address of the client, in the extensions of each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientAddress(pub SocketAddr);
/// Tells servers and loops to stop.
pub type StopSignal = watch::Sender<bool>;
/// Receives the signal of a [`StopSignal`].
pub type Stop = watch::Receiver<bool>;

const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_HEADER_BYTES: usize = 32 * 1024;
/// Connections of a listener whose process has no settings for it.
const DEFAULT_MAX_CONNECTIONS: usize = 16_384;
/// HTTP/2: requests at the same time on one connection.
const MAX_STREAMS: u32 = 100;
/// HTTP/2: received bytes that no handler has read yet, of a connection and of a stream.
const CONNECTION_WINDOW_BYTES: u32 = 256 * 1024;
const STREAM_WINDOW_BYTES: u32 = 64 * 1024;
/// HTTP/2: bytes of responses that the client has not read, of a stream.
const MAX_SEND_BYTES: usize = 64 * 1024;
/// HTTP/2: streams that were reset and are still known.
const MAX_RESET_STREAMS: usize = 20;
// Keeps the accept loop from spinning while the process has no free file descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
// How long a connection without a request stays open after the stop: callers give up a request that
// is not read within a second.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Creates a stop signal that is not set yet.
pub fn stop_channel() -> (StopSignal, Stop) {
    watch::channel(false)
}

/// Serves a listener until the stop is signalled and the requests in progress, and those on
/// connections that were opened before the stop, have ended. A handler that returns [`ReplyAborted`] closes the connection.
///
/// Errors of a single connection don't end the server.
pub async fn serve<H, F>(listener: TcpListener, handler: H, stop: Stop)
where
    H: Fn(Request<RequestBody>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Reply, ReplyAborted>> + Send + 'static,
{
    serve_with_limits(listener, handler, stop, ServerLimits::default()).await;
}

/// Limits of the connections of a listener.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// Longest time until the headers of the next request are complete (HTTP/1 only).
    pub read_timeout: Duration,
    /// Largest size of the headers in bytes.
    pub max_header_bytes: usize,
    /// Most connections at the same time.
    pub max_connections: usize,
    /// The budget that request bodies are charged to.
    pub memory: Option<MemoryBudget>,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            read_timeout: HEADER_TIMEOUT,
            max_header_bytes: MAX_HEADER_BYTES,
            max_connections: DEFAULT_MAX_CONNECTIONS,
            memory: None,
        }
    }
}

impl ServerLimits {
    /// Limits of an address that is not for callers.
    pub fn for_other_address(limits: &ProcessLimits) -> Self {
        Self { max_connections: limits.other_connections(), ..Self::default() }
    }
}

/// Like [`serve`], with other limits.
pub async fn serve_with_limits<H, F>(
    listener: TcpListener,
    handler: H,
    mut stop: Stop,
    limits: ServerLimits,
) where
    H: Fn(Request<RequestBody>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Reply, ReplyAborted>> + Send + 'static,
{
    let mut builder = Builder::new(TokioExecutor::new());
    let mut http1 = builder.http1();
    http1.timer(TokioTimer::new()).header_read_timeout(limits.read_timeout);
    http1.max_buf_size(limits.max_header_bytes);
    let mut http2 = builder.http2();
    http2.timer(TokioTimer::new()).max_header_list_size(limits.max_header_bytes as u32);
    http2.max_concurrent_streams(MAX_STREAMS).max_send_buf_size(MAX_SEND_BYTES);
    http2.initial_connection_window_size(CONNECTION_WINDOW_BYTES);
    http2.initial_stream_window_size(STREAM_WINDOW_BYTES);
    http2.max_pending_accept_reset_streams(MAX_RESET_STREAMS);
    http2.max_local_error_reset_streams(MAX_RESET_STREAMS);
    let connections = Connections::new(limits.max_connections);
    let memory = limits.memory;
    let sweep = tokio::spawn(connections.clone().sweep(memory.clone()));
    // Each open connection holds a sender.
    let (open, mut closed) = mpsc::channel::<Infallible>(1);
    let stopped = stop.clone();
    let open_connection = move |socket: TcpStream, client: SocketAddr| {
        // Otherwise small chunks such as single tokens may be held back for a full segment.
        let _: io::Result<()> = socket.set_nodelay(true);
        // The socket is dropped, and so closed, when there are too many connections.
        let Some((socket, registered)) = connections.open(socket) else { return };
        let state = registered.state.clone();
        let requested = Arc::new(Notify::new());
        let service = {
            let (handler, requested) = (handler.clone(), requested.clone());
            let (state, memory) = (state.clone(), memory.clone());
            service_fn(move |req: Request<Incoming>| {
                requested.notify_one();
                let running = state.begin_request(req.version() == Version::HTTP_2);
                let mut req = req.map(|body| {
                    RequestBody::from(body).with_limits(memory.clone(), || state.begin_body())
                });
                req.extensions_mut().insert(ClientAddress(client));
                let reply = handler(req);
                async move {
                    Ok::<_, ReplyAborted>(
                        reply.await?.map(|body| TrackedBody { body, _running: running }),
                    )
                }
            })
        };
        let connection = builder.serve_connection(TokioIo::new(socket), service).into_owned();
        let (stopped, open) = (stopped.clone(), open.clone());
        tokio::spawn(async move {
            let mut connection = pin!(connection);
            // Most errors mean that the caller closed its connection, which is not a fault.
            tokio::select! {
                biased;
                _ = connection.as_mut() => return,
                () = registered.state.closed() => return,
                () = until_closable(stopped, &requested) => {}
            }
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                _ = connection => {}
                () = registered.state.closed() => {}
            }
            drop((open, registered));
        });
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|s| *s) => break,
        };
        match accepted {
            Ok((socket, client)) => open_connection(socket, client),
            Err(_) => time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    // Connections that wait to be accepted would be reset.
    if let Ok(listener) = listener.into_std() {
        while let Ok((socket, client)) = listener.accept() {
            let socket = socket.set_nonblocking(true).and_then(|()| TcpStream::from_std(socket));
            if let Ok(socket) = socket {
                open_connection(socket, client);
            }
        }
    }
    drop(open_connection);
    // Ends when all connections are closed.
    let _ = closed.recv().await;
    sweep.abort();
}

/// Waits until the stop, and then until a connection has had its first request. Closing it earlier
/// would cut off a request that has arrived and was not read yet.
async fn until_closable(mut stop: Stop, requested: &Notify) {
    // The results do not matter: a dropped signal stops the server too, and the connection closes
    // with or without a request.
    let _ = stop.wait_for(|s| *s).await;
    let _ = time::timeout(FIRST_REQUEST_TIMEOUT, requested.notified()).await;
}

/// Creates a JSON response.
pub fn json(status: StatusCode, document: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(document).unwrap_or_default();
    reply(status, "application/json", body)
}

/// Creates a plain text response.
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    reply(status, "text/plain; charset=utf-8", body)
}

/// Creates the response to a refused request.
pub fn refusal(refusal: &Refusal) -> Reply {
    let status = StatusCode::from_u16(refusal.code.status());
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut reply = reply(status, "application/json", refusal.to_json());
    if let Some(delay) = refusal.retry_after {
        // The header has whole seconds, rounded up; the body has the milliseconds.
        let seconds = delay.as_millis().div_ceil(1000).max(1) as u64;
        reply.headers_mut().insert(header::RETRY_AFTER, seconds.into());
    }
    reply
}

fn reply(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(ReplyBody::full(body));
    *reply.status_mut() = status;
    let value = header::HeaderValue::from_static(content_type);
    reply.headers_mut().insert(header::CONTENT_TYPE, value);
    reply
}

impl From<Infallible> for ReplyAborted {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

//! An HTTP/1.1 and HTTP/2 server with graceful shutdown.

use std::{
    convert::Infallible, fmt::Display, future::Future, io, net::SocketAddr, pin::pin, sync::Arc,
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{
    Request, Response, StatusCode,
    body::{Body, Incoming},
    header,
    service::service_fn,
};
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
    errors::{Code, Refusal},
    http::{ReplyAborted, ReplyBody, RequestBody},
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
const MAX_DISCARDED_BYTES: usize = 16 * 1024 * 1024;
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
    serve_with_limits(listener, handler, stop, HeaderLimits::default()).await;
}

/// Limits of the request line and headers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeaderLimits {
    /// Longest time until the headers of the next request are complete (HTTP/1 only).
    pub read_timeout: Duration,
    /// Largest size of the headers in bytes.
    pub max_header_bytes: usize,
}

impl Default for HeaderLimits {
    fn default() -> Self {
        Self { read_timeout: HEADER_TIMEOUT, max_header_bytes: MAX_HEADER_BYTES }
    }
}

/// Like [`serve`], with other header limits.
pub async fn serve_with_limits<H, F>(
    listener: TcpListener,
    handler: H,
    mut stop: Stop,
    limits: HeaderLimits,
) where
    H: Fn(Request<RequestBody>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Reply, ReplyAborted>> + Send + 'static,
{
    let mut builder = Builder::new(TokioExecutor::new());
    let mut http1 = builder.http1();
    http1.timer(TokioTimer::new()).header_read_timeout(limits.read_timeout);
    http1.max_buf_size(limits.max_header_bytes);
    builder.http2().timer(TokioTimer::new()).max_header_list_size(limits.max_header_bytes as u32);
    // Each open connection holds a sender.
    let (open, mut closed) = mpsc::channel::<Infallible>(1);
    let stopped = stop.clone();
    let open_connection = move |socket: TcpStream, client: SocketAddr| {
        // Otherwise small chunks such as single tokens may be held back for a full segment.
        let _: io::Result<()> = socket.set_nodelay(true);
        let requested = Arc::new(Notify::new());
        let service = {
            let (handler, requested) = (handler.clone(), requested.clone());
            service_fn(move |req: Request<Incoming>| {
                requested.notify_one();
                let mut req = req.map(RequestBody::from);
                req.extensions_mut().insert(ClientAddress(client));
                handler(req)
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
                () = until_closable(stopped, &requested) => {}
            }
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
            drop(open);
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
}

/// Waits until the stop, and then until a connection has had its first request. Closing it earlier
/// would cut off a request that has arrived and was not read yet.
async fn until_closable(mut stop: Stop, requested: &Notify) {
    // The results do not matter: a dropped signal stops the server too, and the connection closes
    // with or without a request.
    let _ = stop.wait_for(|s| *s).await;
    let _ = time::timeout(FIRST_REQUEST_TIMEOUT, requested.notified()).await;
}

/// Reads a request body of at most `max_bytes` within `timeout`.
///
/// The rest of a body that is too large is read and discarded, up to a limit: closing a
/// connection with unread data can lose the response that is being sent.
///
/// # Errors
/// [`Code::BodyTooLarge`], [`Code::SlowSender`] or [`Code::MalformedBody`].
pub async fn read_body<B>(body: B, max_bytes: usize, timeout: Duration) -> Result<Bytes, Refusal>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Display,
{
    let result = time::timeout(timeout, read_limited(body, max_bytes)).await;
    result.unwrap_or_else(|_| {
        let text = format!("the body did not arrive within {} ms", timeout.as_millis());
        Err(Refusal::new(Code::SlowSender, text))
    })
}

async fn read_limited<B>(mut body: B, max_bytes: usize) -> Result<Bytes, Refusal>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Display,
{
    let mut buf = BytesMut::new();
    let mut size = 0;
    while let Some(frame) = body.frame().await {
        let malformed =
            |err| Refusal::new(Code::MalformedBody, format!("the body could not be read: {err}"));
        let Ok(data) = frame.map_err(malformed)?.into_data() else { continue };
        size += data.len();
        if size <= max_bytes {
            buf.extend_from_slice(&data);
        } else if max_bytes + MAX_DISCARDED_BYTES < size {
            break;
        }
    }
    if size <= max_bytes {
        return Ok(buf.freeze());
    }
    Err(Refusal::new(Code::BodyTooLarge, format!("the body is larger than {max_bytes} bytes")))
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

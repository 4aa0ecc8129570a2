//! Kept connections to endpoints: one request at a time on each.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use metrics::counter;
use socket2::SockRef;
use tokio::{net::TcpStream, task::AbortHandle, time};

use crate::telemetry::names;

/// Time for a new connection. Source: twice the round trip between regions, with
/// room for one lost packet.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// How long sent bytes may stay unacknowledged before the connection counts as dead.
const USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long an idle connection is kept when the endpoint does not say.
const DEFAULT_KEEP: Duration = Duration::from_millis(700);
/// A kept connection is closed so long before the endpoint would close it.
const KEEP_MARGIN: Duration = Duration::from_millis(600);

/// Why a request has no answer.
#[derive(Debug)]
pub(super) enum SendError {
    /// It was not sent.
    NotSent(String),
    /// It may have run.
    Broken(String),
}

/// A connection to an endpoint. Dropping it closes it.
#[derive(Debug)]
pub(super) struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    used: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Connects to an endpoint.
    pub(super) async fn open(address: SocketAddr) -> io::Result<Self> {
        counter!(names::CONNECTIONS).increment(1);
        let stream = time::timeout(CONNECT_LIMIT, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            // Whoever waits for an answer on it learns of its end.
            let _ = connection.await;
        });
        Ok(Self { address, sender, task: task.abort_handle(), used: false })
    }

    /// Whether a request was answered on it before.
    pub(super) fn was_used(&self) -> bool {
        self.used
    }

    /// Sends a request and waits for the head of its answer.
    pub(super) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        if let Err(err) = self.sender.ready().await {
            return Err(SendError::NotSent(err.to_string()));
        }
        self.used = true;
        self.sender.send_request(req).await.map_err(|err| match err.is_canceled() {
            true => SendError::NotSent(err.to_string()),
            false => SendError::Broken(err.to_string()),
        })
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// Idle connections by endpoint.
#[derive(Debug, Default)]
pub(super) struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// Takes the connection that was used last and is still good.
    pub(super) fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.lock();
        let now = Instant::now();
        let of_endpoint = idle.get_mut(&address)?;
        while let Some(Idle { connection, until }) = of_endpoint.pop() {
            if now < until && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer is complete.
    pub(super) fn put(&self, connection: Connection, keep_alive: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        let keep = keep_alive.map_or(DEFAULT_KEEP, |k| k.saturating_sub(KEEP_MARGIN));
        if keep.is_zero() {
            return;
        }
        let until = Instant::now() + keep;
        self.lock().entry(connection.address).or_default().push(Idle { connection, until });
    }

    /// Closes connections that the endpoint would soon close, or has closed.
    pub(super) fn expire(&self) {
        let now = Instant::now();
        self.lock().retain(|_, of_endpoint| {
            of_endpoint.retain(|i| now < i.until && !i.connection.sender.is_closed());
            !of_endpoint.is_empty()
        });
    }

    /// Closes the connections to an endpoint.
    pub(super) fn forget(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

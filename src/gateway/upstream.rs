//! Pool of persistent HTTP/1 connections to endpoints, each with one request at a time.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
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

use crate::{core::correlation::ConnectionHistory, telemetry::names};

/// Time to establish a connection: twice the round-trip time between regions, plus
/// room for one lost packet.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// `TCP_USER_TIMEOUT`: how long sent data may stay unacknowledged before the connection
/// is closed. An endpoint that is silent for a while does not read either.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(4000);
/// Largest read buffer of a connection. hyper's own limit of 400 KiB would let the responses of all
/// endpoints together exceed the memory of a small VM.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// How long an idle connection is kept when the endpoint sends no `Keep-Alive` header.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(700);
/// How long before the endpoint's own timeout an idle connection is closed.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(600);

/// Number of the next connection, for the log.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// Why a request got no response.
#[derive(Debug)]
pub(super) enum SendError {
    /// The request was not sent.
    NotSent(String),
    /// The request may have run.
    MayHaveRun(String),
}

/// A connection to an endpoint, closed when dropped.
#[derive(Debug)]
pub(super) struct Connection {
    number: u64,
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    history: ConnectionHistory,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Connects to an endpoint.
    pub(super) async fn open(address: SocketAddr) -> io::Result<Self> {
        Self::open_within(address, CONNECT_TIMEOUT).await
    }

    /// Connects to an endpoint within this time.
    pub(super) async fn open_within(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        counter!(names::CONNECTIONS).increment(1);
        let stream = time::timeout(timeout, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            // A pending `send` reports the error.
            let _ = connection.await;
        });
        Ok(Self {
            number: NEXT_NUMBER.fetch_add(1, Ordering::Relaxed),
            address,
            sender,
            driver: driver.abort_handle(),
            history: ConnectionHistory::default(),
        })
    }

    /// Identifies the connection in the log of this process.
    pub(super) fn number(&self) -> u64 {
        self.number
    }

    /// The requests that were sent on this connection.
    pub(super) fn history(&self) -> &ConnectionHistory {
        &self.history
    }

    /// Sends a request with this id and waits for the response head.
    pub(super) async fn send(
        &mut self,
        id: &[u8],
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        if !self.history.accepts(id) {
            return Err(SendError::NotSent(
                "the connection does not accept it: sent before, or too many requests".to_owned(),
            ));
        }
        if let Err(err) = self.sender.ready().await {
            return Err(SendError::NotSent(err.to_string()));
        }
        self.history.record(id);
        self.sender.send_request(req).await.map_err(|err| match err.is_canceled() {
            true => SendError::NotSent(err.to_string()),
            false => SendError::MayHaveRun(err.to_string()),
        })
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// Idle connections by endpoint address.
#[derive(Debug, Default)]
pub(super) struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes the most recently used connection that is still open and on which no request with
    /// this id was sent.
    pub(super) fn acquire(&self, address: SocketAddr, id: &[u8]) -> Option<Connection> {
        let mut idle = self.lock();
        let now = Instant::now();
        let connections = idle.get_mut(&address)?;
        connections.retain(|i| now < i.expires_at && !i.connection.sender.is_closed());
        let is_ready = |i: &IdleConnection| i.connection.sender.is_ready();
        let accepts = |i: &IdleConnection| is_ready(i) && i.connection.history.accepts(id);
        let Some(index) = connections.iter().rposition(accepts) else {
            if connections.iter().any(is_ready) {
                counter!(names::PASSED_OVER).increment(1);
            }
            return None;
        };
        Some(connections.remove(index).connection)
    }

    /// Returns a connection to the pool after its response has been read completely.
    pub(super) fn release(&self, connection: Connection, keep_alive: Option<Duration>) {
        if connection.sender.is_closed() || connection.history.is_full() {
            return;
        }
        let lifetime =
            keep_alive.map_or(DEFAULT_KEEP_ALIVE, |k| k.saturating_sub(KEEP_ALIVE_MARGIN));
        if lifetime.is_zero() {
            return;
        }
        let expires_at = Instant::now() + lifetime;
        self.lock()
            .entry(connection.address)
            .or_default()
            .push(IdleConnection { connection, expires_at });
    }

    /// Closes connections that the endpoint has closed or is about to close, and those on which the
    /// body of an answered request is still unsent.
    pub(super) fn close_expired(&self) {
        let now = Instant::now();
        self.lock().retain(|_, connections| {
            connections.retain(|i| now < i.expires_at && i.connection.sender.is_ready());
            !connections.is_empty()
        });
    }

    /// Closes all idle connections to an endpoint.
    pub(super) fn close_all(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

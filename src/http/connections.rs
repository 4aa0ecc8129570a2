//! The open connections of a listener, with a bound on their number.

use std::{
    collections::BTreeMap,
    io,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::{Duration, Instant},
};

use metrics::counter;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::Notify,
    time,
};

use crate::{
    core::limits::{ConnectionActivity, connection_to_close},
    http::MemoryBudget,
    telemetry::names,
};

/// Interval at which connections without progress are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time without progress of a response that the client does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time for a request head that has begun.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
// One byte less than hyper's read buffer: full reads would make hyper double it.
const MAX_READ_BYTES: usize = 8191;

/// The open connections of a listener.
#[derive(Clone, Debug)]
pub(super) struct Connections {
    open: Arc<Mutex<BTreeMap<u64, Arc<ConnectionState>>>>,
    next: Arc<AtomicU64>,
    max: usize,
}

/// State of a connection, which its requests and its socket update.
#[derive(Debug)]
pub(super) struct ConnectionState {
    activity: Mutex<ConnectionActivity>,
    close: Notify,
}

impl ConnectionState {
    fn lock(&self) -> MutexGuard<'_, ConnectionActivity> {
        self.activity.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the connection is to be closed.
    pub(super) async fn closed(&self) {
        self.close.notified().await;
    }

    /// Notes that a request head is complete.
    pub(super) fn begin_request(self: &Arc<Self>, is_http2: bool) -> Running {
        let mut activity = self.lock();
        activity.requests += 1;
        activity.running += 1;
        activity.head_bytes = 0;
        activity.is_http2 = is_http2;
        Running(self.clone())
    }

    /// Notes that a request has a body that is not complete.
    pub(super) fn begin_body(self: &Arc<Self>) -> IncompleteBody {
        self.lock().incomplete_bodies += 1;
        IncompleteBody(self.clone())
    }
}

/// A request whose response is not complete.
#[derive(Debug)]
pub(super) struct Running(Arc<ConnectionState>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
    }
}

/// A request body that is not complete.
#[derive(Debug)]
pub(super) struct IncompleteBody(Arc<ConnectionState>);

impl Drop for IncompleteBody {
    fn drop(&mut self) {
        self.0.lock().incomplete_bodies -= 1;
    }
}

impl Connections {
    pub(super) fn new(max: usize) -> Self {
        Self { open: Arc::default(), next: Arc::default(), max }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<ConnectionState>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a connection. When there are too many, one that gives way is closed; without such
    /// a one, the result is `None` and the new one is not served.
    pub(super) fn open(&self, socket: TcpStream) -> Option<(MeteredSocket, OpenConnection)> {
        let now = Instant::now();
        let mut open = self.lock();
        if self.max <= open.len() {
            let found = connection_to_close(now, open.iter().map(|(id, c)| (*id, *c.lock())));
            counter!(names::LIMIT_REFUSALS, "cause" => "connections").increment(1);
            open.remove(&found?)?.close.notify_one();
        }
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let activity = Mutex::new(ConnectionActivity::new(now));
        let state = Arc::new(ConnectionState { activity, close: Notify::new() });
        open.insert(id, state.clone());
        drop(open);
        let socket = MeteredSocket { socket, state: state.clone() };
        Some((socket, OpenConnection { connections: self.clone(), id, state }))
    }

    /// Closes connections without progress until the listener has ended.
    pub(super) async fn sweep(self, memory: Option<MemoryBudget>) {
        loop {
            time::sleep(SWEEP_INTERVAL).await;
            let now = Instant::now();
            for connection in self.lock().values() {
                let activity = *connection.lock();
                let head_late = 0 < activity.head_bytes
                    && activity.running == 0
                    && activity.read_at + HEAD_TIMEOUT <= now;
                if head_late || activity.is_write_stalled(now, WRITE_TIMEOUT) {
                    let cause = if head_late { "late_head" } else { "unread_response" };
                    counter!(names::LIMIT_REFUSALS, "cause" => cause).increment(1);
                    connection.close.notify_one();
                }
            }
            if let Some(memory) = &memory {
                memory.record_metrics();
            }
        }
    }
}

/// Registration of an open connection, which ends when it is dropped.
#[derive(Debug)]
pub(super) struct OpenConnection {
    connections: Connections,
    id: u64,
    pub(super) state: Arc<ConnectionState>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.lock().remove(&self.id);
    }
}

/// A socket that records the progress of its connection.
#[derive(Debug)]
pub(super) struct MeteredSocket {
    socket: TcpStream,
    state: Arc<ConnectionState>,
}

impl MeteredSocket {
    fn record_write(&self, result: &Poll<io::Result<usize>>) {
        let mut activity = self.state.lock();
        match result {
            Poll::Pending => {
                activity.write_stalled_at.get_or_insert_with(Instant::now);
            }
            Poll::Ready(_) => activity.write_stalled_at = None,
        }
    }
}

impl AsyncRead for MeteredSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let size = buf.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(size));
        let result = Pin::new(&mut self.socket).poll_read(cx, &mut part);
        let read = part.filled().len();
        buf.advance(read);
        if 0 < read {
            self.state.lock().record_read(Instant::now(), read);
        }
        result
    }
}

impl AsyncWrite for MeteredSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.socket).poll_write(cx, buf);
        self.record_write(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.socket).poll_write_vectored(cx, bufs);
        self.record_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

//! The body of a request, of which a handler may leave a part unread.

use std::{
    pin::Pin,
    sync::atomic::{AtomicUsize, Ordering},
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::{runtime::Handle, time};

use crate::http::{MemoryBudget, connections::IncompleteBody};

/// Most bytes of an unread body that are read and discarded.
const MAX_DISCARDED_BYTES: usize = 4 * 1024 * 1024;
/// Longest time to read and discard an unread body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(3);
/// Most bodies that are discarded at the same time; the connections of others are closed.
const MAX_DISCARDS: usize = 32;

static DISCARDS: AtomicUsize = AtomicUsize::new(0);

/// The body of a request.
///
/// When it is dropped, the rest is read and discarded in the background, within bounds. A
/// connection that is closed with unread data is reset, and the caller may lose the response.
#[derive(Debug)]
pub struct RequestBody {
    // `None` once it was read to its end or failed.
    rest: Option<Incoming>,
    memory: Option<MemoryBudget>,
    incomplete: Option<IncompleteBody>,
}

impl From<Incoming> for RequestBody {
    fn from(body: Incoming) -> Self {
        let ended = body.is_end_stream();
        Self { rest: (!ended).then_some(body), memory: None, incomplete: None }
    }
}

impl RequestBody {
    /// Sets the budget that is charged for the body, and its registration with the connection.
    pub(super) fn with_limits(
        mut self,
        memory: Option<MemoryBudget>,
        incomplete: impl FnOnce() -> IncompleteBody,
    ) -> Self {
        self.memory = memory;
        self.incomplete = self.rest.is_some().then(incomplete);
        self
    }

    /// The budget that is charged for the body.
    pub(super) fn memory(&self) -> Option<&MemoryBudget> {
        self.memory.as_ref()
    }

    /// Drops the rest without reading it, which closes an HTTP/1 connection.
    pub(super) fn abandon(&mut self) {
        self.rest = None;
        self.incomplete = None;
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Some(body) = &mut self.rest else { return Poll::Ready(None) };
        let frame = ready!(Pin::new(body).poll_frame(cx));
        if !matches!(frame, Some(Ok(_))) {
            self.abandon();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.rest.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.rest.as_ref().map_or(SizeHint::with_exact(0), Body::size_hint)
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        let Some(body) = self.rest.take().filter(|body| !body.is_end_stream()) else { return };
        // Without a runtime, the connection is no longer served either.
        let Ok(runtime) = Handle::try_current() else { return };
        let is_small = body.size_hint().lower() <= MAX_DISCARDED_BYTES as u64;
        if is_small && let Some(discard) = Discard::begin() {
            let incomplete = self.incomplete.take();
            runtime.spawn(async move {
                // The result does not matter: the rest is dropped in any case.
                let _ = time::timeout(DISCARD_TIMEOUT, read_rest(body)).await;
                drop((discard, incomplete));
            });
        }
    }
}

/// One of the bodies that are discarded at the same time.
struct Discard;

impl Discard {
    fn begin() -> Option<Self> {
        if MAX_DISCARDS <= DISCARDS.load(Ordering::Relaxed) {
            return None;
        }
        DISCARDS.fetch_add(1, Ordering::Relaxed);
        Some(Self)
    }
}

impl Drop for Discard {
    fn drop(&mut self) {
        DISCARDS.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn read_rest(mut body: Incoming) {
    let mut discarded = 0;
    while let Some(Ok(frame)) = body.frame().await {
        discarded += frame.data_ref().map_or(0, Bytes::len);
        if MAX_DISCARDED_BYTES < discarded {
            return;
        }
    }
}

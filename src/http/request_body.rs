//! The body of a request, of which a handler may leave a part unread.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::{runtime::Handle, time};

/// Most bytes of an unread body that are read and discarded.
const MAX_DISCARDED_BYTES: usize = 16 * 1024 * 1024;
/// Longest time to read and discard an unread body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(10);

/// The body of a request.
///
/// When it is dropped, the rest is read and discarded in the background. A connection that
/// is closed with unread data is reset, and the caller may lose the response.
#[derive(Debug)]
pub struct RequestBody {
    // `None` once it was read to its end or failed.
    rest: Option<Incoming>,
}

impl From<Incoming> for RequestBody {
    fn from(body: Incoming) -> Self {
        let ended = body.is_end_stream();
        Self { rest: (!ended).then_some(body) }
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
            self.rest = None;
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
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(time::timeout(DISCARD_TIMEOUT, discard(body)));
        }
    }
}

async fn discard(mut body: Incoming) {
    let mut discarded = 0;
    while let Some(Ok(frame)) = body.frame().await {
        discarded += frame.data_ref().map_or(0, Bytes::len);
        if MAX_DISCARDED_BYTES < discarded {
            return;
        }
    }
}

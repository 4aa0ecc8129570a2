//! The body of a response: complete, or streamed with back-pressure.

use std::{
    fmt,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// The response could not be completed. The transfer ends with an error, so that the
/// caller doesn't take the part that it received for the whole body.
#[derive(Clone, Copy, Debug)]
pub struct ReplyAborted;

impl fmt::Display for ReplyAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response was aborted")
    }
}

impl std::error::Error for ReplyAborted {}

/// Sends the chunks of a streamed body, or [`ReplyAborted`] to abort it.
pub type BodySender = mpsc::Sender<Result<Bytes, ReplyAborted>>;

// Chunks that are buffered for a slow reader before the sender has to wait.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// The body of a response.
#[derive(Debug)]
pub enum ReplyBody {
    /// A body that is known in full; `None` once it was sent.
    Full(Option<Bytes>),
    /// A body that is sent chunk by chunk as it is produced.
    Stream(mpsc::Receiver<Result<Bytes, ReplyAborted>>),
}

impl ReplyBody {
    /// Creates a body that is known in full.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }

    /// Creates a streamed body. Sending waits while the reader is slow.
    pub fn stream() -> (BodySender, Self) {
        let (tx, rx) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        (tx, Self::Stream(rx))
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = ReplyAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ReplyAborted>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(rx) => rx.poll_recv(cx).map(|chunk| chunk.map(|r| r.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(Some(bytes)) => SizeHint::with_exact(bytes.len() as u64),
            Self::Full(None) => SizeHint::with_exact(0),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

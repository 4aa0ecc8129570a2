//! The body of a reply: whole, or streamed with back-pressure.

use std::{
    fmt,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// The sender gave up: the transfer ends broken, not as if it were whole.
#[derive(Clone, Copy, Debug)]
pub struct ReplyAborted;

impl fmt::Display for ReplyAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for ReplyAborted {}

/// Sends the parts of a streamed body.
pub type BodySender = mpsc::Sender<Result<Bytes, ReplyAborted>>;

// Stream that may wait for a slow reader before the sender has to wait.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// The body of a reply.
#[derive(Debug)]
pub enum ReplyBody {
    /// All of it.
    Full(Option<Bytes>),
    /// Stream as they come.
    Stream(mpsc::Receiver<Result<Bytes, ReplyAborted>>),
}

impl ReplyBody {
    /// A body that is known.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }

    /// A body that is streamed; the sender waits while the reader is slow.
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
            Self::Stream(rx) => rx.poll_recv(cx).map(|part| part.map(|r| r.map(Frame::data))),
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

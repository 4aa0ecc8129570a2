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
pub struct Broken;

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for Broken {}

/// Sends the parts of a streamed body.
pub type Sender = mpsc::Sender<Result<Bytes, Broken>>;

// Parts that may wait for a slow reader before the sender has to wait.
const PARTS_IN_FLIGHT: usize = 16;

/// The body of a reply.
#[derive(Debug)]
pub enum ReplyBody {
    /// All of it.
    Whole(Option<Bytes>),
    /// Parts as they come.
    Parts(mpsc::Receiver<Result<Bytes, Broken>>),
}

impl ReplyBody {
    /// A body that is known.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// A body that is streamed; the sender waits while the reader is slow.
    pub fn parts() -> (Sender, Self) {
        let (tx, rx) = mpsc::channel(PARTS_IN_FLIGHT);
        (tx, Self::Parts(rx))
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Parts(rx) => rx.poll_recv(cx).map(|part| part.map(|r| r.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(Some(bytes)) => SizeHint::with_exact(bytes.len() as u64),
            Self::Whole(None) => SizeHint::with_exact(0),
            Self::Parts(_) => SizeHint::default(),
        }
    }
}

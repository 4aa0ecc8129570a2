//! The body of a response, which keeps its request registered as running.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::http::{ReplyAborted, ReplyBody, connections::Running};

/// A response body with the registration of its request.
#[derive(Debug)]
pub(super) struct TrackedBody {
    pub(super) body: ReplyBody,
    pub(super) _running: Running,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = ReplyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ReplyAborted>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

//! The body of an endpoint's response, of which a part may have been read already.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};

use crate::http::MemoryBudget;

/// A frame of a body, or its end.
pub(super) type FrameResult = Option<Result<Frame<Bytes>, hyper::Error>>;

/// The body of an endpoint's response.
#[derive(Debug)]
pub(super) struct ResponseBody {
    // Read before the response was chosen.
    read: Option<Bytes>,
    rest: Incoming,
}

impl From<Incoming> for ResponseBody {
    fn from(rest: Incoming) -> Self {
        Self { read: None, rest }
    }
}

impl ResponseBody {
    /// The next frame.
    pub(super) async fn frame(&mut self) -> FrameResult {
        match self.read.take() {
            Some(read) => Some(Ok(Frame::data(read))),
            None => self.rest.frame().await,
        }
    }

    /// Reads until there is data, which the next frame contains again. Returns whether there
    /// is any.
    pub(super) async fn read_first(&mut self) -> Result<bool, hyper::Error> {
        while self.read.is_none() {
            let Some(frame) = self.rest.frame().await else { return Ok(false) };
            self.read = frame?.into_data().ok().filter(|data| !data.is_empty());
        }
        Ok(true)
    }

    /// Reads the whole body of at most `max_bytes`, which the next frame contains again.
    ///
    /// # Errors
    /// Why the body cannot be used.
    pub(super) async fn read_all(
        &mut self,
        max_bytes: usize,
        memory: &MemoryBudget,
    ) -> Result<(), String> {
        if self.read.is_some() && self.rest.is_end_stream() {
            return Ok(());
        }
        let announced = self.rest.size_hint().upper().unwrap_or(u64::MAX);
        let read = self.read.as_ref().map_or(0, Bytes::len) as u64;
        let size = announced.saturating_add(read).min(max_bytes as u64) as usize;
        let mut buf = memory.response(size);
        let mut received = 0;
        while let Some(frame) = self.frame().await {
            let Ok(data) = frame.map_err(|err| err.to_string())?.into_data() else { continue };
            received += data.len();
            if max_bytes < received {
                return Err(format!("the body is larger than {max_bytes} bytes"));
            }
            let short = |_| "the process holds as many bytes as its memory allows".to_owned();
            buf.push(&data).map_err(short)?;
        }
        self.read = Some(buf.finish());
        Ok(())
    }

    /// The part that was read.
    pub(super) fn into_read(self) -> Bytes {
        self.read.unwrap_or_default()
    }
}

//! Splits a server-sent event stream into complete events and checks the order of
//! their ids.

use bytes::{Bytes, BytesMut};

/// Why a stream cannot be passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// An event was repeated, or one is missing.
    OutOfOrder {
        /// Id of the previous event.
        last: u64,
        /// Id of the offending event.
        next: u64,
    },
    /// An event exceeds the size limit.
    TooLarge,
}

/// Maximum size of an event in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Splits the events of one stream, which may continue on another endpoint.
///
/// ```
/// use goldcrestpitch::core::forwarding::{StreamError, EventSplitter};
/// let mut events = EventSplitter::default();
/// assert_eq!(events.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap().unwrap(), "id: 1\ndata: a\n\n");
/// assert_eq!(events.push(b"ta: b\n\n").unwrap().unwrap(), "id: 2\ndata: b\n\n");
/// events.start_next_run();
/// assert_eq!(events.last_id(), Some("2"));
/// let again = events.push(b"id: 2\ndata: b\n\n");
/// assert_eq!(again, Err(StreamError::OutOfOrder { last: 2, next: 2 }));
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    last_id: Option<String>,
    // Number of events with an id, and whether any id skipped a number.
    ids_seen: u64,
    has_gaps: bool,
}

impl EventSplitter {
    /// Continues after the last event that the caller has received.
    pub fn resuming_after(last_id: Option<&str>) -> Self {
        Self { last_id: last_id.map(str::to_owned), ..Self::default() }
    }

    /// Adds bytes and returns the events that are complete now.
    ///
    /// # Errors
    /// [`StreamError`] if an event is too large or out of order; none of these bytes may
    /// be passed on then.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, StreamError> {
        self.buf.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.buf) else {
            let fits = self.buf.len() <= MAX_EVENT_BYTES;
            return if fits { Ok(None) } else { Err(StreamError::TooLarge) };
        };
        let complete = self.buf.split_to(end).freeze();
        for line in complete.split(|b| *b == b'\n') {
            if let Some(id) = line.strip_prefix(b"id:") {
                self.check_id(String::from_utf8_lossy(id).trim())?;
            }
        }
        Ok(Some(complete))
    }

    /// Continues the stream with another run and drops the incomplete event of the
    /// previous one.
    pub fn start_next_run(&mut self) {
        self.buf.clear();
    }

    /// Whether no incomplete event is buffered.
    pub fn is_at_event_boundary(&self) -> bool {
        self.buf.is_empty()
    }

    /// Id of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    fn check_id(&mut self, id: &str) -> Result<(), StreamError> {
        let previous = self.last_id.as_ref().and_then(|l| l.parse::<u64>().ok());
        if let (Some(last_id), Ok(next)) = (previous, id.parse::<u64>()) {
            let is_successor = last_id.checked_add(1) == Some(next);
            // Ids must increase. Once they have been consecutive, a gap means a lost event.
            let consecutive = 1 < self.ids_seen && !self.has_gaps;
            if next <= last_id || (consecutive && !is_successor) {
                return Err(StreamError::OutOfOrder { last: last_id, next });
            }
            self.has_gaps |= !is_successor;
        }
        self.ids_seen += 1;
        self.last_id = Some(id.to_owned());
        Ok(())
    }
}

fn last_event_end(buf: &[u8]) -> Option<usize> {
    let lf = buf.windows(2).rposition(|w| w == b"\n\n").map(|at| at + 2);
    let crlf = buf.windows(4).rposition(|w| w == b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

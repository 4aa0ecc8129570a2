//! Splits a stream into whole events and holds their ids to their order.

use bytes::{Bytes, BytesMut};

/// Why events are not passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// An event comes again, or one is missing.
    OutOfOrder {
        /// Id of the event before.
        last_id: u64,
        /// Id of the event.
        next: u64,
    },
    /// An event has no end within the limit.
    TooLarge,
}

/// Largest event, bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// The events of one stream, over all its runs.
///
/// ```
/// use goldcrestpitch::core::forwarding::{StreamError, EventSplitter};
/// let mut events = EventSplitter::default();
/// assert_eq!(events.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap().unwrap(), "id: 1\ndata: a\n\n");
/// assert_eq!(events.push(b"ta: b\n\n").unwrap().unwrap(), "id: 2\ndata: b\n\n");
/// events.start_next_run();
/// assert_eq!(events.last_id(), Some("2"));
/// let again = events.push(b"id: 2\ndata: b\n\n");
/// assert_eq!(again, Err(StreamError::OutOfOrder { last_id: 2, next: 2 }));
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    last_id: Option<String>,
    // Events with ids so far, and whether each was one more than the one before.
    ids_seen: u64,
    has_gaps: bool,
}

impl EventSplitter {
    /// Events that follow one that the caller has got before.
    pub fn resuming_after(last_id: Option<&str>) -> Self {
        Self { last_id: last_id.map(str::to_owned), ..Self::default() }
    }

    /// Adds bytes and returns the events that are whole now.
    ///
    /// # Errors
    /// [`StreamError`], after which nothing of these bytes is to be passed on.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, StreamError> {
        self.buf.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.buf) else {
            let fits = self.buf.len() <= MAX_EVENT_BYTES;
            return if fits { Ok(None) } else { Err(StreamError::TooLarge) };
        };
        let whole = self.buf.split_to(end).freeze();
        for line in whole.split(|b| *b == b'\n') {
            if let Some(id) = line.strip_prefix(b"id:") {
                self.check_id(String::from_utf8_lossy(id).trim())?;
            }
        }
        Ok(Some(whole))
    }

    /// The stream goes on with another run: what is left of the one before is dropped.
    pub fn start_next_run(&mut self) {
        self.buf.clear();
    }

    /// Whether all bytes so far were of whole events.
    pub fn is_at_event_boundary(&self) -> bool {
        self.buf.is_empty()
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    fn check_id(&mut self, id: &str) -> Result<(), StreamError> {
        let before = self.last_id.as_ref().and_then(|l| l.parse::<u64>().ok());
        if let (Some(last_id), Ok(next)) = (before, id.parse::<u64>()) {
            let one_more = next == last_id + 1;
            // Ids only have to increase; where they have counted, a gap is a loss.
            let counts = 1 < self.ids_seen && !self.has_gaps;
            if next <= last_id || (counts && !one_more) {
                return Err(StreamError::OutOfOrder { last_id, next });
            }
            self.has_gaps |= !one_more;
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

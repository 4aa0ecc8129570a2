//! The requests that were sent on one connection.

use crate::core::{correlation::ResponseId, hash};

/// Requests that are sent on one connection, which bounds the memory for their ids (8 bytes each).
const MAX_REQUESTS: usize = 1000;

/// The ids of the requests that were sent on one connection, as hashes. An endpoint may repeat a
/// response, but only on the connection of its request.
#[derive(Clone, Debug, Default)]
pub struct ConnectionHistory {
    sent: Vec<u64>,
}

impl ConnectionHistory {
    /// Records that a request is sent.
    ///
    /// ```
    /// use goldcrestpitch::core::correlation::ConnectionHistory;
    /// let mut history = ConnectionHistory::default();
    /// history.record(b"q1");
    /// assert_eq!((history.requests(), history.sends(b"q1"), history.sends(b"q2")), (1, 1, 0));
    /// ```
    pub fn record(&mut self, id: &[u8]) {
        self.sent.push(hash::stable(&[id]));
    }

    /// Whether a request with this id may be sent: at most once, since an endpoint may send the
    /// answer to an earlier request again, and the id would not tell it from that to a later one.
    ///
    /// ```
    /// use goldcrestpitch::core::correlation::ConnectionHistory;
    /// let mut history = ConnectionHistory::default();
    /// history.record(b"q1");
    /// assert!(!history.accepts(b"q1"));
    /// assert!(history.accepts(b"q2"));
    /// ```
    ///
    /// The response to a request without an id has none either, so such a request must be the first.
    ///
    /// ```
    /// use goldcrestpitch::core::correlation::ConnectionHistory;
    /// let mut history = ConnectionHistory::default();
    /// assert!(history.accepts(b""));
    /// history.record(b"q1");
    /// assert!(!history.accepts(b""));
    /// ```
    pub fn accepts(&self, id: &[u8]) -> bool {
        if id.is_empty() {
            return self.sent.is_empty();
        }
        !self.is_full() && self.sends(id) == 0
    }

    /// Whether only the last request can have caused a response with this id. One without an id may
    /// be a copy of the response to any request on the connection.
    ///
    /// ```
    /// use goldcrestpitch::core::correlation::{ConnectionHistory, ResponseId};
    /// let mut history = ConnectionHistory::default();
    /// history.record(b"q1");
    /// assert!(history.correlates(ResponseId::Own) && history.correlates(ResponseId::Missing));
    /// history.record(b"q2");
    /// assert!(history.correlates(ResponseId::Own) && !history.correlates(ResponseId::Missing));
    /// assert!(!history.correlates(ResponseId::Other));
    /// ```
    pub fn correlates(&self, id: ResponseId) -> bool {
        match id {
            ResponseId::Own => true,
            ResponseId::Missing => self.requests() == 1,
            ResponseId::Other => false,
        }
    }

    /// Whether no further request may be sent.
    pub fn is_full(&self) -> bool {
        MAX_REQUESTS <= self.sent.len()
    }

    /// Number of requests that were sent.
    pub fn requests(&self) -> usize {
        self.sent.len()
    }

    /// How often a request with this id was sent.
    pub fn sends(&self, id: &[u8]) -> usize {
        let hash = hash::stable(&[id]);
        self.sent.iter().filter(|h| **h == hash).count()
    }
}

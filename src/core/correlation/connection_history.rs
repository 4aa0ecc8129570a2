//! The requests that were sent on one connection.

use crate::core::hash;

/// The ids of the requests that were sent on one connection, as hashes.
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

//! Which connection is closed when a listener has as many as it may.

use std::time::{Duration, Instant};

/// A connection with an incomplete head this old gives way; ordinary callers send a head at once.
const HEAD_GRACE: Duration = Duration::from_millis(250);
/// The same without progress of a body or a response.
const STALLED_AFTER: Duration = Duration::from_secs(1);

/// What is known of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionActivity {
    /// When the connection was opened.
    pub opened_at: Instant,
    /// When bytes were last received.
    pub read_at: Instant,
    /// Since when the client reads nothing of what is to be sent.
    pub write_stalled_at: Option<Instant>,
    /// Requests that were received on it.
    pub requests: u64,
    /// Requests whose response is not complete.
    pub running: u32,
    /// Requests whose body is not complete.
    pub incomplete_bodies: u32,
    /// Received bytes of a request head that is not complete.
    pub head_bytes: usize,
    /// HTTP/2, where received bytes don't show whether a head is complete.
    pub is_http2: bool,
}

impl ConnectionActivity {
    /// State of a connection that was just opened.
    pub fn new(now: Instant) -> Self {
        Self {
            opened_at: now,
            read_at: now,
            write_stalled_at: None,
            requests: 0,
            running: 0,
            incomplete_bodies: 0,
            head_bytes: 0,
            is_http2: false,
        }
    }

    /// Records received bytes. They belong to a head unless a request runs or the rest of a refused
    /// body is discarded.
    ///
    /// ```
    /// use std::time::Instant;
    /// use goldcrestpitch::core::limits::ConnectionActivity;
    /// let now = Instant::now();
    /// let refused = ConnectionActivity { incomplete_bodies: 1, ..ConnectionActivity::new(now) };
    /// let mut connection = refused;
    /// connection.record_read(now, 1000);
    /// assert_eq!(connection.head_bytes, 0);
    /// connection.incomplete_bodies = 0;
    /// connection.record_read(now, 1000);
    /// assert_eq!(connection.head_bytes, 1000);
    /// ```
    pub fn record_read(&mut self, now: Instant, bytes: usize) {
        let is_head = self.running == 0 && self.incomplete_bodies == 0 && !self.is_http2;
        // The timeout of a head counts from its first bytes.
        if !is_head || self.head_bytes == 0 {
            self.read_at = now;
        }
        self.head_bytes = if is_head { self.head_bytes + bytes } else { 0 };
    }

    /// Whether the client has not read for so long.
    pub fn is_write_stalled(&self, now: Instant, after: Duration) -> bool {
        self.write_stalled_at.is_some_and(|at| at + after <= now)
    }

    /// The order in which connections are closed, lowest first; `None` for those that stay.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use goldcrestpitch::core::limits::ConnectionActivity;
    /// let now = Instant::now();
    /// let unused = ConnectionActivity::new(now);
    /// assert_eq!(unused.close_order(now), None);
    /// assert_eq!(unused.close_order(now + Duration::from_millis(300)), Some(0));
    /// let running = ConnectionActivity { requests: 1, running: 1, ..unused };
    /// assert_eq!(running.close_order(now + Duration::from_secs(9)), None);
    /// ```
    pub fn close_order(&self, now: Instant) -> Option<u8> {
        if self.running == 0 {
            let is_incomplete = self.requests == 0 || 0 < self.head_bytes;
            return match is_incomplete {
                true => (self.opened_at.max(self.read_at) + HEAD_GRACE <= now).then_some(0),
                false => Some(2),
            };
        }
        let is_silent =
            self.incomplete_bodies == self.running && self.read_at + STALLED_AFTER <= now;
        (is_silent || self.is_write_stalled(now, STALLED_AFTER)).then_some(1)
    }
}

/// The index of the connection to close: by [`ConnectionActivity::close_order`], the newest first.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::limits::{ConnectionActivity, connection_to_close};
/// let old = ConnectionActivity::new(Instant::now());
/// let new = ConnectionActivity::new(old.opened_at + Duration::from_secs(1));
/// let now = new.opened_at + Duration::from_secs(1);
/// assert_eq!(connection_to_close(now, [(1, old), (2, new)]), Some(2));
/// ```
pub fn connection_to_close(
    now: Instant,
    connections: impl IntoIterator<Item = (u64, ConnectionActivity)>,
) -> Option<u64> {
    let closable = connections.into_iter().filter_map(|(id, c)| Some((c.close_order(now)?, id)));
    closable.min_by_key(|(order, id)| (*order, std::cmp::Reverse(*id))).map(|(_, id)| id)
}

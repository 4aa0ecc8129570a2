//! When a caller must have its answer, and how long each stage of a request may take until then.

use std::time::{Duration, Instant};

/// Deadline of a request whose caller sets none. The route's timeout still applies.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
/// Time allowed after the deadline for a response on its way from the endpoint.
const RESPONSE_GRACE: Duration = Duration::from_millis(150);

/// The time limit of a request.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::forwarding::TimeLimit;
/// let (now, ms) = (Instant::now(), Duration::from_millis);
/// // The caller waits for 3 s, the route allows 1.2 s, of which 0.2 s have passed.
/// let limit = TimeLimit::new(now - ms(200), Some(ms(3000)), ms(1200));
/// assert_eq!(limit.left(now), ms(1000));
/// assert_eq!(limit.stage(now, ms(500)), ms(500));
/// // However many stages follow, the answer is due 0.15 s after the deadline.
/// assert_eq!(limit.stage(now + ms(900), ms(500)), ms(250));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeLimit {
    received_at: Instant,
    deadline: Instant,
}

impl TimeLimit {
    /// The limit of a request that arrived at `received_at`, by the times that its caller and
    /// its route allow.
    pub fn new(received_at: Instant, caller: Option<Duration>, route: Duration) -> Self {
        let allowed = caller.unwrap_or(DEFAULT_DEADLINE).min(route);
        Self { received_at, deadline: received_at + allowed }
    }

    /// When the request arrived.
    pub fn received_at(&self) -> Instant {
        self.received_at
    }

    /// Until when endpoints may work on the request.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// When the caller gets its answer, whatever it is.
    pub fn answer_by(&self) -> Instant {
        self.deadline + RESPONSE_GRACE
    }

    /// Time that an endpoint has to work on the request.
    pub fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Time that a stage may take which takes `longest` at most.
    pub fn stage(&self, now: Instant, longest: Duration) -> Duration {
        longest.min(self.until_answer(now))
    }

    /// Time until the answer is due.
    pub fn until_answer(&self, now: Instant) -> Duration {
        self.answer_by().saturating_duration_since(now)
    }
}

//! Whether an engine has run under its id before its current start.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::core::{ids::EndpointId, residency::LATE_ORDER_LIFETIME};

/// How long the start of an engine is remembered after it was last registered. Orders to it can't
/// arrive any more then.
const REMEMBER_FOR: Duration = LATE_ORDER_LIFETIME.saturating_mul(2);

/// The starts of engines, as their registrations tell.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::residency::StartHistory;
/// let (start, secs) = (Instant::now(), Duration::from_secs);
/// let mut history = StartHistory::new(false);
/// history.record_snapshot(start);
/// history.record_start(start, &"i-1".into(), 5);
/// // It may have run before this process did.
/// assert!(!history.is_first("i-1", 5));
/// history.record_start(start + secs(40), &"i-2".into(), 7);
/// assert!(history.is_first("i-2", 7));
/// history.record_start(start + secs(50), &"i-2".into(), 8);
/// assert!(!history.is_first("i-2", 8));
/// ```
#[derive(Clone, Debug)]
pub struct StartHistory {
    // No engine has run before this process, and no registration was missed since.
    is_complete: bool,
    // When the last snapshot was read. No registration after it was missed.
    followed_since: Option<Instant>,
    seen: HashMap<EndpointId, Seen>,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    started_ms: u64,
    is_first: bool,
    last_read: Instant,
}

impl StartHistory {
    /// The history of a process that starts now. At the first start of the whole system no engine
    /// has run before.
    pub fn new(first_start: bool) -> Self {
        Self { is_complete: first_start, followed_since: None, seen: HashMap::new() }
    }

    /// Records that the current registrations are about to be recorded, and all later ones will
    /// be. Earlier ones that have ended since were missed.
    pub fn record_snapshot(&mut self, now: Instant) {
        self.is_complete &= self.followed_since.is_none();
        self.followed_since = Some(now);
    }

    /// Records a registration, with the start that it names in Unix milliseconds.
    pub fn record_start(&mut self, now: Instant, id: &EndpointId, started_ms: u64) {
        let is_followed = self.followed_since.is_some_and(|at| at + LATE_ORDER_LIFETIME <= now);
        let is_first = self.is_complete || is_followed;
        let new = Seen { started_ms, is_first, last_read: now };
        let seen = self.seen.entry(id.clone()).or_insert(new);
        if seen.started_ms < started_ms {
            *seen = Seen { is_first: false, ..new };
        }
        seen.last_read = now;
    }

    /// Forgets engines that are gone.
    pub fn expire(&mut self, now: Instant) {
        self.seen.retain(|_, seen| now < seen.last_read + REMEMBER_FOR);
    }

    /// Whether no order can be under way to an earlier start of this engine. Starts that are not
    /// told, 0, can't be told apart.
    pub fn is_first(&self, id: &str, started_ms: u64) -> bool {
        let seen = self.seen.get(id).filter(|_| started_ms != 0);
        seen.is_some_and(|seen| seen.is_first && seen.started_ms == started_ms)
    }
}

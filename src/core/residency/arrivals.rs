//! How much an engine has to read for requests that came lately.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::core::residency::RunningRequest;

/// Requests that came earlier are read, or are counted as unread. Source: the
/// longest pause that a stream may have.
const WINDOW: Duration = Duration::from_millis(300);

/// Remembers when each request of an engine's batch was first seen.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::residency::{ArrivalTracker, RunningRequest};
/// let run = |id: &str, tokens| RunningRequest { id: id.into(), tokens };
/// let now = Instant::now();
/// let mut arrivals = ArrivalTracker::default();
/// assert_eq!(arrivals.recent_tokens(now, &[run("a", 900)]), 900);
/// let later = now + Duration::from_millis(400);
/// assert_eq!(arrivals.recent_tokens(later, &[run("a", 910), run("b", 500)]), 500);
/// ```
#[derive(Debug, Default)]
pub struct ArrivalTracker {
    first_seen: HashMap<Arc<str>, Instant>,
}

impl ArrivalTracker {
    /// Tokens of the requests that were first seen a short time ago.
    pub fn recent_tokens(&mut self, now: Instant, runs: &[RunningRequest]) -> u64 {
        let before = std::mem::take(&mut self.first_seen);
        let mut sum = 0;
        for run in runs {
            let first = before.get(&run.id).copied().unwrap_or(now);
            self.first_seen.insert(run.id.clone(), first);
            if now < first + WINDOW {
                sum += run.tokens;
            }
        }
        sum
    }
}

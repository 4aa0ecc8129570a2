//! Estimates the prompt tokens that an engine still has to process for new requests.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::core::residency::RunningRequest;

/// How long a request counts as new. After this time its prompt has been processed
/// or the request counts among those that await their first token. Equals the longest
/// pause allowed in a stream.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(300);

/// Records when each request of an engine's batch was first reported.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::residency::{ArrivalTracker, RunningRequest};
/// let request = |id: &str, tokens| RunningRequest { id: id.into(), tokens, events: 0 };
/// let now = Instant::now();
/// let mut arrivals = ArrivalTracker::default();
/// assert_eq!(arrivals.recent_tokens(now, &[request("a", 900)]), 900);
/// let later = now + Duration::from_millis(400);
/// assert_eq!(arrivals.recent_tokens(later, &[request("a", 910), request("b", 500)]), 500);
/// ```
#[derive(Debug, Default)]
pub struct ArrivalTracker {
    first_seen: HashMap<Arc<str>, Instant>,
}

impl ArrivalTracker {
    /// Updates the batch and returns the tokens of requests first reported within
    /// the arrival window.
    pub fn recent_tokens(&mut self, now: Instant, running: &[RunningRequest]) -> u64 {
        let previous = std::mem::take(&mut self.first_seen);
        let mut sum = 0;
        for request in running {
            let first = previous.get(&request.id).copied().unwrap_or(now);
            self.first_seen.insert(request.id.clone(), first);
            if now < first + ARRIVAL_WINDOW {
                sum += request.tokens;
            }
        }
        sum
    }
}

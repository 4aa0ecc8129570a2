//! Endpoints that have asked this process for rest.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::core::ids::EndpointId;

/// How long after a rest requests are spread, so that those that waited do not all come at once.
const SPREAD_FOR: Duration = Duration::from_secs(1);
/// Time between two requests while they are spread.
const SPREAD_PAUSE: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug)]
struct Rest {
    started_ms: u64,
    until: Instant,
    // When the next request may be sent, after the rest.
    next_at: Instant,
    turned_away: u64,
    ended: bool,
}

/// The end of a rest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRest {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Requests that were refused because of it.
    pub turned_away: u64,
}

/// When each endpoint that has asked for rest takes requests again.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::forwarding::EndpointRests;
/// let (now, second) = (Instant::now(), Duration::from_secs(1));
/// let mut rests = EndpointRests::default();
/// rests.ask(now, &"e".into(), 1, 3 * second);
/// // A shorter rest does not end a longer one.
/// rests.ask(now, &"e".into(), 1, second);
/// assert_eq!(rests.wait(now + second, "e"), 2 * second);
/// assert_eq!(rests.wait(now + 3 * second, "e"), Duration::ZERO);
/// ```
#[derive(Clone, Debug, Default)]
pub struct EndpointRests {
    rests: HashMap<EndpointId, Rest>,
}

impl EndpointRests {
    /// Records that an endpoint that started at `started_ms` asks for rest. Returns whether it
    /// did not rest before.
    pub fn ask(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        started_ms: u64,
        rest: Duration,
    ) -> bool {
        let known = self.rests.get(endpoint).filter(|r| r.started_ms == started_ms).copied();
        let until = known.map_or(now + rest, |r| r.until.max(now + rest));
        let turned_away = known.map_or(0, |r| r.turned_away);
        let new = Rest { started_ms, until, next_at: until, turned_away, ended: false };
        self.rests.insert(endpoint.clone(), new);
        known.is_none_or(|r| r.until <= now)
    }

    /// Time until a request may be sent to the endpoint.
    pub fn wait(&self, now: Instant, endpoint: &str) -> Duration {
        let next_at = self.rests.get(endpoint).map(|r| r.next_at);
        next_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }

    /// Whether the endpoint rests, apart from the time in which requests are spread.
    pub fn is_resting(&self, now: Instant, endpoint: &str) -> bool {
        self.rests.get(endpoint).is_some_and(|r| now < r.until)
    }

    /// Notes that a request is sent to the endpoint.
    pub fn take(&mut self, now: Instant, endpoint: &str) {
        if let Some(rest) = self.rests.get_mut(endpoint) {
            rest.next_at = now + SPREAD_PAUSE;
        }
    }

    /// Notes that a request is refused because these endpoints rest.
    pub fn record_refusal(&mut self, endpoints: &[EndpointId]) {
        for endpoint in endpoints {
            if let Some(rest) = self.rests.get_mut(endpoint) {
                rest.turned_away += 1;
            }
        }
    }

    /// Number of endpoints that rest.
    pub fn resting(&self, now: Instant) -> usize {
        self.rests.values().filter(|r| now < r.until).count()
    }

    /// Takes the rests that have ended since the last call, and forgets those of long ago.
    pub fn take_ended(&mut self, now: Instant) -> Vec<EndedRest> {
        let mut ended = Vec::new();
        for (endpoint, rest) in &mut self.rests {
            if rest.until <= now && !std::mem::replace(&mut rest.ended, true) {
                let turned_away = rest.turned_away;
                ended.push(EndedRest { endpoint: endpoint.clone(), turned_away });
            }
        }
        self.rests.retain(|_, r| now < r.until + SPREAD_FOR);
        ended
    }

    /// Drops endpoints that were started again. `started_ms` is the start of a registered
    /// endpoint; one that is not registered may come back.
    pub fn retain(&mut self, started_ms: impl Fn(&EndpointId) -> Option<u64>) {
        self.rests.retain(|id, r| started_ms(id).is_none_or(|started| started <= r.started_ms));
    }
}

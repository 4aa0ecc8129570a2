//! When registrations may be missing because the platform's store was unavailable.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// How long an endpoint whose registration lapsed during a store outage may take to
/// register again. The platform guarantees two seconds.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(2000);
/// How long ago a read that fails may have been sent; more than its wait and time limit.
const MAX_READ_TIME: Duration = Duration::from_secs(15);

/// What reads of the store tell of its outages.
///
/// A failed read tells of the moment when it was sent, however late its time limit ends. If the
/// store has answered any read since that moment, its outage is over.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::forwarding::StoreOutage;
/// let (start, ms) = (Instant::now(), Duration::from_millis);
/// let mut outage = StoreOutage::default();
/// outage.record_failure(start);
/// assert!(outage.record_answer(start + ms(1000)));
/// // Another read from before the answer fails later.
/// assert!(!outage.record_failure(start + ms(100)));
/// assert!(outage.affects_registrations(start + ms(2900)));
/// assert!(!outage.affects_registrations(start + ms(3000)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct StoreOutage {
    is_unavailable: bool,
    // The first answer after the last known moment of an outage.
    recovered_at: Option<Instant>,
    // Times of the latest answers, in order.
    answers: VecDeque<Instant>,
}

impl StoreOutage {
    /// Records that a read failed that was sent at this time. Returns whether the store counts
    /// as unavailable from now on and did not before.
    pub fn record_failure(&mut self, sent_at: Instant) -> bool {
        match self.answers.iter().find(|at| sent_at < **at) {
            Some(at) => {
                self.recovered_at = self.recovered_at.max(Some(*at));
                false
            }
            None => !std::mem::replace(&mut self.is_unavailable, true),
        }
    }

    /// Records an answer that has just arrived. Returns whether the store was unavailable before.
    pub fn record_answer(&mut self, now: Instant) -> bool {
        while self.answers.front().is_some_and(|at| *at + MAX_READ_TIME <= now) {
            self.answers.pop_front();
        }
        self.answers.push_back(now);
        let recovers = std::mem::replace(&mut self.is_unavailable, false);
        if recovers {
            self.recovered_at = Some(now);
        }
        recovers
    }

    /// Records that the store has just returned without some of its records.
    pub fn record_loss(&mut self, now: Instant) {
        self.recovered_at = Some(now);
    }

    /// Whether the last read that tells of the store failed.
    pub fn is_unavailable(&self) -> bool {
        self.is_unavailable
    }

    /// Whether the store is unavailable or was until recently, so that a live endpoint may not
    /// have been able to renew its registration.
    pub fn affects_registrations(&self, now: Instant) -> bool {
        self.is_unavailable || self.recovered_at.is_some_and(|at| now < at + REREGISTRATION_GRACE)
    }
}

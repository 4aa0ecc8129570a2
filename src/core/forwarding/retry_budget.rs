//! Limits the retries of this process in a sliding window.
//!
//! The limit applies to all processes together, so each gets an equal share of the
//! fixed allowance and earns the rest with its own requests.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Part of the ratio that is used: retries may arrive in a window in which their requests do
/// not count.
const USED_RATIO: f64 = 0.94;
/// Part of the fixed allowance that is used.
const USED_ALLOWANCE: f64 = 0.98;
/// How long after a request its retries may be made, as a share of the window. The platform
/// compares retries with the busiest of several windows that start half a window apart.
const EARNED_SHARE: f64 = 0.2;
/// How much later than it was taken a retry may arrive at an endpoint.
pub(super) const ARRIVAL_DELAY: Duration = Duration::from_millis(500);
/// Earned retries that are always kept, so that few requests suffice for one.
const MIN_CREDIT: f64 = 1.0;

/// A retry budget over a sliding window: any send of a request after its first.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::forwarding::RetryBudget;
/// let start = Instant::now();
/// let mut budget = RetryBudget::new(0.2, Duration::from_secs(10), 10.0);
/// for _ in 0..10 {
///     budget.record_request(start);
/// }
/// // Most of 20 % of 10 requests and, among 5 processes, of a fifth of the allowance of 10.
/// assert!((0..3).all(|_| budget.try_take(start, 5)));
/// assert!(!budget.try_take(start, 5));
/// assert!(budget.try_take(start + Duration::from_secs(12), 5));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    window: Duration,
    allowance: f64,
    // Retries that requests have earned and that were not made.
    credit: f64,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
    // Parts of the allowance that were used, and when.
    used: VecDeque<(Instant, f64)>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` of the requests in `window`, plus `allowance` for all
    /// processes together.
    pub fn new(ratio: f64, window: Duration, allowance: f64) -> Self {
        Self {
            ratio: ratio * USED_RATIO,
            window,
            allowance: allowance * USED_ALLOWANCE,
            credit: 0.0,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
            used: VecDeque::new(),
        }
    }

    /// Counts the first send of a request.
    pub fn record_request(&mut self, now: Instant) {
        self.requests.push_back(now);
        self.credit += self.ratio;
        self.refresh(now);
    }

    /// Whether a retry is left in the budget, whose allowance `processes` share.
    pub fn allows(&mut self, now: Instant, processes: usize) -> bool {
        self.refresh(now);
        let share = self.allowance / processes.max(1) as f64;
        let limit = self.requests.len() as f64 * self.ratio + share;
        let used: f64 = self.used.iter().map(|(_, part)| part).sum();
        self.retries.len() as f64 + 1.0 <= limit.max(MIN_CREDIT)
            && 1.0 <= self.credit + share - used
    }

    /// Takes one retry from the budget, whose allowance `processes` share, if one is left.
    pub fn try_take(&mut self, now: Instant, processes: usize) -> bool {
        if !self.allows(now, processes) {
            return false;
        }
        self.retries.push_back(now);
        let earned = self.credit.min(1.0);
        self.credit -= earned;
        if earned < 1.0 {
            self.used.push_back((now, 1.0 - earned));
        }
        true
    }

    /// Drops what counts no longer.
    fn refresh(&mut self, now: Instant) {
        let counted = self.window + ARRIVAL_DELAY;
        let since = |at: &Instant| now.saturating_duration_since(*at);
        while self.requests.front().is_some_and(|at| self.window <= since(at)) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(|at| counted <= since(at)) {
            self.retries.pop_front();
        }
        while self.used.front().is_some_and(|(at, _)| counted <= since(at)) {
            self.used.pop_front();
        }
        let earned_for = self.window.mul_f64(EARNED_SHARE);
        let old = self.requests.partition_point(|at| earned_for <= since(at));
        let earned = (self.requests.len() - old) as f64 * self.ratio;
        self.credit = self.credit.min(earned.max(MIN_CREDIT));
    }
}

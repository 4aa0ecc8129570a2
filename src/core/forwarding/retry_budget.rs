//! Limits the retries of this process in a sliding window.
//!
//! The limit applies to all processes together, so each gets an equal share of the
//! fixed allowance and earns the rest with its own requests.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

// Number of buckets into which the window is divided.
const BUCKETS: u32 = 20;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    retries: u32,
}

/// A retry budget over a sliding window: any send of a request after its first.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::forwarding::RetryBudget;
/// let start = Instant::now();
/// let mut budget = RetryBudget::new(0.2, Duration::from_secs(10), 10.0, start);
/// for _ in 0..10 {
///     budget.record_request(start);
/// }
/// // 20 % of 10 requests and, among 5 processes, a fifth of the allowance of 10.
/// assert!((0..4).all(|_| budget.try_take(start, 5)));
/// assert!(!budget.try_take(start, 5));
/// assert!(budget.try_take(start + Duration::from_secs(11), 5));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    window: Duration,
    base_allowance: f64,
    start: Instant,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` of the requests in `window`, plus `base_allowance` for
    /// all processes together.
    pub fn new(ratio: f64, window: Duration, base_allowance: f64, start: Instant) -> Self {
        Self { ratio, window, base_allowance, start, buckets: VecDeque::new() }
    }

    /// Counts the first send of a request.
    pub fn record_request(&mut self, now: Instant) {
        self.bucket(now).requests += 1;
    }

    /// Whether a retry is left in the budget, whose allowance `processes` share.
    pub fn allows(&mut self, now: Instant, processes: usize) -> bool {
        let number = self.bucket(now).number;
        // Retries count for the whole window and the partly expired oldest bucket, but
        // requests only for half of it. The platform compares retries with the busiest
        // of several windows that start half a window apart, and every half window lies
        // within one of these.
        let within = |b: &&Bucket| number < b.number + u64::from(BUCKETS / 2);
        let requests: u32 = self.buckets.iter().filter(within).map(|b| b.requests).sum();
        let retries: u32 = self.buckets.iter().map(|b| b.retries).sum();
        let share = self.base_allowance / processes.max(1) as f64;
        f64::from(retries + 1) <= self.ratio * f64::from(requests) + share
    }

    /// Takes one retry from the budget, whose allowance `processes` share, if one is left.
    pub fn try_take(&mut self, now: Instant, processes: usize) -> bool {
        let allowed = self.allows(now, processes);
        if allowed {
            self.bucket(now).retries += 1;
        }
        allowed
    }

    fn bucket(&mut self, now: Instant) -> &mut Bucket {
        let width = (self.window / BUCKETS).max(Duration::from_millis(1));
        let passed = now.saturating_duration_since(self.start);
        let number = (passed.as_nanos() / width.as_nanos()) as u64;
        while self.buckets.front().is_some_and(|b| b.number + u64::from(BUCKETS) < number) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|b| b.number < number) {
            self.buckets.push_back(Bucket { number, ..Bucket::default() });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}

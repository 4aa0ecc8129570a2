//! How many sends beyond the first of each request this process may make.
//!
//! The bound holds for all processes together, so each takes an equal part of
//! the fixed allowance and earns the rest with its own requests.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

// Parts of the window that are counted separately.
const BUCKETS: u32 = 20;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    extra: u32,
}

/// Sends beyond the first, in a sliding window.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::forwarding::RetryBudget;
/// let start = Instant::now();
/// let mut budget = RetryBudget::new(0.2, Duration::from_secs(10), 10.0, start);
/// for _ in 0..10 {
///     budget.request(start);
/// }
/// // A fifth of 10 requests and, with 5 processes, a fifth of the allowance of 10.
/// assert!((0..4).all(|_| budget.take(start, 5)));
/// assert!(!budget.take(start, 5));
/// assert!(budget.take(start + Duration::from_secs(11), 5));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    window: Duration,
    slack: f64,
    start: Instant,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// A budget of `ratio` of the requests in `window`, and `slack` for all
    /// processes together.
    pub fn new(ratio: f64, window: Duration, slack: f64, start: Instant) -> Self {
        Self { ratio, window, slack, start, buckets: VecDeque::new() }
    }

    /// Counts a request.
    pub fn request(&mut self, now: Instant) {
        self.bucket(now).requests += 1;
    }

    /// Takes one send out of the budget, shared by so many processes, if there is one.
    pub fn take(&mut self, now: Instant, processes: usize) -> bool {
        let number = self.bucket(now).number;
        // Sends count for the whole window and its oldest bucket. Requests count for
        // half of it: every half window lies within one of the windows, half a
        // window apart, of which the platform takes the one with most requests.
        let within = |b: &&Bucket| number < b.number + u64::from(BUCKETS / 2);
        let requests: u32 = self.buckets.iter().filter(within).map(|b| b.requests).sum();
        let extra: u32 = self.buckets.iter().map(|b| b.extra).sum();
        let share = self.slack / processes.max(1) as f64;
        if self.ratio * f64::from(requests) + share < f64::from(extra + 1) {
            return false;
        }
        self.bucket(now).extra += 1;
        true
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

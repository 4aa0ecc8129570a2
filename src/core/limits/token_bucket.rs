//! A token bucket whose clock is its caller's.

use std::time::{Duration, Instant};

/// Tokens that refill at a constant rate up to a burst.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::limits::TokenBucket;
/// let start = Instant::now();
/// let mut bucket = TokenBucket::new(2.0, 1.0, start);
/// assert!(bucket.take(start, 1.0).is_ok());
/// assert_eq!(bucket.take(start, 1.0), Err(Duration::from_millis(500)));
/// assert!(bucket.take(start + Duration::from_millis(500), 1.0).is_ok());
/// ```
#[derive(Clone, Debug)]
pub struct TokenBucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    at: Instant,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(per_second: f64, burst: f64, now: Instant) -> Self {
        Self { per_second, burst, tokens: burst, at: now }
    }

    /// Changes rate and burst and keeps what is in the bucket.
    pub fn configure(&mut self, per_second: f64, burst: f64) {
        self.per_second = per_second;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Adds tokens beside the constant rate.
    pub fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.burst);
    }

    /// Takes tokens.
    ///
    /// # Errors
    /// The time until so many tokens are there; nothing is taken then.
    pub fn take(&mut self, now: Instant, tokens: f64) -> Result<(), Duration> {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.tokens = (self.tokens + passed * self.per_second).min(self.burst);
        if tokens <= self.tokens {
            self.tokens -= tokens;
            return Ok(());
        }
        let wait = (tokens - self.tokens) / self.per_second.max(f64::MIN_POSITIVE);
        Err(Duration::from_secs_f64(wait.min(MAX_WAIT_SECONDS)))
    }
}

const MAX_WAIT_SECONDS: f64 = 3600.0;

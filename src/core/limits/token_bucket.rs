//! A token bucket. The caller passes the current time.

use std::time::{Duration, Instant};

/// Holds up to `burst` tokens and refills at a constant rate.
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
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(per_second: f64, burst: f64, now: Instant) -> Self {
        Self { per_second, burst, tokens: burst, refilled_at: now }
    }

    /// Changes rate and burst. Tokens above the new burst are lost.
    pub fn configure(&mut self, per_second: f64, burst: f64) {
        self.per_second = per_second;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Adds tokens in addition to the constant rate, up to the burst.
    pub fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.burst);
    }

    /// Takes `tokens` from the bucket.
    ///
    /// # Errors
    /// The time until enough tokens are available, at most an hour. No token is taken.
    pub fn take(&mut self, now: Instant, tokens: f64) -> Result<(), Duration> {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.burst);
        if tokens <= self.tokens {
            self.tokens -= tokens;
            return Ok(());
        }
        let wait = (tokens - self.tokens) / self.per_second.max(f64::MIN_POSITIVE);
        Err(Duration::from_secs_f64(wait.min(MAX_WAIT_S)))
    }
}

const MAX_WAIT_S: f64 = 3600.0;

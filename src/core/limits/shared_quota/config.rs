//! Limits of accounts and the margin that the platform leaves above them.

use std::time::Duration;

/// Rate and burst of one account, for all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Tokens or requests per second; 0 means no limit.
    pub rate_per_s: f64,
    /// Most that may be used at once; 0 stands for [`DEFAULT_BURST_S`] seconds of the rate.
    pub burst: f64,
}

/// Burst of an account that has none, in seconds of its rate. The overage of 0.1 on a window of
/// 8 s leaves 0.8 s.
pub const DEFAULT_BURST_S: f64 = 0.5;

impl QuotaLimit {
    pub(super) fn normalized(self) -> Option<Self> {
        let Self { rate_per_s, burst } = self;
        let limits = rate_per_s.is_finite() && 0.0 < rate_per_s;
        let given = burst.is_finite() && 0.0 < burst;
        let burst = if given { burst } else { rate_per_s * DEFAULT_BURST_S };
        limits.then_some(Self { rate_per_s, burst })
    }
}

/// How much all gateways together may admit in a sliding window:
/// (rate x window + burst) x (1 + overage) + slack.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaWindow {
    /// Length of the window.
    pub window: Duration,
    /// Part by which the limit may be exceeded.
    pub overage: f64,
    /// Amount that may be admitted in addition, for each account.
    pub slack: f64,
}

impl QuotaWindow {
    /// What may be admitted beyond what a single bucket would admit.
    ///
    /// ```
    /// use std::time::Duration;
    /// use goldcrestpitch::core::limits::{QuotaLimit, QuotaWindow};
    /// let window = QuotaWindow { window: Duration::from_secs(8), overage: 0.1, slack: 11e3 };
    /// let limit = QuotaLimit { rate_per_s: 10e3, burst: 10e3 };
    /// assert_eq!(window.margin(&limit).round(), 20e3);
    /// assert_eq!(window.bound(&limit).round(), 110e3);
    /// ```
    pub fn margin(&self, limit: &QuotaLimit) -> f64 {
        self.overage * self.within(limit) + self.slack
    }

    /// What may be admitted in any window.
    pub fn bound(&self, limit: &QuotaLimit) -> f64 {
        self.within(limit) + self.margin(limit)
    }

    fn within(&self, limit: &QuotaLimit) -> f64 {
        limit.rate_per_s * self.window.as_secs_f64() + limit.burst
    }
}

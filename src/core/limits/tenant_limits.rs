//! Limits of each tenant, enforced by each entry on its own.

use std::{collections::HashMap, time::Instant};

use crate::{
    core::{ids::TenantName, limits::TokenBucket},
    errors::{Code, Refusal},
};

// Burst of the retry budget: as many requests as two endpoints run concurrently. A tenant with
// few requests earns few retries, but the loss of an endpoint must not lose any of its requests.
const RETRY_BURST: f64 = 64.0;

/// Limits in force for one tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum requests per second.
    pub rate_per_s: u64,
    /// Maximum requests in progress.
    pub concurrency: u64,
    /// Retry budget as a percentage of requests.
    pub retry_percent: u64,
}

#[derive(Debug)]
struct Usage {
    rate: TokenBucket,
    retries: TokenBucket,
    running: u64,
}

/// Usage of rate, concurrency and retry budget by tenant.
///
/// ```
/// use std::time::Instant;
/// use goldcrestpitch::core::limits::{Limits, TenantLimits};
/// let now = Instant::now();
/// let mut tenants = TenantLimits::default();
/// let limits = Limits { rate_per_s: 10, concurrency: 1, retry_percent: 20 };
/// assert!(tenants.begin(now, &"a".into(), limits).is_ok());
/// assert!(tenants.begin(now, &"a".into(), limits).is_err());
/// tenants.end(&"a".into());
/// assert!(tenants.begin(now, &"a".into(), limits).is_ok());
/// ```
#[derive(Debug, Default)]
pub struct TenantLimits {
    usage: HashMap<TenantName, Usage>,
}

impl TenantLimits {
    /// Admits a request. Each admitted request must be followed by one [`Self::end`].
    ///
    /// # Errors
    /// [`Code::RateLimited`] or [`Code::ConcurrencyLimited`].
    pub fn begin(
        &mut self,
        now: Instant,
        tenant: &TenantName,
        limits: Limits,
    ) -> Result<(), Refusal> {
        let rate = limits.rate_per_s as f64;
        let usage = self.usage.entry(tenant.clone()).or_insert_with(|| Usage {
            rate: TokenBucket::new(rate, rate, now),
            retries: TokenBucket::new(0.0, RETRY_BURST, now),
            running: 0,
        });
        if limits.concurrency <= usage.running {
            let text = format!("tenant {tenant:?} has {} requests in progress", usage.running);
            return Err(Refusal::new(Code::ConcurrencyLimited, text));
        }
        usage.rate.configure(rate, rate);
        if let Err(wait) = usage.rate.take(now, 1.0) {
            let text =
                format!("tenant {tenant:?} exceeds its limit of {} requests/s", limits.rate_per_s);
            return Err(Refusal::new(Code::RateLimited, text).retry_after(wait));
        }
        usage.retries.add(limits.retry_percent as f64 / 100.0);
        usage.running += 1;
        Ok(())
    }

    /// Marks an admitted request as finished.
    pub fn end(&mut self, tenant: &TenantName) {
        if let Some(usage) = self.usage.get_mut(tenant) {
            usage.running = usage.running.saturating_sub(1);
        }
    }

    /// Takes one retry from the tenant's budget. Returns whether one was left.
    pub fn take_retry(&mut self, now: Instant, tenant: &TenantName) -> bool {
        let usage = self.usage.get_mut(tenant);
        usage.is_some_and(|u| u.retries.take(now, 1.0).is_ok())
    }

    /// Number of requests in progress over all tenants.
    pub fn running(&self) -> u64 {
        self.usage.values().map(|u| u.running).sum()
    }
}

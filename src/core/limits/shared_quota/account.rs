//! The bucket of one account.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::core::limits::shared_quota::QuotaLimit;

/// Distance of the samples of the level.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Samples that are kept; they reach further back than the silence after which a gateway counts
/// as unreachable.
const MAX_SAMPLES: usize = 16;
/// How long ago a charge that another gateway reports may have been made, in seconds: accrual that
/// a full bucket has lost since then is credited against it.
const REPORT_DELAY_S: f64 = 0.4;

#[derive(Clone, Debug)]
pub(super) struct Account {
    pub(super) limit: QuotaLimit,
    pub(super) level: f64,
    /// Charges less refunds of this gateway since its start.
    pub(super) charged: f64,
    /// The charges in the last report.
    pub(super) reported: f64,
    credit: f64,
    // Accrual that was lost to the cap within the delay of reports.
    lost: f64,
    samples: VecDeque<(Instant, f64)>,
}

impl Account {
    pub(super) fn new(limit: QuotaLimit, level: f64, credit: f64) -> Self {
        let samples = VecDeque::new();
        Self { limit, level, charged: 0.0, reported: 0.0, credit, lost: 0.0, samples }
    }

    /// Accrues up to `credit`, the accrual time of the whole fleet in seconds.
    pub(super) fn accrue(&mut self, now: Instant, credit: f64, cap: f64) {
        let seconds = (credit - self.credit).max(0.0);
        self.credit = credit;
        self.lost = (self.lost - seconds * self.limit.rate_per_s).max(0.0);
        self.add(seconds * self.limit.rate_per_s, cap, true);
        if self.samples.back().is_none_or(|(at, _)| *at + SAMPLE_INTERVAL <= now) {
            self.samples.push_back((now, self.level));
            if MAX_SAMPLES < self.samples.len() {
                self.samples.pop_front();
            }
        }
    }

    fn add(&mut self, amount: f64, cap: f64, keep_lost: bool) {
        let level = self.level + amount;
        self.level = level.min(cap);
        if keep_lost && cap < level {
            let most = self.limit.rate_per_s * REPORT_DELAY_S;
            // What decayed in this step is lost anew.
            self.lost = (self.lost + 2.0 * (level - cap)).min(most);
        }
    }

    /// Deducts what another gateway has charged some time ago; negative for a refund.
    pub(super) fn deduct(&mut self, amount: f64, cap: f64) {
        let covered = amount.clamp(0.0, self.lost);
        self.lost -= covered;
        self.add(covered - amount, cap, false);
    }

    /// Leaves `part` of the level that there was at a time to the gateways that were last heard
    /// from then.
    pub(super) fn withhold(&mut self, at: Instant, part: f64, advance: f64) {
        let known = self.samples.iter().rev().find(|(time, _)| *time <= at);
        let level = known.or(self.samples.front()).map_or(self.level, |(_, level)| *level);
        let amount = level.max(0.0) * part + advance;
        self.level -= amount;
        // Later samples are of a level that is shared by fewer gateways.
        for (_, level) in &mut self.samples {
            *level -= amount;
        }
        self.lost = 0.0;
    }

    pub(super) fn unreported(&self) -> f64 {
        self.charged - self.reported
    }
}

//! What a schedule showed.

const WINDOW_MS: u64 = 4_000;
/// Time after the first naming from which the platform's rule holds.
const STABLE_WINDOW_MS: u64 = 4_000;
/// Part of the schedule that is left out of the served share.
const WARM_UP_MS: u64 = 6_000;

/// An arrival from a gateway that counts: undisturbed, and told of the limit long enough.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: u64,
    pub counts: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub arrivals: Vec<Arrival>,
    /// Times from which the endpoint names a rate, or none.
    pub rates: Vec<(u64, Option<f64>)>,
    /// End of the schedule, if its rate is steady and demand is twice as high.
    pub steady_until: Option<u64>,
}

impl Outcome {
    /// The first window with more arrivals than the platform's rule allows: its end, the
    /// arrivals and those allowed.
    pub fn excess(&self) -> Option<(u64, usize, f64)> {
        let counted: Vec<u64> = self.arrivals.iter().filter(|a| a.counts).map(|a| a.at).collect();
        let mut first = 0;
        for (last, end) in counted.iter().enumerate() {
            while counted[first] + WINDOW_MS <= *end {
                first += 1;
            }
            let Some(rate) = self.highest_rate(end.saturating_sub(WINDOW_MS), *end) else {
                continue;
            };
            let allowed = 1.5 * WINDOW_MS as f64 / 1e3 * rate + 5.0;
            let arrived = last + 1 - first;
            if allowed < arrived as f64 {
                return Some((*end, arrived, allowed));
            }
        }
        None
    }

    /// Share of the rate that was served in a steady schedule.
    pub fn served_share(&self) -> Option<f64> {
        let until = self.steady_until?;
        let rate = self.rates.first()?.1?;
        let served = self.arrivals.iter().filter(|a| WARM_UP_MS <= a.at && a.at < until).count();
        Some(served as f64 / (rate * (until - WARM_UP_MS) as f64 / 1e3))
    }

    /// The highest rate in a span; none if the endpoint named none in a part of it, or named
    /// the first one too late.
    fn highest_rate(&self, from: u64, to: u64) -> Option<f64> {
        let mut highest = 0.0;
        let mut named_since = None;
        for (i, (at, rate)) in self.rates.iter().enumerate().filter(|(_, (at, _))| *at <= to) {
            let until = self.rates.get(i + 1).map_or(u64::MAX, |(next, _)| *next);
            if rate.is_none() {
                named_since = None;
            } else {
                named_since = named_since.or(Some(*at));
            }
            if from < until {
                highest = f64::max(highest, (*rate)?);
            }
        }
        named_since.filter(|since| since + STABLE_WINDOW_MS <= to).map(|_| highest)
    }
}

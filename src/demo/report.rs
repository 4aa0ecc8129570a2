//! Collects the results of the demo and prints them as a table.

use std::{collections::BTreeMap, fmt, time::Duration};

use crate::demo::RequestResult;

/// Results by tenant and class, and refusals by error code.
#[derive(Debug, Default)]
pub(super) struct Report {
    rows: BTreeMap<(String, String), Row>,
    refusals: BTreeMap<u32, u64>,
}

#[derive(Debug, Default)]
struct Row {
    requests: u64,
    complete: u64,
    attained: u64,
    first_tokens: Vec<Duration>,
}

impl Report {
    /// Counts a result. `target` is the target for the time to the first token.
    pub(super) fn add(
        &mut self,
        tenant: &str,
        class: &str,
        target: Duration,
        result: &RequestResult,
    ) {
        let row = self.rows.entry((tenant.to_owned(), class.to_owned())).or_default();
        row.requests += 1;
        if result.code != 0 {
            *self.refusals.entry(result.code).or_default() += 1;
        }
        if result.complete {
            row.complete += 1;
            row.attained += u64::from(result.first_token <= target);
            row.first_tokens.push(result.first_token);
        }
    }

    /// Number of refused requests by error code.
    pub(super) fn refusals(&self) -> &BTreeMap<u32, u64> {
        &self.refusals
    }
}

/// Returns the `q` quantile of sorted values (nearest rank), zero when there are none.
fn quantile(sorted: &[Duration], q: f64) -> Duration {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * q).round() as usize;
    sorted.get(index).copied().unwrap_or_default()
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<14} {:<10} {:>8} {:>7} {:>10} {:>11} {:>11}",
            "tenant", "class", "requests", "whole", "attained", "first p50", "first p95"
        )?;
        for ((tenant, class), row) in &self.rows {
            let mut first_tokens = row.first_tokens.clone();
            first_tokens.sort_unstable();
            let attained_percent = row.attained as f64 * 100.0 / row.requests.max(1) as f64;
            writeln!(
                f,
                "{tenant:<14} {class:<10} {:>8} {:>7} {attained_percent:>9.1}% {:>8} ms {:>8} ms",
                row.requests,
                row.complete,
                quantile(&first_tokens, 0.5).as_millis(),
                quantile(&first_tokens, 0.95).as_millis(),
            )?;
        }
        Ok(())
    }
}

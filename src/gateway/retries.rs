//! Charges retries to the budget of their service.

use std::time::Instant;

use log::info;
use metrics::{counter, gauge};

use crate::{
    core::forwarding::{Requirements, RetryBudget, RetryShare, ServiceName},
    gateway::shared::{Bounds, SharedState, State},
    telemetry::names,
};

impl SharedState {
    /// Whether the service's budget has a retry left.
    pub(super) fn has_retry(&self, service: &ServiceName) -> bool {
        let now = Instant::now();
        let mut state = self.lock();
        let processes = state.retry_share.processes(now);
        state.retry_budget(self.bounds(), service).allows(now, processes)
    }

    /// Takes one retry out of the service's budget. Returns whether there was one.
    pub(super) fn take_retry(&self, service: &ServiceName) -> bool {
        let now = Instant::now();
        let mut state = self.lock();
        let processes = state.retry_share.processes(now);
        let allowed = state.retry_budget(self.bounds(), service).try_take(now, processes);
        counter!(names::RETRIES, "allowed" => if allowed { "yes" } else { "no" }).increment(1);
        allowed
    }

    /// Counts a new request in the retry budget and the demand of its service.
    pub(super) fn record_request(&self, service: &ServiceName, requirements: &Requirements) {
        let now = Instant::now();
        let mut state = self.lock();
        state.retry_budget(self.bounds(), service).record_request(now);
        state.demand.record_request(now, service, requirements);
    }
}

/// Publishes the part of the shared allowance that this gateway may use.
#[derive(Debug, Default)]
pub(super) struct ShareLog {
    logged: Option<(usize, bool)>,
}

impl ShareLog {
    /// Sets the metric, and logs a change.
    pub(super) fn record(&mut self, now: Instant, share: &RetryShare) {
        let (processes, heard) = (share.processes(now), share.report());
        let has_part = processes != usize::MAX;
        gauge!(names::RETRY_SHARE).set(if has_part { 1.0 / processes as f64 } else { 0.0 });
        if self.logged.replace((processes, heard.is_informed))
            == Some((processes, heard.is_informed))
        {
            return;
        }
        let divided_by = if has_part { processes.to_string() } else { "-".to_owned() };
        info!(
            "event=retry_share divided_by={divided_by} heard={} informed={}",
            heard.processes, heard.is_informed
        );
    }
}

impl State {
    fn retry_budget(&mut self, bounds: &Bounds, service: &ServiceName) -> &mut RetryBudget {
        let Bounds { retry_ratio, retry_window, retry_slack, .. } = *bounds;
        let new = || RetryBudget::new(retry_ratio, retry_window, retry_slack);
        self.retry_budgets.entry(service.clone()).or_insert_with(new)
    }
}

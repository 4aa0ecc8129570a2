//! Quotas of client accounts: charges, the exchange with the other gateways, and metrics.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use log::{info, warn};
use metrics::gauge;
use tokio::time;

use crate::{
    core::{
        ids::AccountName,
        limits::{QuotaLimit, QuotaReport, QuotaWindow, SharedQuotas},
    },
    gateway::{
        limits,
        shared::{SharedState, State},
    },
    gossip::{Body, QuotaReports, Socket},
    telemetry::names,
};

/// Interval at which reports that are due are looked for: the shortest time between two reports.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The same while no account has a limit.
const IDLE_INTERVAL: Duration = Duration::from_millis(400);
/// Interval of metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Accounts with a label of their own in metrics; the others share one.
const MAX_LABELS: usize = 32;

/// Triggers reports that are due, and publishes the levels, until the process ends.
pub(super) async fn run(shared: Arc<SharedState>) {
    let mut published_at: Option<Instant> = None;
    let mut logged: Option<(Instant, f64)> = None;
    loop {
        let now = Instant::now();
        let mut interval = IDLE_INTERVAL;
        if let Some(quotas) = &shared.lock().quotas {
            if !quotas.is_empty() {
                interval = POLL_INTERVAL;
            }
            if quotas.next_report_at().is_some_and(|at| at <= now) {
                shared.quota_report_due.notify_one();
            }
            if published_at.is_none_or(|at| at + METRICS_INTERVAL <= now) {
                published_at = Some(now);
                publish(quotas, now);
                log_part(quotas, now, &mut logged);
            }
        }
        time::sleep(interval).await;
    }
}

fn publish(quotas: &SharedQuotas, now: Instant) {
    gauge!(names::QUOTA_PART).set(quotas.part());
    gauge!(names::QUOTA_AGE).set(quotas.known_age(now).as_secs_f64());
    let mut others = (0.0, 0.0);
    let mut has_others = false;
    for (position, level) in quotas.levels().enumerate() {
        if MAX_LABELS <= position {
            others = (others.0 + level.level, others.1 + level.charged);
            has_others = true;
            continue;
        }
        let account = level.account.to_string();
        gauge!(names::QUOTA_LEVEL, "account" => account.clone()).set(level.level);
        gauge!(names::QUOTA_CHARGED, "account" => account).set(level.charged);
    }
    if has_others {
        gauge!(names::QUOTA_LEVEL, "account" => "other").set(others.0);
        gauge!(names::QUOTA_CHARGED, "account" => "other").set(others.1);
    }
}

/// Logs a change of the part of the quotas that accrues here.
fn log_part(quotas: &SharedQuotas, now: Instant, logged: &mut Option<(Instant, f64)>) {
    let part = quotas.part();
    let is_known = logged.is_some_and(|(at, known)| known == part || now < at + LOG_INTERVAL);
    if !is_known && !quotas.is_empty() {
        let age = quotas.known_age(now).as_millis();
        info!("event=quota_part part={part:.3} known_age_ms={age}");
        *logged = Some((now, part));
    }
}

/// Sends the report that is due to all other gateways.
pub(super) fn send(
    shared: &SharedState,
    socket: &Socket,
    gateways: impl Iterator<Item = SocketAddr>,
) {
    let now = Instant::now();
    let due = shared.lock().quotas.as_mut().and_then(|quotas| quotas.take_due_report(now));
    let Some(report) = due else { return };
    let datagrams = QuotaReports::batches(report);
    for address in gateways {
        for datagram in &datagrams {
            socket.send(address, Body::QuotaReports(datagram.clone()));
        }
    }
}

/// Merges the report of another gateway.
pub(super) fn receive(shared: &SharedState, from: SocketAddr, reports: QuotaReports) {
    let Ok(report) = QuotaReport::try_from(reports) else {
        warn!("event=quota_report_unreadable from={from}");
        return;
    };
    if let Some(quotas) = &mut shared.lock().quotas {
        quotas.merge(Instant::now(), limits::process_id(from), &report);
    }
}

impl State {
    /// Takes over the limits of a new configuration. `start` identifies this start of the process.
    pub(super) fn configure_quotas(
        &mut self,
        now: Instant,
        window: QuotaWindow,
        start: u64,
        first_start: bool,
        limits: impl IntoIterator<Item = (AccountName, QuotaLimit)>,
    ) {
        let mut limits = limits.into_iter().peekable();
        if self.quotas.is_none() && limits.peek().is_none() {
            return;
        }
        let known = self.known_gateways;
        let quotas =
            self.quotas.get_or_insert_with(|| SharedQuotas::new(window, start, first_start));
        quotas.set_peers(now, known);
        quotas.configure(now, limits);
    }

    /// Charges a request before it is first sent.
    ///
    /// # Errors
    /// The time until room is expected.
    pub(super) fn charge_quota(
        &mut self,
        now: Instant,
        account: &AccountName,
        cost: f64,
    ) -> Result<(), Duration> {
        self.quotas.as_mut().map_or(Ok(()), |quotas| quotas.charge(now, account, cost))
    }

    /// Takes back the charge of a request that never ran.
    pub(super) fn refund_quota(&mut self, now: Instant, account: &AccountName, cost: f64) {
        if let Some(quotas) = &mut self.quotas {
            quotas.refund(now, account, cost);
        }
    }

    /// Notes how many gateways are known, this one included.
    pub(super) fn set_known_gateways(&mut self, now: Instant, known: usize) {
        self.known_gateways = known;
        if let Some(quotas) = &mut self.quotas {
            quotas.set_peers(now, known);
        }
    }
}

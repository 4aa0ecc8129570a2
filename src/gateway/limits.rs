//! Limits that endpoints name: what responses say, and the exchange with the other gateways.

use std::{fmt, net::SocketAddr, time::Instant};

use log::{info, warn};

use crate::{
    core::{
        hash,
        ids::EndpointId,
        limits::{LimitChange, LimitReport, NamedLimit, ProcessId},
    },
    gateway::shared::{SharedState, State},
    gossip::LimitReports,
};

/// Most datagrams of reports to one peer at a time.
const MAX_DATAGRAMS: usize = 4;

/// The rate that an endpoint names as log lines show it, `-` if it names none.
#[derive(Clone, Copy, Debug)]
pub(super) struct RateLabel(pub(super) Option<f64>);

impl fmt::Display for RateLabel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(rate) => rate.fmt(f),
            None => f.write_str("-"),
        }
    }
}

/// The id of a gateway, the same in all processes.
pub(super) fn process_id(address: SocketAddr) -> ProcessId {
    hash::stable(&[address.to_string().as_bytes()])
}

/// Records what a response says of its endpoint's limit, and tells the other gateways.
pub(super) fn record_response(
    shared: &SharedState,
    request: &[u8],
    endpoint: &EndpointId,
    sent_at: Instant,
    named: NamedLimit,
) {
    let now = Instant::now();
    let mut state = shared.lock();
    let started_ms = state.registry.get(endpoint).map_or(0, |e| e.registration.started_ms);
    let limits = state.dispatcher.limits_mut();
    let change = limits.record_response(now, endpoint, started_ms, sent_at, named);
    drop(state);
    let id = String::from_utf8_lossy(request);
    match change {
        None => return,
        Some(LimitChange::Named { rate, previous }) => {
            let previous = RateLabel(previous);
            info!("event=limit_named endpoint={endpoint} rate={rate} previous={previous} id={id}");
        }
        Some(LimitChange::Ended { previous, age }) => info!(
            "event=limit_ended endpoint={endpoint} previous={previous} age_ms={} id={id}",
            age.as_millis()
        ),
        Some(LimitChange::Unreadable) => {
            warn!("event=limit_unreadable endpoint={endpoint} id={id}");
            return;
        }
    }
    shared.limits_changed.notify_one();
    shared.dispatch_waiting();
}

/// Merges the reports of another gateway.
pub(super) fn receive(shared: &SharedState, from: SocketAddr, reports: LimitReports) {
    let now = Instant::now();
    let process = process_id(from);
    let mut state = shared.lock();
    for report in reports.reports {
        let Ok(report) = LimitReport::try_from(report) else {
            warn!("event=limit_report_unreadable from={from}");
            continue;
        };
        if state.registry.get(&report.endpoint).is_some()
            && state.dispatcher.limits_mut().merge(now, process, &report)
        {
            let rate = RateLabel(report.rate);
            info!(
                "event=limit_learned endpoint={} rate={rate} age_ms={} from={from}",
                report.endpoint,
                report.age.as_millis()
            );
        }
    }
}

impl State {
    /// The reports to send to all other gateways.
    pub(super) fn limit_reports(&self, now: Instant) -> Vec<LimitReports> {
        let reports = self.dispatcher.limits().reports(now);
        let mut datagrams = LimitReports::batches(reports);
        datagrams.truncate(MAX_DATAGRAMS);
        datagrams
    }
}

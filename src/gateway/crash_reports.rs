//! Exchange of crash reports with the other gateways.

use std::{
    collections::HashSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use log::info;

use crate::{
    core::{
        ids::Fingerprint,
        quarantine::{self, RunGate, Suspect},
    },
    gateway::shared::SharedState,
    gossip::{CrashReport, CrashReports},
};

/// How long news of a request that may have crashed endpoints is repeated to peers:
/// several broadcasts, since datagrams may be lost.
const REPEAT_FOR: Duration = Duration::from_secs(5);
/// Requests with this many crashes are reported as long as they are remembered, each by one
/// gateway.
const MIN_CRASHES_ALWAYS_REPORTED: usize = 2;
/// Most reports in one datagram.
const MAX_REPORTS_PER_DATAGRAM: usize = 9;
/// Most datagrams of reports to one peer at a time.
const MAX_DATAGRAMS: usize = 12;

/// Knows which gateways may have missed reports.
#[derive(Debug, Default)]
pub(super) struct CrashReporter {
    missed_by: HashSet<SocketAddr>,
}

/// The reports that are due.
#[derive(Debug)]
pub(super) struct DueReports {
    recent: Vec<CrashReports>,
    all: Vec<CrashReports>,
    missed_by: HashSet<SocketAddr>,
}

impl CrashReporter {
    /// Notes that a gateway has just started, or was silent, so that it needs all reports.
    pub(super) fn record_missed(&mut self, peer: SocketAddr) {
        self.missed_by.insert(peer);
    }

    /// Takes the reports to send now.
    pub(super) fn take_due(&mut self, now: Instant, gate: &RunGate) -> DueReports {
        let missed_by = std::mem::take(&mut self.missed_by);
        let recent = gate.recent_reports(now, REPEAT_FOR, MIN_CRASHES_ALWAYS_REPORTED);
        let all = if missed_by.is_empty() { Vec::new() } else { gate.all_reports() };
        DueReports { recent: datagrams(recent), all: datagrams(all), missed_by }
    }
}

impl DueReports {
    /// The messages for a gateway; `broadcast` means that one to all gateways is due.
    pub(super) fn for_peer(&self, peer: &SocketAddr, broadcast: bool) -> &[CrashReports] {
        match self.missed_by.contains(peer) {
            true => &self.all,
            false if broadcast => &self.recent,
            false => &[],
        }
    }
}

/// Merges the reports of another gateway.
pub(super) fn receive(shared: &SharedState, from: SocketAddr, reports: CrashReports) {
    let now = Instant::now();
    let mut state = shared.lock();
    for report in reports.reports {
        let fingerprint = report.fingerprint;
        let before = state.gate.crashes(Suspect::Request(fingerprint));
        if state.gate.merge(now, &report.into()) {
            let crashes = state.gate.crashes(Suspect::Request(fingerprint));
            info!(
                "event=suspect_learned fingerprint={fingerprint:016x} crashes={crashes} \
                 before={before} from={from}"
            );
        }
    }
    drop(state);
    shared.runs_changed.notify_waiters();
}

impl SharedState {
    /// Notes that the crashes of requests changed here: other gateways, the store and
    /// waiting requests learn of it.
    pub(super) fn publish_crashes(&self, fingerprints: &[Fingerprint]) {
        if fingerprints.is_empty() {
            return self.runs_changed.notify_waiters();
        }
        let mut state = self.lock();
        let unsaved = fingerprints.iter().filter(|f| state.record_change(**f)).count();
        drop(state);
        if 0 < unsaved {
            self.report_unsaved.notify_one();
        }
        self.peer_update_due.notify_one();
        self.runs_changed.notify_waiters();
    }
}

fn datagrams(reports: Vec<quarantine::CrashReport>) -> Vec<CrashReports> {
    let reports: Vec<CrashReport> =
        reports.into_iter().filter_map(CrashReport::of_request).collect();
    let chunks = reports.chunks(MAX_REPORTS_PER_DATAGRAM).take(MAX_DATAGRAMS);
    chunks.map(|c| CrashReports { reports: c.to_vec() }).collect()
}

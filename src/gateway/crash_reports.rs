//! Exchange of crash reports with the other gateways.

use std::{
    collections::HashSet,
    fmt,
    net::SocketAddr,
    time::{Duration, Instant},
};

use log::info;

use crate::{
    core::quarantine::{self, RunGate, Suspect},
    gateway::{
        shared::{SharedState, State},
        suspects::Label,
    },
    gossip::{CrashReport, CrashReports},
};

/// How long news of a suspect is repeated to peers: several broadcasts, since datagrams may
/// be lost.
const REPEAT_FOR: Duration = Duration::from_secs(5);
/// Suspects with this many crashes are reported as long as they are remembered, each by one
/// gateway.
const MIN_CRASHES_ALWAYS_REPORTED: usize = 2;
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
        // A later version may know other kinds of suspects.
        if let Ok(report) = quarantine::CrashReport::try_from(report) {
            state.learn(now, &report, from);
        }
    }
    drop(state);
    shared.runs_changed.notify_waiters();
}

impl State {
    /// Merges a report of another process and logs what is new.
    pub(super) fn learn(
        &mut self,
        now: Instant,
        report: &quarantine::CrashReport,
        from: impl fmt::Display,
    ) {
        let suspect = report.suspect;
        let before = self.gate.crashes(suspect);
        if self.gate.merge(now, report) && self.is_logged(suspect) {
            info!(
                "event=suspect_learned suspect={} crashes={} before={before} blamed={} \
                 from={from}",
                Label(Some(suspect)),
                self.gate.crashes(suspect),
                self.is_blamed(now, suspect),
            );
        }
    }
}

impl SharedState {
    /// Notes that the crashes of suspects changed here: other gateways, the store and
    /// waiting requests learn of it.
    pub(super) fn publish_crashes(&self, suspects: &[Suspect]) {
        if suspects.is_empty() {
            return self.runs_changed.notify_waiters();
        }
        let mut state = self.lock();
        let unsaved = suspects.iter().filter(|s| state.record_change(**s)).count();
        drop(state);
        if 0 < unsaved {
            self.report_unsaved.notify_one();
        }
        self.peer_update_due.notify_one();
        self.runs_changed.notify_waiters();
    }
}

fn datagrams(reports: Vec<quarantine::CrashReport>) -> Vec<CrashReports> {
    let reports: Vec<CrashReport> = reports.into_iter().map(CrashReport::from).collect();
    let mut datagrams = CrashReports::batches(reports);
    datagrams.truncate(MAX_DATAGRAMS);
    datagrams
}

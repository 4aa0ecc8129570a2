//! Keeps the suspects of several crashes in the store, so that they are not forgotten when
//! all gateways restart.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use log::{info, warn};
use metrics::counter;
use prost::{Message, UnknownEnumValue};
use tokio::time;

use crate::{
    core::quarantine::{self, Suspect},
    fleet::TopicHandler,
    gateway::{
        shared::{SharedState, State},
        suspects::Label,
    },
    gossip::CrashReport,
    platform::{KeyedRecord, Position, QUARANTINE, Store, StoreEra, Topic},
    telemetry::names,
};

/// Suspects with fewer crashes are not saved. A restart of all gateways then forgets one
/// crash of a suspect at most.
const MIN_SAVED_CRASHES: usize = 2;
/// Longest time that a read waits for records, which are rare.
const MAX_WAIT: Duration = Duration::from_secs(20);
/// Distinguishes the keys of segments from those of requests, which are bare fingerprints.
const SEGMENT_KEY_PREFIX: &str = "segment-";
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Merges the saved reports of all gateways.
#[derive(Debug)]
pub(super) struct QuarantineReader {
    pub(super) shared: Arc<SharedState>,
}

impl QuarantineReader {
    fn merge(&self, records: Vec<KeyedRecord>) {
        let now = Instant::now();
        let mut state = self.shared.lock();
        for record in records {
            let Some(suspect) = parse_key(&record.key) else {
                warn!("event=quarantine_unreadable key={}", record.key);
                continue;
            };
            let Some(value) = record.value else {
                state.saved_reports.remove(&suspect);
                continue;
            };
            state.saved_reports.insert(suspect);
            match decode(&value) {
                Ok(report) => state.learn(now, &report, "store"),
                Err(err) => warn!("event=quarantine_unreadable key={} error=\"{err}\"", record.key),
            }
        }
        state.knows_quarantines = true;
    }
}

impl TopicHandler for QuarantineReader {
    const TOPIC: Topic = QUARANTINE;
    const MAX_WAIT: Duration = MAX_WAIT;
    const READ_PAUSE: Duration = Duration::ZERO;

    fn store_went_back(&mut self, era: StoreEra) {
        self.shared.store_went_back(Instant::now(), era);
    }

    fn replace(&mut self, records: Vec<KeyedRecord>, _next: Position) {
        self.shared.lock().saved_reports.clear();
        self.merge(records);
    }

    fn update(&mut self, records: Vec<KeyedRecord>, _next: Position) {
        self.merge(records);
    }
}

/// Writes what this gateway has learned of requests until the process ends.
pub(super) async fn save_reports(shared: Arc<SharedState>, store: Store) {
    loop {
        let next = shared.lock().unsaved_reports.iter().next().copied();
        let Some(suspect) = next else {
            shared.report_unsaved.notified().await;
            continue;
        };
        let report = shared.lock().report_to_save(suspect);
        let value = report.clone().map(|r| r.encode_to_vec()).unwrap_or_default();
        counter!(names::STORE_CALLS).increment(1);
        let position = match store.put(QUARANTINE, &key(suspect), &value).await {
            Ok(position) => position,
            Err(err) => {
                counter!(names::STORE_FAILURES).increment(1);
                warn!("event=quarantine_unsaved suspect={} error=\"{err}\"", Label(Some(suspect)));
                time::sleep(RETRY_DELAY).await;
                continue;
            }
        };
        info!("event=quarantine_saved suspect={} position={position}", Label(Some(suspect)));
        let mut state = shared.lock();
        // It may have changed during the call.
        if state.report_to_save(suspect) == report {
            state.unsaved_reports.remove(&suspect);
        }
        if report.is_some() {
            state.saved_reports.insert(suspect);
        }
    }
}

impl State {
    /// Notes that a crash was counted against a suspect or cleared here. Returns whether
    /// that has to be saved.
    pub(super) fn record_change(&mut self, suspect: Suspect) -> bool {
        let has_to_be_saved =
            self.report_to_save(suspect).is_some() || self.saved_reports.contains(&suspect);
        has_to_be_saved && self.unsaved_reports.insert(suspect)
    }

    /// Notes that the store may have lost what was saved: the suspects that this gateway saw
    /// itself or reports for all have to be saved again.
    pub(super) fn save_reports_again(&mut self) {
        self.saved_reports.clear();
        for report in self.gate.all_reports() {
            self.record_change(report.suspect);
        }
    }

    /// The record to keep in the store; `None` if there must be none.
    fn report_to_save(&self, suspect: Suspect) -> Option<CrashReport> {
        let report = self.gate.report(suspect)?;
        (MIN_SAVED_CRASHES <= report.crashes.len()).then(|| report.into())
    }
}

fn decode(value: &[u8]) -> Result<quarantine::CrashReport, String> {
    let report = CrashReport::decode(value).map_err(|e| e.to_string());
    report.and_then(|r| r.try_into().map_err(|e: UnknownEnumValue| e.to_string()))
}

fn key(suspect: Suspect) -> String {
    match suspect {
        Suspect::Request(fingerprint) => format!("{fingerprint:016x}"),
        Suspect::Segment(segment) => format!("{SEGMENT_KEY_PREFIX}{segment:016x}"),
    }
}

fn parse_key(key: &str) -> Option<Suspect> {
    let parse = |text| u64::from_str_radix(text, 16).ok();
    match key.strip_prefix(SEGMENT_KEY_PREFIX) {
        Some(segment) => parse(segment).map(Suspect::Segment),
        None => parse(key).map(Suspect::Request),
    }
}

//! Keeps requests that crashed several endpoints in the store, so that they are not
//! forgotten when all gateways restart.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use log::{info, warn};
use metrics::counter;
use prost::Message;
use tokio::time;

use crate::{
    core::ids::Fingerprint,
    fleet::TopicHandler,
    gateway::shared::{SharedState, State},
    gossip::CrashReport,
    platform::{KeyedRecord, QUARANTINE, Store, Topic},
    telemetry::names,
};

/// Requests with fewer crashes are not saved. A restart of all gateways then forgets one
/// crash of a request at most.
const MIN_SAVED_CRASHES: usize = 2;
/// Longest time that a read waits for records, which are rare.
const MAX_WAIT: Duration = Duration::from_secs(20);
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
            let Some(fingerprint) = parse_key(&record.key) else {
                warn!("event=quarantine_unreadable key={}", record.key);
                continue;
            };
            let Some(value) = record.value else {
                state.saved_reports.remove(&fingerprint);
                continue;
            };
            state.saved_reports.insert(fingerprint);
            match CrashReport::decode(value) {
                Ok(report) => {
                    let crashes = report.crashes.len();
                    if state.gate.merge(now, &report.into()) {
                        info!(
                            "event=suspect_learned fingerprint={fingerprint:016x} \
                             crashes={crashes} before=- from=store"
                        );
                    }
                }
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

    fn replace(&mut self, records: Vec<KeyedRecord>) {
        self.shared.lock().saved_reports.clear();
        self.merge(records);
    }

    fn update(&mut self, records: Vec<KeyedRecord>) {
        self.merge(records);
    }
}

/// Writes what this gateway has learned of requests until the process ends.
pub(super) async fn save_reports(shared: Arc<SharedState>, store: Store) {
    loop {
        let next = shared.lock().unsaved_reports.iter().next().copied();
        let Some(fingerprint) = next else {
            shared.report_unsaved.notified().await;
            continue;
        };
        let report = shared.lock().report_to_save(fingerprint);
        let value = report.clone().map(|r| r.encode_to_vec()).unwrap_or_default();
        counter!(names::STORE_CALLS).increment(1);
        if let Err(err) = store.put(QUARANTINE, &key(fingerprint), &value).await {
            counter!(names::STORE_FAILURES).increment(1);
            warn!("event=quarantine_unsaved fingerprint={fingerprint:016x} error=\"{err}\"");
            time::sleep(RETRY_DELAY).await;
            continue;
        }
        let mut state = shared.lock();
        // It may have changed during the call.
        if state.report_to_save(fingerprint) == report {
            state.unsaved_reports.remove(&fingerprint);
        }
        if report.is_some() {
            state.saved_reports.insert(fingerprint);
        }
    }
}

impl State {
    /// Notes that a crash was counted against a request or cleared here. Returns whether
    /// that has to be saved.
    pub(super) fn record_change(&mut self, fingerprint: Fingerprint) -> bool {
        let has_to_be_saved =
            self.report_to_save(fingerprint).is_some() || self.saved_reports.contains(&fingerprint);
        has_to_be_saved && self.unsaved_reports.insert(fingerprint)
    }

    /// The record to keep in the store; `None` if there must be none.
    fn report_to_save(&self, fingerprint: Fingerprint) -> Option<CrashReport> {
        let report = self.gate.history().report(fingerprint)?;
        (MIN_SAVED_CRASHES <= report.crashes.len())
            .then_some(report)
            .and_then(CrashReport::of_request)
    }
}

fn key(fingerprint: Fingerprint) -> String {
    format!("{fingerprint:016x}")
}

fn parse_key(key: &str) -> Option<Fingerprint> {
    Fingerprint::from_str_radix(key, 16).ok()
}

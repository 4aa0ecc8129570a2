//! Detects crashes of the endpoint and marks the requests that ran as suspects.

use std::{sync::Arc, time::Instant};

use log::warn;
use metrics::counter;

use crate::{
    agent::Backend,
    agent::shared::Shared,
    core::{
        config::{Crash, Record},
        ids::AttemptId,
    },
    errors::{Code, Refusal},
    fleet::{CONFIG_STREAM, Log},
    telemetry::names,
};

impl<B: Backend, L: Log> Shared<B, L> {
    /// Whether the endpoint crashed while it ran an attempt that was interrupted.
    pub(super) async fn detect_crash(self: &Arc<Self>, attempt: &AttemptId) -> bool {
        if self.lock().crashed_attempts.remove(attempt) {
            return true;
        }
        match self.backend.report().await {
            Ok(report) => self.handle_engine_report(report.boot),
            Err(_) => self.handle_endpoint_crash(),
        }
        self.lock().crashed_attempts.remove(attempt)
    }

    /// Marks the requests that ran as suspects, appends a crash record to the configuration log and
    /// refuses the queued attempts.
    pub(super) fn handle_endpoint_crash(self: &Arc<Self>) {
        let suspects: Vec<u64> = {
            let mut state = self.lock();
            state.engine_up = false;
            let ran = state.scheduler.take_running();
            let mut fingerprints: Vec<u64> = ran.iter().map(|(_, f)| *f).collect();
            fingerprints.extend(state.crash_tracker.take_abandoned(Instant::now()));
            state.crash_tracker.record_crash(&fingerprints);
            state.crashed_attempts.extend(ran.into_iter().map(|(a, _)| a));
            for attempt in state.scheduler.take_queued() {
                let text = "the endpoint crashed before the request started";
                state.refuse(&attempt, Refusal::new(Code::NoEndpoint, text));
            }
            fingerprints
        };
        if suspects.is_empty() {
            return;
        }
        let endpoint = self.identity.endpoint.to_string();
        warn!("event=endpoint_crashed endpoint={endpoint} suspects={}", suspects.len());
        counter!(names::CRASHES).increment(1);
        self.append_in_background(Record::Crash(Crash { endpoint, suspects }));
    }

    /// Appends a record to the configuration log without waiting. Only for records whose loss
    /// merely delays a decision.
    pub(super) fn append_in_background(self: &Arc<Self>, record: Record) {
        let Ok(payload) = serde_json::to_vec(&record) else {
            return;
        };
        let shared = self.clone();
        tokio::spawn(async move {
            if let Err(err) = shared.log.append(CONFIG_STREAM, payload.into()).await {
                warn!("event=record_unconfirmed error=\"{err}\"");
            }
        });
    }
}

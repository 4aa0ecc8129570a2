//! Notices crashes of the endpoint and who ran then.

use std::sync::Arc;

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
    /// Finds out, after a run broke off, whether the endpoint crashed.
    pub(super) async fn diagnose(self: &Arc<Self>, attempt: &AttemptId) -> bool {
        if self.lock().crashed.remove(attempt) {
            return true;
        }
        match self.backend.report().await {
            Ok(report) => self.engine_answers(report.boot),
            Err(_) => self.endpoint_crashed(),
        }
        self.lock().crashed.remove(attempt)
    }

    /// Marks all that ran as suspects and tells the fleet.
    pub(super) fn endpoint_crashed(self: &Arc<Self>) {
        let suspects: Vec<u64> = {
            let mut core = self.lock();
            core.engine_up = false;
            let ran = core.scheduler.take_running();
            let fingerprints: Vec<u64> = ran.iter().map(|(_, f)| *f).collect();
            core.crash_tracker.record_crash(&fingerprints);
            core.crashed.extend(ran.into_iter().map(|(a, _)| a));
            for attempt in core.scheduler.take_queued() {
                let text = "the endpoint crashed before the request ran";
                core.refuse(&attempt, Refusal::new(Code::NoEndpoint, text));
            }
            fingerprints
        };
        if suspects.is_empty() {
            return;
        }
        let endpoint = self.identity.endpoint.to_string();
        warn!("event=endpoint_crashed endpoint={endpoint} suspects={}", suspects.len());
        counter!(names::CRASHES).increment(1);
        self.tell(Record::Crash(Crash { endpoint, suspects }));
    }

    /// Appends a record whose loss costs no more than a later decision.
    pub(super) fn tell(self: &Arc<Self>, record: Record) {
        let Ok(payload) = serde_json::to_vec(&record) else {
            return;
        };
        let me = self.clone();
        tokio::spawn(async move {
            if let Err(err) = me.log.append(CONFIG_STREAM, payload.into()).await {
                warn!("event=record_unconfirmed error=\"{err}\"");
            }
        });
    }
}

//! Runs of a request at endpoints, one for each send.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use log::info;
use tokio::time;

use crate::{
    core::{
        hash,
        ids::{CrashId, EndpointId, Fingerprint},
        quarantine::{RunEnd, RunId, RunPermit, Suspect},
    },
    errors::{Code, Refusal},
    gateway::{crash_check, request::ProxiedRequest, shared::SharedState},
};

/// Longest wait for another run of the same request or for a crash check, which takes up
/// to 0.6 s.
const MAX_PERMIT_WAIT: Duration = Duration::from_secs(2);
/// A request becomes allowed by the passage of time too.
const PERMIT_RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// An endpoint, as it was when a run started there.
#[derive(Clone, Debug)]
pub(super) struct RunTarget {
    pub(super) endpoint: EndpointId,
    pub(super) address: SocketAddr,
    pub(super) started_ms: u64,
    pub(super) crash: CrashId,
}

/// Identifies a crash of one start of an endpoint, the same in all processes.
pub(super) fn crash_id(endpoint: &str, started_ms: u64) -> CrashId {
    hash::stable(&[endpoint.as_bytes(), &started_ms.to_le_bytes()])
}

/// A run at an endpoint. Dropping it means that the caller has left.
#[derive(Debug)]
pub(super) struct RunGuard {
    shared: Arc<SharedState>,
    run: RunId,
    target: RunTarget,
    fingerprint: Fingerprint,
    ended: bool,
}

impl RunGuard {
    /// Records the first part of the response.
    pub(super) fn record_response(&self) {
        self.shared.lock().gate.record_response(Instant::now(), self.run);
        self.shared.runs_changed.notify_waiters();
    }

    /// Records the end of the run and checks the endpoint if it may have crashed.
    pub(super) fn end(mut self, end: RunEnd) {
        self.finish(end);
    }

    /// Records that the endpoint could not be reached. If it crashed, runs whose callers
    /// have left may be the cause.
    pub(super) fn end_unreachable(mut self) {
        self.finish(RunEnd::Failed);
        let unresolved = self.shared.lock().gate.unresolved(Instant::now(), self.target.crash);
        if !unresolved.is_empty() {
            crash_check::start(&self.shared, &self.target);
        }
    }

    fn finish(&mut self, end: RunEnd) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let now = Instant::now();
        let mut state = self.shared.lock();
        let age = state.gate.history().age(now, self.fingerprint).unwrap_or_default();
        let crashes = state.gate.crashes(Suspect::Request(self.fingerprint));
        let ended = state.gate.end(now, self.run, end);
        let left = state.gate.crashes(Suspect::Request(self.fingerprint));
        drop(state);
        let cleared: Vec<_> = ended.cleared.into_iter().filter_map(Suspect::request).collect();
        if !cleared.is_empty() {
            info!(
                "event=suspect_cleared fingerprint={:016x} crashes={} age_ms={} endpoint={}",
                self.fingerprint,
                crashes - left,
                age.as_millis(),
                self.target.endpoint,
            );
            self.shared.publish_crashes(&cleared);
        }
        if ended.needs_check {
            crash_check::start(&self.shared, &self.target);
        }
        self.shared.runs_changed.notify_waiters();
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.finish(RunEnd::Abandoned);
    }
}

impl ProxiedRequest {
    /// Waits until a run of this request may start.
    ///
    /// # Errors
    /// The refusal to send to the caller.
    pub(super) async fn wait_for_permit(&self) -> Result<(), Refusal> {
        let until = self.deadline.min(Instant::now() + MAX_PERMIT_WAIT);
        loop {
            let changed = self.shared.runs_changed.notified();
            let now = Instant::now();
            let permit = self.shared.lock().gate.permit(now, self.fingerprint, &[]);
            match permit {
                RunPermit::Allowed => return Ok(()),
                RunPermit::Quarantined => return Err(self.quarantined()),
                RunPermit::Wait if until <= now => return Err(self.no_permit()),
                RunPermit::Wait => {}
            }
            // The result does not matter: the permit is checked again in both cases.
            let _ = time::timeout(PERMIT_RECHECK_INTERVAL, changed).await;
        }
    }

    /// Starts a run, unless it was decided meanwhile that it may not start.
    pub(super) fn start_run(&self, endpoint: &EndpointId, address: SocketAddr) -> Option<RunGuard> {
        let mut state = self.shared.lock();
        let target = state.run_target(endpoint, address);
        let run = state.gate.start(Instant::now(), self.fingerprint, &[], target.crash).ok()?;
        drop(state);
        let (shared, fingerprint) = (self.shared.clone(), self.fingerprint);
        Some(RunGuard { shared, run, target, fingerprint, ended: false })
    }

    fn quarantined(&self) -> Refusal {
        let mut state = self.shared.lock();
        state.gate.record_refusal(Instant::now(), self.fingerprint, &[]);
        drop(state);
        match self.runs {
            0 => Refusal::new(Code::Quarantined, "the request crashed endpoints"),
            _ => self.endpoint_failed(),
        }
    }

    fn no_permit(&self) -> Refusal {
        if self.runs != 0 {
            return self.endpoint_failed();
        }
        let text = "the request may have crashed endpoints and another run of it has not ended";
        Refusal::new(Code::QueueFull, text).retry_after(MAX_PERMIT_WAIT)
    }
}

//! Runs of a request at endpoints, one for each send.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::time;

use crate::{
    core::{
        hash,
        ids::{CrashId, EndpointId, VersionId},
        quarantine::{RunEnd, RunId, RunPermit, Suspect},
    },
    errors::{Code, Refusal},
    gateway::{crash_check, request::ProxiedRequest, restart_check, shared::SharedState},
};

/// Longest wait for another run of the same request or for a crash check, which takes up
/// to 0.6 s unless the endpoint does not answer at all.
const MAX_PERMIT_WAIT: Duration = Duration::from_secs(2);
/// Shortest time between two records that an endpoint still writes. A few each second are
/// enough to show it.
const RESPONSE_RECORD_INTERVAL: Duration = Duration::from_millis(100);
/// A request becomes allowed by the passage of time too.
const PERMIT_RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// An endpoint, as it was when a run started there.
#[derive(Clone, Debug)]
pub(super) struct RunTarget {
    pub(super) endpoint: EndpointId,
    pub(super) address: SocketAddr,
    pub(super) started_ms: u64,
    pub(super) version: VersionId,
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
    // When data of the response was last recorded.
    last_response: Option<Instant>,
    ended: bool,
}

impl RunGuard {
    /// Where it runs.
    pub(super) fn target(&self) -> &RunTarget {
        &self.target
    }

    /// Records data of the response.
    pub(super) fn record_response(&mut self) {
        let now = Instant::now();
        let last = self.last_response;
        if last.is_some_and(|at| now < at + RESPONSE_RECORD_INTERVAL) {
            return;
        }
        self.last_response = Some(now);
        let mut state = self.shared.lock();
        let cleared = state.gate.record_response(now, self.run);
        state.log_cleared(now, &cleared, &self.target.endpoint);
        drop(state);
        if last.is_none() || !cleared.is_empty() {
            self.shared.publish_crashes(&cleared);
        }
    }

    /// Records that the endpoint could not be reached. If it crashed, runs whose callers
    /// have left may be the cause.
    pub(super) fn record_unreachable(&mut self) {
        if self.ended {
            return;
        }
        self.record_end(RunEnd::Failed);
        let now = Instant::now();
        let mut state = self.shared.lock();
        state.registry.doubt_start(now, &self.target.endpoint, self.target.started_ms);
        let unresolved = state.gate.unresolved(now, self.target.crash);
        drop(state);
        restart_check::start(&self.shared, &self.target);
        if !unresolved.is_empty() {
            crash_check::start(&self.shared, &self.target);
        }
    }

    /// Records the end of the run, unless that was done before, and checks the endpoint if
    /// it may have crashed.
    pub(super) fn record_end(&mut self, end: RunEnd) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        if end == RunEnd::Interrupted {
            restart_check::start(&self.shared, &self.target);
        }
        let now = Instant::now();
        let mut state = self.shared.lock();
        let ended = state.gate.end(now, self.run, end);
        state.log_cleared(now, &ended.cleared, &self.target.endpoint);
        drop(state);
        if !ended.cleared.is_empty() {
            self.shared.publish_crashes(&ended.cleared);
        }
        if ended.needs_check {
            crash_check::start(&self.shared, &self.target);
        }
        self.shared.runs_changed.notify_waiters();
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.record_end(RunEnd::Abandoned);
    }
}

impl ProxiedRequest {
    /// Waits until a run of this request may start.
    ///
    /// # Errors
    /// The refusal to send to the caller.
    pub(super) async fn wait_for_permit(&self) -> Result<(), Refusal> {
        let until = self.limit.deadline().min(Instant::now() + MAX_PERMIT_WAIT);
        let segments = self.requirements.leading_segments();
        loop {
            let changed = self.shared.runs_changed.notified();
            let now = Instant::now();
            let permit = {
                let gate = &mut self.shared.lock().gate;
                let permit = gate.permit(now, self.key, &segments);
                if permit == RunPermit::Wait {
                    gate.claim(now, self.key.fingerprint, &segments);
                }
                permit
            };
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
        let segments = self.requirements.leading_segments();
        let mut state = self.shared.lock();
        let target = state.run_target(endpoint, address);
        let now = Instant::now();
        let is_trial = state.gate.trial(now, &segments).is_some();
        let run = state.gate.start(now, self.key, &segments, target.crash).ok()?;
        drop(state);
        if is_trial {
            // Others learn that this gateway claims the trials.
            self.shared.peer_update_due.notify_one();
        }
        let shared = self.shared.clone();
        Some(RunGuard { shared, run, target, last_response: None, ended: false })
    }

    fn quarantined(&self) -> Refusal {
        let now = Instant::now();
        let segments = self.requirements.leading_segments();
        let mut state = self.shared.lock();
        state.gate.record_refusal(now, self.key.fingerprint, &segments);
        let blamed = state.likeliest_suspect(now, self.key.fingerprint, &segments);
        drop(state);
        let text = match blamed {
            Some((Suspect::Segment(_), _)) => "a segment of the prompt crashed endpoints",
            _ => "the request crashed endpoints",
        };
        self.no_further_attempt(Refusal::new(Code::Quarantined, text))
    }

    fn no_permit(&self) -> Refusal {
        let text = "the request may have crashed endpoints and another run of it has not ended";
        let refusal = Refusal::new(Code::QueueFull, text).retry_after(MAX_PERMIT_WAIT);
        self.no_further_attempt(refusal)
    }
}

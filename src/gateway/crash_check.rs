//! Checks whether an endpoint has crashed after runs there were interrupted.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use log::{info, warn};
use metrics::counter;
use tokio::time;

use crate::{
    core::{
        forwarding::{EndpointState, Registration},
        ids::{CrashId, Fingerprint},
        quarantine::Suspect,
    },
    gateway::{
        run::{RunTarget, crash_id},
        shared::{SharedState, State},
        upstream::Connection,
    },
    telemetry::names,
};

/// Delay before checking whether an endpoint still accepts connections.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(100);

/// Checks in the background whether the endpoint still accepts connections, unless that is
/// in progress. If not, a crash is counted against each request that ran there.
pub(super) fn start(shared: &Arc<SharedState>, target: &RunTarget) {
    if shared.lock().crash_checks.insert(target.crash) {
        tokio::spawn(run(shared.clone(), target.clone()));
    }
}

async fn run(shared: Arc<SharedState>, target: RunTarget) {
    loop {
        time::sleep(CRASH_CHECK_DELAY).await;
        // Later runs need another check: they may end by a crash after this one.
        let checked = shared.lock().gate.unresolved(Instant::now(), target.crash);
        let is_listening = Connection::open(target.address).await.is_ok();
        let mut state = shared.lock();
        let crashed = state.has_crashed(&target, is_listening);
        let now = Instant::now();
        let counted = requests(state.gate.resolve(now, target.crash, &checked, crashed));
        if crashed {
            state.dispatcher.avoid(now, &target.endpoint);
            log_crash(&state, &target.endpoint, target.crash, &counted);
        }
        let again = state.gate.needs_check(target.crash);
        if !again {
            state.crash_checks.remove(&target.crash);
        }
        drop(state);
        if crashed {
            shared.pool.close_all(target.address);
        }
        shared.publish_crashes(&counted);
        if !again {
            return;
        }
    }
}

impl State {
    /// Whether the start of the endpoint has ended. One that was draining or has left has
    /// not crashed.
    fn has_crashed(&self, target: &RunTarget, is_listening: bool) -> bool {
        let Some(endpoint) = self.registry.get(&target.endpoint) else { return false };
        let restarted = endpoint.registration.started_ms != target.started_ms;
        let draining = endpoint.registration.state == EndpointState::Draining;
        restarted || (!is_listening && !draining)
    }

    /// Counts crashes that a new registration shows: an endpoint that was not draining was
    /// started again, or another one has its address. Returns the requests.
    pub(super) fn record_restart(&mut self, now: Instant, new: &Registration) -> Vec<Fingerprint> {
        let replaced = self.registry.iter().filter(|e| {
            let old = &e.registration;
            let same_place = old.id == new.id || old.address == new.address;
            same_place && e.is_usable() && old.started_ms < new.started_ms
        });
        let replaced: Vec<_> =
            replaced.map(|e| (e.id().clone(), e.registration.started_ms)).collect();
        let mut all_counted = Vec::new();
        for (endpoint, started_ms) in replaced {
            let crash = crash_id(&endpoint, started_ms);
            let counted = requests(self.gate.resolve(now, crash, &[], true));
            if !counted.is_empty() {
                log_crash(self, &endpoint, crash, &counted);
            }
            all_counted.extend(counted);
        }
        all_counted
    }
}

fn requests(suspects: Vec<Suspect>) -> Vec<Fingerprint> {
    suspects.into_iter().filter_map(Suspect::request).collect()
}

fn log_crash(state: &State, endpoint: &str, crash: CrashId, counted: &[Fingerprint]) {
    warn!(
        "event=endpoint_crashed endpoint={endpoint} crash={crash:016x} suspects={}",
        counted.len()
    );
    for fingerprint in counted {
        let crashes = state.gate.history().crashes(*fingerprint);
        info!(
            "event=suspect fingerprint={fingerprint:016x} crashes={crashes} crash={crash:016x} \
             endpoint={endpoint}"
        );
        counter!(names::SUSPECTED_CRASHES).increment(1);
    }
}

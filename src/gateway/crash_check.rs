//! Checks whether an endpoint has crashed after runs there were interrupted.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use log::{info, warn};
use metrics::counter;
use tokio::time;

use crate::{
    core::{
        forwarding::{EndpointState, Registration},
        ids::CrashId,
        quarantine::Suspect,
    },
    gateway::{
        run::{RunTarget, crash_id},
        shared::{SharedState, State},
        suspects::Label,
        upstream::Connection,
    },
    telemetry::names,
};

/// Delay before checking whether an endpoint still accepts connections.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(100);
/// How long an endpoint may answer no connection attempt before it counts as crashed. One
/// that is silent for a moment is not.
const MAX_SILENCE: Duration = Duration::from_millis(2000);

/// Checks in the background whether the endpoint still accepts connections, unless that is
/// in progress. If not, a crash is counted against the requests that ran there and segments
/// of their prompts.
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
        let is_listening = is_listening(target.address).await;
        let mut state = shared.lock();
        let crashed = state.has_crashed(&target, is_listening);
        let now = Instant::now();
        let changed = state.gate.resolve(now, target.crash, &checked, crashed);
        if crashed {
            state.dispatcher.avoid(now, &target.endpoint);
            state.log_crash(now, &target.endpoint, target.crash, &changed);
        } else {
            state.log_cleared(now, &changed, &target.endpoint);
        }
        let again = state.gate.needs_check(target.crash);
        if !again {
            state.crash_checks.remove(&target.crash);
        }
        drop(state);
        if crashed {
            shared.pool.close_all(target.address);
        }
        shared.publish_crashes(&changed);
        if !again {
            return;
        }
    }
}

async fn is_listening(address: SocketAddr) -> bool {
    let give_up_at = Instant::now() + MAX_SILENCE;
    loop {
        match Connection::open(address).await {
            Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => return false,
            Err(err) if err.kind() == io::ErrorKind::TimedOut => {}
            // Other errors say nothing about the endpoint.
            _ => return true,
        }
        if give_up_at <= Instant::now() {
            return false;
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
    /// started again, or another one has its address. Returns the suspects.
    pub(super) fn record_restart(&mut self, now: Instant, new: &Registration) -> Vec<Suspect> {
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
            let streams = self.origins.record_ended_start(now, crash);
            if 0 < streams {
                info!("event=streams_unsure endpoint={endpoint} streams={streams}");
            }
            let counted = self.gate.resolve(now, crash, &[], true);
            if !counted.is_empty() {
                self.log_crash(now, &endpoint, crash, &counted);
            }
            all_counted.extend(counted);
        }
        all_counted
    }

    /// Logs a crash and the suspects against which it was counted.
    fn log_crash(&self, now: Instant, endpoint: &str, crash: CrashId, counted: &[Suspect]) {
        let segments = counted.iter().filter_map(|s| s.segment()).count();
        let requests = counted.len() - segments;
        warn!(
            "event=endpoint_crashed endpoint={endpoint} crash={crash:016x} requests={requests} \
             segments={segments}"
        );
        for suspect in counted.iter().filter(|s| self.is_logged(**s)) {
            info!(
                "event=suspect suspect={} crashes={} blamed={} crash={crash:016x} \
                 endpoint={endpoint}",
                Label(Some(*suspect)),
                self.gate.crashes(*suspect),
                self.is_blamed(now, *suspect),
            );
            counter!(names::SUSPECTED_CRASHES).increment(1);
        }
    }
}

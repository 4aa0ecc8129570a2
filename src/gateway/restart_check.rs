//! Finds out whether an endpoint to which a connection failed was started again, before its
//! next registration tells.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use log::info;
use tokio::time;

use crate::{
    gateway::{run::RunTarget, shared::SharedState, upstream::Connection},
    platform,
};

/// Pause before each check. An endpoint that ended takes longer to start again.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long checks go on. By then a live endpoint has registered again.
const CHECK_FOR: Duration = Duration::from_secs(4);

/// What a check has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Found {
    SameStart,
    OtherStart,
    /// It answers, but does not tell its start.
    Listening,
    Unreachable,
}

/// Checks the endpoint in the background, unless that is in progress.
pub(super) fn start(shared: &Arc<SharedState>, target: &RunTarget) {
    if shared.lock().restart_checks.insert(target.crash) {
        tokio::spawn(run(shared.clone(), target.clone()));
    }
}

/// Whether the endpoint of a run is the start that was known when the run began, as far as it
/// tells.
pub(super) async fn is_same_start(shared: &SharedState, target: &RunTarget) -> bool {
    let is_engine = shared.lock().is_engine(&target.endpoint);
    let found = if is_engine { check(shared, target).await } else { Found::Listening };
    matches!(found, Found::SameStart | Found::Listening)
}

async fn run(shared: Arc<SharedState>, target: RunTarget) {
    let until = Instant::now() + CHECK_FOR;
    loop {
        time::sleep(CHECK_INTERVAL).await;
        let found = check(&shared, &target).await;
        let (id, now) = (&target.endpoint, Instant::now());
        let registry = &mut shared.lock().registry;
        match found {
            Found::SameStart => registry.confirm_start(id, target.started_ms),
            Found::OtherStart => {
                info!("event=endpoint_restarted endpoint={id}");
                registry.doubt_start(now, id, target.started_ms);
                break;
            }
            Found::Unreachable => registry.doubt_start(now, id, target.started_ms),
            Found::Listening => {}
        }
        if !registry.may_have_restarted(id) || until <= now {
            break;
        }
    }
    shared.lock().restart_checks.remove(&target.crash);
    shared.dispatch_waiting();
}

/// Asks an engine for its start. Another endpoint only shows that it still listens.
async fn check(shared: &SharedState, target: &RunTarget) -> Found {
    let (is_engine, rests) = {
        let state = shared.lock();
        let rests = state.dispatcher.rests().is_resting(Instant::now(), &target.endpoint);
        (state.is_engine(&target.endpoint), rests)
    };
    if rests {
        return Found::Listening;
    }
    if !is_engine {
        let opened = Connection::open(target.address).await;
        return if opened.is_ok() { Found::Listening } else { Found::Unreachable };
    }
    match platform::engine_start(target.address).await {
        Ok(Some(started_ms)) if started_ms == target.started_ms => Found::SameStart,
        Ok(Some(_)) => Found::OtherStart,
        Ok(None) => Found::Listening,
        Err(_) => Found::Unreachable,
    }
}

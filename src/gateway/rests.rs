//! Endpoints that ask for rest or leave, as their responses say.

use std::{sync::Arc, time::Instant};

use log::{info, warn};
use metrics::counter;

use crate::{
    core::ids::EndpointId,
    gateway::shared::{SharedState, State},
    platform::{RequestedRest, ResponseHead},
    telemetry::names,
};

/// Records what a response says of its endpoint's rest and its leaving.
pub(super) fn record_response(
    shared: &Arc<SharedState>,
    request: &[u8],
    endpoint: &EndpointId,
    head: &ResponseHead,
) {
    let id = String::from_utf8_lossy(request);
    match head.rest {
        RequestedRest::None => {}
        RequestedRest::For(rest) => {
            let now = Instant::now();
            let mut state = shared.lock();
            let started_ms = state.registry.get(endpoint).map_or(0, |e| e.registration.started_ms);
            let is_new = state.dispatcher.rests_mut().ask(now, endpoint, started_ms, rest);
            drop(state);
            counter!(names::RESTS, "endpoint" => endpoint.to_string()).increment(1);
            if is_new {
                let rest_ms = rest.as_millis();
                info!("event=rest_asked endpoint={endpoint} rest_ms={rest_ms} id={id}");
            }
        }
        RequestedRest::Invalid => warn!("event=rest_unreadable endpoint={endpoint} id={id}"),
    }
    if head.is_leaving {
        let mut state = shared.lock();
        let started_ms = state.registry.get(endpoint).map_or(0, |e| e.registration.started_ms);
        if state.registry.record_leaving(endpoint, started_ms) {
            counter!(names::LEAVING).increment(1);
            info!("event=endpoint_leaves endpoint={endpoint} started_ms={started_ms} id={id}");
        }
    }
}

impl State {
    /// Logs which endpoints have rested.
    pub(super) fn log_ended_rests(&mut self, now: Instant) {
        for ended in self.dispatcher.rests_mut().take_ended(now) {
            let (endpoint, refused) = (&ended.endpoint, ended.turned_away);
            info!("event=rest_ended endpoint={endpoint} refused={refused}");
        }
    }
}

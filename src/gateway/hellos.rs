//! Messages to engine agents: which engine they are for, and what is requested there.

use std::{collections::HashMap, net::SocketAddr};

use crate::{
    core::{
        forwarding::{Endpoint, ModelRef, WantedAdapter},
        ids::EndpointId,
    },
    gateway::shared::{SharedState, State},
    gossip::{Body, ChangeKind, Hello, ResidencyChange, Socket},
};

/// A message that names the engine, with its start in Unix milliseconds, and requests nothing.
pub(super) fn naming(engine: &EndpointId, engine_started_ms: u64) -> Hello {
    Hello { engine_id: engine.to_string(), engine_started_ms, ..Hello::default() }
}

/// The registered engines with the addresses of their agents and their starts.
pub(super) fn agents(state: &State, own: SocketAddr) -> Vec<(EndpointId, SocketAddr, u64)> {
    let engines = state.registry.iter().filter(|e| {
        let service = state.table.as_ref().and_then(|t| t.service(&e.registration.service));
        service.is_some_and(|s| s.engine.is_some())
    });
    engines.map(|e| (e.id().clone(), agent_address(e, own), e.registration.started_ms)).collect()
}

/// An agent runs on the VM of its engine and listens on the same port as gateways.
fn agent_address(engine: &Endpoint, own: SocketAddr) -> SocketAddr {
    SocketAddr::new(engine.registration.address.ip(), own.port())
}

/// Asks agents to load the adapters that requests wait for.
pub(super) fn send_adapter_requests(shared: &SharedState, socket: &Socket, own: SocketAddr) {
    let serving = shared.is_ready();
    let state = shared.lock();
    for (id, changes) in adapter_requests(&state) {
        let Some(engine) = state.registry.get(&id) else { continue };
        let named = naming(&id, engine.registration.started_ms);
        let hello = Hello { serving, changes, ..named };
        socket.send(agent_address(engine, own), Body::Hello(hello));
    }
}

/// The adapters that agents are asked to load for waiting requests, by engine.
pub(super) fn adapter_requests(state: &State) -> HashMap<EndpointId, Vec<ResidencyChange>> {
    let mut requests: HashMap<EndpointId, Vec<ResidencyChange>> = HashMap::new();
    for wanted in state.dispatcher.wanted_adapters() {
        requests.entry(wanted.endpoint.clone()).or_default().push(load_adapter(wanted));
    }
    requests
}

/// Formats a model as MODEL, or an adapter of it as MODEL/ADAPTER.
pub(super) fn model_ref_text((model, adapter): &ModelRef) -> String {
    adapter.as_ref().map_or_else(|| model.to_string(), |adapter| format!("{model}/{adapter}"))
}

fn load_adapter(wanted: &WantedAdapter) -> ResidencyChange {
    ResidencyChange {
        kind: ChangeKind::Load.into(),
        model: wanted.model.to_string(),
        adapter: wanted.adapter.to_string(),
    }
}

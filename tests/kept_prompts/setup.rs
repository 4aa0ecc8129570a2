//! The service, the engines' registrations and the requests of these tests.

use std::{collections::HashMap, time::Duration};

use goldcrestpitch::core::forwarding::{
    Change, EndpointRegistry, EndpointState, EngineSpec, LoadedModel, Locality, ModelSpec,
    PromptSegment, Registration, Requirements, Residency, Route, RouteKind, RouteTable, Service,
    WeightedService,
};

pub const SLOTS: u32 = 64;
pub const KV_TOKENS: u64 = 100_000;
pub const TARGET: Duration = Duration::from_millis(600);

pub fn table() -> RouteTable {
    let model = ModelSpec {
        weights_size: 34,
        adapter_size: 1,
        load_time: Duration::from_secs(4),
        disk_load_time: Duration::from_secs(1),
    };
    let engine = EngineSpec {
        slots: SLOTS,
        kv_tokens: KV_TOKENS,
        tokens_per_event: 4,
        weights_memory: 83,
        adapter_slots: 8,
        loads_per_s: 1.0,
        models: HashMap::from([("m".into(), model)]),
    };
    let llm = Service {
        name: "llm".into(),
        max_connections: 600,
        engine: Some(engine),
        pause_target: Duration::from_millis(300),
    };
    RouteTable::new(1, Vec::new(), vec![llm], None)
}

pub fn route() -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        kind: RouteKind::Streaming { resumable: true },
        timeout: Duration::from_secs(15),
        target: TARGET,
        pause_target: Duration::from_millis(300),
        needs_key: false,
        patience: None,
        priority: 1,
        services: vec![WeightedService { service: "llm".into(), weight: 1 }],
        max_attempts: 2,
    }
}

pub fn locality() -> Locality {
    Locality { zone: "a".into(), regions: HashMap::from([("a".into(), "r".into())]) }
}

pub fn engine_id(index: usize) -> String {
    format!("i-{index}")
}

pub fn registered(index: usize, started_ms: u64, models: &[&str]) -> Change {
    let loaded = |m: &&str| LoadedModel { name: (*m).into(), adapters: Vec::new() };
    Change::Registered(Registration {
        id: engine_id(index).into(),
        service: "llm".into(),
        address: ([10, 0, 0, index as u8], 8000).into(),
        zone: "a".into(),
        version: None,
        state: EndpointState::Ready,
        slots: SLOTS,
        started_ms,
        order_seq: 0,
        residency: Residency {
            loaded: models.iter().map(loaded).collect(),
            cached: Vec::new(),
            order_in_progress: false,
        },
    })
}

pub fn registry(now: std::time::Instant, engines: usize) -> EndpointRegistry {
    let mut registry = EndpointRegistry::default();
    for index in 0..engines {
        registry.apply(now, registered(index, 1, &["m"]), false);
    }
    registry
}

pub fn requirements(segments: &[(u64, u32)]) -> Requirements {
    Requirements {
        model: Some("m".into()),
        adapter: None,
        prompt_tokens: segments.iter().map(|(_, tokens)| tokens).sum(),
        output_tokens: 150,
        prompt_segments: segments
            .iter()
            .map(|(id, tokens)| PromptSegment { id: *id, tokens: *tokens })
            .collect(),
    }
}

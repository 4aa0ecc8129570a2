//! Decodes the operator's configuration of routes and services.

use std::time::Duration;

use serde::Deserialize;

use crate::{
    core::forwarding::{
        DEFAULT_PAUSE_TARGET, EngineSpec, ModelSpec, RequestLimits, Route, RouteKind, RouteTable,
        Service, WeightedService,
    },
    platform::{DecodeError, accounts::accounts},
};

/// Key of the configuration in the topic of the operator's records.
pub const CONFIG_KEY: &str = "config";

// Sizes are configured in megabytes and stored as mebibytes without a conversion, since
// they are only compared with each other. The sizes of models and adapters are rounded
// up and the memory of an engine is rounded down, so that what fits by these numbers
// also fits in fact.
fn round_up(megabytes: f64) -> u64 {
    megabytes.max(0.0).ceil() as u64
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64((ms / 1e3).clamp(0.0, MAX_SECONDS))
}

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s.clamp(0.0, MAX_SECONDS))
}

/// The platform's callers wait for an event of a stream at least this long, this many times the
/// latency target, and this many times the longest pause that is on time.
const MIN_PATIENCE: Duration = Duration::from_secs(2);
const PATIENCE_IN_TARGETS: u32 = 4;
const PATIENCE_IN_PAUSES: u32 = 8;

/// Longest duration that is accepted; larger values are reduced to it.
const MAX_SECONDS: f64 = 86_400.0;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ConfigWire {
    version: u64,
    routes: Vec<RouteWire>,
    services: Vec<ServiceWire>,
    #[serde(default)]
    limits: Option<LimitsWire>,
    // The client accounts.
    #[serde(default)]
    tenants: Option<serde_json::Value>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RouteWire {
    name: String,
    host: String,
    path_prefix: String,
    route_type: String,
    timeout_ms: f64,
    target_latency_ms: f64,
    #[serde(default)]
    priority: u8,
    #[serde(default)]
    service: Option<String>,
    #[serde(default)]
    traffic_split: Vec<SplitWire>,
    #[serde(default = "default_max_attempts")]
    max_attempts: u32,
    #[serde(default)]
    resumable: bool,
    // Longest pause between events for which a stream is on time.
    #[serde(default)]
    gap_aim_ms: Option<f64>,
    #[serde(default)]
    no_auth: bool,
}

fn default_max_attempts() -> u32 {
    1
}

fn default_stride() -> u32 {
    1
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct SplitWire {
    service: String,
    weight: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ServiceWire {
    name: String,
    max_conns: usize,
    #[serde(default)]
    engine: Option<EngineWire>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct EngineWire {
    #[serde(default)]
    slots: u32,
    kv_capacity: u64,
    // Tokens in an event.
    #[serde(default = "default_stride")]
    stride: u32,
    weights_mb: f64,
    adapter_slots: u32,
    loads_per_s: f64,
    models: Vec<ModelWire>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ModelWire {
    name: String,
    weights_mb: f64,
    load_s: f64,
    #[serde(default)]
    adapter_mb: f64,
    #[serde(default)]
    disk_s: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct LimitsWire {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout_ms: f64,
    idle_timeout_ms: f64,
}

impl TryFrom<RouteWire> for Route {
    type Error = DecodeError;

    fn try_from(wire: RouteWire) -> Result<Self, DecodeError> {
        let kind = match wire.route_type.as_str() {
            "streaming" => RouteKind::Streaming { resumable: wire.resumable },
            "idempotent" => RouteKind::Idempotent,
            "non_idempotent" => RouteKind::NonIdempotent,
            other => {
                return Err(DecodeError(format!("route {}: unknown type {other:?}", wire.name)));
            }
        };
        let single = wire.service.map(|name| WeightedService { service: name.into(), weight: 1 });
        let split = wire.traffic_split.into_iter();
        let split = split.map(|s| WeightedService { service: s.service.into(), weight: s.weight });
        let mut services: Vec<WeightedService> = split.collect();
        if services.is_empty() {
            services.extend(single);
        }
        let target = millis(wire.target_latency_ms);
        let pause_target = wire.gap_aim_ms.map_or(DEFAULT_PAUSE_TARGET, millis);
        let patience =
            MIN_PATIENCE.max(target * PATIENCE_IN_TARGETS).max(pause_target * PATIENCE_IN_PAUSES);
        Ok(Self {
            name: wire.name.into(),
            host: wire.host.to_ascii_lowercase().into(),
            prefix: wire.path_prefix.into(),
            kind,
            timeout: millis(wire.timeout_ms),
            target,
            pause_target,
            patience: matches!(kind, RouteKind::Streaming { .. }).then_some(patience),
            priority: wire.priority,
            services,
            max_attempts: wire.max_attempts.max(1),
            needs_key: !wire.no_auth,
        })
    }
}

impl From<ModelWire> for ModelSpec {
    fn from(wire: ModelWire) -> Self {
        Self {
            weights_size: round_up(wire.weights_mb),
            adapter_size: round_up(wire.adapter_mb),
            load_time: seconds(wire.load_s),
            disk_load_time: seconds(wire.disk_s.unwrap_or(wire.load_s)),
        }
    }
}

impl From<EngineWire> for EngineSpec {
    fn from(wire: EngineWire) -> Self {
        let by_name = |m: ModelWire| (m.name.as_str().into(), ModelSpec::from(m));
        Self {
            slots: wire.slots,
            kv_tokens: wire.kv_capacity,
            tokens_per_event: wire.stride,
            weights_memory: wire.weights_mb.max(0.0) as u64,
            adapter_slots: wire.adapter_slots,
            loads_per_s: wire.loads_per_s,
            models: wire.models.into_iter().map(by_name).collect(),
        }
    }
}

impl From<ServiceWire> for Service {
    fn from(wire: ServiceWire) -> Self {
        Self {
            name: wire.name.into(),
            max_connections: wire.max_conns,
            engine: wire.engine.map(EngineSpec::from),
            pause_target: DEFAULT_PAUSE_TARGET,
        }
    }
}

impl From<LimitsWire> for RequestLimits {
    fn from(wire: LimitsWire) -> Self {
        Self {
            header_bytes: wire.max_header_bytes,
            body_bytes: wire.max_body_bytes,
            header_timeout: millis(wire.header_timeout_ms),
            idle_timeout: millis(wire.idle_timeout_ms),
        }
    }
}

/// Decodes one version of the configuration.
///
/// # Errors
/// [`DecodeError`] describes the first error.
///
/// ```
/// use goldcrestpitch::platform::decode_configuration;
/// let text = br#"{"Version":7,"Routes":[{"Name":"r","Host":"a.example","PathPrefix":"/a/",
///   "RouteType":"idempotent","TimeoutMs":1500,"TargetLatencyMs":200,"Service":"desk"}],
///   "Services":[{"Name":"desk","MaxConns":110}]}"#;
/// let table = decode_configuration(text).unwrap();
/// assert_eq!(table.version, 7);
/// assert!(table.find("a.example", "/a/b").is_some());
/// ```
pub fn decode_configuration(text: &[u8]) -> Result<RouteTable, DecodeError> {
    let wire: ConfigWire = serde_json::from_slice(text)?;
    let routes = wire.routes.into_iter().map(Route::try_from).collect::<Result<Vec<_>, _>>()?;
    let services = wire.services.into_iter().map(Service::from).collect();
    let limits = wire.limits.map(RequestLimits::from);
    let accounts = wire.tenants.map(accounts).transpose()?;
    Ok(RouteTable::new(wire.version, routes, services, limits).with_accounts(accounts))
}

//! Gossip messages, encoded as protocol buffers. Fields are only ever added, so that
//! processes of different versions understand each other.

use prost::Message;

use crate::core::{
    forwarding::{self, LoadReport, Residency},
    quarantine,
};

/// Envelope of every datagram.
#[derive(Clone, PartialEq, Message)]
pub struct Datagram {
    /// The message; absent when its kind is unknown to this version.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5")]
    pub body: Option<Body>,
}

/// Kinds of messages.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// From a gateway to an engine agent.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// From an engine agent to gateways.
    #[prost(message, tag = "2")]
    EngineStatus(EngineStatus),
    /// From a gateway to another gateway.
    #[prost(message, tag = "3")]
    GatewayStatus(GatewayStatus),
    /// From an engine agent to the planner and the gateways that use its engine.
    #[prost(message, tag = "4")]
    EngineLoad(EngineLoad),
    /// From a gateway to another gateway.
    #[prost(message, tag = "5")]
    CrashReports(CrashReports),
}

/// Announces a gateway to an engine agent, with the changes that it requests there.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// The gateway accepts requests.
    #[prost(bool, tag = "1")]
    pub serving: bool,
    /// The gateway plans model placement for all gateways.
    #[prost(bool, tag = "2")]
    pub is_planner: bool,
    /// Models and adapters to load or unload.
    #[prost(message, repeated, tag = "3")]
    pub changes: Vec<ResidencyChange>,
    /// Models and adapters that its requests recently used at the engine, as MODEL or
    /// MODEL/ADAPTER.
    #[prost(string, repeated, tag = "4")]
    pub used_models: Vec<String>,
    /// The gateway has no status of the engine and asks for one.
    #[prost(bool, tag = "5")]
    pub wants_status: bool,
}

/// A request to load or unload a model or an adapter.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ResidencyChange {
    /// Load or unload, a [`ChangeKind`].
    #[prost(enumeration = "ChangeKind", tag = "1")]
    pub kind: i32,
    /// The model.
    #[prost(string, tag = "2")]
    pub model: String,
    /// An adapter of the model; empty for the model itself.
    #[prost(string, tag = "3")]
    pub adapter: String,
}

/// Kinds of [`ResidencyChange`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ChangeKind {
    /// Load into engine memory.
    Load = 0,
    /// Remove from engine memory.
    Unload = 1,
}

/// A model that is loaded in an engine.
#[derive(Clone, PartialEq, Message)]
pub struct LoadedModel {
    /// Name of the model.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its adapters that are loaded.
    #[prost(string, repeated, tag = "2")]
    pub adapters: Vec<String>,
}

/// Full status of an engine, as its agent knows it.
#[derive(Clone, PartialEq, Message)]
pub struct EngineStatus {
    /// Address of the engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Sequence number since the start of the agent.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Models that are loaded.
    #[prost(message, repeated, tag = "3")]
    pub loaded: Vec<LoadedModel>,
    /// Models that the engine can load fast, from its own memory or disk.
    #[prost(string, repeated, tag = "4")]
    pub cached: Vec<String>,
    /// The engine is carrying out an order.
    #[prost(bool, tag = "5")]
    pub order_in_progress: bool,
    /// Requests in the batch.
    #[prost(uint32, tag = "6")]
    pub active: u32,
    /// Requests queued at the engine.
    #[prost(uint32, tag = "7")]
    pub queued: u32,
    /// Requests, queued or in the batch, that have no first token yet.
    #[prost(uint32, tag = "8")]
    pub awaiting_first_token: u32,
    /// KV cache memory in use, in tokens.
    #[prost(uint64, tag = "9")]
    pub kv_used: u64,
    /// KV cache memory in total, in tokens.
    #[prost(uint64, tag = "10")]
    pub kv_total: u64,
    /// The engine is shutting down and takes no new requests.
    #[prost(bool, tag = "11")]
    pub draining: bool,
    /// Addresses of some gateways from which the agent receives messages.
    #[prost(string, repeated, tag = "12")]
    pub gateways: Vec<String>,
    /// The model that is being loaded; empty if there is none.
    #[prost(string, tag = "13")]
    pub loading: String,
    /// Start of the agent in Unix milliseconds, by its own clock.
    #[prost(uint64, tag = "14")]
    pub started_ms: u64,
    /// Memory used by weights and adapters, in mebibytes.
    #[prost(uint64, tag = "15")]
    pub weights_mib: u64,
    /// The agent is able to send orders to the engine.
    #[prost(bool, tag = "16")]
    pub can_order: bool,
    /// Prompt tokens of the requests that arrived recently.
    #[prost(uint64, tag = "17")]
    pub recent_tokens: u64,
    /// Models that requests of any gateway use.
    #[prost(string, repeated, tag = "18")]
    pub in_use: Vec<String>,
}

/// Load of an engine, sent instead of [`EngineStatus`] while the loaded models stay
/// the same.
#[derive(Clone, PartialEq, Message)]
pub struct EngineLoad {
    /// Address of the engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Sequence number since the start of the agent, shared with [`EngineStatus`].
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Start of the agent in Unix milliseconds, by its own clock.
    #[prost(uint64, tag = "3")]
    pub started_ms: u64,
    /// Requests in the batch.
    #[prost(uint32, tag = "4")]
    pub active: u32,
    /// Requests queued at the engine.
    #[prost(uint32, tag = "5")]
    pub queued: u32,
    /// Requests, queued or in the batch, that have no first token yet.
    #[prost(uint32, tag = "6")]
    pub awaiting_first_token: u32,
    /// Prompt tokens of the requests that arrived recently.
    #[prost(uint64, tag = "7")]
    pub recent_tokens: u64,
    /// KV cache memory in use, in tokens.
    #[prost(uint64, tag = "8")]
    pub kv_used: u64,
    /// KV cache memory in total, in tokens.
    #[prost(uint64, tag = "9")]
    pub kv_total: u64,
}

impl From<&EngineStatus> for EngineLoad {
    fn from(status: &EngineStatus) -> Self {
        Self {
            engine: status.engine.clone(),
            sequence: status.sequence,
            started_ms: status.started_ms,
            active: status.active,
            queued: status.queued,
            awaiting_first_token: status.awaiting_first_token,
            recent_tokens: status.recent_tokens,
            kv_used: status.kv_used,
            kv_total: status.kv_total,
        }
    }
}

impl From<&EngineLoad> for LoadReport {
    fn from(load: &EngineLoad) -> Self {
        Self {
            active: load.active,
            queued: load.queued,
            awaiting_first_token: load.awaiting_first_token,
            recent_tokens: load.recent_tokens,
            kv_used: load.kv_used,
            kv_total: load.kv_total,
        }
    }
}

impl EngineStatus {
    /// The models of the engine, in the form that request routing uses.
    pub fn residency(&self) -> Residency {
        let model = |m: &LoadedModel| forwarding::LoadedModel {
            name: m.name.as_str().into(),
            adapters: m.adapters.iter().map(|a| a.as_str().into()).collect(),
        };
        Residency {
            loaded: self.loaded.iter().map(model).collect(),
            cached: self.cached.iter().map(|m| m.as_str().into()).collect(),
            order_in_progress: self.order_in_progress,
        }
    }
}

impl From<&forwarding::LoadedModel> for LoadedModel {
    fn from(model: &forwarding::LoadedModel) -> Self {
        let adapters = model.adapters.iter().map(ToString::to_string).collect();
        Self { name: model.name.to_string(), adapters }
    }
}

/// Status of a gateway, for other gateways.
#[derive(Clone, PartialEq, Message)]
pub struct GatewayStatus {
    /// The gateway accepts requests.
    #[prost(bool, tag = "1")]
    pub serving: bool,
    /// Demand by model; sent only to the gateway that plans placement.
    #[prost(message, repeated, tag = "2")]
    pub demand: Vec<Demand>,
    // Tag 3 was the number of crashes by request; see [`CrashReports`].
    /// Addresses of some gateways from which it receives messages.
    #[prost(string, repeated, tag = "4")]
    pub gateways: Vec<String>,
    /// Availability zone of the gateway.
    #[prost(string, tag = "5")]
    pub zone: String,
}

/// Demand for a model, as one gateway sees it.
#[derive(Clone, PartialEq, Message)]
pub struct Demand {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The model.
    #[prost(string, tag = "2")]
    pub model: String,
    /// Prompt tokens per second.
    #[prost(float, tag = "3")]
    pub tokens_per_s: f32,
    /// Requests that wait for an engine with the model.
    #[prost(uint32, tag = "4")]
    pub waiting: u32,
}

/// Requests that may have crashed endpoints.
#[derive(Clone, PartialEq, Message)]
pub struct CrashReports {
    /// One report for each request.
    #[prost(message, repeated, tag = "1")]
    pub reports: Vec<CrashReport>,
}

/// The crashes of endpoints while one request ran there.
#[derive(Clone, PartialEq, Message)]
pub struct CrashReport {
    /// Fingerprint of the request.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Crashes that it may have caused.
    #[prost(fixed64, repeated, tag = "2")]
    pub crashes: Vec<u64>,
    /// Crashes that a complete run of it has cleared.
    #[prost(fixed64, repeated, tag = "3")]
    pub cleared: Vec<u64>,
}

impl CrashReport {
    /// The report on a request; `None` if the suspect is of another kind.
    pub fn of_request(report: quarantine::CrashReport) -> Option<Self> {
        let quarantine::CrashReport { suspect, crashes, cleared } = report;
        Some(Self { fingerprint: suspect.request()?, crashes, cleared })
    }
}

impl From<CrashReport> for quarantine::CrashReport {
    fn from(report: CrashReport) -> Self {
        let CrashReport { fingerprint, crashes, cleared } = report;
        Self { suspect: quarantine::Suspect::Request(fingerprint), crashes, cleared }
    }
}

/// The store's records as cached by a gateway, for a gateway that starts while the
/// store is unavailable. Transferred over HTTP, since it is too large for a datagram.
#[derive(Clone, PartialEq, Message)]
pub struct CachedRecords {
    /// The configuration in force, unchanged from the store.
    #[prost(bytes = "vec", tag = "1")]
    pub configuration: Vec<u8>,
    /// Endpoint registrations.
    #[prost(message, repeated, tag = "2")]
    pub registrations: Vec<CachedRecord>,
}

/// One record of the store.
#[derive(Clone, PartialEq, Message)]
pub struct CachedRecord {
    /// Key of the record.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Value of the record.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
}

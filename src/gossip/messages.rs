//! Gossip messages, encoded as protocol buffers. Fields are only ever added, so that
//! processes of different versions understand each other.

use prost::{Message, UnknownEnumValue};

use crate::{
    core::{
        forwarding::{self, LoadReport, Residency},
        quarantine::{self, Suspect},
    },
    gossip::{
        AdmissionAnswer, AdmissionRequest, KeptSegments, LimitReports, MAX_DATAGRAM_BYTES, Part,
        QuotaReports, Streams,
    },
};

/// Bytes in a datagram of [`CrashReports`] beside the reports, at most.
const DATAGRAM_FRAMING_BYTES: usize = 3;
/// Bytes in front of each report: a tag and its length.
const REPORT_FRAMING_BYTES: usize = 3;

/// Envelope of every datagram.
#[derive(Clone, PartialEq, Message)]
pub struct Datagram {
    /// The message; absent when its kind is unknown to this version.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12")]
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
    /// From a gateway to another gateway.
    #[prost(message, tag = "6")]
    LimitReports(LimitReports),
    /// From a gateway to another gateway.
    #[prost(message, tag = "7")]
    Streams(Streams),
    /// From a gateway to another gateway.
    #[prost(message, tag = "8")]
    TrialClaims(TrialClaims),
    /// From a gateway to another gateway.
    #[prost(message, tag = "9")]
    QuotaReports(QuotaReports),
    /// From a gateway to an engine agent.
    #[prost(message, tag = "10")]
    AdmissionRequest(AdmissionRequest),
    /// From an engine agent to a gateway.
    #[prost(message, tag = "11")]
    AdmissionAnswer(AdmissionAnswer),
    /// A part of any other message that is larger than a datagram.
    #[prost(message, tag = "12")]
    Part(Part),
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
    /// Id under which the gateway knows the engine; empty from earlier versions.
    #[prost(string, tag = "6")]
    pub engine_id: String,
    /// Start of that engine in Unix milliseconds, by its own clock; 0 if it is unknown.
    #[prost(uint64, tag = "7")]
    pub engine_started_ms: u64,
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
    /// The agent admits prompts: gateways ask it before they send one.
    #[prost(bool, tag = "19")]
    pub admits: bool,
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
    /// Gateways from which it has heard, itself included.
    #[prost(uint32, tag = "6")]
    pub known: u32,
    /// It knows all gateways that were there when it started.
    #[prost(bool, tag = "7")]
    pub is_informed: bool,
    /// Version of the configuration in force; 0 if there is none, and from earlier versions.
    #[prost(uint64, tag = "8")]
    pub configuration: u64,
    /// Prompt segments that engines have begun to keep; absent from earlier versions.
    #[prost(message, optional, tag = "9")]
    pub kept: Option<KeptSegments>,
}

impl From<&GatewayStatus> for forwarding::ShareReport {
    fn from(status: &GatewayStatus) -> Self {
        Self { processes: status.known as usize, is_informed: status.is_informed }
    }
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
    /// Requests that run or wait.
    #[prost(uint32, tag = "5")]
    pub requests: u32,
    /// KV cache tokens that the running requests occupy when they end.
    #[prost(uint64, tag = "6")]
    pub kv_tokens: u64,
}

/// Suspects of crashes of endpoints.
#[derive(Clone, PartialEq, Message)]
pub struct CrashReports {
    /// One report for each suspect.
    #[prost(message, repeated, tag = "1")]
    pub reports: Vec<CrashReport>,
}

impl CrashReports {
    /// Distributes reports over messages that fit into a datagram each.
    pub fn batches(reports: impl IntoIterator<Item = CrashReport>) -> Vec<Self> {
        let mut batches: Vec<Self> = Vec::new();
        let mut bytes_left = 0;
        for report in reports {
            let bytes = report.encoded_len() + REPORT_FRAMING_BYTES;
            match batches.last_mut().filter(|_| bytes <= bytes_left) {
                Some(batch) => batch.reports.push(report),
                None => {
                    batches.push(Self { reports: vec![report] });
                    bytes_left = MAX_DATAGRAM_BYTES - DATAGRAM_FRAMING_BYTES;
                }
            }
            bytes_left = bytes_left.saturating_sub(bytes);
        }
        batches
    }
}

/// Suspects of crashes whose trials the sender could run, since requests with them reach it.
#[derive(Clone, PartialEq, Message)]
pub struct TrialClaims {
    /// Fingerprints of requests and ids of segments.
    #[prost(fixed64, repeated, tag = "1")]
    pub suspects: Vec<u64>,
}

/// The crashes of endpoints that one suspect may have caused.
#[derive(Clone, PartialEq, Message)]
pub struct CrashReport {
    /// Fingerprint of the request or id of the segment.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Crashes that it may have caused.
    #[prost(fixed64, repeated, tag = "2")]
    pub crashes: Vec<u64>,
    /// Crashes that a later run of it has cleared.
    #[prost(fixed64, repeated, tag = "3")]
    pub cleared: Vec<u64>,
    /// What the suspect is, a [`SuspectKind`].
    #[prost(enumeration = "SuspectKind", tag = "4")]
    pub kind: i32,
    /// Whether a run of the segment has been sound in any gateway.
    #[prost(bool, tag = "5")]
    pub sound: bool,
    /// Hash of the request's headers in the run of each crash.
    #[prost(fixed32, repeated, tag = "6")]
    pub headers: Vec<u32>,
}

/// Kinds of suspects of a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum SuspectKind {
    /// A whole request.
    Request = 0,
    /// A segment of a prompt.
    Segment = 1,
}

impl From<quarantine::CrashReport> for CrashReport {
    fn from(report: quarantine::CrashReport) -> Self {
        let quarantine::CrashReport { suspect, crashes, cleared, sound, headers } = report;
        let (kind, id) = match suspect {
            Suspect::Request(fingerprint) => (SuspectKind::Request, fingerprint),
            Suspect::Segment(segment) => (SuspectKind::Segment, segment),
        };
        Self { id, crashes, cleared, kind: kind.into(), sound, headers }
    }
}

impl TryFrom<CrashReport> for quarantine::CrashReport {
    type Error = UnknownEnumValue;

    fn try_from(report: CrashReport) -> Result<Self, UnknownEnumValue> {
        let CrashReport { id, crashes, cleared, kind, sound, headers } = report;
        let suspect = match SuspectKind::try_from(kind)? {
            SuspectKind::Request => Suspect::Request(id),
            SuspectKind::Segment => Suspect::Segment(id),
        };
        Ok(Self { suspect, crashes, cleared, sound, headers })
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

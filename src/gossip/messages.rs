//! The messages. They are encoded as protocol buffers; fields are only added.

use prost::Message;

use crate::core::forwarding::{LoadReport, LoadedModel, Residency};

/// One datagram.
#[derive(Clone, PartialEq, Message)]
pub struct Datagram {
    /// What it says.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4")]
    pub body: Option<Body>,
}

/// The kinds of datagrams.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Gateway to agent.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Agent to gateways.
    #[prost(message, tag = "2")]
    State(State),
    /// Gateway to gateway.
    #[prost(message, tag = "3")]
    Peer(Peer),
    /// Agent to the gateways that use its engine.
    #[prost(message, tag = "4")]
    Load(Load),
}

/// A gateway is there, and what it wishes of the agent.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// The gateway takes requests.
    #[prost(bool, tag = "1")]
    pub serving: bool,
    /// The gateway plans placement for the fleet.
    #[prost(bool, tag = "2")]
    pub plans: bool,
    /// What it wishes.
    #[prost(message, repeated, tag = "3")]
    pub wishes: Vec<Wish>,
    /// What its requests use at the engine, as MODEL or MODEL/ADAPTER.
    #[prost(string, repeated, tag = "4")]
    pub used: Vec<String>,
    /// The gateway does not know what the engine holds.
    #[prost(bool, tag = "5")]
    pub asks: bool,
}

/// What an engine is to hold or to give up.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Wish {
    /// Load or unload.
    #[prost(enumeration = "WishKind", tag = "1")]
    pub kind: i32,
    /// The model.
    #[prost(string, tag = "2")]
    pub model: String,
    /// An adapter of it; empty for the model itself.
    #[prost(string, tag = "3")]
    pub adapter: String,
}

/// Kinds of wishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum WishKind {
    /// Hold it.
    Load = 0,
    /// Give it up.
    Unload = 1,
}

/// A model that an engine holds.
#[derive(Clone, PartialEq, Message)]
pub struct Held {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its adapters.
    #[prost(string, repeated, tag = "2")]
    pub adapters: Vec<String>,
}

/// What an agent knows of its engine.
#[derive(Clone, PartialEq, Message)]
pub struct State {
    /// Address of the engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Counts the states of this start of the agent.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Models that it holds.
    #[prost(message, repeated, tag = "3")]
    pub held: Vec<Held>,
    /// Models that load fast.
    #[prost(string, repeated, tag = "4")]
    pub at_hand: Vec<String>,
    /// An order is in progress.
    #[prost(bool, tag = "5")]
    pub busy: bool,
    /// Requests in its batch.
    #[prost(uint32, tag = "6")]
    pub active: u32,
    /// Requests that wait at it.
    #[prost(uint32, tag = "7")]
    pub queued: u32,
    /// Requests without a first token.
    #[prost(uint32, tag = "8")]
    pub unread: u32,
    /// Memory that is taken, tokens.
    #[prost(uint64, tag = "9")]
    pub kv_used: u64,
    /// Memory, tokens.
    #[prost(uint64, tag = "10")]
    pub kv_total: u64,
    /// It is leaving.
    #[prost(bool, tag = "11")]
    pub draining: bool,
    /// Addresses of the gateways that the agent hears.
    #[prost(string, repeated, tag = "12")]
    pub gateways: Vec<String>,
    /// The model that is being loaded; empty when there is none.
    #[prost(string, tag = "13")]
    pub loading: String,
    /// Unix milliseconds of the agent's start, by its own clock.
    #[prost(uint64, tag = "14")]
    pub started: u64,
    /// Memory that weights and adapters take, mebibytes.
    #[prost(uint64, tag = "15")]
    pub taken: u64,
    /// The agent can give orders.
    #[prost(bool, tag = "16")]
    pub able: bool,
    /// Prompt tokens of the requests that came lately.
    #[prost(uint64, tag = "17")]
    pub recent_tokens: u64,
    /// Models that requests of some gateway use.
    #[prost(string, repeated, tag = "18")]
    pub in_use: Vec<String>,
}

/// What has changed at an engine that holds what it held.
#[derive(Clone, PartialEq, Message)]
pub struct Load {
    /// Address of the engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Counts the messages of this start of the agent, states included.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Unix milliseconds of the agent's start, by its own clock.
    #[prost(uint64, tag = "3")]
    pub started: u64,
    /// Requests in its batch.
    #[prost(uint32, tag = "4")]
    pub active: u32,
    /// Requests that wait at it.
    #[prost(uint32, tag = "5")]
    pub queued: u32,
    /// Requests without a first token.
    #[prost(uint32, tag = "6")]
    pub unread: u32,
    /// Prompt tokens of the requests that came lately.
    #[prost(uint64, tag = "7")]
    pub recent_tokens: u64,
    /// Memory that is taken, tokens.
    #[prost(uint64, tag = "8")]
    pub kv_used: u64,
    /// Memory, tokens.
    #[prost(uint64, tag = "9")]
    pub kv_total: u64,
}

impl From<&State> for Load {
    fn from(state: &State) -> Self {
        Self {
            engine: state.engine.clone(),
            number: state.number,
            started: state.started,
            active: state.active,
            queued: state.queued,
            unread: state.unread,
            recent_tokens: state.recent_tokens,
            kv_used: state.kv_used,
            kv_total: state.kv_total,
        }
    }
}

impl From<&Load> for LoadReport {
    fn from(load: &Load) -> Self {
        Self {
            active: load.active,
            queued: load.queued,
            awaiting_first_token: load.unread,
            recent_tokens: load.recent_tokens,
            kv_used: load.kv_used,
            kv_total: load.kv_total,
        }
    }
}

impl State {
    /// What the engine holds.
    pub fn residency(&self) -> Residency {
        let model = |h: &Held| LoadedModel {
            name: h.name.as_str().into(),
            adapters: h.adapters.iter().map(|a| a.as_str().into()).collect(),
        };
        Residency {
            loaded: self.held.iter().map(model).collect(),
            cached: self.at_hand.iter().map(|m| m.as_str().into()).collect(),
            order_in_progress: self.busy,
        }
    }
}

impl From<&LoadedModel> for Held {
    fn from(held: &LoadedModel) -> Self {
        let adapters = held.adapters.iter().map(ToString::to_string).collect();
        Self { name: held.name.to_string(), adapters }
    }
}

/// What a gateway has seen.
#[derive(Clone, PartialEq, Message)]
pub struct Peer {
    /// It takes requests.
    #[prost(bool, tag = "1")]
    pub serving: bool,
    /// Demand by model.
    #[prost(message, repeated, tag = "2")]
    pub demand: Vec<Demand>,
    /// Requests that broke endpoints lately.
    #[prost(message, repeated, tag = "3")]
    pub suspicions: Vec<Suspicion>,
    /// Addresses of the gateways that it hears.
    #[prost(string, repeated, tag = "4")]
    pub gateways: Vec<String>,
    /// Its availability zone.
    #[prost(string, tag = "5")]
    pub zone: String,
}

/// Demand for a model at one gateway.
#[derive(Clone, PartialEq, Message)]
pub struct Demand {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The model.
    #[prost(string, tag = "2")]
    pub model: String,
    /// Prompt tokens a second.
    #[prost(float, tag = "3")]
    pub tokens_per_s: f32,
    /// Requests that wait for a copy.
    #[prost(uint32, tag = "4")]
    pub waiting: u32,
}

/// A request that broke endpoints.
#[derive(Clone, PartialEq, Message)]
pub struct Suspicion {
    /// Its fingerprint.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// How often.
    #[prost(uint32, tag = "2")]
    pub breaks: u32,
}

/// What a gateway knows of the store's records, for one that starts while the store
/// is away. It is asked for over HTTP, since it fits no datagram.
#[derive(Clone, PartialEq, Message)]
pub struct KnownRecords {
    /// The configuration in force, as the store gave it.
    #[prost(bytes = "vec", tag = "1")]
    pub configuration: Vec<u8>,
    /// Registrations of endpoints.
    #[prost(message, repeated, tag = "2")]
    pub registrations: Vec<KnownRecord>,
}

/// A record of the store.
#[derive(Clone, PartialEq, Message)]
pub struct KnownRecord {
    /// Its key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Its value.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
}

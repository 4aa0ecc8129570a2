//! Forwarding of requests to endpoints: routes, registrations, load, queueing and
//! retries.

mod decision;
mod dispatcher;
mod endpoints;
mod event_splitter;
mod kept_prompts;
mod load;
mod missing_models;
mod model_loads;
mod poll;
mod prefill_speed;
mod requirements;
mod rests;
mod retry_budget;
mod retry_share;
mod routes;
mod selection;
mod store_outage;
mod subset;
mod time_limit;
mod version_gap;
mod wait_queue;
mod waits;

pub use decision::{Decision, ModelRef, RefusalReason, WantedAdapter};
pub use dispatcher::{Dispatcher, Ticket};
pub use endpoints::{
    Change, Endpoint, EndpointRegistry, EndpointState, LoadedModel, Registration, Residency,
};
pub use event_splitter::{EventSplitter, StreamError};
pub use kept_prompts::{ChainKey, EngineHash, KeptPrompts, KeptSegment, ReportedSegment, chain};
pub use load::{EndpointLoad, LoadReport};
pub use missing_models::MissingModels;
pub use model_loads::ModelLoads;
pub use prefill_speed::PrefillSpeeds;
pub use requirements::{PromptSegment, Requirements};
pub use rests::{EndedRest, EndpointRests};
pub use retry_budget::RetryBudget;
pub use retry_share::{RetryShare, ShareReport};
pub use routes::{
    DEFAULT_PAUSE_TARGET, EngineSpec, ModelSpec, RequestLimits, Route, RouteKind, RouteTable,
    Service, ServiceName, WeightedService,
};
pub use selection::Locality;
pub(crate) use selection::PREFILL_TOKENS_PER_MS;
pub use store_outage::StoreOutage;
pub use subset::EndpointSubset;
pub use time_limit::TimeLimit;
pub use version_gap::VersionGap;

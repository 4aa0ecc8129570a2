//! Requests forwarded to endpoints: routes, endpoints, load, waiting and retries.

mod choice;
mod decision;
mod dispatcher;
mod endpoints;
mod events;
mod load;
mod requirements;
mod retry_budget;
mod routes;
mod sharing;
mod suspects;

pub use choice::Place;
pub use decision::{Decision, ModelRef, RefusalReason, WantedAdapter};
pub use dispatcher::{Dispatcher, Ticket};
pub use endpoints::{
    Change, Endpoint, EndpointRegistry, EndpointState, LoadedModel, REREGISTRATION_GRACE,
    Registration, Residency,
};
pub use events::{Disorder, StreamEvents};
pub use load::{EndpointLoad, Reported};
pub use requirements::{PromptSegment, Requirements};
pub use retry_budget::RetryBudget;
pub use routes::{
    EngineSpec, ModelSpec, RequestLimits, Route, RouteKind, RouteTable, Service, ServiceName,
    WeightedService,
};
pub use sharing::Sharing;
pub use suspects::Suspects;

//! Requests forwarded to endpoints: routes, endpoints, load, waiting and retries.

mod choice;
mod decision;
mod dispatcher;
mod endpoints;
mod events;
mod load;
mod request;
mod retry_budget;
mod routes;
mod sharing;
mod suspects;

pub use choice::Place;
pub use decision::{Decision, ModelRef, RefusalReason, WantedAdapter};
pub use dispatcher::{Dispatcher, Ticket};
pub use endpoints::{
    Change, Endpoint, EndpointBook, EndpointState, HeldModel, LAPSE_GRACE, Registration, Residency,
};
pub use events::{Disorder, StreamEvents};
pub use load::{EndpointLoad, Reported};
pub use request::{Needs, PromptPart};
pub use retry_budget::RetryBudget;
pub use routes::{
    EngineSpec, Kind, ModelSpec, Route, RouteTable, SenderLimits, Service, ServiceName, Share,
};
pub use sharing::Sharing;
pub use suspects::Suspects;

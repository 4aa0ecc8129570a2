//! The agent process of one endpoint, the only process that sends it orders and requests.

mod backend;
mod crashes;
mod http_backend;
mod lifecycle;
mod orders;
mod process;
mod residency;
mod rpc;
mod run;
mod shared;

pub use backend::{Backend, BackendError, EngineReport, ServiceReply, TokenStream};
pub use http_backend::{HttpBackend, OrderRequest};
pub use process::{AgentProcess, start};
pub use shared::Identity;

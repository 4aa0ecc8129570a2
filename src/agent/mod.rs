//! The process beside one endpoint: it alone gives the endpoint orders and requests.

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
pub use http_backend::{HttpBackend, NumberedOrder};
pub use process::{AgentProcess, start};
pub use shared::Identity;

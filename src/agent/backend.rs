//! The engine or plain service beside an agent.

use std::{fmt, future::Future};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::core::orders::{EngineState, FencingToken, Order, OrderResult};

/// What an engine reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// What it holds.
    pub state: EngineState,
    /// Changes with each start of the engine.
    pub boot: u64,
}

/// Why a call to the backend failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendError {
    /// The backend refused the call and did not run it.
    Refused(String),
    /// The call was not sent.
    NotSent(String),
    /// The backend may have run the call.
    Interrupted(String),
}

impl fmt::Display for BackendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(text) => write!(f, "the backend refused the call: {text}"),
            Self::NotSent(text) => write!(f, "the backend cannot be reached: {text}"),
            Self::Interrupted(text) => write!(f, "the call to the backend was interrupted: {text}"),
        }
    }
}

/// The answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceReply {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
}

/// The tokens of an answer. Dropping it cancels the run.
pub trait TokenStream: Send {
    /// The text of the next token; nothing at the regular end.
    fn next(&mut self) -> impl Future<Output = Result<Option<Bytes>, BackendError>> + Send;
}

/// A client of the backend.
pub trait Backend: Clone + Send + Sync + 'static {
    /// The tokens of an answer.
    type Tokens: TokenStream;

    /// Reads the engine's report.
    fn report(&self) -> impl Future<Output = Result<EngineReport, BackendError>> + Send;

    /// Gives the engine an order.
    fn send_order(
        &self,
        number: FencingToken,
        order: &Order,
    ) -> impl Future<Output = Result<OrderResult, BackendError>> + Send;

    /// Starts a completion. `path` is the path that the caller used.
    fn complete(
        &self,
        path: &str,
        body: Bytes,
    ) -> impl Future<Output = Result<Self::Tokens, BackendError>> + Send;

    /// Calls a plain service.
    fn call(
        &self,
        path: &str,
        body: Bytes,
    ) -> impl Future<Output = Result<ServiceReply, BackendError>> + Send;
}

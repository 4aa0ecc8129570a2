//! Interface to the engine or plain service that an agent controls.

use std::{fmt, future::Future};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::core::orders::{EngineState, FencingToken, Order, OrderResult};

/// Status that an engine reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Role and resources of the engine.
    pub state: EngineState,
    /// Number that differs between starts of the engine.
    pub boot: u64,
}

/// Why a call to the backend failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendError {
    /// The backend refused the call and did not run it.
    Refused(String),
    /// The call was not sent.
    NotSent(String),
    /// The call was interrupted; the backend may have run it.
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

/// Response of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceReply {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub content_type: String,
    /// Response body.
    pub body: Bytes,
}

/// Stream of the tokens of a completion. Dropping it cancels the completion.
pub trait TokenStream: Send {
    /// Returns the text of the next token; `None` when the completion is complete.
    fn next(&mut self) -> impl Future<Output = Result<Option<Bytes>, BackendError>> + Send;
}

/// Client of a backend.
pub trait Backend: Clone + Send + Sync + 'static {
    /// Stream of the tokens of a completion.
    type Tokens: TokenStream;

    /// Reads the engine's report.
    fn report(&self) -> impl Future<Output = Result<EngineReport, BackendError>> + Send;

    /// Sends an order to the engine and waits until it is executed.
    fn send_order(
        &self,
        number: FencingToken,
        order: &Order,
    ) -> impl Future<Output = Result<OrderResult, BackendError>> + Send;

    /// Starts a completion. `path` is the path of the caller's request.
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

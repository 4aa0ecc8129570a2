//! Orders to an engine, and the engine's answers.

use std::sync::Arc;

use crate::core::ids::{EndpointId, ModelName};

/// Kind of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Operation {
    /// Load a model or an adapter.
    Load,
    /// Unload a model or an adapter.
    Unload,
}

/// An order to load or unload a model or an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// Engine that is to carry it out; any other refuses it. `None` if no gateway has named
    /// the engine.
    pub endpoint: Option<EndpointId>,
    /// Whether to load or unload.
    pub operation: Operation,
    /// Model to load or unload, or the model of the adapter.
    pub model: ModelName,
    /// Adapter to load or unload; `None` when the order is for the model itself.
    pub adapter: Option<Arc<str>>,
    /// Number of orders that the engine must have accepted so far; with any other
    /// number it refuses the order.
    pub expected: u64,
    /// Fencing token; never decreases.
    pub fence: u64,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order is being executed, or its effect is already in place.
    Accepted,
    /// Another order is in progress, or the expected number of orders differs.
    Conflict,
    /// The engine has seen a newer fencing token.
    Fenced,
    /// Another engine has the address, and does not carry the order out.
    OtherEndpoint,
    /// Permanently refused, with this HTTP status.
    Refused(u16),
}

/// Reason why an order has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderError {
    /// The order was not sent.
    NotSent(String),
    /// The outcome is unknown: the order may still be executed.
    Unknown(String),
}

//! Orders to an engine and its answers.

use std::sync::Arc;

use crate::core::ids::ModelName;

/// What an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Operation {
    /// Load a model or an adapter.
    Load,
    /// Unload a model or an adapter.
    Unload,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// What to do.
    pub operation: Operation,
    /// The model.
    pub model: ModelName,
    /// An adapter of the model; else the model itself.
    pub adapter: Option<Arc<str>>,
    /// The engine refuses the order if it has accepted another number of orders.
    pub expected: u64,
    /// Fencing token; it never goes back.
    pub fence: u64,
}

/// What an engine answers to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is being carried out, or what it asks for holds already.
    Accepted,
    /// Another order is in progress, or the number of orders differs.
    Conflict,
    /// A newer fencing token was seen.
    Fenced,
    /// The engine refuses it for good, with this status.
    Refused(u16),
}

/// Why an order has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderError {
    /// It was not sent.
    NotSent(String),
    /// It may be carried out, now or later.
    Unknown(String),
}

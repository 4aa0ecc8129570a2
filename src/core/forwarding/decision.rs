//! What is decided on a request.

use std::{sync::Arc, time::Duration};

use crate::core::ids::{EndpointId, ModelName};

/// A model, or an adapter of it.
pub type ModelRef = (ModelName, Option<Arc<str>>);

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No endpoint of the service is usable.
    NoEndpoint,
    /// Every endpoint that could serve it is full.
    Full,
    /// No endpoint holds the model in time.
    NotResident,
    /// The configuration has no such model or adapter.
    UnknownModel,
    /// The configuration has no such service.
    UnknownService,
}

/// What is to happen with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it there.
    Send(EndpointId),
    /// Refuse it; it may come back after the delay.
    Refuse(RefusalReason, Duration),
}

/// An adapter that an endpoint is to load, since requests wait for it there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WantedAdapter {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The model, which the endpoint holds.
    pub model: ModelName,
    /// The adapter.
    pub adapter: Arc<str>,
}

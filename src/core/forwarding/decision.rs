//! Decisions of the dispatcher.

use std::{sync::Arc, time::Duration};

use crate::core::ids::{EndpointId, ModelName};

/// A model, or one of its adapters.
pub type ModelRef = (ModelName, Option<Arc<str>>);

/// Why the dispatcher refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No endpoint of the service accepts requests.
    NoEndpoint,
    /// Every eligible endpoint is at capacity.
    Full,
    /// No endpoint loaded the model in time.
    NotResident,
    /// Every eligible endpoint limits its requests, and none takes one more in time.
    Limited,
    /// Every eligible endpoint has asked for rest, and none takes one more in time.
    Resting,
    /// No other endpoint of the software version that began the stream accepts requests.
    NoVersion,
    /// The model is not configured.
    UnknownModel,
    /// The service is not configured.
    UnknownService,
}

/// The outcome for a queued request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to this endpoint.
    Send(EndpointId),
    /// Refuse it; the caller may retry after the delay.
    Refuse(RefusalReason, Duration),
}

/// An adapter that an endpoint should load because queued requests need it there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WantedAdapter {
    /// The endpoint that should load it.
    pub endpoint: EndpointId,
    /// The model, which the endpoint has loaded.
    pub model: ModelName,
    /// The adapter's name.
    pub adapter: Arc<str>,
}

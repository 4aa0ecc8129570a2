//! Endpoints that ask for rest or leave, as their responses say.

use std::sync::Arc;

use log::{info, warn};

use crate::{
    core::ids::EndpointId,
    gateway::shared::SharedState,
    platform::{RequestedRest, ResponseHead},
};

/// Records what a response says of its endpoint's rest and its leaving.
pub(super) fn record_response(
    _shared: &Arc<SharedState>,
    request: &[u8],
    endpoint: &EndpointId,
    head: &ResponseHead,
) {
    let id = String::from_utf8_lossy(request);
    match head.rest {
        RequestedRest::None => {}
        RequestedRest::For(rest) => {
            info!("event=rest_asked endpoint={endpoint} rest_ms={} id={id}", rest.as_millis());
        }
        RequestedRest::Invalid => warn!("event=rest_unreadable endpoint={endpoint} id={id}"),
    }
    if head.is_leaving {
        info!("event=endpoint_leaves endpoint={endpoint} id={id}");
    }
}

//! Adapters to the platform: its store, its engines and its HTTP headers.
//!
//! The platform's names and formats on the wire are decoded only here, into the types of
//! this crate. This module makes no decisions.

mod account_headers;
mod accounts;
mod configuration;
mod engine;
mod headers;
mod log;
mod merged_head;
mod registration;
mod store;

pub use account_headers::{api_key, remove_account_headers, set_account};
pub use configuration::{CONFIG_KEY, decode_configuration};
pub use engine::{EngineClient, engine_start};
pub use headers::{
    ForwardParams, RequestHead, RequestedRest, ResponseHead, forwarded_headers, header_hash,
    last_event_id, named_limit, parse_request_head, parse_response_head, requested_rest,
    response_headers, resumed_attempt,
};
pub use headers::{NotRunReason, READY_PATH};
pub use merged_head::is_merged_head;
pub use registration::decode_registration;
pub use store::{
    CONFIGURATION, GATEWAYS, KeyedRecord, NewestRecords, Position, QUARANTINE, REGISTRATIONS,
    ReadPage, STATUS, Store, StoreEra, StoreError, Topic,
};

use std::fmt;

/// Error for a document of the platform that cannot be read or decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError(
    /// Description of the error.
    pub String,
);

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<serde_json::Error> for DecodeError {
    fn from(err: serde_json::Error) -> Self {
        Self(err.to_string())
    }
}

//! Translation between the product and the prepared platform.
//!
//! Names on the wire of the platform are decoded here, once, into the types of
//! the product. Nothing here decides anything.

mod configuration;
mod engine;
mod headers;
mod log;
mod registration;
mod store;

pub use configuration::{CONFIG_KEY, decode_configuration};
pub use engine::EngineClient;
pub use headers::{
    ForwardParams, RequestHead, ResponseHead, forwarded_headers, last_event_id, parse_request_head,
    parse_response_head, response_headers,
};
pub use headers::{NotRunReason, READY_PATH};
pub use registration::decode_registration;
pub use store::{
    CONFIGURATION, KeyedRecord, NewestRecords, REGISTRATIONS, ReadPage, STATUS, Store, StoreError,
    Topic,
};

use std::fmt;

/// A document of the platform that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError(
    /// What is wrong with it.
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

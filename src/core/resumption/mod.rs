//! At which software version a stream may go on: the one that wrote its first event.
//!
//! The process that sends the first event to the caller tells a few others. One that the
//! caller comes back to asks for what it was not told.

mod holders;
mod lookups;
mod service_versions;
mod stream_origins;
mod stream_version;

pub use holders::{HOLDERS, holders};
pub use lookups::{Lookup, LookupState, Lookups};
pub use service_versions::ServiceVersions;
pub use stream_origins::{Origin, OriginReport, StreamOrigins};
pub use stream_version::{StreamVersion, resumed_version};

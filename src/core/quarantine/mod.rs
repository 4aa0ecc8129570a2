//! Keeps one request that crashes endpoints from taking many of them.

mod registry;

pub use registry::{AttemptEnd, Permit, QuarantineRegistry};

//! Limits how many endpoints a request that crashes them can reach.

mod registry;

pub use registry::{AttemptEnd, Permit, QuarantineRegistry};

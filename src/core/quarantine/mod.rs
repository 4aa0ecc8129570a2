//! Keeps one request that crashes endpoints from taking many of them.

mod registry;

pub use registry::{Ended, Permit, Registry};

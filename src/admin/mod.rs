//! Metrics and health of a process on an address of its own.

mod server;

pub use server::{AdminServer, start, start_with};

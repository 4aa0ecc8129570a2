//! HTTP server for the metrics and health checks of a process, on its own address.

mod server;

pub use server::{AdminServer, start, start_with_readiness};

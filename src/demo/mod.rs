//! A small fleet on loopback with stand-ins: for the demo and for tests.

mod client;
mod cluster;
mod listeners;
mod node;
mod report;
mod scenario;
mod spec;

pub use client::{ApiClient, CompletionRequest, RequestResult};
pub use cluster::LocalCluster;
pub use node::Node;
pub use scenario::{DemoError, run, serve_forever};
pub use spec::{ClusterSpec, EngineSpec, Site};

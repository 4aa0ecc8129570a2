//! A complete small cluster on loopback with in-process fakes of the engines, the
//! services and the platform. The demo, the benchmarks and the end-to-end tests use it.

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

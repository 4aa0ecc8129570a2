//! Simulated engines, services and platform parts for tests, benchmarks and the demo.

mod engine;
mod engine_http;
mod log;
mod service;
mod vm_list;

pub use engine::{EngineProfile, FakeEngine, WeightStore};
pub use log::{Access, FakeLog, LogCopy, LogFaults};
pub use service::FakeService;
pub use vm_list::FakeVmList;

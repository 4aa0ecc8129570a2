//! A small fleet on loopback with stand-ins: for the demo and for tests.

mod bed;
mod load;
mod node;
mod report;
mod scenario;

pub use bed::{Bed, BedShape, EngineSpec, Site};
pub use load::{CallResult, Caller, Completion};
pub use node::Node;
pub use scenario::{DemoError, run, serve_forever};

//! A small fleet on loopback with stand-ins: for the demo and for tests.

mod bed;
mod load;
mod node;
mod place;
mod report;
mod scenario;
mod shape;

pub use bed::Bed;
pub use load::{CallResult, Caller, Completion};
pub use node::Node;
pub use scenario::{DemoError, run, serve_forever};
pub use shape::{BedShape, EngineSpec, Site};

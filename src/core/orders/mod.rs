//! Orders to one engine: load, unload and role change.

mod controller;
mod order;

pub use controller::{Action, Controller, ControllerSettings, Event};
pub use order::{EngineState, FencingToken, Order, OrderResult, Role};

//! Orders to one engine: load, unload, change of role.

mod controller;
mod order;

pub use controller::{Action, Controller, Event, Settings};
pub use order::{EngineState, Fencing, Order, OrderResult, Role};

//! The timer service: one task keeps all timers, parts subscribe to it.

mod service;

pub use service::{Ticks, Timers};

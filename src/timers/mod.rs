//! Timer service: one task drives all periodic timers, and parts of the process subscribe.

mod service;

pub use service::{Ticks, Timers};

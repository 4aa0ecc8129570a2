//! The decisions, without input or output and without a clock of their own.
//!
//! Each part takes events with the time at which they happened and returns
//! what to do. Others can embed a part by itself.

pub mod attempt;
pub mod config;
pub mod forwarding;
pub mod hash;
pub mod idempotency;
pub mod ids;
pub mod limits;
pub mod memory;
pub mod orders;
pub mod placement;
pub mod quarantine;
pub mod residency;
pub mod routing;
pub mod scheduling;

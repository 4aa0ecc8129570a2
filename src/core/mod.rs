//! Decision logic without I/O and without a clock of its own.
//!
//! Each module takes timestamped events and returns the actions to perform, and can be
//! embedded on its own.

pub mod accounts;
pub mod admission;
pub mod attempt;
pub mod config;
pub mod correlation;
pub mod forwarding;
pub mod hash;
pub mod idempotency;
pub mod ids;
pub mod limits;
pub mod membership;
pub mod memory;
pub mod orders;
pub mod placement;
pub mod quarantine;
pub mod residency;
pub mod resumption;
pub mod routing;
pub mod scheduling;

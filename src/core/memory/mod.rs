//! Accelerator memory accounting for one engine.

mod ledger;
mod resource;

pub use ledger::{InsufficientMemory, Ledger, Reservation, ReservationState};
pub use resource::Resource;

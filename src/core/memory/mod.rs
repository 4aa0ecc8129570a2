//! Accounting of one engine's accelerator memory.

mod ledger;
mod resource;

pub use ledger::{InsufficientMemory, Ledger, Reservation, ReservationState};
pub use resource::Resource;

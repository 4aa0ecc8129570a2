//! Accounting of one engine's accelerator memory.

mod ledger;
mod resource;

pub use ledger::{Ledger, NoRoom, Residency, Slot};
pub use resource::Resource;

//! What one engine holds, and the orders that change it.

mod arrivals;
mod desk;
mod order;
mod view;

pub use arrivals::Arrivals;
pub use desk::{Desk, WishSource};
pub use order::{EngineOrder, Operation, OrderAnswer, OrderError};
pub use view::{EngineView, RunView};

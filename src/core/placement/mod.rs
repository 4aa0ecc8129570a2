//! Which engine holds which model.

mod plan;
mod static_plan;

pub use plan::Plan;
pub use static_plan::static_plan;

//! Which engine holds which model.

mod demand;
mod fleet_plan;
mod needs;
mod plan;
mod static_plan;

pub use demand::DemandMeter;
pub use fleet_plan::{EngineNow, FleetPlan, ModelDemand, PlanWish};
pub use needs::needs;
pub use plan::Plan;
pub use static_plan::{same_inputs, static_plan};

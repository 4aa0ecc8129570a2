//! Placement of models on engines.

mod demand;
mod fleet_planner;
mod limited_engines;
mod plan;
mod planner_tenure;
mod required_resources;
mod static_plan;

pub use demand::DemandMeter;
pub use fleet_planner::{EngineSnapshot, FleetPlanner, ModelDemand, PlacementChange};
pub use limited_engines::discount_limited;
pub use plan::Plan;
pub use planner_tenure::PlannerTenure;
pub use required_resources::required_resources;
pub use static_plan::{same_inputs, static_plan};

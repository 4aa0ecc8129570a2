//! Orders to engines and the plan for the fleet, in virtual time.

mod fleet_planner;
mod order_scheduler;

//! Order scheduling for one engine and placement for the fleet, in virtual time.

mod fleet_planner;
mod order_scheduler;
mod restarted_agent;

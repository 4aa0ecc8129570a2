//! Orders to engines and the plan for the fleet, in virtual time.

mod order_scheduler;
mod plan;

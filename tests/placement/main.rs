//! Orders to engines and the plan for the fleet, in virtual time.

mod desk;
mod plan;

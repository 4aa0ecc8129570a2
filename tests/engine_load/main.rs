//! Gateways and engines under heavy load, in virtual time: how many streams are on time, compared
//! with two simpler decisions.

mod admission;
mod engine;
mod faults;
mod fleet;
mod gateway;
mod model_checks;
mod outcome;
mod patterns;
mod workload;

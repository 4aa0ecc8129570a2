//! Gateways and engines under heavy load, in virtual time: how many streams are on time, compared
//! with two simpler decisions.

mod engine;
mod fleet;
mod gateway;
mod outcome;
mod patterns;
mod workload;

//! What gateways know of the prompt segments that engines keep, and what its use in selection
//! brings, in virtual time.

mod engine;
mod fleet;
mod knowledge;
mod patterns;
mod setup;

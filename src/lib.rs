//! goldcrestpitch serves many models on fewer accelerators.
//!
//! [`core`] contains the decision logic without any I/O and can be embedded on its own; the
//! other modules connect it to sockets, settings and timers.

pub mod admin;
pub mod agent;
pub mod bench;
pub mod cli;
pub mod core;
pub mod demo;
pub mod engine_agent;
pub mod entry;
pub mod errors;
pub mod fakes;
pub mod fleet;
pub mod gateway;
pub mod gossip;
pub mod http;
pub mod platform;
pub mod rpc;
pub mod settings;
pub mod telemetry;
pub mod timers;

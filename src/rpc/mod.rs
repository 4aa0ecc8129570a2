//! Messages and connections of the RPCs between the processes of the system.

mod channels;
mod wire;

/// Code generated from `proto/goldcrestpitch.proto`; `tests/generated_code.rs` checks that
/// it is up to date.
#[allow(missing_docs, clippy::all, clippy::use_self)]
#[rustfmt::skip]
#[path = "generated/goldcrestpitch.v1.rs"]
pub mod pb;

pub use channels::Channels;

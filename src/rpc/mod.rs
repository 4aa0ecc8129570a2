//! RPCs between the system's processes.

mod channels;
mod wire;

/// Code generated from `proto/goldcrestpitch.proto`; `tests/generated_code.rs` keeps it current.
#[allow(missing_docs, clippy::all, clippy::use_self)]
#[rustfmt::skip]
#[path = "generated/goldcrestpitch.v1.rs"]
pub mod pb;

pub use channels::Channels;

//! HTTP client and server on top of hyper.

mod body;
mod client;
mod connections;
mod memory;
mod read_body;
mod request_body;
mod serial_client;
mod server;
mod sse;
mod tracked_body;

pub use body::{BodySender, ReplyAborted, ReplyBody};
pub use client::{Client, ClientError};
pub use memory::{HeldBuffer, MemoryBudget};
pub use read_body::read_body;
pub use request_body::RequestBody;
pub use serial_client::SerialClient;
pub use server::{
    ClientAddress, Reply, ServerLimits, Stop, StopSignal, json, refusal, serve, serve_with_limits,
    stop_channel, text,
};
pub use sse::SseParser;

//! HTTP client and server on top of hyper.

mod body;
mod client;
mod request_body;
mod server;
mod sse;

pub use body::{BodySender, ReplyAborted, ReplyBody};
pub use client::{Client, ClientError};
pub use request_body::RequestBody;
pub use server::{
    ClientAddress, HeaderLimits, Reply, Stop, StopSignal, json, read_body, refusal, serve,
    serve_with_limits, stop_channel, text,
};
pub use sse::SseParser;

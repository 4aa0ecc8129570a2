//! HTTP plumbing over hyper, for both sides.

mod body;
mod client;
mod server;
mod sse;

pub use body::{Broken, ReplyBody, Sender};
pub use client::{Client, ClientError};
pub use server::{
    Reply, ServeLimits, Stop, StopSignal, json, read_body, refusal, serve, serve_within,
    stop_channel, text,
};
pub use sse::SseParser;

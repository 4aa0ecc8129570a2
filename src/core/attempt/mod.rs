//! Retry logic of one repeatable request and the response joined from its attempts.

mod resumable_stream;

pub use resumable_stream::{Action, AttemptEvent, ResumableStream, RetryPolicy};

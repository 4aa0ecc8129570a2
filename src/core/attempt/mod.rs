//! One request that may be repeated: its attempts and its whole answer.

mod resumable_stream;

pub use resumable_stream::{Action, AttemptEvent, ResumableStream, RetryPolicy};

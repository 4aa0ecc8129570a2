//! One request that may be repeated: its attempts and its whole answer.

mod stream;

pub use stream::{Action, Event, Policy, Stream};

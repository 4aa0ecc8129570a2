//! Numbered result codes and refusals that carry one.

mod code;
mod refusal;

pub use code::{Code, Outcome};
pub use refusal::Refusal;

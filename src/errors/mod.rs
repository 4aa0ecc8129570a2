//! Numbered result codes and the refusal that carries one.

mod code;
mod refusal;

pub use code::{Code, Outcome};
pub use refusal::Refusal;

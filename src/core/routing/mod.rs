//! Which endpoints an entry asks and which of them it takes.

mod candidates;
mod health;
mod probe;

pub use candidates::{Candidate, Distance, Site, candidates};
pub use health::Health;
pub use probe::{Offer, choose};

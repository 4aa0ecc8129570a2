//! Which endpoints an entry asks and which of them it takes.

mod candidates;
mod endpoint_health;
mod offer;

pub use candidates::{Candidate, Distance, Site, candidates};
pub use endpoint_health::EndpointHealth;
pub use offer::{Offer, best_offer};

//! Selection of the endpoint for a request: candidates, their health and their offers.

mod candidates;
mod health;
mod offer;

pub use candidates::{Candidate, Distance, Site, candidates};
pub use health::EndpointHealth;
pub use offer::{Offer, best_offer};

//! The choice among agents that answered a probe.

use std::time::Duration;

use crate::core::{
    ids::{EndpointId, Incarnation},
    routing::Distance,
};

/// What an agent offers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// How far it is.
    pub distance: Distance,
    /// Whether the agent would admit the request.
    pub admits: bool,
    /// Expected time until the first token, from the agent.
    pub expected_wait: Duration,
    /// Whether the model is loaded.
    pub resident: bool,
    /// Start of the agent.
    pub incarnation: Incarnation,
    /// The agent's uptime at the probe, ms.
    pub ticket_ms: u64,
    /// Position in the order of affinity.
    pub affinity_rank: usize,
}

// Wait that is accepted for a nearer endpoint or a warmer cache.
const RANK_PENALTY: Duration = Duration::from_millis(15);
const LOAD_PENALTY: Duration = Duration::from_secs(5);

fn distance_penalty(distance: Distance) -> Duration {
    match distance {
        Distance::Zone => Duration::ZERO,
        Distance::Region => Duration::from_millis(5),
        Distance::Remote => Duration::from_millis(150),
    }
}

fn cost(offer: &Offer) -> Duration {
    let load = if offer.resident { Duration::ZERO } else { LOAD_PENALTY };
    offer.expected_wait
        + load
        + distance_penalty(offer.distance)
        + RANK_PENALTY * offer.affinity_rank.min(2) as u32
}

/// The cheapest offer that admits the request.
///
/// ```
/// use std::time::Duration;
/// use goldcrestpitch::core::routing::{Distance, Offer, best_offer};
/// let offer = |name: &str, wait| Offer {
///     endpoint: name.into(), distance: Distance::Zone, admits: true,
///     expected_wait: Duration::from_millis(wait), resident: true, incarnation: 1, ticket_ms: 0, affinity_rank: 0,
/// };
/// let offers = [offer("slow", 90), offer("fast", 20)];
/// assert_eq!(&*best_offer(&offers).unwrap().endpoint, "fast");
/// ```
pub fn best_offer(offers: &[Offer]) -> Option<&Offer> {
    offers.iter().filter(|o| o.admits).min_by_key(|o| cost(o))
}

impl Offer {
    /// Whether the offer is good enough not to ask further endpoints.
    pub fn is_good_enough(&self, limit: Duration) -> bool {
        self.is_ready() && self.expected_wait <= limit
    }

    /// Whether the endpoint admits the request and need not load the model first.
    pub fn is_ready(&self) -> bool {
        self.admits && self.resident
    }
}

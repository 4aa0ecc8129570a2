//! Selects among the offers of agents that responded to a probe.

use std::time::Duration;

use crate::core::{
    ids::{EndpointId, Incarnation},
    routing::Distance,
};

/// An agent's response to a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Distance of the endpoint.
    pub distance: Distance,
    /// Whether the agent would admit the request.
    pub admits: bool,
    /// Expected time until the first token, as estimated by the agent.
    pub expected_wait: Duration,
    /// Whether the model is loaded.
    pub resident: bool,
    /// Incarnation of the agent, which changes with each restart.
    pub incarnation: Incarnation,
    /// Uptime of the agent at the time of the probe, ms.
    pub ticket_ms: u64,
    /// Position in the order of [`candidates`](crate::core::routing::candidates()).
    pub rank: usize,
}

// Extra wait that is accepted in favor of a better candidate (nearer or with a warmer
// cache), per rank.
const RANK_PENALTY: Duration = Duration::from_millis(15);
// Extra wait that is accepted in favor of an endpoint that has the model loaded.
const LOAD_PENALTY: Duration = Duration::from_secs(5);

// Extra wait that is accepted in favor of a nearer endpoint.
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
        + RANK_PENALTY * offer.rank.min(2) as u32
}

/// The admitting offer with the lowest cost: expected wait plus penalties.
///
/// ```
/// use std::time::Duration;
/// use goldcrestpitch::core::routing::{Distance, Offer, best_offer};
/// let offer = |name: &str, wait| Offer {
///     endpoint: name.into(), distance: Distance::Zone, admits: true,
///     expected_wait: Duration::from_millis(wait), resident: true, incarnation: 1,
///     ticket_ms: 0, rank: 0,
/// };
/// let offers = [offer("slow", 90), offer("fast", 20)];
/// assert_eq!(&*best_offer(&offers).unwrap().endpoint, "fast");
/// ```
pub fn best_offer(offers: &[Offer]) -> Option<&Offer> {
    offers.iter().filter(|o| o.admits).min_by_key(|o| cost(o))
}

impl Offer {
    /// Whether the offer makes probing further endpoints unnecessary.
    pub fn is_good_enough(&self, limit: Duration) -> bool {
        self.is_ready() && self.expected_wait <= limit
    }

    /// Whether the endpoint admits the request and has the model loaded.
    pub fn is_ready(&self) -> bool {
        self.admits && self.resident
    }
}

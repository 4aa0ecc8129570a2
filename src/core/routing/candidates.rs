//! Lists the endpoints that can run a request, in the order in which to probe them.

use std::{cmp::Reverse, net::SocketAddr};

use crate::core::{
    config::{Item, ItemKind, State},
    hash,
    ids::EndpointId,
    placement::Plan,
};

/// Location of a process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Site {
    /// Its region.
    pub region: String,
    /// Its availability zone.
    pub zone: String,
}

/// Distance from a process to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same availability zone.
    Zone,
    /// In another zone of the region.
    Region,
    /// In another region.
    Remote,
}

impl Site {
    /// Distance from this site to an endpoint in a region and zone.
    pub fn distance(&self, region: &str, zone: &str) -> Distance {
        match (self.region == region, self.zone == zone) {
            (true, true) => Distance::Zone,
            (true, false) => Distance::Region,
            (false, _) => Distance::Remote,
        }
    }
}

/// An endpoint that can run a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Address of its agent.
    pub agent: SocketAddr,
    /// Distance of the endpoint.
    pub distance: Distance,
    /// Whether the placement plan puts the model on this endpoint.
    pub planned: bool,
}

/// Lists the endpoints for a model or service, ordered by placement plan, then distance,
/// then rendezvous hash of `affinity`, so that equal prompts reach the same caches.
///
/// `target` is a model name or `service/NAME`.
///
/// ```
/// use goldcrestpitch::core::{config::State, placement::Plan, routing::{Site, candidates}};
/// let found = candidates(&State::default(), &Plan::default(), &Site::default(), "m", 0);
/// assert!(found.is_empty());
/// ```
pub fn candidates(
    state: &State,
    plan: &Plan,
    site: &Site,
    target: &str,
    affinity: u64,
) -> Vec<Candidate> {
    let wanted_service = target.strip_prefix("service/");
    let model_size = match state.item(ItemKind::Model, target) {
        Some(Item::Model { memory_mib, .. }) => *memory_mib,
        _ => 0,
    };
    let all = state.items(ItemKind::Endpoint).filter_map(|(name, item)| {
        let Item::Endpoint { agent, region, zone, memory_mib, service } = item else {
            return None;
        };
        let fits = match (wanted_service, service) {
            (Some(wanted_service), Some(service)) => wanted_service == service,
            (None, None) => model_size <= state.model_capacity(name, *memory_mib),
            _ => false,
        };
        fits.then(|| Candidate {
            endpoint: name.into(),
            agent: *agent,
            distance: site.distance(region, zone),
            planned: wanted_service.is_some() || plan.places(target, name),
        })
    });
    let mut candidates: Vec<Candidate> = all.collect();
    let key = affinity.to_le_bytes();
    candidates.sort_by_cached_key(|c| {
        let rank = hash::stable(&[&key, c.endpoint.as_bytes()]);
        (!c.planned, c.distance, Reverse(rank))
    });
    candidates
}

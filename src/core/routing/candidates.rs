//! The endpoints that may run a request, the best to ask first.

use std::{cmp::Reverse, net::SocketAddr};

use crate::core::{
    config::{Item, ItemKind, State},
    hash,
    ids::EndpointId,
    placement::Plan,
};

/// Where a process stands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Site {
    /// Its region.
    pub region: String,
    /// Its availability zone.
    pub zone: String,
}

/// How far an endpoint is.
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
    /// Distance to an endpoint.
    pub fn distance(&self, region: &str, zone: &str) -> Distance {
        match (self.region == region, self.zone == zone) {
            (true, true) => Distance::Zone,
            (true, false) => Distance::Region,
            (false, _) => Distance::Remote,
        }
    }
}

/// An endpoint that may run a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Address of its agent.
    pub agent: SocketAddr,
    /// How far it is.
    pub distance: Distance,
    /// The plan places the model there.
    pub planned: bool,
}

/// Endpoints for a model or service: planned ones first, then the nearer ones,
/// then by rendezvous of `affinity`, so that equal prompts meet the same caches.
///
/// `target` is a model, or `service/NAME`.
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
    let wanted = target.strip_prefix("service/");
    let size = match state.item(ItemKind::Model, target) {
        Some(Item::Model { memory_mib, .. }) => *memory_mib,
        _ => 0,
    };
    let all = state.items(ItemKind::Endpoint).filter_map(|(name, item)| {
        let Item::Endpoint { agent, region, zone, memory_mib, service } = item else {
            return None;
        };
        let able = match (wanted, service) {
            (Some(wanted), Some(service)) => wanted == service,
            (None, None) => size <= state.model_capacity(name, *memory_mib),
            _ => false,
        };
        able.then(|| Candidate {
            endpoint: name.into(),
            agent: *agent,
            distance: site.distance(region, zone),
            planned: wanted.is_some() || plan.places(target, name),
        })
    });
    let mut found: Vec<Candidate> = all.collect();
    let key = affinity.to_le_bytes();
    found.sort_by_cached_key(|c| {
        let rank = hash::stable(&[&key, c.endpoint.as_bytes()]);
        (!c.planned, c.distance, Reverse(rank))
    });
    found
}

//! Engines that limit their requests, as the planner counts them.

use std::collections::HashMap;

use crate::core::{
    ids::{EndpointId, ModelName},
    placement::{EngineSnapshot, ModelDemand},
};

/// Assumed prompt tokens of a request.
const TOKENS_PER_REQUEST: f64 = 1200.0;

/// Takes the models of an engine out of its snapshot if it takes fewer requests than there is
/// demand for them, so that they get replicas elsewhere. It gets no other models meanwhile.
/// `rate` is the limit of an engine, requests per second.
///
/// ```
/// use std::collections::HashMap;
/// use goldcrestpitch::core::placement::{EngineSnapshot, ModelDemand, discount_limited};
/// let mut engine = EngineSnapshot { loaded: vec!["m".into()], ..EngineSnapshot::default() };
/// let busy = ModelDemand { tokens_per_s: 6000.0, ..ModelDemand::default() };
/// let demand = HashMap::from([("m".into(), busy)]);
/// discount_limited(std::slice::from_mut(&mut engine), &demand, |_| Some(10.0));
/// assert_eq!(engine.loaded.len(), 1);
/// discount_limited(std::slice::from_mut(&mut engine), &demand, |_| Some(1.0));
/// assert!(engine.loaded.is_empty());
/// ```
pub fn discount_limited(
    engines: &mut [EngineSnapshot],
    demand: &HashMap<ModelName, ModelDemand>,
    rate: impl Fn(&EndpointId) -> Option<f64>,
) {
    let mut replicas: HashMap<ModelName, usize> = HashMap::new();
    for model in engines.iter().flat_map(|e| &e.loaded) {
        *replicas.entry(model.clone()).or_default() += 1;
    }
    for engine in engines {
        let Some(rate) = rate(&engine.id) else { continue };
        let tokens = engine.loaded.iter().map(|model| {
            let tokens_per_s = demand.get(model).map_or(0.0, |d| d.tokens_per_s);
            tokens_per_s / replicas.get(model).copied().unwrap_or(1) as f64
        });
        if rate * TOKENS_PER_REQUEST < tokens.sum() {
            engine.loaded.clear();
            engine.can_order = false;
        }
    }
}

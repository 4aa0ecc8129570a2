//! The plan that follows from the configuration alone: first one replica of
//! each model, largest first, then up to `model.min_replicas`, spread over
//! availability zones; what is left is filled evenly.

use std::{cmp::Reverse, collections::BTreeMap};

use crate::core::{
    config::{Item, ItemKind, Key, Scope, State},
    hash,
    ids::{EndpointId, Mib, ModelName},
    placement::Plan,
};

struct Engine<'a> {
    name: &'a str,
    zone: &'a str,
    room: Mib,
}

/// Computes the plan. Every process that has the same state computes the same plan.
///
/// ```
/// use goldcrestpitch::core::{config::State, placement::static_plan};
/// assert!(static_plan(&State::default()).replicas.is_empty());
/// ```
pub fn static_plan(state: &State) -> Plan {
    let mut engines = engines(state);
    let mut models: Vec<(&str, Mib)> = state.models().collect();
    models.sort_by_key(|(name, size)| (Reverse(*size), *name));
    let mut replicas: BTreeMap<ModelName, Vec<EndpointId>> = models
        .iter()
        .map(|(name, _)| ((*name).into(), Vec::new()))
        .collect();
    let wanted = |name: &str| state.value(Key::MinReplicas, &Scope::model(name)) as usize;
    let most = models
        .iter()
        .map(|(name, _)| wanted(name))
        .max()
        .unwrap_or(0);
    for round in 0..most.max(engines.len()) {
        let mut placed = false;
        for (name, size) in &models {
            let filling = most <= round;
            if filling || round < wanted(name) {
                placed |= add(&mut engines, &mut replicas, name, *size);
            }
        }
        if most <= round && !placed {
            break;
        }
    }
    Plan { replicas }
}

fn engines(state: &State) -> Vec<Engine<'_>> {
    let all = state
        .items(ItemKind::Endpoint)
        .filter_map(|(name, item)| match item {
            Item::Endpoint {
                zone,
                memory_mib,
                service: None,
                ..
            } => Some(Engine {
                name,
                zone,
                room: state.model_room(name, *memory_mib),
            }),
            _ => None,
        });
    all.collect()
}

/// Adds one replica where no other stands; says whether there was room.
fn add(
    engines: &mut [Engine<'_>],
    replicas: &mut BTreeMap<ModelName, Vec<EndpointId>>,
    model: &str,
    size: Mib,
) -> bool {
    let Some(held) = replicas.get_mut(model) else {
        return false;
    };
    let zones: Vec<&str> = engines
        .iter()
        .filter(|e| held.iter().any(|h| **h == *e.name))
        .map(|e| e.zone)
        .collect();
    let able = engines
        .iter_mut()
        .filter(|e| size <= e.room && !held.iter().any(|h| **h == *e.name));
    let best = able.max_by_key(|e| {
        let shared = zones.iter().filter(|z| **z == e.zone).count();
        let rank = hash::stable(&[model.as_bytes(), e.name.as_bytes()]);
        (Reverse(shared), e.room, rank)
    });
    let Some(engine) = best else { return false };
    engine.room -= size;
    held.push(engine.name.into());
    true
}

//! The plan that follows from the configuration alone: first one replica of
//! each model, largest first, then up to `model.min_replicas`, spread over
//! availability zones; what is left is filled evenly. When not all models fit,
//! some engines keep room in which the others are loaded on demand.

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

// One engine in so many keeps room for models on demand, but at least one.
const ENGINES_PER_SWAP: usize = 8;

/// Computes the plan. Every process that has the same state computes the same plan.
///
/// ```
/// use goldcrestpitch::core::{config::State, placement::static_plan};
/// assert!(static_plan(&State::default()).replicas.is_empty());
/// ```
pub fn static_plan(state: &State) -> Plan {
    let mut models: Vec<(&str, Mib)> = state.models().collect();
    models.sort_by_key(|(name, size)| (Reverse(*size), *name));
    let mut kept = 0;
    loop {
        let plan = place(state, &models, kept);
        let unplaced = models.iter().filter(|(name, _)| plan.engines_of(name).is_empty());
        let largest = unplaced.map(|(_, size)| *size).max().unwrap_or(0);
        // Keeping room can leave a larger model unplaced, which then sets the room.
        if largest <= kept || !fits_somewhere(state, largest) {
            return plan;
        }
        kept = largest;
    }
}

fn fits_somewhere(state: &State, size: Mib) -> bool {
    state.engines().any(|(name, memory)| size <= state.model_room(name, memory))
}

/// Places models while some engines keep `kept` MiB free.
fn place(state: &State, models: &[(&str, Mib)], kept: Mib) -> Plan {
    let mut engines = engines(state);
    keep_room(&mut engines, kept);
    let mut replicas: BTreeMap<ModelName, Vec<EndpointId>> =
        models.iter().map(|(name, _)| ((*name).into(), Vec::new())).collect();
    let wanted = |name: &str| state.value(Key::MinReplicas, &Scope::model(name)) as usize;
    let most = models.iter().map(|(name, _)| wanted(name)).max().unwrap_or(0);
    for round in 0..most.max(engines.len()) {
        let mut placed = false;
        for (name, size) in models {
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

fn keep_room(engines: &mut [Engine<'_>], kept: Mib) {
    let count = (engines.len() / ENGINES_PER_SWAP).max(1);
    let mut able: Vec<&mut Engine<'_>> = engines.iter_mut().filter(|e| kept <= e.room).collect();
    able.sort_by_key(|e| (Reverse(e.room), e.name));
    for engine in able.into_iter().take(count) {
        engine.room -= kept;
    }
}

fn engines(state: &State) -> Vec<Engine<'_>> {
    let all = state.items(ItemKind::Endpoint).filter_map(|(name, item)| match item {
        Item::Endpoint { zone, memory_mib, service: None, .. } => {
            Some(Engine { name, zone, room: state.model_room(name, *memory_mib) })
        }
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
    let zones: Vec<&str> =
        engines.iter().filter(|e| held.iter().any(|h| **h == *e.name)).map(|e| e.zone).collect();
    let able =
        engines.iter_mut().filter(|e| size <= e.room && !held.iter().any(|h| **h == *e.name));
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

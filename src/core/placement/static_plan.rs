//! Computes the placement plan from the configuration alone.
//!
//! Every model first gets one replica, largest model first, then up to
//! `model.min_replicas`, spread over availability zones. Remaining memory is
//! filled with further replicas, one per model and round. When not all models
//! fit, some engines reserve memory in which the others are loaded on demand.

use std::cmp::Reverse;

use crate::core::{
    config::{Item, ItemKind, Key, Scope, State},
    hash,
    ids::Mib,
    placement::Plan,
};

struct Engine<'a> {
    name: &'a str,
    zone: usize,
    free: Mib,
}

struct Model<'a> {
    name: &'a str,
    size: Mib,
    min_replicas: usize,
    /// Indices of the engines with a replica, in the order of placement.
    engines: Vec<usize>,
    /// No engine has enough free memory for another replica. Final, because free
    /// memory only shrinks.
    full: bool,
}

// One in this many engines, but at least one, reserves memory for models on demand.
const ENGINES_PER_RESERVATION: usize = 8;

/// Computes the plan. It is deterministic: processes with the same state compute the
/// same plan.
///
/// ```
/// use goldcrestpitch::core::{config::State, placement::static_plan};
/// assert!(static_plan(&State::default()).replicas.is_empty());
/// ```
pub fn static_plan(state: &State) -> Plan {
    let mut models: Vec<(&str, Mib)> = state.models().collect();
    models.sort_by_key(|(name, size)| (Reverse(*size), *name));
    let mut reserved = 0;
    loop {
        let plan = place_models(state, &models, reserved);
        let unplaced = models.iter().filter(|(name, _)| plan.engines_of(name).is_empty());
        let largest = unplaced.map(|(_, size)| *size).max().unwrap_or(0);
        // The reservation can leave a larger model unplaced; retry with its size.
        if largest <= reserved || !fits_somewhere(state, largest) {
            return plan;
        }
        reserved = largest;
    }
}

/// Whether two states are equal in everything that the plan depends on.
///
/// ```
/// use goldcrestpitch::core::{config::State, placement::same_inputs};
/// let mut other = State::default();
/// other.defaults.insert("tenant.weight".to_owned(), 7);
/// assert!(same_inputs(&State::default(), &other));
/// other.defaults.insert("model.min_replicas".to_owned(), 2);
/// assert!(!same_inputs(&State::default(), &other));
/// ```
pub fn same_inputs(a: &State, b: &State) -> bool {
    const KINDS: [ItemKind; 2] = [ItemKind::Model, ItemKind::Endpoint];
    const KEYS: [Key; 2] = [Key::MinReplicas, Key::KvReservePercent];
    let except = |s: &State, key: Key| -> Vec<(String, u64)> {
        let values = s.exceptions.iter().filter_map(|(selector, keys)| {
            Some((selector.to_string(), keys.get(key.name())?.value))
        });
        values.collect()
    };
    KINDS.iter().all(|kind| a.items.get(kind) == b.items.get(kind))
        && KEYS.iter().all(|key| {
            let name = key.name();
            a.defaults.get(name) == b.defaults.get(name) && except(a, *key) == except(b, *key)
        })
}

fn fits_somewhere(state: &State, size: Mib) -> bool {
    state.engines().any(|(name, memory)| size <= state.model_capacity(name, memory))
}

/// Places models while some engines reserve `reserved` MiB.
fn place_models(state: &State, sorted: &[(&str, Mib)], reserved: Mib) -> Plan {
    let mut engines = engines(state);
    reserve_memory(&mut engines, reserved);
    let min_replicas = |name: &str| state.value(Key::MinReplicas, &Scope::model(name)) as usize;
    let mut models: Vec<Model<'_>> = sorted
        .iter()
        .map(|&(name, size)| Model {
            name,
            size,
            min_replicas: min_replicas(name),
            engines: Vec::new(),
            full: false,
        })
        .collect();
    let max_min_replicas = models.iter().map(|m| m.min_replicas).max().unwrap_or(0);
    for round in 0..max_min_replicas.max(engines.len()) {
        let filling = max_min_replicas <= round;
        let due = |m: &&mut Model<'_>| !m.full && (filling || round < m.min_replicas);
        let mut placed = false;
        for model in models.iter_mut().filter(due) {
            model.full = !place_replica(&mut engines, model);
            placed |= !model.full;
        }
        if filling && !placed {
            break;
        }
    }
    let names = |indices: &[usize]| indices.iter().map(|i| engines[*i].name.into()).collect();
    Plan { replicas: models.iter().map(|m| (m.name.into(), names(&m.engines))).collect() }
}

/// Reserves memory on the engines that have most of it free.
fn reserve_memory(engines: &mut [Engine<'_>], reserved: Mib) {
    let count = (engines.len() / ENGINES_PER_RESERVATION).max(1);
    let mut candidates: Vec<&mut Engine<'_>> =
        engines.iter_mut().filter(|e| reserved <= e.free).collect();
    candidates.sort_by_key(|e| (Reverse(e.free), e.name));
    for engine in candidates.into_iter().take(count) {
        engine.free -= reserved;
    }
}

fn engines(state: &State) -> Vec<Engine<'_>> {
    let mut zones: Vec<&str> = Vec::new();
    let all = state.items(ItemKind::Endpoint).filter_map(|(name, item)| match item {
        Item::Endpoint { zone, memory_mib, service: None, .. } => {
            let known = zones.iter().position(|z| z == zone);
            let zone = known.unwrap_or_else(|| {
                zones.push(zone);
                zones.len() - 1
            });
            Some(Engine { name, zone, free: state.model_capacity(name, *memory_mib) })
        }
        _ => None,
    });
    all.collect()
}

/// Places one replica on an engine without one. Returns whether an engine had enough
/// free memory.
fn place_replica(engines: &mut [Engine<'_>], model: &mut Model<'_>) -> bool {
    let in_zone = |zone| model.engines.iter().filter(|i| engines[**i].zone == zone).count();
    let candidates = engines.iter().enumerate();
    let candidates = candidates.filter(|(i, e)| model.size <= e.free && !model.engines.contains(i));
    let best = candidates.max_by_key(|(_, e)| {
        let rank = hash::stable(&[model.name.as_bytes(), e.name.as_bytes()]);
        (Reverse(in_zone(e.zone)), e.free, rank)
    });
    let Some(chosen) = best.map(|(i, _)| i) else { return false };
    engines[chosen].free -= model.size;
    model.engines.push(chosen);
    true
}

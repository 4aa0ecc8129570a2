//! The plan that follows from the configuration alone: first one replica of
//! each model, largest first, then up to `model.min_replicas`, spread over
//! availability zones; what is left is filled evenly. When not all models fit,
//! some engines keep room in which the others are loaded on demand.

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
    room: Mib,
}

struct Model<'a> {
    name: &'a str,
    size: Mib,
    wanted: usize,
    /// Positions of the engines that hold it, in the order of their choice.
    held: Vec<usize>,
    /// No engine has room for a further replica; room never grows again.
    full: bool,
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

/// Whether two states lead to the same plan because all that it depends on is equal.
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

/// Places models while some engines keep `kept` MiB free.
fn place(state: &State, sorted: &[(&str, Mib)], kept: Mib) -> Plan {
    let mut engines = engines(state);
    keep_room(&mut engines, kept);
    let wanted = |name: &str| state.value(Key::MinReplicas, &Scope::model(name)) as usize;
    let mut models: Vec<Model<'_>> = sorted
        .iter()
        .map(|&(name, size)| Model {
            name,
            size,
            wanted: wanted(name),
            held: Vec::new(),
            full: false,
        })
        .collect();
    let most = models.iter().map(|m| m.wanted).max().unwrap_or(0);
    for round in 0..most.max(engines.len()) {
        let filling = most <= round;
        let due = |m: &&mut Model<'_>| !m.full && (filling || round < m.wanted);
        let mut placed = false;
        for model in models.iter_mut().filter(due) {
            model.full = !add(&mut engines, model);
            placed |= !model.full;
        }
        if filling && !placed {
            break;
        }
    }
    let names = |held: &[usize]| held.iter().map(|i| engines[*i].name.into()).collect();
    Plan { replicas: models.iter().map(|m| (m.name.into(), names(&m.held))).collect() }
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
    let mut zones: Vec<&str> = Vec::new();
    let all = state.items(ItemKind::Endpoint).filter_map(|(name, item)| match item {
        Item::Endpoint { zone, memory_mib, service: None, .. } => {
            let known = zones.iter().position(|z| z == zone);
            let zone = known.unwrap_or_else(|| {
                zones.push(zone);
                zones.len() - 1
            });
            Some(Engine { name, zone, room: state.model_capacity(name, *memory_mib) })
        }
        _ => None,
    });
    all.collect()
}

/// Adds one replica where no other stands; says whether there was room.
fn add(engines: &mut [Engine<'_>], model: &mut Model<'_>) -> bool {
    let in_zone = |zone| model.held.iter().filter(|h| engines[**h].zone == zone).count();
    let able = engines.iter().enumerate();
    let able = able.filter(|(i, e)| model.size <= e.room && !model.held.contains(i));
    let best = able.max_by_key(|(_, e)| {
        let rank = hash::stable(&[model.name.as_bytes(), e.name.as_bytes()]);
        (Reverse(in_zone(e.zone)), e.room, rank)
    });
    let Some(chosen) = best.map(|(i, _)| i) else { return false };
    engines[chosen].room -= model.size;
    model.held.push(chosen);
    true
}

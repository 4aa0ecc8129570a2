//! What a request needs on the engine that runs it.

use crate::{
    core::{
        config::{Item, ItemKind, State},
        ids::Mib,
        memory::Resource,
    },
    errors::{Code, Refusal},
};

/// The resources that a target (`model` or `model:adapter`) needs, with their sizes.
///
/// ```
/// use goldcrestpitch::core::{config::State, placement::required_resources};
/// assert!(required_resources(&State::default(), "service/payroll").unwrap().is_empty());
/// assert!(required_resources(&State::default(), "unknown").is_err());
/// ```
///
/// # Errors
/// [`Code::UnknownModel`] when the target is not configured.
pub fn required_resources(state: &State, target: &str) -> Result<Vec<(Resource, Mib)>, Refusal> {
    if target.starts_with("service/") {
        return Ok(Vec::new());
    }
    let unknown =
        |name: &str| Refusal::new(Code::UnknownModel, format!("{name:?} is not configured"));
    let (model, adapter) = match target.split_once(':') {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (target, None),
    };
    let Some(Item::Model { memory_mib, version }) = state.item(ItemKind::Model, model) else {
        return Err(unknown(model));
    };
    let mut needed = vec![(Resource::model(model, *version), *memory_mib)];
    let Some(adapter) = adapter else {
        return Ok(needed);
    };
    match state.item(ItemKind::Adapter, adapter) {
        Some(Item::Adapter { model: of, memory_mib }) if of == model => {
            let resource = Resource::Adapter { model: model.into(), name: adapter.into() };
            needed.push((resource, *memory_mib));
            Ok(needed)
        }
        _ => Err(unknown(target)),
    }
}

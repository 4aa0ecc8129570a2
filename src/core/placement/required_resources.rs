//! Resources that a request requires on its engine.

use crate::{
    core::{
        config::{Item, ItemKind, State},
        ids::Mib,
        memory::Resource,
    },
    errors::{Code, Refusal},
};

/// Resources that a target (`model` or `model:adapter`) requires, with their sizes in
/// MiB. Targets below `service/` require none.
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
    let mut required = vec![(Resource::model(model, *version), *memory_mib)];
    let Some(adapter) = adapter else {
        return Ok(required);
    };
    match state.item(ItemKind::Adapter, adapter) {
        Some(Item::Adapter { model: base, memory_mib }) if base == model => {
            let resource = Resource::Adapter { model: model.into(), name: adapter.into() };
            required.push((resource, *memory_mib));
            Ok(required)
        }
        _ => Err(unknown(target)),
    }
}

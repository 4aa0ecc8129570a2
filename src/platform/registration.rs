//! Decodes the registrations of endpoints.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::{
    core::forwarding::{EndpointState, LoadedModel, Registration, Residency},
    platform::DecodeError,
};

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RegistrationWire {
    service: String,
    address: SocketAddr,
    zone: String,
    #[serde(default)]
    version: Option<String>,
    slots: u32,
    state: StateWire,
    // Number of orders that the endpoint has accepted since its start, not a sequence
    // number of the record.
    #[serde(default)]
    seq: u64,
    #[serde(default, rename = "born")]
    born: u64,
    #[serde(default)]
    models: Vec<LoadedModelWire>,
    #[serde(default)]
    at_hand: Option<CachedModelsWire>,
    #[serde(default)]
    busy: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum StateWire {
    Ready,
    Draining,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct LoadedModelWire {
    name: String,
    #[serde(default)]
    adapters: Vec<AdapterWire>,
}

// An adapter is given as a plain name, or as an object with a name and a version.
#[derive(Deserialize)]
#[serde(untagged)]
enum AdapterWire {
    Name(String),
    Versioned {
        #[serde(rename = "Name")]
        name: String,
    },
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct CachedModelsWire {
    #[serde(default)]
    in_memory: Vec<String>,
    #[serde(default)]
    on_disk: Vec<String>,
}

impl From<LoadedModelWire> for LoadedModel {
    fn from(wire: LoadedModelWire) -> Self {
        let adapters = wire.adapters.into_iter().map(|a| match a {
            AdapterWire::Name(name) | AdapterWire::Versioned { name } => name.into(),
        });
        Self { name: wire.name.into(), adapters: adapters.collect() }
    }
}

pub(super) fn residency(
    models: Vec<LoadedModelWire>,
    cached: Option<CachedModelsWire>,
    order_in_progress: bool,
) -> Residency {
    let loaded = models.into_iter().map(LoadedModel::from).collect();
    let cached = cached.map(|a| a.in_memory.into_iter().chain(a.on_disk)).into_iter().flatten();
    let mut cached: Vec<_> = cached.map(Into::into).collect();
    cached.sort();
    cached.dedup();
    Residency { loaded, cached, order_in_progress }
}

/// Decodes the registration of an endpoint.
///
/// # Errors
/// [`DecodeError`] if the value is not a registration, for example because another
/// writer has used the key.
///
/// ```
/// use goldcrestpitch::platform::decode_registration;
/// let text = br#"{"Service":"desk","Address":"127.0.0.1:80","Zone":"a","Slots":6,
///   "State":"ready","ColdLeftMs":0,"Seq":4,"born":1700000000000}"#;
/// let registration = decode_registration("i-1", text).unwrap();
/// assert_eq!((registration.order_seq, registration.version), (4, None));
/// assert!(decode_registration("i-2", br#"{"Service":7}"#).is_err());
/// ```
pub fn decode_registration(id: &str, text: &[u8]) -> Result<Registration, DecodeError> {
    let wire: RegistrationWire = serde_json::from_slice(text)?;
    Ok(Registration {
        id: id.into(),
        service: wire.service.into(),
        address: wire.address,
        zone: wire.zone.into(),
        version: wire.version.filter(|v| !v.is_empty()).map(Into::into),
        state: match wire.state {
            StateWire::Ready => EndpointState::Ready,
            StateWire::Draining => EndpointState::Draining,
        },
        slots: wire.slots,
        started_ms: wire.born,
        order_seq: wire.seq,
        residency: residency(wire.models, wire.at_hand, wire.busy),
    })
}

//! The configuration state and the values derived from it.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Deserializer, Serialize, de::Error};

use crate::core::{
    config::{Item, ItemKind, Key, Selector},
    ids::{Mib, Offset},
};

/// A value that applies to one item in place of the default.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exception {
    /// The value.
    pub value: u64,
    /// Why the item needs another value than the default.
    pub reason: String,
}

/// The items for which a value is looked up.
#[derive(Clone, Copy, Debug, Default)]
pub struct Scope<'a> {
    /// The model.
    pub model: Option<&'a str>,
    /// The endpoint.
    pub endpoint: Option<&'a str>,
    /// The tenant.
    pub tenant: Option<&'a str>,
    /// The class.
    pub class: Option<&'a str>,
}

impl<'a> Scope<'a> {
    /// The scope of one endpoint.
    pub fn endpoint(id: &'a str) -> Self {
        Self { endpoint: Some(id), ..Self::default() }
    }

    /// The scope of one model.
    pub fn model(name: &'a str) -> Self {
        Self { model: Some(name), ..Self::default() }
    }

    fn name(&self, kind: ItemKind) -> Option<&'a str> {
        match kind {
            ItemKind::Model => self.model,
            ItemKind::Endpoint => self.endpoint,
            ItemKind::Tenant => self.tenant,
            ItemKind::Class => self.class,
            ItemKind::Adapter | ItemKind::Service => None,
        }
    }
}

/// The configuration that results from the records up to a revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// Offset of the last record that was applied.
    pub revision: Offset,
    /// Defaults that operators set, by key name.
    pub defaults: BTreeMap<String, u64>,
    /// Exceptions by selector and key name.
    pub exceptions: BTreeMap<Selector, BTreeMap<String, Exception>>,
    /// Items by kind and name.
    pub items: BTreeMap<ItemKind, BTreeMap<String, Item>>,
    /// Offset of the last accepted change of each path.
    pub paths: BTreeMap<String, Offset>,
    /// Requests that were running when an endpoint crashed, by fingerprint.
    #[serde(default, deserialize_with = "deserialize_suspects")]
    pub suspects: BTreeMap<u64, Suspect>,
}

/// JSON keys are text, and a map within a tagged record is decoded without knowing that
/// its keys are numbers.
fn deserialize_suspects<'de, D>(deserializer: D) -> Result<BTreeMap<u64, Suspect>, D::Error>
where
    D: Deserializer<'de>,
{
    let by_text = BTreeMap::<String, Suspect>::deserialize(deserializer)?;
    let parse = |(key, suspect): (String, Suspect)| {
        let fingerprint = key.parse().map_err(|_| {
            D::Error::custom(format!("the key {key:?} of a suspect is not a fingerprint"))
        })?;
        Ok((fingerprint, suspect))
    };
    by_text.into_iter().map(parse).collect()
}

/// A request that was running when one or more endpoints crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Number of endpoint crashes during which it was running.
    pub crashes: u32,
    /// Offset of the last crash record that lists it.
    #[serde(rename = "at")]
    pub last_crash: Offset,
}

impl State {
    /// The value in force for a scope: that of the exception with the highest
    /// precedence, else the default.
    ///
    /// ```
    /// use goldcrestpitch::core::config::{Key, Scope, State};
    /// let state = State::default();
    /// assert_eq!(state.value(Key::FirstTokenMs, &Scope::default()), 1200);
    /// ```
    pub fn value(&self, key: Key, scope: &Scope<'_>) -> u64 {
        for kind in key.scopes() {
            let Some(name) = scope.name(*kind) else {
                continue;
            };
            let selector = Selector { kind: *kind, name: name.to_owned() };
            let found = self.exceptions.get(&selector).and_then(|m| m.get(key.name()));
            if let Some(exception) = found {
                return exception.value;
            }
        }
        self.defaults.get(key.name()).copied().unwrap_or(key.default_value())
    }

    /// A value whose unit is milliseconds.
    pub fn duration(&self, key: Key, scope: &Scope<'_>) -> Duration {
        Duration::from_millis(self.value(key, scope))
    }

    /// The item of this kind and name.
    pub fn item(&self, kind: ItemKind, name: &str) -> Option<&Item> {
        self.items.get(&kind)?.get(name)
    }

    /// All items of one kind, ordered by name.
    pub fn items(&self, kind: ItemKind) -> impl Iterator<Item = (&str, &Item)> {
        self.items.get(&kind).into_iter().flatten().map(|(n, i)| (n.as_str(), i))
    }

    /// Names of all models and the memory that their weights take.
    pub fn models(&self) -> impl Iterator<Item = (&str, Mib)> {
        self.items(ItemKind::Model).filter_map(|(name, item)| match item {
            Item::Model { memory_mib, .. } => Some((name, *memory_mib)),
            _ => None,
        })
    }

    /// Names and memory of all engines; instances of plain services are left out.
    pub fn engines(&self) -> impl Iterator<Item = (&str, Mib)> {
        self.items(ItemKind::Endpoint).filter_map(|(name, item)| match item {
            Item::Endpoint { memory_mib, service: None, .. } => Some((name, *memory_mib)),
            _ => None,
        })
    }

    /// Memory of an engine that is available to models, MiB: all but the share
    /// reserved for the KV cache.
    pub fn model_capacity(&self, engine: &str, memory: Mib) -> Mib {
        let percent = self.value(Key::KvReservePercent, &Scope::endpoint(engine));
        memory - memory * percent / 100
    }

    /// Models that fit on fewer engines than their `model.min_replicas`; none while
    /// no engine is configured.
    pub fn unplaceable_models(&self) -> Vec<String> {
        let capacities: Vec<Mib> = self.engines().map(|(n, m)| self.model_capacity(n, m)).collect();
        if capacities.is_empty() {
            return Vec::new();
        }
        let fits = |size: Mib, replicas: u64| {
            let engines = capacities.iter().filter(|capacity| size <= **capacity).count() as u64;
            replicas <= engines
        };
        let min_replicas = |name| self.value(Key::MinReplicas, &Scope::model(name));
        let unplaceable = self.models().filter(|(n, size)| !fits(*size, min_replicas(n)));
        unplaceable.map(|(n, _)| n.to_owned()).collect()
    }

    /// Number of endpoint crashes during which a request was running.
    pub fn crashes(&self, fingerprint: u64) -> u32 {
        self.suspects.get(&fingerprint).map_or(0, |s| s.crashes)
    }

    /// Revision of a path, which is the offset of its last accepted change; 0 for none.
    pub fn path_revision(&self, path: &str) -> Offset {
        self.paths.get(path).copied().unwrap_or(0)
    }
}

//! Routes and services, as the operator has configured them.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::core::{
    hash,
    ids::{Mib, ModelName},
};

/// Name of a service: a group of endpoints that answer alike.
pub type ServiceName = Arc<str>;

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// Events with increasing ids.
    Streaming {
        /// Another endpoint can go on after the last event that was passed on.
        resumable: bool,
    },
    /// May run more than once.
    Idempotent,
    /// May run once at most.
    NonIdempotent,
}

impl RouteKind {
    /// Whether the request may be sent again although it may have run.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Streaming { resumable: true })
    }
}

/// The part of a route's requests that goes to a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the shares of the route.
    pub weight: u32,
}

/// Where the requests of a host and path prefix go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The operator's name of it.
    pub name: Arc<str>,
    /// Host that callers name, in lower case.
    pub host: Arc<str>,
    /// Begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer (of a stream, its first event) has its full value.
    pub target: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services that serve it.
    pub shares: Vec<WeightedService>,
    /// Most endpoints that one request may run on.
    pub max_attempts: u32,
}

impl Route {
    /// The service of a request. Requests are spread by their ids.
    pub fn service(&self, request_id: &[u8]) -> Option<&ServiceName> {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        if total == 0 {
            return self.shares.first().map(|s| &s.service);
        }
        let mut point = hash::stable(&[request_id]) % total;
        self.shares.iter().find_map(|share| {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(&share.service);
            }
            point -= weight;
            None
        })
    }
}

/// Sizes and load times of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelSpec {
    /// Size of its weights.
    pub weights_size: Mib,
    /// Size of one of its adapters.
    pub adapter_size: Mib,
    /// Time of a load from the weight store.
    pub load_time: Duration,
    /// Time of a load from the endpoint's own disk.
    pub disk_load_time: Duration,
}

/// What the engines of a service can hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineSpec {
    /// Requests in one batch.
    pub slots: u32,
    /// Memory for prompts and answers, tokens.
    pub kv_tokens: u64,
    /// Memory for weights and adapters.
    pub weights_memory: Mib,
    /// Most adapters at once.
    pub adapter_slots: u32,
    /// Loads that the weight store allows, over all engines, a second.
    pub loads_per_s: f64,
    /// Models that callers may name.
    pub models: HashMap<ModelName, ModelSpec>,
}

/// A group of endpoints that answer alike.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Connections that an endpoint takes from all callers together.
    pub max_connections: usize,
    /// Set when its endpoints are model engines.
    pub engine: Option<EngineSpec>,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Largest head of a request, bytes.
    pub header_bytes: usize,
    /// Largest body, bytes.
    pub body_bytes: usize,
    /// Longest time for a head.
    pub header_timeout: Duration,
    /// Longest pause between requests of a connection.
    pub idle_timeout: Duration,
}

/// One version of the configuration of routes.
///
/// ```
/// use std::{sync::Arc, time::Duration};
/// use goldcrestpitch::core::forwarding::*;
/// let route = |prefix: &str| Route {
///     name: prefix.into(), host: "a.example".into(), prefix: prefix.into(),
///     kind: RouteKind::Idempotent, timeout: Duration::from_secs(1),
///     target: Duration::from_millis(200), priority: 0, max_attempts: 2,
///     shares: vec![WeightedService { service: "desk".into(), weight: 1 }],
/// };
/// let table = RouteTable::new(7, vec![route("/a/"), route("/a/b/")], vec![], None);
/// assert_eq!(&*table.find("A.example:80", "/a/b/c").unwrap().prefix, "/a/b/");
/// assert_eq!(&*table.find("a.example", "/a/x").unwrap().prefix, "/a/");
/// assert!(table.find("a.example", "/ab").is_none());
/// ```
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// Increases with each change.
    pub version: u64,
    /// What callers may send, where the operator says so.
    pub limits: Option<RequestLimits>,
    by_host: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, Arc<Service>>,
}

impl RouteTable {
    /// A table of routes and services.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: Option<RequestLimits>,
    ) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), Arc::new(s))).collect();
        Self { version, limits, by_host, services }
    }

    /// The route with the longest prefix that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.by_host.get(name.to_ascii_lowercase().as_str())?;
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }
}

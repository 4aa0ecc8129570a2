//! Routes and services from the operator's configuration.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::core::{
    accounts::Accounts,
    hash,
    ids::{Mib, ModelName},
};

/// Name of a service.
pub type ServiceName = Arc<str>;

/// Longest pause in streams that is on time, where no route states one.
pub const DEFAULT_PAUSE_TARGET: Duration = Duration::from_millis(300);

/// Whether a route's requests are streamed and may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// The response is a stream of events with increasing ids.
    Streaming {
        /// Another endpoint can resume after the last event passed on.
        resumable: bool,
    },
    /// May run more than once.
    Idempotent,
    /// Must run at most once.
    NonIdempotent,
}

impl RouteKind {
    /// Whether a request may be sent again after it may have run.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Streaming { resumable: true })
    }
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight relative to the route's other services.
    pub weight: u32,
}

/// Forwards the requests for a host and path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name given by the operator.
    pub name: Arc<str>,
    /// Host name that callers use, in lower case.
    pub host: Arc<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests are streamed and may be retried.
    pub kind: RouteKind,
    /// Maximum time until a request must be answered; callers may set a shorter deadline.
    pub timeout: Duration,
    /// Latency target for the response, or for the first event of a stream.
    pub target: Duration,
    /// Longest pause between two events of a stream that is still on time.
    pub pause_target: Duration,
    /// Callers of a stream leave when nothing arrives for this long, also before the first
    /// event. None if callers wait as long as the timeout allows.
    pub patience: Option<Duration>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services among which requests are split.
    pub services: Vec<WeightedService>,
    /// Maximum number of attempts after which the request ran or may have run; attempts
    /// that were refused or not sent do not count.
    pub max_attempts: u32,
    /// Requests need the key of a client account, if there are accounts.
    pub needs_key: bool,
}

impl Route {
    /// The route with another priority, such as that of a client account.
    pub fn with_priority(&self, priority: u8) -> Self {
        Self { priority, ..self.clone() }
    }

    /// Selects the service of a request by the hash of its id and the weights.
    pub fn service(&self, request_id: &[u8]) -> Option<&ServiceName> {
        let total: u64 = self.services.iter().map(|s| u64::from(s.weight)).sum();
        if total == 0 {
            return self.services.first().map(|s| &s.service);
        }
        let mut point = hash::stable(&[request_id]) % total;
        self.services.iter().find_map(|s| {
            let weight = u64::from(s.weight);
            if point < weight {
                return Some(&s.service);
            }
            point -= weight;
            None
        })
    }
}

/// Sizes and load times of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelSpec {
    /// Size of the weights.
    pub weights_size: Mib,
    /// Size of one adapter.
    pub adapter_size: Mib,
    /// Time to load it from the weight store.
    pub load_time: Duration,
    /// Time to load it from the endpoint's own disk.
    pub disk_load_time: Duration,
}

/// Capacity of a service's engines and the models that they serve.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineSpec {
    /// Maximum number of requests in a batch.
    pub slots: u32,
    /// KV cache capacity in tokens.
    pub kv_tokens: u64,
    /// Tokens in an event of a stream. The engine decodes one in each step of its batch.
    pub tokens_per_event: u32,
    /// Memory for weights and adapters.
    pub weights_memory: Mib,
    /// Maximum number of loaded adapters.
    pub adapter_slots: u32,
    /// Loads per second that the weight store allows over all engines.
    pub loads_per_s: f64,
    /// Models that callers may request.
    pub models: HashMap<ModelName, ModelSpec>,
}

/// A group of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Maximum connections to an endpoint over all gateway processes.
    pub max_connections: usize,
    /// Set if the endpoints are model engines.
    pub engine: Option<EngineSpec>,
    /// Longest pause between two events of its streams that is still on time; set by
    /// [`RouteTable::new`].
    pub pause_target: Duration,
}

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request head.
    pub header_timeout: Duration,
    /// Maximum idle time of a connection. The gateway uses it as the time limit for
    /// receiving a request body.
    pub idle_timeout: Duration,
}

/// One version of the configured routes and services.
///
/// ```
/// use std::{sync::Arc, time::Duration};
/// use goldcrestpitch::core::forwarding::*;
/// let route = |prefix: &str| Route {
///     name: prefix.into(), host: "a.example".into(), prefix: prefix.into(),
///     kind: RouteKind::Idempotent, timeout: Duration::from_secs(1),
///     target: Duration::from_millis(200), pause_target: Duration::ZERO,
///     patience: None, priority: 0, max_attempts: 2, needs_key: true,
///     services: vec![WeightedService { service: "desk".into(), weight: 1 }],
/// };
/// let table = RouteTable::new(7, vec![route("/a/"), route("/a/b/")], vec![], None);
/// assert_eq!(&*table.find("A.example:80", "/a/b/c").unwrap().prefix, "/a/b/");
/// assert_eq!(&*table.find("a.example", "/a/x").unwrap().prefix, "/a/");
/// assert!(table.find("a.example", "/ab").is_none());
/// ```
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// Configuration version; increases with each change.
    pub version: u64,
    /// Limits on callers' requests, if configured.
    pub limits: Option<RequestLimits>,
    /// The client accounts; none if callers need no key.
    pub accounts: Option<Arc<Accounts>>,
    by_host: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, Arc<Service>>,
}

impl RouteTable {
    /// Builds a table from routes and services.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        mut services: Vec<Service>,
        limits: Option<RequestLimits>,
    ) -> Self {
        for service in &mut services {
            let leads_here = |r: &&Route| r.services.iter().any(|s| s.service == service.name);
            let streams = routes.iter().filter(|r| matches!(r.kind, RouteKind::Streaming { .. }));
            let shortest = streams.filter(leads_here).map(|r| r.pause_target).min();
            service.pause_target = shortest.unwrap_or(DEFAULT_PAUSE_TARGET);
        }
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), Arc::new(s))).collect();
        Self { version, limits, accounts: None, by_host, services }
    }

    /// Sets the client accounts; none if callers need no key.
    pub fn with_accounts(self, accounts: Option<Accounts>) -> Self {
        Self { accounts: accounts.map(Arc::new), ..self }
    }

    /// Finds the route of the host with the longest prefix of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.by_host.get(name.to_ascii_lowercase().as_str())?;
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// Looks up a service by name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }
}

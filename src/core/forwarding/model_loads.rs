//! When a model that no endpoint has loaded can serve requests.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::core::{
    forwarding::{Endpoint, ModelSpec},
    ids::{EndpointId, ModelName},
};

/// Time until a load begins that is not under way: demand is sent to the planner, and its plan to
/// the endpoint, every 400 ms.
const PLANNING_TIME: Duration = Duration::from_millis(800);
/// A load that is overdue is expected to begin or to end after this time.
const OVERDUE_TIME: Duration = Duration::from_millis(200);
/// A load that takes this many times its time no longer counts.
const MAX_STRETCH: u32 = 3;
/// A model that was not asked for during this time is asked for anew.
const REQUEST_LIFETIME: Duration = Duration::from_secs(3);

#[derive(Clone, Debug, PartialEq, Eq)]
struct Load {
    model: ModelName,
    since: Instant,
}

/// The loads under way at the endpoints, as far as their reports tell.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::forwarding::{ModelLoads, ModelSpec};
/// let (now, ms) = (Instant::now(), Duration::from_millis);
/// let spec = ModelSpec {
///     weights_size: 60, adapter_size: 1, load_time: ms(4000), disk_load_time: ms(800),
/// };
/// let mut loads = ModelLoads::default();
/// // No endpoint is known that could load it faster than from the weight store.
/// assert_eq!(loads.time_until_loaded(now, &"m".into(), &spec, &[]), ms(4800));
/// // Later requests find that the load is planned already.
/// assert_eq!(loads.time_until_loaded(now + ms(500), &"m".into(), &spec, &[]), ms(4300));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ModelLoads {
    by_endpoint: HashMap<EndpointId, Load>,
    // Since when models are asked for that no endpoint has, and when they last were.
    wanted: HashMap<ModelName, (Instant, Instant)>,
}

impl ModelLoads {
    /// Records the model that an endpoint loads, if it does.
    pub fn record(&mut self, now: Instant, endpoint: &EndpointId, loading: Option<ModelName>) {
        let known = self.by_endpoint.get(endpoint).map(|load| &load.model);
        if known == loading.as_ref() {
            return;
        }
        match loading {
            Some(model) => self.by_endpoint.insert(endpoint.clone(), Load { model, since: now }),
            None => self.by_endpoint.remove(endpoint),
        };
    }

    /// Time until one of the endpoints has loaded the model: the rest of a load that is under way,
    /// or the time to plan one and carry it out.
    pub fn time_until_loaded(
        &mut self,
        now: Instant,
        model: &ModelName,
        spec: &ModelSpec,
        endpoints: &[&Endpoint],
    ) -> Duration {
        let load_time = |e: &Endpoint| {
            if e.residency().cached.contains(model) { spec.disk_load_time } else { spec.load_time }
        };
        let under_way = endpoints.iter().filter_map(|e| {
            let load = self.by_endpoint.get(e.id()).filter(|load| load.model == *model)?;
            let (time, elapsed) = (load_time(e), now.saturating_duration_since(load.since));
            let counts = elapsed < time * MAX_STRETCH;
            counts.then(|| time.saturating_sub(elapsed).max(OVERDUE_TIME))
        });
        let under_way = under_way.min();
        let (since, asked) = self.wanted.entry(model.clone()).or_insert((now, now));
        if *asked + REQUEST_LIFETIME < now {
            *since = now;
        }
        *asked = now;
        let planned = PLANNING_TIME.saturating_sub(now.saturating_duration_since(*since));
        under_way.unwrap_or_else(|| {
            let fastest = endpoints.iter().map(|e| load_time(e)).min();
            planned.max(OVERDUE_TIME) + fastest.unwrap_or(spec.load_time)
        })
    }

    /// Forgets endpoints that are no longer registered.
    pub fn retain(&mut self, is_registered: impl Fn(&str) -> bool) {
        self.by_endpoint.retain(|id, _| is_registered(id));
    }

    /// Forgets models that are no longer asked for.
    pub fn expire(&mut self, now: Instant) {
        self.wanted.retain(|_, (_, asked)| now < *asked + REQUEST_LIFETIME);
    }
}

//! Request rates that endpoints name, kept by all processes together.
//!
//! Each process counts the requests of all against the rate. They exchange what they have
//! sent in reports and need no other agreement.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use crate::core::{
    ids::EndpointId,
    limits::limited_endpoint::{LimitedEndpoint, ProcessLoad, Statement},
};

/// Identifies a process that sends requests to endpoints.
pub type ProcessId = u64;

/// How long the end of a limit is reported to other processes.
const REPORT_END_FOR: Duration = Duration::from_secs(10);
/// Age difference of two statements below which neither is known to be the later one, since
/// reports are delayed.
const REPORT_SKEW: Duration = Duration::from_millis(100);

/// What a response says of its endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NamedLimit {
    /// The response names none.
    None,
    /// Requests per second that the endpoint takes from all processes together.
    Rate(f64),
    /// A value that is no rate. It neither begins nor ends a limit.
    Invalid,
}

/// What changed with a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The endpoint names a rate, where it named another or none before.
    Named {
        /// Requests per second.
        rate: f64,
        /// The rate before.
        previous: Option<f64>,
    },
    /// The endpoint names a rate no longer.
    Ended {
        /// Requests per second.
        previous: f64,
        /// Time since the endpoint last named it.
        age: Duration,
    },
    /// The endpoint names a value that is no rate, for the first time.
    Unreadable,
}

/// What a process knows of one endpoint's limit, for other processes.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitReport {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Start of the endpoint, Unix time in milliseconds.
    pub started_ms: u64,
    /// Requests per second; none if the limit has ended.
    pub rate: Option<f64>,
    /// Time since the endpoint said so.
    pub age: Duration,
    /// What the process has for the endpoint.
    pub load: ProcessLoad,
}

/// The limits that endpoints name, and the allowance that is left of each.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::limits::{EndpointLimits, NamedLimit};
/// let now = Instant::now();
/// let mut limits = EndpointLimits::new(7);
/// limits.record_response(now, &"e".into(), 1, now, NamedLimit::Rate(2.0));
/// assert_eq!(limits.wait(now, "e", 0), Duration::from_millis(500));
/// let later = now + Duration::from_secs(1);
/// limits.refill(later);
/// assert_eq!(limits.wait(later, "e", 0), Duration::ZERO);
/// limits.take("e");
/// assert_eq!(limits.wait(later, "e", 1), Duration::from_secs(1));
/// ```
#[derive(Clone, Debug)]
pub struct EndpointLimits {
    rng: fastrand::Rng,
    endpoints: HashMap<EndpointId, LimitedEndpoint>,
    // Endpoints that named a value that is no rate.
    unreadable: HashSet<EndpointId>,
}

impl EndpointLimits {
    /// No limits. The seed draws the turns of this process.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(seed),
            endpoints: HashMap::new(),
            unreadable: HashSet::new(),
        }
    }

    /// The rate that the endpoint names, requests per second.
    pub fn rate(&self, endpoint: &str) -> Option<f64> {
        self.endpoints.get(endpoint)?.rate()
    }

    /// Number of endpoints that name a rate.
    pub fn len(&self) -> usize {
        self.endpoints.values().filter(|e| e.rate().is_some()).count()
    }

    /// Whether no endpoint names a rate.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records what a response says, whose request was sent at `sent_at` to an endpoint that
    /// started at `started_ms`. Only a response to a request that was sent after the limit
    /// was last named ends it: an earlier one may have been overtaken.
    pub fn record_response(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        started_ms: u64,
        sent_at: Instant,
        named: NamedLimit,
    ) -> Option<LimitChange> {
        let rate = match named {
            NamedLimit::Invalid => {
                return self.unreadable.insert(endpoint.clone()).then_some(LimitChange::Unreadable);
            }
            NamedLimit::Rate(rate) => Some(rate),
            NamedLimit::None => None,
        };
        let known = self.endpoints.get(endpoint).filter(|e| e.started_ms() == started_ms);
        let previous = known.and_then(LimitedEndpoint::rate);
        let heard_at = known.map(LimitedEndpoint::stated_at);
        if rate.is_none() && (previous.is_none() || heard_at.is_some_and(|at| sent_at <= at)) {
            return None;
        }
        self.state(now, endpoint, Statement { started_ms, rate, at: now });
        match (rate, previous) {
            (Some(rate), previous) if previous != Some(rate) => {
                Some(LimitChange::Named { rate, previous })
            }
            (None, Some(previous)) => {
                let age = heard_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
                Some(LimitChange::Ended { previous, age })
            }
            _ => None,
        }
    }

    /// Merges the report of another process. Returns whether the limit changed.
    pub fn merge(&mut self, now: Instant, from: ProcessId, report: &LimitReport) -> bool {
        let at = now.checked_sub(report.age).unwrap_or(now);
        let LimitReport { endpoint, started_ms, rate, .. } = report;
        let statement = Statement { started_ms: *started_ms, rate: *rate, at };
        let is_news = match self.endpoints.get(endpoint) {
            None => rate.is_some(),
            Some(known) if known.started_ms() == *started_ms => {
                known.stated_at() + REPORT_SKEW < at && known.rate() != *rate
            }
            Some(known) => known.started_ms() < *started_ms,
        };
        if is_news {
            self.state(now, endpoint, statement);
        }
        if let Some(known) = self.endpoints.get_mut(endpoint)
            && known.started_ms() == *started_ms
        {
            known.confirm(*rate, at);
            known.record_peer(now, from, report.load);
        }
        is_news
    }

    /// Notes that a request waits for the endpoint. Returns whether none did before, so that
    /// other processes should hear of it.
    pub fn want(&mut self, now: Instant, endpoint: &str) -> bool {
        self.endpoints.get_mut(endpoint).is_some_and(|e| e.want(now))
    }

    /// Time until a request may be sent to the endpoint after `ahead` other ones of this
    /// process. Zero if it names no limit.
    pub fn wait(&self, now: Instant, endpoint: &str, ahead: usize) -> Duration {
        self.endpoints.get(endpoint).map_or(Duration::ZERO, |e| e.wait(now, ahead))
    }

    /// Counts a request that is sent to the endpoint. Returns whether the endpoint names a
    /// limit, so that other processes should hear of the request.
    pub fn take(&mut self, endpoint: &str) -> bool {
        let Some(limited) = self.endpoints.get_mut(endpoint) else { return false };
        limited.take(self.rng.f64());
        limited.rate().is_some()
    }

    /// Updates the allowance of all endpoints.
    pub fn refill(&mut self, now: Instant) {
        self.endpoints.values_mut().for_each(|e| e.refill(now));
        self.endpoints.retain(|_, e| e.rate().is_some() || now < e.stated_at() + REPORT_END_FOR);
    }

    /// Drops endpoints that are no longer registered, or were started again. `started_ms` is
    /// the start of a registered endpoint.
    pub fn retain(&mut self, started_ms: impl Fn(&EndpointId) -> Option<u64>) {
        self.endpoints.retain(|id, e| started_ms(id) == Some(e.started_ms()));
        self.unreadable.retain(|id| started_ms(id).is_some());
    }

    /// Reports for other processes; those on endpoints for which there are requests come
    /// first, then the latest.
    pub fn reports(&self, now: Instant) -> Vec<LimitReport> {
        let report = |(id, e): (&EndpointId, &LimitedEndpoint)| LimitReport {
            endpoint: id.clone(),
            started_ms: e.started_ms(),
            rate: e.rate(),
            age: now.saturating_duration_since(e.stated_at()),
            load: e.load(now),
        };
        let mut reports: Vec<LimitReport> = self.endpoints.iter().map(report).collect();
        reports.sort_by_key(|r| (!r.load.waiting, r.age, r.endpoint.clone()));
        reports
    }

    fn state(&mut self, now: Instant, endpoint: &EndpointId, statement: Statement) {
        match self.endpoints.get_mut(endpoint) {
            Some(known) if known.started_ms() == statement.started_ms => {
                known.update(statement);
            }
            _ => {
                let new = LimitedEndpoint::new(now, statement, self.rng.f64());
                self.endpoints.insert(endpoint.clone(), new);
            }
        }
    }
}

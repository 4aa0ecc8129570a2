//! The software versions of a service's endpoints, also of those that have left.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::core::{forwarding::ServiceName, ids::VersionId};

/// Longest time in which a caller may resume a stream that an endpoint has begun.
const STREAM_LIFETIME: Duration = Duration::from_secs(60);
/// Longest time between two reads of the registrations after which they are current.
const MAX_AGE: Duration = Duration::from_millis(2500);

/// The versions that could have begun a stream that callers may still resume.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::resumption::ServiceVersions;
/// let (mut now, mut versions) = (Instant::now(), ServiceVersions::default());
/// for _ in 0..100 {
///     versions.record(now, [("llm".into(), 1)].into_iter());
///     now += Duration::from_secs(1);
/// }
/// assert_eq!(versions.only_version(now, "llm"), Some(1));
/// versions.record(now, [("llm".into(), 2)].into_iter());
/// assert_eq!(versions.only_version(now, "llm"), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServiceVersions {
    // When endpoints of each version were last registered.
    last_seen: HashMap<(ServiceName, VersionId), Instant>,
    // Since when no registration can have been missed.
    complete_since: Option<Instant>,
    read_at: Option<Instant>,
}

impl ServiceVersions {
    /// Records the registered endpoints after each read of the registrations.
    pub fn record(
        &mut self,
        now: Instant,
        registered: impl Iterator<Item = (ServiceName, VersionId)>,
    ) {
        if !self.is_current(now) {
            self.complete_since = Some(now);
        }
        self.read_at = Some(now);
        for key in registered {
            self.last_seen.insert(key, now);
        }
        self.last_seen.retain(|_, at| now < *at + STREAM_LIFETIME);
    }

    /// Notes that registrations may have come and gone unseen.
    pub fn record_gap(&mut self) {
        self.read_at = None;
    }

    /// The version of all endpoints that may have begun a stream of the service, if it is the
    /// same and none can be missing.
    pub fn only_version(&self, now: Instant, service: &str) -> Option<VersionId> {
        let complete = self.complete_since.is_some_and(|at| at + STREAM_LIFETIME <= now);
        if !complete || !self.is_current(now) {
            return None;
        }
        self.only_seen_version(service)
    }

    /// The version of all endpoints of the service that this process has seen lately, if it is
    /// the same.
    pub fn only_seen_version(&self, service: &str) -> Option<VersionId> {
        let mut versions = self.last_seen.keys().filter(|(s, _)| &**s == service).map(|(_, v)| *v);
        let only = versions.next()?;
        versions.next().is_none().then_some(only)
    }

    fn is_current(&self, now: Instant) -> bool {
        self.read_at.is_some_and(|at| now < at + MAX_AGE)
    }
}

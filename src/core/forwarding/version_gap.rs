//! Versions of the configuration that other processes have and this one lacks.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// How long the store may take to deliver a version that another process has in force, before
/// that process is asked for it. A healthy store delivers it within a few milliseconds.
const DELIVERY_TIME: Duration = Duration::from_millis(400);

#[derive(Clone, Copy, Debug)]
struct Missing {
    version: u64,
    holder: SocketAddr,
    since: Instant,
}

/// Decides when another process is asked for its configuration: when it has had a newer one for
/// longer than the store takes to deliver it.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::forwarding::VersionGap;
/// let (mut gap, now) = (VersionGap::default(), Instant::now());
/// let holder = "127.0.0.1:9".parse().unwrap();
/// gap.record(now, Some(3), 4, holder);
/// assert_eq!(gap.take_due(now, Some(3)), None);
/// let later = now + Duration::from_secs(1);
/// assert_eq!(gap.take_due(later, Some(3)), Some(holder));
/// assert_eq!(gap.take_due(later, Some(4)), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct VersionGap {
    missing: Option<Missing>,
}

impl VersionGap {
    /// Records that another process has a version in force. `own` is the version in force here.
    pub fn record(&mut self, now: Instant, own: Option<u64>, version: u64, holder: SocketAddr) {
        if Some(version) <= own {
            return;
        }
        match self.missing.as_mut().filter(|missing| own < Some(missing.version)) {
            // The age of the gap is that of the oldest version missing.
            Some(missing) => missing.holder = holder,
            None => self.missing = Some(Missing { version, holder, since: now }),
        }
    }

    /// The process to ask now. It is asked again after the same time if a version is still
    /// missing then.
    pub fn take_due(&mut self, now: Instant, own: Option<u64>) -> Option<SocketAddr> {
        self.missing = self.missing.filter(|missing| own < Some(missing.version));
        let missing = self.missing.as_mut().filter(|m| m.since + DELIVERY_TIME <= now)?;
        missing.since = now;
        Some(missing.holder)
    }
}

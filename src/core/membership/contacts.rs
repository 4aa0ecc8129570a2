//! Addresses at which other processes may be found, however long they have been silent.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    ops::Bound,
    time::{Duration, Instant},
};

/// Interval of messages to silent processes, one at a time: two groups that were cut off from each
/// other meet again.
const ATTEMPT_INTERVAL: Duration = Duration::from_secs(5);
/// A process that was silent for so long is gone.
const FORGET_AFTER: Duration = Duration::from_secs(3600);

/// The known addresses of other processes.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::membership::Contacts;
/// let (start, secs) = (Instant::now(), Duration::from_secs);
/// let (live, silent) = ("10.0.0.1:80".parse().unwrap(), "10.0.0.2:80".parse().unwrap());
/// let mut contacts = Contacts::default();
/// contacts.list(start, live);
/// contacts.list(start, silent);
/// let is_live = |address| address == live;
/// assert_eq!(contacts.take_silent(start, is_live), Some(silent));
/// assert_eq!(contacts.take_silent(start + secs(1), is_live), None);
/// contacts.record_heard(start + secs(3000), live);
/// assert_eq!(contacts.take_forgotten(start + secs(3600)), [silent]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Contacts {
    // When each was heard last, or listed first.
    last_heard: BTreeMap<SocketAddr, Instant>,
    last_attempt: Option<(Instant, SocketAddr)>,
}

impl Contacts {
    /// Adds an address that the settings or a directory name.
    pub fn list(&mut self, now: Instant, address: SocketAddr) {
        self.last_heard.entry(address).or_insert(now);
    }

    /// Records a message from an address.
    pub fn record_heard(&mut self, now: Instant, address: SocketAddr) {
        self.last_heard.insert(address, now);
    }

    /// The silent process to which a message is due, each in turn.
    pub fn take_silent(
        &mut self,
        now: Instant,
        is_live: impl Fn(SocketAddr) -> bool,
    ) -> Option<SocketAddr> {
        let last = self.last_attempt;
        if last.is_some_and(|(at, _)| now < at + ATTEMPT_INTERVAL) {
            return None;
        }
        let after = last.map_or(Bound::Unbounded, |(_, address)| Bound::Excluded(address));
        let later = self.last_heard.range((after, Bound::Unbounded));
        let mut in_turn = later.chain(&self.last_heard).map(|(address, _)| *address);
        let silent = in_turn.find(|address| !is_live(*address))?;
        self.last_attempt = Some((now, silent));
        Some(silent)
    }

    /// Removes the processes that are gone and returns their addresses.
    pub fn take_forgotten(&mut self, now: Instant) -> Vec<SocketAddr> {
        let mut forgotten = Vec::new();
        self.last_heard.retain(|address, at| {
            let is_known = now < *at + FORGET_AFTER;
            if !is_known {
                forgotten.push(*address);
            }
            is_known
        });
        forgotten
    }
}

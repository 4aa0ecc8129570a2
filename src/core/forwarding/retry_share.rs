//! Among how many processes the allowance of the retry budget is divided.
//!
//! A process that does not hear of others must not take their part, and one that has just
//! started does not know what it used before.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use crate::core::{forwarding::retry_budget::ARRIVAL_DELAY, limits::ProcessId};

/// How long a silent process keeps its part.
const FORGET_AFTER: Duration = Duration::from_secs(3600);
/// How long a process waits for one that knows the others, or for all that are listed.
const MAX_UNINFORMED: Duration = Duration::from_secs(60);

/// What a process says of the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareReport {
    /// Processes from which it has heard, itself included.
    pub processes: usize,
    /// Whether it knows the others, as far as they were there when it started.
    pub is_informed: bool,
}

/// A list of all processes, to which each adds itself before it reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Directory {
    /// There is none.
    Unused,
    /// This process has not read it yet.
    Unread,
    Read,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    last_heard: Instant,
    report: ShareReport,
}

/// The processes that share a retry budget, as far as this one knows.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::forwarding::{RetryShare, ShareReport};
/// let start = Instant::now();
/// let mut share = RetryShare::new(start, Duration::from_secs(10), [1, 2], false);
/// share.record(start, 1, ShareReport { processes: 5, is_informed: true });
/// share.record(start, 2, ShareReport { processes: 5, is_informed: true });
/// // One that has just started has no part.
/// assert_eq!(share.processes(start), usize::MAX);
/// let later = start + Duration::from_secs(11);
/// share.update(later);
/// assert_eq!(share.processes(later), 5);
/// ```
#[derive(Clone, Debug)]
pub struct RetryShare {
    started: Instant,
    // Retries from before the start may arrive for so long.
    window: Duration,
    // Other processes, of the settings or the directory, that were not heard yet.
    unheard: HashSet<ProcessId>,
    peers: HashMap<ProcessId, Peer>,
    // No process has run before.
    first_start: bool,
    directory: Directory,
    is_informed: bool,
}

impl RetryShare {
    /// The share of a process that starts now, whose settings name the others in `seeds`.
    /// Retries are counted over `window`.
    ///
    /// At the first start of all processes there are no retries from before.
    pub fn new(
        now: Instant,
        window: Duration,
        seeds: impl IntoIterator<Item = ProcessId>,
        first_start: bool,
    ) -> Self {
        Self {
            started: now,
            window: window + ARRIVAL_DELAY,
            unheard: seeds.into_iter().collect(),
            peers: HashMap::new(),
            first_start,
            directory: Directory::Unused,
            is_informed: false,
        }
    }

    /// The same, with a directory of all processes. Until it was read, or another process was
    /// heard, silence tells nothing, and this process has no part.
    pub fn with_directory(self) -> Self {
        Self { directory: Directory::Unread, ..self }
    }

    /// Records the other processes that the directory lists when it is first read. Unless all
    /// processes are starting, those of the settings that it does not list are gone.
    pub fn record_directory(&mut self, processes: impl IntoIterator<Item = ProcessId>) {
        if !self.first_start {
            self.unheard.clear();
        }
        let unheard = processes.into_iter().filter(|process| !self.peers.contains_key(process));
        self.unheard.extend(unheard);
        self.directory = Directory::Read;
    }

    /// Records that a process has started, as the directory tells. It counts as heard, since it
    /// may run where its messages do not arrive from.
    pub fn record_started(&mut self, now: Instant, process: ProcessId) {
        let report = ShareReport { processes: 1, is_informed: false };
        let peer = self.peers.entry(process).or_insert(Peer { last_heard: now, report });
        peer.last_heard = now;
    }

    /// Records what another process says.
    pub fn record(&mut self, now: Instant, process: ProcessId, report: ShareReport) {
        self.unheard.remove(&process);
        self.peers.insert(process, Peer { last_heard: now, report });
    }

    /// Forgets processes that were silent for long, and finds out whether the others are known.
    pub fn update(&mut self, now: Instant) {
        self.peers.retain(|_, p| now < p.last_heard + FORGET_AFTER);
        let hears_informed = self.peers.values().any(|p| p.report.is_informed);
        // A process that hears none of the others may be cut off.
        let hears_any = !self.peers.is_empty() || self.unheard.is_empty();
        let waited = self.started + MAX_UNINFORMED <= now;
        if (hears_any && waited) || self.started + FORGET_AFTER <= now {
            self.unheard.clear();
        }
        let is_listed = self.directory == Directory::Read;
        let hears_all = self.has_met() && self.unheard.is_empty();
        self.is_informed |= hears_informed
            || (waited && (hears_any || is_listed))
            || (hears_all && (self.first_start || is_listed));
    }

    /// What this process says to others.
    pub fn report(&self) -> ShareReport {
        ShareReport { processes: self.peers.len() + 1, is_informed: self.is_informed }
    }

    /// Number of processes among which the allowance is divided; the largest number there is if
    /// this one has no part.
    pub fn processes(&self, now: Instant) -> usize {
        let settled = self.is_informed && self.started + self.window <= now;
        let starts_with_others = self.first_start && self.has_met();
        if !settled && !starts_with_others {
            return usize::MAX;
        }
        let told = self.peers.values().map(|p| p.report.processes).max().unwrap_or(1);
        told.max(self.peers.len() + self.unheard.len() + 1)
    }

    /// Whether silence tells something about the other processes.
    fn has_met(&self) -> bool {
        self.directory != Directory::Unread || !self.peers.is_empty()
    }
}

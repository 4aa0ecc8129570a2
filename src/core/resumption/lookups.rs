//! Questions to other processes about streams that this one was not told of.

use std::{
    collections::{BTreeMap, HashSet},
    time::{Duration, Instant},
};

use crate::core::{
    ids::StreamId,
    limits::ProcessId,
    resumption::{HOLDERS, holders},
};

/// Processes that are asked at first: those that were told, as far as views of the fleet
/// differ.
const FIRST_ASKED: usize = 2 * HOLDERS;
/// Time after which all others are asked, and those that have not answered once more.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(90);
/// Number of times that a process is asked.
const MAX_ASKED: u32 = 3;
/// Longest wait for answers. A process that is slower is stopped, frozen or cut off.
const MAX_WAIT: Duration = Duration::from_millis(400);

/// How far a lookup has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupState {
    /// Processes have yet to answer.
    Pending,
    /// No process knows the stream, and all have answered.
    Unknown,
    /// No process that has answered knows the stream.
    TimedOut,
}

/// Processes to ask about a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lookup {
    /// The stream.
    pub stream: StreamId,
    /// Those to ask now.
    pub processes: Vec<ProcessId>,
}

#[derive(Clone, Debug)]
struct PendingLookup {
    since: Instant,
    asked_at: Option<Instant>,
    rounds: u32,
    denied: HashSet<ProcessId>,
    state: LookupState,
}

/// The lookups that requests wait for.
///
/// ```
/// use std::time::Instant;
/// use goldcrestpitch::core::resumption::{LookupState, Lookups};
/// let now = Instant::now();
/// let mut lookups = Lookups::default();
/// lookups.start(now, 7);
/// assert_eq!(lookups.due(now, &[1, 2])[0].processes.len(), 2);
/// lookups.record_denial(7, 1);
/// lookups.record_denial(7, 2);
/// assert!(lookups.due(now, &[1, 2]).is_empty());
/// assert_eq!(lookups.state(7), LookupState::Unknown);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Lookups {
    pending: BTreeMap<StreamId, PendingLookup>,
}

impl Lookups {
    /// Starts a lookup, unless one has been in progress.
    pub fn start(&mut self, now: Instant, stream: StreamId) {
        let state = LookupState::Pending;
        let new =
            PendingLookup { since: now, asked_at: None, rounds: 0, denied: HashSet::new(), state };
        self.pending.entry(stream).or_insert(new);
    }

    /// Ends a lookup.
    pub fn finish(&mut self, stream: StreamId) {
        self.pending.remove(&stream);
    }

    /// How far a lookup has come; one that was not started is over.
    pub fn state(&self, stream: StreamId) -> LookupState {
        self.pending.get(&stream).map_or(LookupState::TimedOut, |l| l.state)
    }

    /// Notes that a process does not know a stream.
    pub fn record_denial(&mut self, stream: StreamId, process: ProcessId) {
        if let Some(lookup) = self.pending.get_mut(&stream) {
            lookup.denied.insert(process);
        }
    }

    /// Updates the lookups and returns whom to ask now, given the other live processes.
    pub fn due(&mut self, now: Instant, live: &[ProcessId]) -> Vec<Lookup> {
        let mut due = Vec::new();
        for (stream, lookup) in &mut self.pending {
            let processes = lookup.update(now, *stream, live);
            if !processes.is_empty() {
                due.push(Lookup { stream: *stream, processes });
            }
        }
        due
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

impl PendingLookup {
    fn update(&mut self, now: Instant, stream: StreamId, live: &[ProcessId]) -> Vec<ProcessId> {
        if self.state != LookupState::Pending {
            return Vec::new();
        }
        if live.iter().all(|process| self.denied.contains(process)) {
            self.state = LookupState::Unknown;
            return Vec::new();
        }
        if self.since + MAX_WAIT <= now {
            self.state = LookupState::TimedOut;
            return Vec::new();
        }
        if self.asked_at.is_some_and(|at| now < at + ASK_AGAIN_AFTER) || MAX_ASKED <= self.rounds {
            return Vec::new();
        }
        let count = if self.rounds == 0 { FIRST_ASKED } else { live.len() };
        self.rounds += 1;
        self.asked_at = Some(now);
        let silent = live.iter().copied().filter(|process| !self.denied.contains(process));
        holders(stream, count, silent)
    }
}

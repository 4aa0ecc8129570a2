//! One endpoint that names a request rate, and what all processes have sent to it.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::core::limits::ProcessId;

/// Lowest rate that all processes send together, requests per second, so that a request
/// finds out when the limit ends.
const MIN_RATE: f64 = 0.25;
/// How long a process is taken to have waiting requests for the endpoint after the last one.
const WAITING_FOR: Duration = Duration::from_millis(500);
/// How long a process competes for the endpoint after it was last heard to. Reports are
/// repeated every 0.8 s, and two may be lost.
const COMPETING_FOR: Duration = Duration::from_millis(2500);
/// Time between the turns of two processes, longer than a report is on its way.
const TURN: Duration = Duration::from_millis(60);
/// Longest time in which each process has its turn.
const MAX_ROUND: Duration = Duration::from_secs(1);
/// Time from the moment at which a request is sent to the one at which its response arrives.
const ON_THE_WAY: Duration = Duration::from_millis(150);
/// Requests that may be owed: sent by several processes before they heard of each other.
const MAX_DEBT: f64 = 8.0;
const MAX_WAIT: Duration = Duration::from_secs(3600);

/// What an endpoint said, or a report of that.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Statement {
    pub(super) started_ms: u64,
    /// Requests per second; none if it names no limit.
    pub(super) rate: Option<f64>,
    pub(super) at: Instant,
}

/// What a process has for an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessLoad {
    /// Whether requests wait, or were refused, because of the limit.
    pub waiting: bool,
    /// Requests sent since the process heard of the limit.
    pub sent: u64,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    load: ProcessLoad,
    // When it last had waiting requests or sent one.
    competed_at: Instant,
}

/// An endpoint that names a limit, or did until recently.
///
/// Every process counts the requests of all against one allowance, which accrues at the
/// rate. Processes that wait for it at the same time take turns in a random order.
#[derive(Clone, Debug)]
pub(super) struct LimitedEndpoint {
    statement: Statement,
    // Requests that may be sent now, by all processes together.
    tokens: f64,
    refilled_at: Instant,
    waiting_at: Option<Instant>,
    sent: u64,
    // Turn of this process among those that compete, from 0 to 1.
    turn: f64,
    peers: HashMap<ProcessId, Peer>,
}

impl LimitedEndpoint {
    pub(super) fn new(now: Instant, statement: Statement, turn: f64) -> Self {
        Self {
            statement,
            tokens: 0.0,
            refilled_at: now,
            waiting_at: None,
            sent: 0,
            turn,
            peers: HashMap::new(),
        }
    }

    pub(super) fn started_ms(&self) -> u64 {
        self.statement.started_ms
    }

    pub(super) fn rate(&self) -> Option<f64> {
        self.statement.rate
    }

    pub(super) fn stated_at(&self) -> Instant {
        self.statement.at
    }

    /// Replaces what the endpoint said. What was saved up at another rate is lost, and
    /// requests that were sent at a higher one and are on their way are owed.
    pub(super) fn update(&mut self, statement: Statement) {
        let previous = self.statement.rate;
        if statement.rate != previous {
            self.tokens = self.tokens.min(0.0);
            let fall = previous.zip(statement.rate).map_or(0.0, |(old, new)| old - new);
            self.spend(fall.max(0.0) * ON_THE_WAY.as_secs_f64());
        }
        self.statement = statement;
    }

    /// Notes that another process heard the same, perhaps later.
    pub(super) fn confirm(&mut self, rate: Option<f64>, at: Instant) {
        if rate == self.statement.rate {
            self.statement.at = self.statement.at.max(at);
        }
    }

    /// Counts what another process has sent since its last report.
    pub(super) fn record_peer(&mut self, now: Instant, process: ProcessId, load: ProcessLoad) {
        let known = self.peers.get(&process);
        // A process that was started again counts from 0.
        let before = known.map(|p| p.load.sent).filter(|sent| *sent <= load.sent).unwrap_or(0);
        let sent = load.sent - before;
        let competes = load.waiting || 0 < sent;
        let competed_at = known.map(|p| p.competed_at).filter(|_| !competes).unwrap_or(now);
        self.peers.insert(process, Peer { load, competed_at });
        self.spend(sent as f64);
    }

    /// The load of this process.
    pub(super) fn load(&self, now: Instant) -> ProcessLoad {
        let waiting = self.waiting_at.is_some_and(|at| now < at + WAITING_FOR);
        ProcessLoad { waiting, sent: self.sent }
    }

    /// Notes that a request waits. Returns whether none did before.
    pub(super) fn want(&mut self, now: Instant) -> bool {
        let is_new = !self.load(now).waiting;
        self.waiting_at = Some(now);
        is_new
    }

    /// Time until this process may send a request after `ahead` other ones. Those of other
    /// processes come between them.
    pub(super) fn wait(&self, now: Instant, ahead: usize) -> Duration {
        if self.statement.rate.is_none() {
            return Duration::ZERO;
        }
        let waiting = self.competitors(now).filter(|p| p.load.waiting).count();
        let between = ahead * (1 + waiting);
        let missing = self.needed(now) + between as f64 - self.tokens;
        let wait = Duration::try_from_secs_f64(missing.max(0.0) / self.allowed_rate());
        wait.unwrap_or(MAX_WAIT).min(MAX_WAIT)
    }

    /// Counts a request of this process, which gets another turn.
    pub(super) fn take(&mut self, turn: f64) {
        self.turn = turn;
        self.sent += 1;
        self.spend(1.0);
    }

    /// Adds what has accrued since the last call.
    pub(super) fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let accrued = self.tokens + elapsed * self.allowed_rate();
        self.tokens = accrued.min(1.0 + self.round(now));
    }

    fn spend(&mut self, requests: f64) {
        self.tokens = (self.tokens - requests).max(-MAX_DEBT);
    }

    /// Allowance at which it is this process's turn.
    fn needed(&self, now: Instant) -> f64 {
        1.0 + self.turn * self.round(now)
    }

    /// What accrues while each process that competes has its turn.
    fn round(&self, now: Instant) -> f64 {
        let turns = self.competitors(now).count() as u32;
        self.allowed_rate() * (TURN * turns).min(MAX_ROUND).as_secs_f64()
    }

    fn competitors(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |p| now < p.competed_at + COMPETING_FOR)
    }

    fn allowed_rate(&self) -> f64 {
        self.statement.rate.unwrap_or(0.0).max(MIN_RATE)
    }
}

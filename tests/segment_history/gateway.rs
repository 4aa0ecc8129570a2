//! A gateway in virtual time.

use std::time::{Duration, Instant};

use goldcrestpitch::core::quarantine::{RunEnd, RunGate, RunId, RunPermit, Suspect};

pub const REQUEST_LIMIT: usize = 3;
pub const SEGMENT_LIMIT: usize = 5;
/// Many sound requests begin with it.
pub const FIRST: u64 = 1;
/// Crashes each endpoint that begins to write an answer on it.
pub const BAD: u64 = 100;
pub const OTHER_BAD: u64 = 101;
/// From here on, segments of one conversation each.
pub const CONVERSATIONS: u64 = 1000;

/// A gateway that is the only one unless a test says otherwise.
pub struct Gateway {
    pub gate: RunGate,
    pub now: Instant,
    pub next_request: u64,
    pub next_endpoint: u64,
}

impl Gateway {
    pub fn new() -> Self {
        Self {
            gate: RunGate::new(REQUEST_LIMIT, SEGMENT_LIMIT),
            now: Instant::now(),
            next_request: 1 << 32,
            next_endpoint: 1 << 48,
        }
    }

    /// One that has run requests with the first segment before.
    pub fn with_sound_history() -> Self {
        let mut gateway = Self::new();
        for i in 0..20 {
            gateway.complete(&[FIRST, CONVERSATIONS + i]);
        }
        gateway
    }

    pub fn pass(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }

    pub fn new_request(&mut self) -> u64 {
        self.next_request += 1;
        self.next_request
    }

    pub fn new_endpoint(&mut self) -> u64 {
        self.next_endpoint += 1;
        self.next_endpoint
    }

    pub fn permit(&mut self, segments: &[u64]) -> RunPermit {
        let request = self.new_request();
        self.gate.permit(self.now, request, segments)
    }

    pub fn start_at(&mut self, segments: &[u64], endpoint: u64) -> RunId {
        let request = self.new_request();
        self.gate.start(self.now, request, segments, endpoint).unwrap()
    }

    pub fn start(&mut self, segments: &[u64]) -> RunId {
        let endpoint = self.new_endpoint();
        self.start_at(segments, endpoint)
    }

    pub fn respond(&mut self, run: RunId) -> Vec<Suspect> {
        self.gate.record_response(self.now, run)
    }

    /// Lets the run write, with a piece of data every 100 ms.
    pub fn write(&mut self, run: RunId, ms: u64) -> Vec<Suspect> {
        let mut cleared = Vec::new();
        for _ in 0..ms / 100 {
            self.pass(100);
            cleared.extend(self.respond(run));
        }
        cleared
    }

    pub fn complete(&mut self, segments: &[u64]) -> Vec<Suspect> {
        let run = self.start(segments);
        self.respond(run);
        self.pass(100);
        self.gate.end(self.now, run, RunEnd::Completed).cleared
    }

    /// Ends the endpoint while these runs are there; the check confirms the crash.
    pub fn crash(&mut self, endpoint: u64, runs: &[RunId]) -> Vec<Suspect> {
        for run in runs {
            assert!(self.gate.end(self.now, *run, RunEnd::Interrupted).needs_check);
        }
        self.pass(100);
        let checked = self.gate.unresolved(self.now, endpoint);
        self.gate.resolve(self.now, endpoint, &checked, true)
    }

    /// One request for each prompt starts at the same endpoint, which crashes.
    pub fn crash_with(&mut self, prompts: &[&[u64]]) -> Vec<Suspect> {
        let endpoint = self.new_endpoint();
        let runs: Vec<RunId> = prompts.iter().map(|p| self.start_at(p, endpoint)).collect();
        self.pass(100);
        self.crash(endpoint, &runs)
    }

    /// Lets the time pass within which a run shows that a segment still is sound.
    pub fn await_proof(&mut self) {
        self.pass(2500);
        self.gate.expire(self.now);
    }

    pub fn crashes(&self, segment: u64) -> usize {
        self.gate.crashes(Suspect::Segment(segment))
    }

    pub fn is_blamed(&self, segment: u64) -> bool {
        self.gate.segments().is_blamed(segment)
    }

    pub fn blamed(&self) -> Vec<u64> {
        let mut blamed: Vec<u64> = self.gate.segments().blamed().iter().copied().collect();
        blamed.sort_unstable();
        blamed
    }
}

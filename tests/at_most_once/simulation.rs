//! Simulation of entries, agents, a log and a plain service in virtual time.

use std::{
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    time::{Duration, Instant},
};

use goldcrestpitch::{
    core::{
        idempotency::{
            Action, AdmissionError, Answer, AttemptHistory, Claim, ClaimRecord, ClaimResult,
            ClaimTable, Dispatch, Event, FenceState, Request, SelectedAgent,
        },
        ids::Offset,
    },
    errors::{Code, Outcome, Refusal},
};

use crate::history::{self, Call};

const MAX_TICKET_AGE: Duration = Duration::from_secs(10);
const DEADLINE: Duration = Duration::from_secs(8);
const SIMULATION_END_MS: u64 = 120_000;
const KEYS: u64 = 2;

/// Probability of each fault in percent, for every step in which it can occur.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub entry_crash: u32,
    pub agent_restart: u32,
    pub log_outage: u32,
    pub append_lost: u32,
    pub message_lost: u32,
    pub entry_pause: u32,
    pub service_failure: u32,
    pub refusal: u32,
}

impl Faults {
    pub const fn none() -> Self {
        Self {
            entry_crash: 0,
            agent_restart: 0,
            log_outage: 0,
            append_lost: 0,
            message_lost: 0,
            entry_pause: 0,
            service_failure: 0,
            refusal: 0,
        }
    }
}

/// A bug in the protocol that the checks must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    None,
    FenceNotRecorded,
    EveryClaimWins,
    NoAdmissionCheck,
}

#[derive(Debug)]
enum Step {
    Start(usize),
    Deliver { call: usize, event: Event },
    Append { record: ClaimRecord, call: Option<usize> },
    RunArrives { call: usize, claim: Claim },
    ServiceEnds { call: usize, claim: Claim, run: u64, fails: bool },
    FenceArrives { call: usize, claim: Claim },
    EntryCrashes(usize),
    AgentRestarts(usize),
    LogDown(bool),
}

struct ScheduledStep(u64, u64, Step);

impl PartialEq for ScheduledStep {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for ScheduledStep {}

impl Ord for ScheduledStep {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

impl PartialOrd for ScheduledStep {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

struct Agent {
    incarnation: u64,
    started_ms: u64,
    attempts: AttemptHistory,
}

struct Caller {
    key: u64,
    entry: usize,
    dispatch: Option<Dispatch>,
    attempts: BTreeSet<String>,
    result: Call,
}

pub struct SimulationResult {
    calls: Vec<Call>,
    violations: Vec<String>,
}

#[derive(Default)]
pub struct Totals {
    pub calls: u64,
    pub answered: u64,
    pub unknown: u64,
    pub not_run: u64,
    pub violations: Vec<String>,
}

impl Totals {
    pub fn add(&mut self, result: &SimulationResult, seed: u64) {
        let count = |f: fn(&Call) -> bool| result.calls.iter().filter(|c| f(c)).count() as u64;
        self.calls += result.calls.len() as u64;
        self.answered += count(|c| matches!(c, Call::Ran(_)));
        self.unknown += count(|c| matches!(c, Call::Unknown));
        self.not_run += count(|c| matches!(c, Call::NotRun));
        self.violations.extend(result.violations.iter().map(|v| format!("seed {seed}: {v}")));
    }
}

pub struct Simulation {
    rng: fastrand::Rng,
    faults: Faults,
    bug: InjectedBug,
    origin: Instant,
    now_ms: u64,
    sequence: u64,
    steps: BinaryHeap<ScheduledStep>,
    log: Vec<ClaimRecord>,
    log_down: bool,
    agents: Vec<Agent>,
    callers: Vec<Caller>,
    history: BTreeMap<u64, Vec<(usize, Call, bool)>>,
    // Runs by key as counted by the service: the attempt and the id of each run.
    runs: BTreeMap<u64, Vec<(String, u64)>>,
}

impl Simulation {
    pub fn new(seed: u64, faults: Faults, bug: InjectedBug) -> Self {
        let mut simulation = Self {
            rng: fastrand::Rng::with_seed(seed),
            faults,
            bug,
            origin: Instant::now(),
            now_ms: 0,
            sequence: 0,
            steps: BinaryHeap::new(),
            log: Vec::new(),
            log_down: false,
            agents: Vec::new(),
            callers: Vec::new(),
            history: BTreeMap::new(),
            runs: BTreeMap::new(),
        };
        for i in 0..2 {
            simulation.agents.push(Agent {
                incarnation: i + 1,
                started_ms: 0,
                attempts: new_attempt_history(),
            });
        }
        simulation.plan_calls();
        simulation.plan_faults();
        simulation
    }

    fn plan_calls(&mut self) {
        for key in 0..KEYS {
            for _ in 0..self.rng.usize(2..5) {
                let entry = self.rng.usize(..3);
                let call = self.callers.len();
                self.callers.push(Caller {
                    key,
                    entry,
                    dispatch: None,
                    attempts: BTreeSet::new(),
                    result: Call::Pending,
                });
                // Half of the calls come close together. The others are spread beyond the
                // deadline of the first one.
                let range = if self.rng.bool() { 40 } else { 30_000 };
                let at = self.rng.u64(1..range);
                self.schedule(at, Step::Start(call));
            }
        }
    }

    fn plan_faults(&mut self) {
        for _ in 0..4 {
            let at = if self.rng.bool() { self.rng.u64(1..200) } else { self.rng.u64(1..20_000) };
            if self.occurs(self.faults.entry_crash) {
                let entry = self.rng.usize(..3);
                self.schedule(at, Step::EntryCrashes(entry));
            }
            if self.occurs(self.faults.agent_restart) {
                let agent = self.rng.usize(..2);
                self.schedule(at, Step::AgentRestarts(agent));
            }
            if self.occurs(self.faults.log_outage) {
                self.schedule(at, Step::LogDown(true));
                let until = at + self.rng.u64(1..5000);
                self.schedule(until, Step::LogDown(false));
            }
        }
    }

    fn occurs(&mut self, percent: u32) -> bool {
        self.rng.u32(..100) < percent
    }

    fn now(&self) -> Instant {
        self.origin + Duration::from_millis(self.now_ms)
    }

    fn schedule(&mut self, delay: u64, step: Step) {
        self.sequence += 1;
        self.steps.push(ScheduledStep(self.now_ms + delay, self.sequence, step));
    }

    pub fn run(mut self) -> SimulationResult {
        while let Some(ScheduledStep(at, _, step)) = self.steps.pop() {
            if SIMULATION_END_MS < at {
                break;
            }
            self.now_ms = at;
            self.step(step);
        }
        let violations = self.check();
        SimulationResult { calls: self.callers.iter().map(|c| c.result).collect(), violations }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Start(call) => self.start(call),
            Step::Deliver { call, event } => self.deliver(call, event),
            Step::Append { record, call } => self.append(record, call),
            Step::RunArrives { call, claim } => self.run_arrives(call, claim),
            Step::ServiceEnds { call, claim, run, fails } => {
                self.service_ends(call, claim, run, fails);
            }
            Step::FenceArrives { call, claim } => self.fence_arrives(call, claim),
            Step::EntryCrashes(entry) => self.crash_entry(entry),
            Step::AgentRestarts(agent) => {
                let incarnation = self.agents.iter().map(|a| a.incarnation).max().unwrap_or(0) + 1;
                let started_ms = self.now_ms;
                self.agents[agent] =
                    Agent { incarnation, started_ms, attempts: new_attempt_history() };
            }
            Step::LogDown(down) => self.log_down = down,
        }
    }

    fn start(&mut self, call: usize) {
        let caller = &self.callers[call];
        let request = Request {
            id: format!("r{call}"),
            key: format!("t/s/{}", caller.key),
            digest: 1,
            entry: format!("e{}", caller.entry).into(),
            deadline: self.now() + DEADLINE,
            max_attempts: 3,
        };
        let key = caller.key;
        self.history.entry(key).or_default().push((call, Call::Pending, true));
        let (dispatch, action) = Dispatch::new(request);
        self.callers[call].dispatch = Some(dispatch);
        self.perform(call, action);
    }

    fn deliver(&mut self, call: usize, event: Event) {
        let now = self.now();
        let Some(dispatch) = &mut self.callers[call].dispatch else {
            return;
        };
        if let Some(action) = dispatch.handle_event(now, event) {
            self.perform(call, action);
        }
    }

    /// Delivers an event to a call after a delay, or later when its entry is paused.
    fn report(&mut self, call: usize, delay: u64, event: Event) {
        let pause =
            if self.occurs(self.faults.entry_pause) { self.rng.u64(1000..30_000) } else { 0 };
        self.schedule(delay + pause, Step::Deliver { call, event });
    }

    fn perform(&mut self, call: usize, action: Action) {
        // A paused entry also performs an action late that it has already decided on.
        let pause =
            if self.occurs(self.faults.entry_pause) { self.rng.u64(500..20_000) } else { 0 };
        let latency = self.rng.u64(1..20) + pause;
        match action {
            Action::SelectAgent { exclude } => self.select_agent(call, &exclude),
            Action::Claim(claim) => {
                self.callers[call].attempts.insert(claim.attempt.to_string());
                self.schedule(
                    latency,
                    Step::Append { record: ClaimRecord::Claim(claim), call: Some(call) },
                );
            }
            Action::Run(claim) => self.send_run(call, claim, latency),
            Action::Fence(claim) => {
                if self.occurs(self.faults.message_lost) {
                    return self.report(call, 1000, Event::Fenced(claim.attempt, None));
                }
                self.schedule(latency, Step::FenceArrives { call, claim });
            }
            Action::LookUp => {
                let result = self.claim_result(call, None);
                self.report(call, 1, Event::Claimed(result));
            }
            Action::Wait(time) => self.report(call, time.as_millis() as u64, Event::Waited),
            Action::Finish { record, result } => self.finish(call, record, result),
        }
    }

    fn select_agent(&mut self, call: usize, exclude: &[goldcrestpitch::core::ids::EndpointId]) {
        let agent = self.rng.usize(..2);
        let name = format!("a{agent}");
        let latency = self.rng.u64(1..20);
        if exclude.iter().any(|e| **e == *name) && self.rng.bool() {
            let refusal = Refusal::new(Code::NoEndpoint, "no endpoint is left");
            return self.report(call, latency, Event::NoAgent(refusal));
        }
        let a = &self.agents[agent];
        let selected = SelectedAgent {
            agent: name.into(),
            incarnation: a.incarnation,
            ticket_ms: self.now_ms - a.started_ms,
        };
        self.report(call, latency, Event::AgentSelected(selected));
    }

    fn append(&mut self, record: ClaimRecord, call: Option<usize>) {
        if self.log_down {
            if let Some(call) = call {
                self.report(call, 1000, Event::Claimed(ClaimResult::Unavailable));
            }
            return;
        }
        let mut delay = self.rng.u64(1..60);
        if self.occurs(self.faults.append_lost) {
            if self.rng.bool() {
                return self.append_uncertain(record, call);
            }
            // Only the response was lost: the entry finds its record by reading the stream.
            delay += 300;
        }
        self.log.push(record);
        let Some(call) = call else { return };
        let result = self.claim_result(call, Some(self.log.len() as Offset));
        self.report(call, delay, Event::Claimed(result));
    }

    /// The entry gives up, and the record is appended later or never.
    fn append_uncertain(&mut self, record: ClaimRecord, call: Option<usize>) {
        if let Some(call) = call {
            self.report(call, 1500, Event::Claimed(ClaimResult::Unavailable));
        }
        if self.rng.bool() {
            let delay = self.rng.u64(1..8000);
            self.schedule(delay, Step::Append { record, call: None });
        }
    }

    fn claim_result(&self, call: usize, own: Option<Offset>) -> ClaimResult {
        let mut table = ClaimTable::default();
        for (i, record) in self.log.iter().enumerate() {
            table.apply(i as Offset + 1, record.clone());
        }
        if let (InjectedBug::EveryClaimWins, Some(offset)) = (self.bug, own) {
            return ClaimResult::Won(offset);
        }
        let caller = &self.callers[call];
        let Some(holder) = table.holder(&format!("t/s/{}", caller.key)) else {
            return ClaimResult::Free;
        };
        let own = own.is_some() && caller.attempts.contains(&*holder.claim.attempt);
        match own {
            true => ClaimResult::Won(holder.offset),
            false => ClaimResult::Held(Box::new(holder.clone())),
        }
    }

    fn send_run(&mut self, call: usize, claim: Claim, latency: u64) {
        if self.occurs(self.faults.message_lost) {
            self.report(call, 1000, Event::AttemptLost(claim.attempt.clone()));
            if self.rng.bool() {
                let late = self.rng.u64(1..40_000);
                self.schedule(late, Step::RunArrives { call, claim });
            }
            return;
        }
        self.schedule(latency, Step::RunArrives { call, claim });
    }

    fn agent_of(&mut self, claim: &Claim) -> Option<&mut Agent> {
        let index: usize = claim.agent.trim_start_matches('a').parse().ok()?;
        Some(&mut self.agents[index])
    }

    fn run_arrives(&mut self, call: usize, claim: Claim) {
        let now_ms = self.now_ms;
        let refuses = self.occurs(self.faults.refusal);
        let unchecked = self.bug == InjectedBug::NoAdmissionCheck;
        let latency = self.rng.u64(1..20);
        let Some(agent) = self.agent_of(&claim) else {
            return;
        };
        let refusal = Refusal::new(Code::StaleTicket, "refused");
        let same = agent.incarnation == claim.incarnation || unchecked;
        if !same {
            return self.report(call, latency, Event::Refused(claim.attempt, refusal));
        }
        let uptime = Duration::from_millis(now_ms - agent.started_ms);
        let ticket = Duration::from_millis(claim.ticket_ms);
        match agent.attempts.admit(uptime, &claim.attempt, ticket) {
            Err(AdmissionError::Duplicate) => {
                return self.report(call, latency, Event::AttemptLost(claim.attempt));
            }
            Err(_) if !unchecked => {
                return self.report(call, latency, Event::Refused(claim.attempt, refusal));
            }
            _ => {}
        }
        if refuses {
            agent.attempts.not_run(&claim.attempt);
            return self.report(call, latency, Event::Refused(claim.attempt, refusal));
        }
        let key = self.callers[call].key;
        let run = self.sequence;
        self.runs.entry(key).or_default().push((claim.attempt.to_string(), run));
        let fails = self.occurs(self.faults.service_failure);
        let delay = self.rng.u64(1..1500);
        self.schedule(delay, Step::ServiceEnds { call, claim, run, fails });
    }

    fn service_ends(&mut self, call: usize, claim: Claim, run: u64, fails: bool) {
        let lost = self.occurs(self.faults.message_lost);
        let latency = self.rng.u64(1..20);
        let Some(agent) = self.agent_of(&claim) else {
            return;
        };
        if agent.incarnation != claim.incarnation {
            return self.report(call, latency, Event::AttemptLost(claim.attempt));
        }
        let answer = Answer::from_response(200, "text/plain", run.to_string().as_bytes());
        agent.attempts.ran(&claim.attempt, (!fails).then(|| answer.clone()));
        let attempt = claim.attempt;
        let event = if fails || lost {
            Event::AttemptLost(attempt)
        } else {
            Event::Answered(attempt, answer)
        };
        self.report(call, latency, event);
    }

    fn fence_arrives(&mut self, call: usize, claim: Claim) {
        let unrecorded = self.bug == InjectedBug::FenceNotRecorded;
        let latency = self.rng.u64(1..20);
        let Some(agent) = self.agent_of(&claim) else {
            return;
        };
        let ticket = Duration::from_millis(claim.ticket_ms);
        let state = if agent.incarnation != claim.incarnation {
            FenceState::Unknown
        } else if unrecorded {
            agent.attempts.clone().fence(&claim.attempt, ticket)
        } else {
            agent.attempts.fence(&claim.attempt, ticket)
        };
        self.report(call, latency, Event::Fenced(claim.attempt, Some(state)));
    }

    fn crash_entry(&mut self, entry: usize) {
        for call in 0..self.callers.len() {
            let caller = &mut self.callers[call];
            if caller.entry == entry && caller.dispatch.take().is_some() {
                self.respond(call, Call::Unknown);
            }
        }
    }

    fn finish(
        &mut self,
        call: usize,
        record: Option<ClaimRecord>,
        result: Result<Answer, Refusal>,
    ) {
        if let Some(record) = record {
            let delay = self.rng.u64(1..3000);
            self.schedule(delay, Step::Append { record, call: None });
        }
        self.callers[call].dispatch = None;
        let run = |a: Answer| a.body.and_then(|b| b.parse().ok());
        let result = match result {
            Ok(answer) => run(answer).map_or(Call::Unknown, Call::Ran),
            Err(refusal) if refusal.outcome == Outcome::NotRun => Call::NotRun,
            Err(_) => Call::Unknown,
        };
        self.respond(call, result);
    }

    fn respond(&mut self, call: usize, result: Call) {
        let caller = &mut self.callers[call];
        caller.result = result;
        self.history.entry(caller.key).or_default().push((call, result, false));
    }

    fn check(&self) -> Vec<String> {
        let mut out = Vec::new();
        for (key, runs) in &self.runs {
            if 1 < runs.len() {
                out.push(format!("key {key} ran {} times: {runs:?}", runs.len()));
            }
        }
        for (call, caller) in self.callers.iter().enumerate() {
            let ran = self.runs.get(&caller.key).into_iter().flatten();
            let own = ran.filter(|(attempt, _)| caller.attempts.contains(attempt)).count();
            if caller.result == Call::NotRun && own != 0 {
                out.push(format!("call {call} was reported as not_run but ran"));
            }
            if caller.result == Call::Pending {
                out.push(format!("call {call} was never answered"));
            }
        }
        for (key, events) in &self.history {
            let complete =
                events.iter().all(|(call, _, _)| self.callers[*call].result != Call::Pending);
            if complete && !history::is_linearizable(events) {
                out.push(format!("key {key}: the history is not linearizable: {events:?}"));
            }
        }
        out
    }
}

fn new_attempt_history() -> AttemptHistory {
    AttemptHistory::new(MAX_TICKET_AGE, 1000)
}

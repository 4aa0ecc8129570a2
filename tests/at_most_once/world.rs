//! Entries, agents, a log and a plain service in virtual time.

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

const TICKET_LIFE: Duration = Duration::from_secs(10);
const DEADLINE: Duration = Duration::from_secs(8);
const END_MS: u64 = 120_000;
const KEYS: u64 = 2;

/// Faults of a schedule, in percent of the steps that they can strike.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub entry_dies: u32,
    pub agent_dies: u32,
    pub log_down: u32,
    pub append_lost: u32,
    pub message_lost: u32,
    pub paused: u32,
    pub service_breaks: u32,
    pub refuses: u32,
}

impl Faults {
    pub const fn none() -> Self {
        Self {
            entry_dies: 0,
            agent_dies: 0,
            log_down: 0,
            append_lost: 0,
            message_lost: 0,
            paused: 0,
            service_breaks: 0,
            refuses: 0,
        }
    }
}

/// A fault planted in the protocol, which the judges must notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    Nothing,
    FenceForgets,
    EveryClaimWins,
    NoTicketCheck,
}

#[derive(Debug)]
enum Step {
    Start(usize),
    Deliver { call: usize, event: Event },
    Append { record: ClaimRecord, call: Option<usize> },
    RunArrives { call: usize, claim: Claim },
    ServiceEnds { call: usize, claim: Claim, run: u64, breaks: bool },
    FenceArrives { call: usize, claim: Claim },
    EntryDies(usize),
    AgentDies(usize),
    LogDown(bool),
}

struct Timed(u64, u64, Step);

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Timed {}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

struct Agent {
    incarnation: u64,
    started_ms: u64,
    memory: AttemptHistory,
}

struct Caller {
    key: u64,
    entry: usize,
    dispatch: Option<Dispatch>,
    attempts: BTreeSet<String>,
    result: Call,
}

pub struct End {
    calls: Vec<Call>,
    violations: Vec<String>,
}

#[derive(Default)]
pub struct Tally {
    pub calls: u64,
    pub answered: u64,
    pub unknown: u64,
    pub not_run: u64,
    pub violations: Vec<String>,
}

impl Tally {
    pub fn add(&mut self, end: &End, seed: u64) {
        let count = |f: fn(&Call) -> bool| end.calls.iter().filter(|c| f(c)).count() as u64;
        self.calls += end.calls.len() as u64;
        self.answered += count(|c| matches!(c, Call::Ran(_)));
        self.unknown += count(|c| matches!(c, Call::Unknown));
        self.not_run += count(|c| matches!(c, Call::NotRun));
        self.violations.extend(end.violations.iter().map(|v| format!("seed {seed}: {v}")));
    }
}

pub struct World {
    rng: fastrand::Rng,
    faults: Faults,
    planted: Planted,
    origin: Instant,
    now_ms: u64,
    sequence: u64,
    steps: BinaryHeap<Timed>,
    log: Vec<ClaimRecord>,
    log_down: bool,
    agents: Vec<Agent>,
    callers: Vec<Caller>,
    history: BTreeMap<u64, Vec<(usize, Call, bool)>>,
    // The service's own count: runs by key, with the attempt of each.
    runs: BTreeMap<u64, Vec<(String, u64)>>,
}

impl World {
    pub fn new(seed: u64, faults: Faults, planted: Planted) -> Self {
        let mut me = Self {
            rng: fastrand::Rng::with_seed(seed),
            faults,
            planted,
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
            me.agents.push(Agent { incarnation: i + 1, started_ms: 0, memory: memory() });
        }
        me.plan_calls();
        me.plan_faults();
        me
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
                // Half of the duplicates come at once, the others after the deadline too.
                let range = if self.rng.bool() { 40 } else { 30_000 };
                let at = self.rng.u64(1..range);
                self.at(at, Step::Start(call));
            }
        }
    }

    fn plan_faults(&mut self) {
        for _ in 0..4 {
            let at = if self.rng.bool() { self.rng.u64(1..200) } else { self.rng.u64(1..20_000) };
            if self.strikes(self.faults.entry_dies) {
                let entry = self.rng.usize(..3);
                self.at(at, Step::EntryDies(entry));
            }
            if self.strikes(self.faults.agent_dies) {
                let agent = self.rng.usize(..2);
                self.at(at, Step::AgentDies(agent));
            }
            if self.strikes(self.faults.log_down) {
                self.at(at, Step::LogDown(true));
                let until = at + self.rng.u64(1..5000);
                self.at(until, Step::LogDown(false));
            }
        }
    }

    fn strikes(&mut self, percent: u32) -> bool {
        self.rng.u32(..100) < percent
    }

    fn now(&self) -> Instant {
        self.origin + Duration::from_millis(self.now_ms)
    }

    fn at(&mut self, delay: u64, step: Step) {
        self.sequence += 1;
        self.steps.push(Timed(self.now_ms + delay, self.sequence, step));
    }

    pub fn run(mut self) -> End {
        while let Some(Timed(at, _, step)) = self.steps.pop() {
            if END_MS < at {
                break;
            }
            self.now_ms = at;
            self.step(step);
        }
        let violations = self.judge();
        End { calls: self.callers.iter().map(|c| c.result).collect(), violations }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Start(call) => self.start(call),
            Step::Deliver { call, event } => self.deliver(call, event),
            Step::Append { record, call } => self.append(record, call),
            Step::RunArrives { call, claim } => self.run_arrives(call, claim),
            Step::ServiceEnds { call, claim, run, breaks } => {
                self.service_ends(call, claim, run, breaks);
            }
            Step::FenceArrives { call, claim } => self.fence_arrives(call, claim),
            Step::EntryDies(entry) => self.entry_dies(entry),
            Step::AgentDies(agent) => {
                let incarnation = self.agents.iter().map(|a| a.incarnation).max().unwrap_or(0) + 1;
                let started_ms = self.now_ms;
                self.agents[agent] = Agent { incarnation, started_ms, memory: memory() };
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
        self.act(call, action);
    }

    fn deliver(&mut self, call: usize, event: Event) {
        let now = self.now();
        let Some(dispatch) = &mut self.callers[call].dispatch else {
            return;
        };
        if let Some(action) = dispatch.handle_event(now, event) {
            self.act(call, action);
        }
    }

    /// Reports an event to a call, late when its entry is paused.
    fn report(&mut self, call: usize, delay: u64, event: Event) {
        let pause = if self.strikes(self.faults.paused) { self.rng.u64(1000..30_000) } else { 0 };
        self.at(delay + pause, Step::Deliver { call, event });
    }

    fn act(&mut self, call: usize, action: Action) {
        // A paused entry also acts late on what it has decided.
        let pause = if self.strikes(self.faults.paused) { self.rng.u64(500..20_000) } else { 0 };
        let hop = self.rng.u64(1..20) + pause;
        match action {
            Action::SelectAgent { exclude } => self.choose(call, &exclude),
            Action::Claim(claim) => {
                self.callers[call].attempts.insert(claim.attempt.to_string());
                self.at(hop, Step::Append { record: ClaimRecord::Claim(claim), call: Some(call) });
            }
            Action::Run(claim) => self.send_run(call, claim, hop),
            Action::Fence(claim) => {
                if self.strikes(self.faults.message_lost) {
                    return self.report(call, 1000, Event::Fenced(claim.attempt, None));
                }
                self.at(hop, Step::FenceArrives { call, claim });
            }
            Action::LookUp => {
                let verdict = self.verdict(call, None);
                self.report(call, 1, Event::Claimed(verdict));
            }
            Action::Wait(time) => self.report(call, time.as_millis() as u64, Event::Waited),
            Action::Finish { record, result } => self.finish(call, record, result),
        }
    }

    fn choose(&mut self, call: usize, exclude: &[goldcrestpitch::core::ids::EndpointId]) {
        let agent = self.rng.usize(..2);
        let name = format!("a{agent}");
        let hop = self.rng.u64(1..20);
        if exclude.iter().any(|e| **e == *name) && self.rng.bool() {
            let refusal = Refusal::new(Code::NoEndpoint, "none left");
            return self.report(call, hop, Event::NoAgent(refusal));
        }
        let a = &self.agents[agent];
        let choice = SelectedAgent {
            agent: name.into(),
            incarnation: a.incarnation,
            ticket_ms: self.now_ms - a.started_ms,
        };
        self.report(call, hop, Event::AgentSelected(choice));
    }

    fn append(&mut self, record: ClaimRecord, call: Option<usize>) {
        if self.log_down {
            if let Some(call) = call {
                self.report(call, 1000, Event::Claimed(ClaimResult::Unavailable));
            }
            return;
        }
        let mut delay = self.rng.u64(1..60);
        if self.strikes(self.faults.append_lost) {
            if self.rng.bool() {
                return self.append_uncertain(record, call);
            }
            // Only the answer was lost: the claimer finds its record by reading back.
            delay += 300;
        }
        self.log.push(record);
        let Some(call) = call else { return };
        let verdict = self.verdict(call, Some(self.log.len() as Offset));
        self.report(call, delay, Event::Claimed(verdict));
    }

    /// The claimer gives up; the record appears later, or never.
    fn append_uncertain(&mut self, record: ClaimRecord, call: Option<usize>) {
        if let Some(call) = call {
            self.report(call, 1500, Event::Claimed(ClaimResult::Unavailable));
        }
        if self.rng.bool() {
            let delay = self.rng.u64(1..8000);
            self.at(delay, Step::Append { record, call: None });
        }
    }

    fn verdict(&self, call: usize, own: Option<Offset>) -> ClaimResult {
        let mut book = ClaimTable::default();
        for (i, record) in self.log.iter().enumerate() {
            book.apply(i as Offset + 1, record.clone());
        }
        if let (Planted::EveryClaimWins, Some(offset)) = (self.planted, own) {
            return ClaimResult::Won(offset);
        }
        let caller = &self.callers[call];
        let Some(held) = book.holder(&format!("t/s/{}", caller.key)) else {
            return ClaimResult::Free;
        };
        let own = own.is_some() && caller.attempts.contains(&*held.claim.attempt);
        match own {
            true => ClaimResult::Won(held.offset),
            false => ClaimResult::Held(Box::new(held.clone())),
        }
    }

    fn send_run(&mut self, call: usize, claim: Claim, hop: u64) {
        if self.strikes(self.faults.message_lost) {
            self.report(call, 1000, Event::AttemptLost(claim.attempt.clone()));
            if self.rng.bool() {
                let late = self.rng.u64(1..40_000);
                self.at(late, Step::RunArrives { call, claim });
            }
            return;
        }
        self.at(hop, Step::RunArrives { call, claim });
    }

    fn agent_of(&mut self, claim: &Claim) -> Option<&mut Agent> {
        let index: usize = claim.agent.trim_start_matches('a').parse().ok()?;
        Some(&mut self.agents[index])
    }

    fn run_arrives(&mut self, call: usize, claim: Claim) {
        let now_ms = self.now_ms;
        let refuses = self.strikes(self.faults.refuses);
        let unchecked = self.planted == Planted::NoTicketCheck;
        let hop = self.rng.u64(1..20);
        let Some(agent) = self.agent_of(&claim) else {
            return;
        };
        let refusal = Refusal::new(Code::StaleTicket, "refused");
        let same = agent.incarnation == claim.incarnation || unchecked;
        if !same {
            return self.report(call, hop, Event::Refused(claim.attempt, refusal));
        }
        let uptime = Duration::from_millis(now_ms - agent.started_ms);
        let ticket = Duration::from_millis(claim.ticket_ms);
        match agent.memory.admit(uptime, &claim.attempt, ticket) {
            Err(AdmissionError::Duplicate) => {
                return self.report(call, hop, Event::AttemptLost(claim.attempt));
            }
            Err(_) if !unchecked => {
                return self.report(call, hop, Event::Refused(claim.attempt, refusal));
            }
            _ => {}
        }
        if refuses {
            agent.memory.not_run(&claim.attempt);
            return self.report(call, hop, Event::Refused(claim.attempt, refusal));
        }
        let key = self.callers[call].key;
        let run = self.sequence;
        self.runs.entry(key).or_default().push((claim.attempt.to_string(), run));
        let breaks = self.strikes(self.faults.service_breaks);
        let delay = self.rng.u64(1..1500);
        self.at(delay, Step::ServiceEnds { call, claim, run, breaks });
    }

    fn service_ends(&mut self, call: usize, claim: Claim, run: u64, breaks: bool) {
        let lost = self.strikes(self.faults.message_lost);
        let hop = self.rng.u64(1..20);
        let Some(agent) = self.agent_of(&claim) else {
            return;
        };
        if agent.incarnation != claim.incarnation {
            return self.report(call, hop, Event::AttemptLost(claim.attempt));
        }
        let answer = Answer::from_response(200, "text/plain", run.to_string().as_bytes());
        agent.memory.ran(&claim.attempt, (!breaks).then(|| answer.clone()));
        let attempt = claim.attempt;
        let event = if breaks || lost {
            Event::AttemptLost(attempt)
        } else {
            Event::Answered(attempt, answer)
        };
        self.report(call, hop, event);
    }

    fn fence_arrives(&mut self, call: usize, claim: Claim) {
        let forgets = self.planted == Planted::FenceForgets;
        let hop = self.rng.u64(1..20);
        let Some(agent) = self.agent_of(&claim) else {
            return;
        };
        let ticket = Duration::from_millis(claim.ticket_ms);
        let state = if agent.incarnation != claim.incarnation {
            FenceState::Unknown
        } else if forgets {
            agent.memory.clone().fence(&claim.attempt, ticket)
        } else {
            agent.memory.fence(&claim.attempt, ticket)
        };
        self.report(call, hop, Event::Fenced(claim.attempt, Some(state)));
    }

    fn entry_dies(&mut self, entry: usize) {
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
            self.at(delay, Step::Append { record, call: None });
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

    fn judge(&self) -> Vec<String> {
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
                out.push(format!("call {call} was told not_run but ran"));
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

fn memory() -> AttemptHistory {
    AttemptHistory::new(TICKET_LIFE, 1000)
}

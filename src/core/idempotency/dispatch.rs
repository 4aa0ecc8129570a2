//! The life of one request that must run at most once, from its claim to its
//! answer. The host carries out one action at a time and reports the event.

use std::{
    mem,
    time::{Duration, Instant},
};

use crate::{
    core::{
        idempotency::{Answer, Claim, ClaimRecord, ClaimStatus, FenceState, KeyHolder, Settle},
        ids::{AttemptId, EndpointId, EntryId, Incarnation, Offset},
    },
    errors::{Code, Outcome, Refusal},
};

// Time that a duplicate leaves the first request before it asks the agent.
const GRACE: Duration = Duration::from_millis(250);
const RETRY_FENCE: Duration = Duration::from_millis(200);

/// The request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Unique id of this call; attempts are numbered under it.
    pub id: String,
    /// Tenant, target and the caller's key.
    pub key: String,
    /// Hash of the body.
    pub digest: u64,
    /// The entry that holds the caller's connection.
    pub entry: EntryId,
    /// The caller's deadline.
    pub deadline: Instant,
    /// Attempts that may be claimed.
    pub max_attempts: u32,
}

/// The agent that a probe chose.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SelectedAgent {
    /// The endpoint of the agent.
    pub agent: EndpointId,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// The agent's uptime at the probe, ms.
    pub ticket_ms: u64,
}

/// What the log said of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The claim at this offset holds the key.
    Won(Offset),
    /// Another claim holds it.
    Held(Box<KeyHolder>),
    /// The key is not held.
    Free,
    /// The log did not confirm the claim; it may yet appear.
    Unavailable,
}

/// What the last action came to.
#[derive(Clone, Debug)]
pub enum Event {
    /// An agent was chosen.
    AgentSelected(SelectedAgent),
    /// No agent admits the request.
    NoAgent(Refusal),
    /// The answer to [`Action::Claim`] or [`Action::LookUp`].
    Claimed(ClaimResult),
    /// The attempt ran.
    Answered(AttemptId, Answer),
    /// The agent refused the attempt before it ran, and will not run it.
    Refused(AttemptId, Refusal),
    /// Nothing is known of the attempt any more.
    AttemptLost(AttemptId),
    /// What the agent said of a fenced attempt; none when it did not answer.
    Fenced(AttemptId, Option<FenceState>),
    /// The wait is over.
    Waited,
}

/// What the host does next.
#[derive(Clone, Debug)]
pub enum Action {
    /// Probe for an agent, leaving out some endpoints.
    SelectAgent {
        /// Endpoints that refused.
        exclude: Vec<EndpointId>,
    },
    /// Append a claim and read the stream up to it.
    Claim(Claim),
    /// Send the claimed attempt to its agent, once.
    Run(Claim),
    /// Forbid an attempt at the agent that its claim names.
    Fence(Claim),
    /// Look up who holds the key.
    LookUp,
    /// Wait.
    Wait(Duration),
    /// Answer the caller and append the record, whose loss does no harm.
    Finish {
        /// To be appended.
        record: Option<ClaimRecord>,
        /// For the caller.
        result: Result<Answer, Refusal>,
    },
}

#[derive(Clone, Debug)]
enum State {
    Choosing { supersedes: Option<Offset> },
    Claiming(Claim),
    Running { claim: Claim, offset: Offset },
    Waiting(KeyHolder),
    Looking(KeyHolder),
    Fencing(KeyHolder),
    Finished,
}

/// The state machine of one request.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::idempotency::*;
/// let now = Instant::now();
/// let (mut dispatch, first) = Dispatch::new(Request {
///     id: "r".into(), key: "t/s/k".into(), digest: 1, entry: "e".into(),
///     deadline: now + Duration::from_secs(5), max_attempts: 3,
/// });
/// assert!(matches!(first, Action::SelectAgent { .. }));
/// let agent = SelectedAgent { agent: "a".into(), incarnation: 1, ticket_ms: 0 };
/// let selected = Event::AgentSelected(agent);
/// let Some(Action::Claim(_)) = dispatch.handle_event(now, selected) else { panic!() };
/// let won = Event::Claimed(ClaimResult::Won(1));
/// assert!(matches!(dispatch.handle_event(now, won), Some(Action::Run(_))));
/// ```
#[derive(Clone, Debug)]
pub struct Dispatch {
    request: Request,
    state: State,
    attempts: u32,
    excluded: Vec<EndpointId>,
    refusal: Option<Refusal>,
}

impl Dispatch {
    /// The machine and its first action.
    pub fn new(request: Request) -> (Self, Action) {
        let state = State::Choosing { supersedes: None };
        let me = Self { request, state, attempts: 0, excluded: Vec::new(), refusal: None };
        (me, Action::SelectAgent { exclude: Vec::new() })
    }

    /// Takes an event and returns the next action. An event that does not
    /// belong to the last action, such as a late answer of an earlier attempt,
    /// has no effect.
    pub fn handle_event(&mut self, now: Instant, event: Event) -> Option<Action> {
        if !self.awaits(&event) {
            return None;
        }
        let action = match (mem::replace(&mut self.state, State::Finished), event) {
            (State::Choosing { supersedes }, Event::AgentSelected(choice)) => {
                self.claim(choice, supersedes)
            }
            (State::Choosing { .. }, Event::NoAgent(refusal)) => self.not_run(refusal),
            (State::Claiming(claim), Event::Claimed(verdict)) => self.claimed(claim, verdict),
            (State::Running { claim, .. }, Event::Answered(_, answer)) => settled(&claim, answer),
            (State::Running { claim, offset }, Event::Refused(_, refusal)) => {
                self.excluded.push(claim.agent.clone());
                self.again(now, refusal, offset)
            }
            (State::Running { claim, offset }, Event::AttemptLost(_)) => {
                self.fence(KeyHolder { offset, claim, standing: ClaimStatus::Open })
            }
            (State::Waiting(held), Event::Waited) => {
                self.state = State::Looking(held);
                Action::LookUp
            }
            (State::Looking(held), Event::Claimed(verdict)) => self.looked(now, held, verdict),
            (State::Fencing(held), Event::Fenced(_, state)) => self.fenced(now, held, state),
            (_, _) => return None,
        };
        Some(action)
    }

    fn awaits(&self, event: &Event) -> bool {
        match (&self.state, event) {
            (State::Choosing { .. }, Event::AgentSelected(_) | Event::NoAgent(_))
            | (State::Claiming(_) | State::Looking(_), Event::Claimed(_))
            | (State::Waiting(_), Event::Waited) => true,
            (
                State::Running { claim, .. },
                Event::Answered(of, _) | Event::Refused(of, _) | Event::AttemptLost(of),
            ) => *of == claim.attempt,
            (State::Fencing(held), Event::Fenced(of, _)) => *of == held.claim.attempt,
            _ => false,
        }
    }

    fn claim(&mut self, choice: SelectedAgent, supersedes: Option<Offset>) -> Action {
        self.attempts += 1;
        let attempt: AttemptId = format!("{}.{}", self.request.id, self.attempts).into();
        let claim = Claim {
            key: self.request.key.clone(),
            digest: self.request.digest,
            attempt,
            entry: self.request.entry.clone(),
            agent: choice.agent,
            incarnation: choice.incarnation,
            ticket_ms: choice.ticket_ms,
            supersedes,
        };
        self.state = State::Claiming(claim.clone());
        Action::Claim(claim)
    }

    fn claimed(&mut self, claim: Claim, verdict: ClaimResult) -> Action {
        match verdict {
            ClaimResult::Won(offset) => {
                self.state = State::Running { claim: claim.clone(), offset };
                Action::Run(claim)
            }
            ClaimResult::Held(held) => self.held_by_other(*held),
            ClaimResult::Free | ClaimResult::Unavailable => {
                let text = format!("the key {:?} could not be claimed", self.request.key);
                let refusal = Refusal::new(Code::ClaimUnavailable, text).retry_after(RETRY_LATER);
                Action::Finish { record: Some(abandon(&claim)), result: Err(refusal) }
            }
        }
    }

    fn held_by_other(&mut self, held: KeyHolder) -> Action {
        if held.claim.digest != self.request.digest {
            let text = format!("the key {:?} was used with another body", self.request.key);
            return finish(Err(Refusal::new(Code::KeyReused, text)));
        }
        if let ClaimStatus::Settled(answer) = held.standing {
            return finish(Ok(answer));
        }
        self.state = State::Waiting(held);
        Action::Wait(GRACE)
    }

    fn looked(&mut self, now: Instant, held: KeyHolder, verdict: ClaimResult) -> Action {
        let held = match verdict {
            ClaimResult::Held(now_held) => *now_held,
            ClaimResult::Won(_) | ClaimResult::Free | ClaimResult::Unavailable => held,
        };
        match held.standing {
            ClaimStatus::Settled(answer) => finish(Ok(answer)),
            ClaimStatus::Abandoned => self.choose(now, held.offset),
            ClaimStatus::Open => self.fence(held),
        }
    }

    fn fence(&mut self, held: KeyHolder) -> Action {
        let claim = held.claim.clone();
        self.state = State::Fencing(held);
        Action::Fence(claim)
    }

    fn fenced(&mut self, now: Instant, held: KeyHolder, state: Option<FenceState>) -> Action {
        match state {
            Some(FenceState::NeverRan) => {
                let text = format!("attempt {} did not run", held.claim.attempt);
                self.again(now, Refusal::new(Code::NoEndpoint, text), held.offset)
            }
            Some(FenceState::Ran(Some(answer))) => settled(&held.claim, answer),
            Some(FenceState::Ran(None)) => unknown("the endpoint failed while the request ran"),
            Some(FenceState::Unknown) => unknown("the agent no longer knows the attempt"),
            Some(FenceState::Running) | None if self.request.deadline <= now => {
                unknown("the outcome was not known before the deadline")
            }
            Some(FenceState::Running) | None => {
                self.state = State::Waiting(held);
                Action::Wait(RETRY_FENCE)
            }
        }
    }

    /// Tries another agent in place of an attempt that is proven not to have run.
    fn again(&mut self, now: Instant, refusal: Refusal, offset: Offset) -> Action {
        self.refusal = Some(refusal);
        self.choose(now, offset)
    }

    fn choose(&mut self, now: Instant, offset: Offset) -> Action {
        if self.request.deadline <= now {
            let text = "the deadline passed before the request ran";
            return self.not_run(Refusal::new(Code::DeadlineTooShort, text));
        }
        if self.request.max_attempts <= self.attempts {
            let text = format!("{} attempts were refused", self.attempts);
            let refusal = self.refusal.take();
            return self.not_run(refusal.unwrap_or_else(|| Refusal::new(Code::NoEndpoint, text)));
        }
        self.state = State::Choosing { supersedes: Some(offset) };
        Action::SelectAgent { exclude: self.excluded.clone() }
    }

    /// Ends without a run. The last claim, when this call made one, is free again.
    fn not_run(&self, refusal: Refusal) -> Action {
        let last: AttemptId = format!("{}.{}", self.request.id, self.attempts).into();
        let record = ClaimRecord::Abandon { key: self.request.key.clone(), attempt: last };
        let record = (self.attempts != 0).then_some(record);
        Action::Finish { record, result: Err(refusal.outcome(Outcome::NotRun)) }
    }
}

const RETRY_LATER: Duration = Duration::from_secs(1);

fn abandon(claim: &Claim) -> ClaimRecord {
    ClaimRecord::Abandon { key: claim.key.clone(), attempt: claim.attempt.clone() }
}

fn finish(result: Result<Answer, Refusal>) -> Action {
    Action::Finish { record: None, result }
}

fn settled(claim: &Claim, answer: Answer) -> Action {
    let settle =
        Settle { key: claim.key.clone(), attempt: claim.attempt.clone(), answer: answer.clone() };
    Action::Finish { record: Some(ClaimRecord::Settle(settle)), result: Ok(answer) }
}

fn unknown(text: &str) -> Action {
    finish(Err(Refusal::new(Code::OutcomeUnknown, text)))
}

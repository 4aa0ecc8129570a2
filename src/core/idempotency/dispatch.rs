//! State machine of one request that must run at most once, from its claim to
//! its answer. It does no I/O: the caller performs each action and reports the
//! resulting event.

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

// Time for the first request to finish before a duplicate fences its attempt.
const DUPLICATE_GRACE: Duration = Duration::from_millis(250);
const FENCE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// A request with an idempotency key.
#[derive(Clone, Debug)]
pub struct Request {
    /// Unique id of this request; attempt ids are this id with a sequence number.
    pub id: String,
    /// Tenant, target and the caller's idempotency key.
    pub key: String,
    /// Hash of the body, to detect a key that is reused for another request.
    pub digest: u64,
    /// The entry that serves the caller.
    pub entry: EntryId,
    /// The caller's deadline.
    pub deadline: Instant,
    /// Maximum number of attempts that this request may claim.
    pub max_attempts: u32,
}

/// The agent that was selected by probing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SelectedAgent {
    /// The endpoint of the agent.
    pub agent: EndpointId,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// Uptime of the agent when it was probed, ms.
    pub ticket_ms: u64,
}

/// Result of claiming a key or of looking it up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The claim at this offset holds the key.
    Won(Offset),
    /// Another claim holds the key.
    Held(Box<KeyHolder>),
    /// No claim holds the key.
    Free,
    /// The log did not confirm the claim, which may still be appended later.
    Unavailable,
}

/// Result of the last action.
#[derive(Clone, Debug)]
pub enum Event {
    /// An agent was selected.
    AgentSelected(SelectedAgent),
    /// No agent admits the request.
    NoAgent(Refusal),
    /// Result of [`Action::Claim`] or [`Action::LookUp`].
    Claimed(ClaimResult),
    /// The attempt ran and returned an answer.
    Answered(AttemptId, Answer),
    /// The agent refused the attempt before it ran and will not run it.
    Refused(AttemptId, Refusal),
    /// Contact with the attempt was lost, so it may or may not have run.
    AttemptLost(AttemptId),
    /// State of the fenced attempt; `None` when the agent did not reply.
    Fenced(AttemptId, Option<FenceState>),
    /// The delay of [`Action::Wait`] has passed.
    Waited,
}

/// The next step for the caller to perform.
#[derive(Clone, Debug)]
pub enum Action {
    /// Probe for an agent.
    SelectAgent {
        /// Endpoints to leave out because they refused an earlier attempt.
        exclude: Vec<EndpointId>,
    },
    /// Append a claim and read the stream up to it to learn which claim won.
    Claim(Claim),
    /// Send the claimed attempt to its agent. It must not be sent again.
    Run(Claim),
    /// Fence the attempt at the agent that the claim names.
    Fence(Claim),
    /// Look up the claim that holds the key.
    LookUp,
    /// Report [`Event::Waited`] after this delay.
    Wait(Duration),
    /// Return the result to the caller and append the record. Losing the record
    /// is safe: the claim stays open, and a duplicate fences the attempt.
    Finish {
        /// Record to append.
        record: Option<ClaimRecord>,
        /// Result for the caller.
        result: Result<Answer, Refusal>,
    },
}

#[derive(Clone, Debug)]
enum State {
    SelectingAgent { supersedes: Option<Offset> },
    Claiming(Claim),
    Running { claim: Claim, offset: Offset },
    Waiting(KeyHolder),
    LookingUp(KeyHolder),
    Fencing(KeyHolder),
    Finished,
}

/// State machine of one request.
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
    last_refusal: Option<Refusal>,
}

impl Dispatch {
    /// Creates the state machine and returns its first action.
    pub fn new(request: Request) -> (Self, Action) {
        let state = State::SelectingAgent { supersedes: None };
        let dispatch =
            Self { request, state, attempts: 0, excluded: Vec::new(), last_refusal: None };
        (dispatch, Action::SelectAgent { exclude: Vec::new() })
    }

    /// Handles an event and returns the next action. Ignores an event that does
    /// not result from the last action, such as a late answer of an earlier attempt.
    pub fn handle_event(&mut self, now: Instant, event: Event) -> Option<Action> {
        if !self.expects(&event) {
            return None;
        }
        let action = match (mem::replace(&mut self.state, State::Finished), event) {
            (State::SelectingAgent { supersedes }, Event::AgentSelected(agent)) => {
                self.claim_for(agent, supersedes)
            }
            (State::SelectingAgent { .. }, Event::NoAgent(refusal)) => self.finish_not_run(refusal),
            (State::Claiming(claim), Event::Claimed(result)) => self.on_claim_result(claim, result),
            (State::Running { claim, .. }, Event::Answered(_, answer)) => {
                finish_settled(&claim, answer)
            }
            (State::Running { claim, offset }, Event::Refused(_, refusal)) => {
                self.excluded.push(claim.agent.clone());
                self.retry(now, refusal, offset)
            }
            (State::Running { claim, offset }, Event::AttemptLost(_)) => {
                self.fence(KeyHolder { offset, claim, status: ClaimStatus::Open })
            }
            (State::Waiting(holder), Event::Waited) => {
                self.state = State::LookingUp(holder);
                Action::LookUp
            }
            (State::LookingUp(holder), Event::Claimed(result)) => {
                self.on_lookup_result(now, holder, result)
            }
            (State::Fencing(holder), Event::Fenced(_, state)) => {
                self.on_fence_result(now, holder, state)
            }
            (_, _) => return None,
        };
        Some(action)
    }

    fn expects(&self, event: &Event) -> bool {
        match (&self.state, event) {
            (State::SelectingAgent { .. }, Event::AgentSelected(_) | Event::NoAgent(_))
            | (State::Claiming(_) | State::LookingUp(_), Event::Claimed(_))
            | (State::Waiting(_), Event::Waited) => true,
            (
                State::Running { claim, .. },
                Event::Answered(attempt, _)
                | Event::Refused(attempt, _)
                | Event::AttemptLost(attempt),
            ) => *attempt == claim.attempt,
            (State::Fencing(holder), Event::Fenced(attempt, _)) => *attempt == holder.claim.attempt,
            _ => false,
        }
    }

    fn claim_for(&mut self, selected: SelectedAgent, supersedes: Option<Offset>) -> Action {
        self.attempts += 1;
        let attempt: AttemptId = format!("{}.{}", self.request.id, self.attempts).into();
        let claim = Claim {
            key: self.request.key.clone(),
            digest: self.request.digest,
            attempt,
            entry: self.request.entry.clone(),
            agent: selected.agent,
            incarnation: selected.incarnation,
            ticket_ms: selected.ticket_ms,
            supersedes,
        };
        self.state = State::Claiming(claim.clone());
        Action::Claim(claim)
    }

    fn on_claim_result(&mut self, claim: Claim, result: ClaimResult) -> Action {
        match result {
            ClaimResult::Won(offset) => {
                self.state = State::Running { claim: claim.clone(), offset };
                Action::Run(claim)
            }
            ClaimResult::Held(holder) => self.on_key_held(*holder),
            ClaimResult::Free | ClaimResult::Unavailable => {
                let text = format!("idempotency key {:?} could not be claimed", self.request.key);
                let refusal =
                    Refusal::new(Code::ClaimUnavailable, text).retry_after(CLAIM_RETRY_AFTER);
                Action::Finish { record: Some(abandon_record(&claim)), result: Err(refusal) }
            }
        }
    }

    fn on_key_held(&mut self, holder: KeyHolder) -> Action {
        if holder.claim.digest != self.request.digest {
            let text = format!(
                "idempotency key {:?} was already used with a different body",
                self.request.key
            );
            return finish(Err(Refusal::new(Code::KeyReused, text)));
        }
        if let ClaimStatus::Settled(answer) = holder.status {
            return finish(Ok(answer));
        }
        self.state = State::Waiting(holder);
        Action::Wait(DUPLICATE_GRACE)
    }

    fn on_lookup_result(&mut self, now: Instant, holder: KeyHolder, result: ClaimResult) -> Action {
        let holder = match result {
            ClaimResult::Held(current) => *current,
            ClaimResult::Won(_) | ClaimResult::Free | ClaimResult::Unavailable => holder,
        };
        match holder.status {
            ClaimStatus::Settled(answer) => finish(Ok(answer)),
            ClaimStatus::Abandoned => self.select_next_agent(now, holder.offset),
            ClaimStatus::Open => self.fence(holder),
        }
    }

    fn fence(&mut self, holder: KeyHolder) -> Action {
        let claim = holder.claim.clone();
        self.state = State::Fencing(holder);
        Action::Fence(claim)
    }

    fn on_fence_result(
        &mut self,
        now: Instant,
        holder: KeyHolder,
        state: Option<FenceState>,
    ) -> Action {
        match state {
            Some(FenceState::NeverRan) => {
                let text = format!("attempt {} did not run", holder.claim.attempt);
                self.retry(now, Refusal::new(Code::NoEndpoint, text), holder.offset)
            }
            Some(FenceState::Ran(Some(answer))) => finish_settled(&holder.claim, answer),
            Some(FenceState::Ran(None)) => {
                finish_unknown("the endpoint failed while the request ran")
            }
            Some(FenceState::Unknown) => {
                finish_unknown("the agent no longer has a record of the attempt")
            }
            Some(FenceState::Running) | None if self.request.deadline <= now => {
                finish_unknown("the outcome of the request was still unknown at the deadline")
            }
            Some(FenceState::Running) | None => {
                self.state = State::Waiting(holder);
                Action::Wait(FENCE_RETRY_DELAY)
            }
        }
    }

    /// Selects another agent after an attempt that is known not to have run.
    fn retry(&mut self, now: Instant, refusal: Refusal, offset: Offset) -> Action {
        self.last_refusal = Some(refusal);
        self.select_next_agent(now, offset)
    }

    fn select_next_agent(&mut self, now: Instant, offset: Offset) -> Action {
        if self.request.deadline <= now {
            let text = "the deadline passed before the request ran";
            return self.finish_not_run(Refusal::new(Code::DeadlineTooShort, text));
        }
        if self.request.max_attempts <= self.attempts {
            let text = format!("all {} attempts were refused", self.attempts);
            let refusal = self.last_refusal.take();
            return self
                .finish_not_run(refusal.unwrap_or_else(|| Refusal::new(Code::NoEndpoint, text)));
        }
        self.state = State::SelectingAgent { supersedes: Some(offset) };
        Action::SelectAgent { exclude: self.excluded.clone() }
    }

    /// Finishes without a run and abandons the last claim of this request, if any.
    fn finish_not_run(&self, refusal: Refusal) -> Action {
        let last: AttemptId = format!("{}.{}", self.request.id, self.attempts).into();
        let record = ClaimRecord::Abandon { key: self.request.key.clone(), attempt: last };
        let record = (self.attempts != 0).then_some(record);
        Action::Finish { record, result: Err(refusal.outcome(Outcome::NotRun)) }
    }
}

const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(1);

fn abandon_record(claim: &Claim) -> ClaimRecord {
    ClaimRecord::Abandon { key: claim.key.clone(), attempt: claim.attempt.clone() }
}

fn finish(result: Result<Answer, Refusal>) -> Action {
    Action::Finish { record: None, result }
}

fn finish_settled(claim: &Claim, answer: Answer) -> Action {
    let settle =
        Settle { key: claim.key.clone(), attempt: claim.attempt.clone(), answer: answer.clone() };
    Action::Finish { record: Some(ClaimRecord::Settle(settle)), result: Ok(answer) }
}

fn finish_unknown(text: &str) -> Action {
    finish(Err(Refusal::new(Code::OutcomeUnknown, text)))
}

//! Joins the tokens of successive attempts into one response.

use std::time::Instant;

use bytes::Bytes;

use crate::{
    core::ids::AttemptId,
    errors::{Code, Outcome, Refusal},
};

/// An event of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEvent {
    /// One token of the response.
    Token {
        /// Its position in the whole response.
        index: u32,
        /// Its text.
        text: Bytes,
    },
    /// The attempt completed.
    Done {
        /// Number of tokens in the whole response.
        tokens: u32,
    },
    /// The agent refused the attempt before it ran.
    Refused(Refusal),
    /// The attempt failed and may have run.
    Failed {
        /// The reason.
        refusal: Refusal,
        /// Whether the endpoint crashed.
        crashed: bool,
    },
}

/// What the caller of [`ResumableStream::handle`] must do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a token to the client.
    Deliver(Bytes),
    /// Start another attempt that continues after the delivered tokens.
    Retry,
    /// The response is complete.
    Complete,
    /// End the request with this refusal.
    Fail(Refusal),
    /// Do nothing.
    Ignore,
}

/// Retry limits of one request.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Maximum number of attempts, without those refused before they ran.
    pub max_attempts: u32,
    /// Number of endpoint crashes after which the request is not retried.
    pub max_crashes: u32,
    /// Deadline after which no further attempt starts.
    pub deadline: Instant,
}

// A refused attempt did not run, so it does not count against `max_attempts`. This limit
// bounds the number of refusals.
const MAX_REFUSALS: u32 = 8;

/// The response of one request, which may be continued by further attempts.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::attempt::*;
/// let now = Instant::now();
/// let deadline = now + Duration::from_secs(9);
/// let policy = RetryPolicy { max_attempts: 2, max_crashes: 2, deadline };
/// let mut stream = ResumableStream::new("r", policy);
/// let first = stream.start_attempt();
/// let token = |index| AttemptEvent::Token { index, text: "x".into() };
/// assert_eq!(stream.handle(now, &first, token(0)), Action::Deliver("x".into()));
/// // A token that was delivered before is not delivered again.
/// assert_eq!(stream.handle(now, &first, token(0)), Action::Ignore);
/// assert_eq!(stream.handle(now, &first, AttemptEvent::Done { tokens: 1 }), Action::Complete);
/// ```
#[derive(Clone, Debug)]
pub struct ResumableStream {
    id: String,
    policy: RetryPolicy,
    current: Option<AttemptId>,
    attempts_started: u32,
    attempts: u32,
    refusals: u32,
    crashes: u32,
    delivered: u32,
    stale_events: u64,
}

impl ResumableStream {
    /// Creates the state of a request that has no attempts yet.
    pub fn new(id: impl Into<String>, policy: RetryPolicy) -> Self {
        Self {
            id: id.into(),
            policy,
            current: None,
            attempts_started: 0,
            attempts: 0,
            refusals: 0,
            crashes: 0,
            delivered: 0,
            stale_events: 0,
        }
    }

    /// Starts an attempt. Events of earlier attempts are ignored from now on.
    pub fn start_attempt(&mut self) -> AttemptId {
        self.attempts_started += 1;
        let attempt: AttemptId = format!("{}.{}", self.id, self.attempts_started).into();
        self.current = Some(attempt.clone());
        attempt
    }

    /// Number of tokens delivered to the client.
    pub fn delivered(&self) -> u32 {
        self.delivered
    }

    /// Number of endpoint crashes during this request.
    pub fn crashes(&self) -> u32 {
        self.crashes
    }

    /// Number of failed attempts that may have run.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Number of events that came from earlier attempts and were ignored.
    pub fn stale_events(&self) -> u64 {
        self.stale_events
    }

    /// Handles an event of an attempt and returns what to do next.
    pub fn handle(&mut self, now: Instant, attempt: &AttemptId, event: AttemptEvent) -> Action {
        if self.current.as_ref() != Some(attempt) {
            self.stale_events += 1;
            return Action::Ignore;
        }
        match event {
            AttemptEvent::Token { index, text } if index == self.delivered => {
                self.delivered += 1;
                Action::Deliver(text)
            }
            AttemptEvent::Token { index, .. } if index < self.delivered => Action::Ignore,
            AttemptEvent::Token { index, .. } => {
                let text = format!("received token {index}, expected token {}", self.delivered);
                self.attempt_failed(now, Refusal::new(Code::EndpointFailed, text), false)
            }
            AttemptEvent::Done { tokens } if tokens == self.delivered => {
                self.current = None;
                Action::Complete
            }
            AttemptEvent::Done { tokens } => {
                let text = format!("the response ended at token {} of {tokens}", self.delivered);
                self.attempt_failed(now, Refusal::new(Code::EndpointFailed, text), false)
            }
            AttemptEvent::Refused(refusal) => self.attempt_refused(now, refusal),
            AttemptEvent::Failed { refusal, crashed } => self.attempt_failed(now, refusal, crashed),
        }
    }

    fn attempt_refused(&mut self, now: Instant, refusal: Refusal) -> Action {
        self.current = None;
        self.refusals += 1;
        let last = MAX_REFUSALS <= self.refusals || self.policy.deadline <= now;
        if last || refusal.code == Code::Quarantined {
            return Action::Fail(self.with_outcome(refusal));
        }
        Action::Retry
    }

    fn attempt_failed(&mut self, now: Instant, refusal: Refusal, crashed: bool) -> Action {
        self.current = None;
        self.attempts += 1;
        self.crashes += u32::from(crashed);
        if self.policy.max_crashes <= self.crashes {
            let text = format!("the request ran at {} endpoints that crashed", self.crashes);
            return Action::Fail(self.with_outcome(Refusal::new(Code::Quarantined, text)));
        }
        if self.policy.max_attempts <= self.attempts || self.policy.deadline <= now {
            return Action::Fail(self.with_outcome(refusal));
        }
        Action::Retry
    }

    /// Sets the outcome of a refusal to what earlier attempts may have done.
    pub fn with_outcome(&self, refusal: Refusal) -> Refusal {
        if self.delivered != 0 {
            return refusal.outcome(Outcome::Ran);
        }
        if self.attempts != 0 {
            return refusal.outcome(Outcome::Unknown);
        }
        refusal
    }
}

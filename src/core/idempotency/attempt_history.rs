//! What an agent remembers of attempts that must run at most once.
//!
//! Times are the agent's own uptime. An attempt is admitted only while its
//! ticket is young, so a claimer that was paused cannot run it after the
//! agent has forgotten that it was forbidden.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::core::{idempotency::Answer, ids::AttemptId};

/// Why an attempt was not admitted. It did not run because of this call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionError {
    /// The ticket is too old.
    StaleTicket,
    /// The attempt was forbidden.
    Fenced,
    /// The attempt was admitted before.
    Duplicate,
}

/// What a fence found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceState {
    /// The attempt did not run and no longer can.
    NeverRan,
    /// The attempt runs.
    Running,
    /// The attempt ran; its answer, unless it broke off.
    Ran(Option<Answer>),
    /// The attempt may have run and been forgotten.
    Unknown,
}

#[derive(Clone, Debug)]
enum Seen {
    Fenced,
    Running,
    Ran(Option<Answer>),
}

#[derive(Clone, Debug)]
struct Memory {
    ticket: Duration,
    seen: Seen,
}

/// Attempts of one incarnation of an agent.
///
/// ```
/// use std::time::Duration;
/// use goldcrestpitch::core::idempotency::{AttemptHistory, FenceState, AdmissionError};
/// let mut memory = AttemptHistory::new(Duration::from_secs(30), 1000);
/// let ticket = Duration::from_secs(1);
/// let now = Duration::from_secs(2);
/// assert_eq!(memory.fence(&"late".into(), ticket), FenceState::NeverRan);
/// assert_eq!(memory.admit(now, &"late".into(), ticket), Err(AdmissionError::Fenced));
/// ```
#[derive(Clone, Debug)]
pub struct AttemptHistory {
    ticket_life: Duration,
    capacity: usize,
    attempts: HashMap<AttemptId, Memory>,
    order: VecDeque<AttemptId>,
    // Attempts with an older ticket may have been forgotten.
    forgotten_before: Duration,
}

impl AttemptHistory {
    /// Admits tickets up to `ticket_life` old and remembers `capacity` attempts that ended.
    pub fn new(ticket_life: Duration, capacity: usize) -> Self {
        Self {
            ticket_life,
            capacity,
            attempts: HashMap::new(),
            order: VecDeque::new(),
            forgotten_before: Duration::ZERO,
        }
    }

    /// Admits an attempt, which then counts as running.
    ///
    /// # Errors
    /// [`AdmissionError`] when it must not be run now.
    pub fn admit(
        &mut self,
        uptime: Duration,
        attempt: &AttemptId,
        ticket: Duration,
    ) -> Result<(), AdmissionError> {
        match self.attempts.get(attempt).map(|m| &m.seen) {
            Some(Seen::Fenced) => return Err(AdmissionError::Fenced),
            Some(_) => return Err(AdmissionError::Duplicate),
            None => {}
        }
        let expired = ticket + self.ticket_life < uptime || uptime < ticket;
        if expired || ticket < self.forgotten_before {
            return Err(AdmissionError::StaleTicket);
        }
        self.attempts.insert(attempt.clone(), Memory { ticket, seen: Seen::Running });
        Ok(())
    }

    /// Notes that an admitted attempt ended without having been run.
    pub fn not_run(&mut self, attempt: &AttemptId) {
        self.update(attempt, Seen::Fenced);
    }

    /// Notes that an admitted attempt ran, with its answer unless it broke off.
    pub fn ran(&mut self, attempt: &AttemptId, answer: Option<Answer>) {
        self.update(attempt, Seen::Ran(answer));
    }

    /// Forbids an attempt unless it was admitted before.
    pub fn fence(&mut self, attempt: &AttemptId, ticket: Duration) -> FenceState {
        match self.attempts.get(attempt).map(|m| &m.seen) {
            Some(Seen::Fenced) => return FenceState::NeverRan,
            Some(Seen::Running) => return FenceState::Running,
            Some(Seen::Ran(answer)) => return FenceState::Ran(answer.clone()),
            None => {}
        }
        if ticket < self.forgotten_before {
            return FenceState::Unknown;
        }
        self.attempts.insert(attempt.clone(), Memory { ticket, seen: Seen::Fenced });
        self.ended(attempt);
        FenceState::NeverRan
    }

    fn update(&mut self, attempt: &AttemptId, seen: Seen) {
        let Some(memory) = self.attempts.get_mut(attempt) else {
            return;
        };
        if matches!(memory.seen, Seen::Running) {
            memory.seen = seen;
            self.ended(attempt);
        }
    }

    /// Forgets the oldest attempts that ended; running ones are always remembered.
    fn ended(&mut self, attempt: &AttemptId) {
        self.order.push_back(attempt.clone());
        while self.capacity < self.order.len() {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            let Some(memory) = self.attempts.remove(&oldest) else {
                continue;
            };
            let after = memory.ticket + Duration::from_millis(1);
            self.forgotten_before = self.forgotten_before.max(after);
        }
    }
}

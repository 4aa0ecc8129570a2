//! An agent's history of attempts that must run at most once.
//!
//! All times are uptimes of the agent. The ticket of an attempt is the uptime at
//! which the agent was probed. An attempt is admitted only while its ticket is
//! recent: otherwise an entry that was paused could run it after the agent has
//! dropped the record that it was fenced.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::core::{idempotency::Answer, ids::AttemptId};

/// Why an attempt was not admitted. The rejected call did not run it, but an
/// earlier one may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionError {
    /// The ticket is too old, or later than the current uptime.
    StaleTicket,
    /// The attempt was fenced.
    Fenced,
    /// The attempt was admitted before.
    Duplicate,
}

/// State of an attempt when it was fenced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceState {
    /// The attempt did not run and can no longer run.
    NeverRan,
    /// The attempt is running.
    Running,
    /// The attempt ran; `None` when it failed before its answer was complete.
    Ran(Option<Answer>),
    /// The agent has no record of the attempt, which may have run.
    Unknown,
}

#[derive(Clone, Debug)]
enum AttemptState {
    Fenced,
    Running,
    Ran(Option<Answer>),
}

#[derive(Clone, Debug)]
struct Record {
    ticket: Duration,
    state: AttemptState,
}

/// Attempts that one incarnation of an agent has admitted or fenced.
///
/// ```
/// use std::time::Duration;
/// use goldcrestpitch::core::idempotency::{AdmissionError, AttemptHistory, FenceState};
/// let mut history = AttemptHistory::new(Duration::from_secs(30), 1000);
/// let ticket = Duration::from_secs(1);
/// let now = Duration::from_secs(2);
/// assert_eq!(history.fence(&"late".into(), ticket), FenceState::NeverRan);
/// assert_eq!(history.admit(now, &"late".into(), ticket), Err(AdmissionError::Fenced));
/// ```
#[derive(Clone, Debug)]
pub struct AttemptHistory {
    max_ticket_age: Duration,
    capacity: usize,
    attempts: HashMap<AttemptId, Record>,
    ended_order: VecDeque<AttemptId>,
    // The records of attempts with an older ticket may have been evicted.
    evicted_before: Duration,
}

impl AttemptHistory {
    /// Admits tickets up to `max_ticket_age` old and keeps the last `capacity` attempts
    /// that have ended.
    pub fn new(max_ticket_age: Duration, capacity: usize) -> Self {
        Self {
            max_ticket_age,
            capacity,
            attempts: HashMap::new(),
            ended_order: VecDeque::new(),
            evicted_before: Duration::ZERO,
        }
    }

    /// Admits an attempt and records it as running.
    ///
    /// # Errors
    /// [`AdmissionError`] when the attempt must not run.
    pub fn admit(
        &mut self,
        uptime: Duration,
        attempt: &AttemptId,
        ticket: Duration,
    ) -> Result<(), AdmissionError> {
        match self.attempts.get(attempt).map(|r| &r.state) {
            Some(AttemptState::Fenced) => return Err(AdmissionError::Fenced),
            Some(_) => return Err(AdmissionError::Duplicate),
            None => {}
        }
        let expired = ticket + self.max_ticket_age < uptime || uptime < ticket;
        if expired || ticket < self.evicted_before {
            return Err(AdmissionError::StaleTicket);
        }
        self.attempts.insert(attempt.clone(), Record { ticket, state: AttemptState::Running });
        Ok(())
    }

    /// Records that an admitted attempt ended without running.
    pub fn not_run(&mut self, attempt: &AttemptId) {
        self.finish(attempt, AttemptState::Fenced);
    }

    /// Records that an admitted attempt ran; `None` when its answer is incomplete.
    pub fn ran(&mut self, attempt: &AttemptId, answer: Option<Answer>) {
        self.finish(attempt, AttemptState::Ran(answer));
    }

    /// Prevents an attempt from running unless it was admitted before.
    pub fn fence(&mut self, attempt: &AttemptId, ticket: Duration) -> FenceState {
        match self.attempts.get(attempt).map(|r| &r.state) {
            Some(AttemptState::Fenced) => return FenceState::NeverRan,
            Some(AttemptState::Running) => return FenceState::Running,
            Some(AttemptState::Ran(answer)) => return FenceState::Ran(answer.clone()),
            None => {}
        }
        if ticket < self.evicted_before {
            return FenceState::Unknown;
        }
        self.attempts.insert(attempt.clone(), Record { ticket, state: AttemptState::Fenced });
        self.mark_ended(attempt);
        FenceState::NeverRan
    }

    fn finish(&mut self, attempt: &AttemptId, state: AttemptState) {
        let Some(record) = self.attempts.get_mut(attempt) else {
            return;
        };
        if matches!(record.state, AttemptState::Running) {
            record.state = state;
            self.mark_ended(attempt);
        }
    }

    /// Evicts the oldest ended attempts beyond the capacity. Running attempts are
    /// never evicted.
    fn mark_ended(&mut self, attempt: &AttemptId) {
        self.ended_order.push_back(attempt.clone());
        while self.capacity < self.ended_order.len() {
            let Some(oldest) = self.ended_order.pop_front() else {
                return;
            };
            let Some(record) = self.attempts.remove(&oldest) else {
                continue;
            };
            let after = record.ticket + Duration::from_millis(1);
            self.evicted_before = self.evicted_before.max(after);
        }
    }
}

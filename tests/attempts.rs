//! State that agents and entries keep to run an attempt at most once.

use std::time::{Duration, Instant};

use goldcrestpitch::{
    core::idempotency::{
        Action, AdmissionError, AttemptHistory, ClaimResult, Dispatch, Event, FenceState, Request,
        SelectedAgent,
    },
    errors::{Code, Refusal},
};

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn evicted_attempt_is_refused_and_its_state_is_unknown() {
    let mut history = AttemptHistory::new(ms(30_000), 2);
    assert_eq!(history.fence(&"f".into(), ms(10)), FenceState::NeverRan);
    for (i, name) in ["a", "b"].into_iter().enumerate() {
        let ticket = ms(20 + i as u64);
        history.admit(ms(50), &name.into(), ticket).unwrap();
        history.ran(&name.into(), None);
    }
    // "f" was evicted, so it must not be admitted and its state must be reported as unknown.
    assert_eq!(history.admit(ms(60), &"f".into(), ms(10)), Err(AdmissionError::StaleTicket));
    assert_eq!(history.fence(&"f".into(), ms(10)), FenceState::Unknown);
    assert_eq!(history.fence(&"a".into(), ms(20)), FenceState::Ran(None));
}

#[test]
fn running_attempts_are_not_evicted() {
    let mut history = AttemptHistory::new(ms(30_000), 1);
    history.admit(ms(50), &"long".into(), ms(1)).unwrap();
    for (i, name) in ["a", "b", "c"].into_iter().enumerate() {
        history.admit(ms(50), &name.into(), ms(40 + i as u64)).unwrap();
        history.not_run(&name.into());
    }
    assert_eq!(history.fence(&"long".into(), ms(1)), FenceState::Running);
    let late = history.admit(ms(90_000), &"old".into(), ms(50));
    assert_eq!(late, Err(AdmissionError::StaleTicket));
}

/// Found by seed 1074 of the simulated schedules: a late refusal of attempt 1 was taken for
/// a refusal of attempt 2 while attempt 2 ran, so attempt 3 ran as well.
#[test]
fn late_refusal_of_an_earlier_attempt_is_ignored() {
    let now = Instant::now();
    let request = Request {
        id: "r".into(),
        key: "k".into(),
        digest: 1,
        entry: "e".into(),
        deadline: now + ms(5000),
        max_attempts: 3,
    };
    let choice = |agent: &str| SelectedAgent { agent: agent.into(), incarnation: 1, ticket_ms: 0 };
    let refused = |attempt: &str| {
        Event::Refused(attempt.into(), Refusal::new(Code::QueueFull, "the queue is full"))
    };
    let (mut dispatch, _) = Dispatch::new(request);
    dispatch.handle_event(now, Event::AgentSelected(choice("a")));
    dispatch.handle_event(now, Event::Claimed(ClaimResult::Won(1)));
    assert!(matches!(dispatch.handle_event(now, refused("r.1")), Some(Action::SelectAgent { .. })));
    dispatch.handle_event(now, Event::AgentSelected(choice("b")));
    let run = dispatch.handle_event(now, Event::Claimed(ClaimResult::Won(2)));
    let Some(Action::Run(claim)) = run else { panic!("attempt 2 was not run") };
    assert_eq!((&*claim.attempt, claim.supersedes), ("r.2", Some(1)));
    assert!(dispatch.handle_event(now, refused("r.1")).is_none());
    assert!(matches!(dispatch.handle_event(now, refused("r.2")), Some(Action::SelectAgent { .. })));
}

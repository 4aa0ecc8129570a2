//! Trials of segments that may have been blamed wrongly.

use goldcrestpitch::core::quarantine::{RunPermit, Suspect};

use crate::gateway::{BAD, CONVERSATIONS, FIRST, Gateway, SEGMENT_LIMIT};

/// The first segment was blamed before the cause was seen often enough.
fn wrongly_blamed() -> Gateway {
    let mut gateway = Gateway::with_sound_history();
    for i in 0..SEGMENT_LIMIT as u64 {
        gateway.crash_with(&[&[FIRST, BAD + i]]);
    }
    gateway.await_proof();
    assert_eq!(gateway.blamed(), [FIRST]);
    gateway
}

#[test]
fn run_in_progress_clears_a_wrongly_blamed_segment() {
    let mut gateway = Gateway::with_sound_history();
    gateway.crash_with(&[&[FIRST, BAD]]);
    let run = gateway.start(&[FIRST, CONVERSATIONS]);
    gateway.respond(run);
    for i in 1..SEGMENT_LIMIT as u64 {
        gateway.crash_with(&[&[FIRST, BAD + i]]);
    }
    gateway.await_proof();
    assert!(gateway.is_blamed(FIRST));
    assert_eq!(gateway.write(run, 1000), [Suspect::Segment(FIRST)]);
    assert_eq!(gateway.permit(&[FIRST]), RunPermit::Allowed);
}

#[test]
fn no_trial_starts_while_crashes_are_on_their_way() {
    let mut gateway = Gateway::with_sound_history();
    let endpoint = gateway.new_endpoint();
    let in_flight = gateway.start_at(&[FIRST, CONVERSATIONS], endpoint);
    for i in 0..SEGMENT_LIMIT as u64 {
        gateway.crash_with(&[&[FIRST, BAD + i]]);
    }
    gateway.await_proof();
    gateway.crash(endpoint, &[in_flight]);
    gateway.pass(1400);
    assert_eq!(gateway.permit(&[FIRST, CONVERSATIONS]), RunPermit::Quarantined);
    gateway.pass(100);
    assert_eq!(gateway.permit(&[FIRST, CONVERSATIONS]), RunPermit::Allowed);
}

#[test]
fn trial_clears_a_wrongly_blamed_segment() {
    let mut gateway = wrongly_blamed();
    assert_eq!(gateway.permit(&[FIRST, CONVERSATIONS]), RunPermit::Quarantined);
    gateway.pass(1500);
    assert_eq!(gateway.permit(&[FIRST, CONVERSATIONS]), RunPermit::Allowed);
    let trial = gateway.start(&[FIRST, CONVERSATIONS]);
    assert_eq!(gateway.permit(&[FIRST, CONVERSATIONS]), RunPermit::Quarantined);
    gateway.respond(trial);
    assert_eq!(gateway.write(trial, 1000), [Suspect::Segment(FIRST)]);
    assert_eq!(gateway.permit(&[FIRST, CONVERSATIONS]), RunPermit::Allowed);
}

#[test]
fn trial_is_run_by_the_owner_only() {
    let mut gateway = wrongly_blamed();
    gateway.pass(2000);
    for position in 0..3 {
        gateway.gate.set_position(position, 3);
        let expected = match FIRST % 3 == position as u64 {
            true => RunPermit::Allowed,
            false => RunPermit::Quarantined,
        };
        assert_eq!(gateway.permit(&[FIRST, CONVERSATIONS]), expected);
    }
}

#[test]
fn trial_holds_no_other_suspect_with_as_many_crashes() {
    let mut gateway = Gateway::with_sound_history();
    gateway.complete(&[2]);
    for i in 0..SEGMENT_LIMIT as u64 {
        gateway.crash_with(&[&[FIRST, 2, BAD + i]]);
    }
    gateway.await_proof();
    gateway.pass(1500);
    let [blamed] = gateway.blamed()[..] else { panic!("{:?}", gateway.blamed()) };
    assert_eq!(gateway.permit(&[FIRST, 2]), RunPermit::Quarantined);
    assert_eq!(gateway.permit(&[blamed, BAD]), RunPermit::Allowed);
}

#[test]
fn two_trials_that_crash_are_the_last_for_ten_minutes() {
    let mut gateway = Gateway::with_sound_history();
    for i in 0..SEGMENT_LIMIT as u64 {
        gateway.crash_with(&[&[FIRST, CONVERSATIONS + i]]);
    }
    gateway.await_proof();
    let mut trials = 0;
    for second in 0..4000 {
        let request = gateway.new_request();
        let segments = [FIRST, CONVERSATIONS + 100 + second];
        match gateway.gate.permit(gateway.now, request, &segments) {
            RunPermit::Allowed => {
                gateway.crash_with(&[&segments]);
                trials += 1;
            }
            _ => gateway.gate.record_refusal(gateway.now, request, &segments),
        }
        if second == 500 {
            assert_eq!(trials, 2);
        }
        gateway.pass(1000);
        gateway.gate.expire(gateway.now);
    }
    // The rules allow three sends.
    assert_eq!(trials, 3);
    assert!(gateway.is_blamed(FIRST));
}

/// Trials of another process count as well.
#[test]
fn new_owner_does_not_repeat_trials_that_crashed() {
    let mut owner = wrongly_blamed();
    let mut other = Gateway::with_sound_history();
    other.now = owner.now;
    for report in owner.gate.all_reports() {
        other.gate.merge(other.now, &report);
    }
    other.await_proof();
    for i in 0..2 {
        other.await_proof();
        owner.now = other.now;
        assert_eq!(owner.permit(&[FIRST, CONVERSATIONS]), RunPermit::Allowed);
        owner.crash_with(&[&[FIRST, CONVERSATIONS + 100 + i]]);
        let report = owner.gate.report(Suspect::Segment(FIRST)).unwrap();
        assert!(other.gate.merge(other.now, &report));
    }
    other.pass(60_000);
    assert!(other.is_blamed(FIRST));
    assert_eq!(other.permit(&[FIRST]), RunPermit::Quarantined);
}

#[test]
fn segment_without_sound_history_gets_no_trial() {
    let mut gateway = Gateway::new();
    for _ in 0..SEGMENT_LIMIT {
        gateway.crash_with(&[&[FIRST, BAD]]);
        gateway.complete(&[FIRST]);
    }
    for _ in 0..100 {
        gateway.pass(5000);
        assert_eq!(gateway.permit(&[FIRST, BAD]), RunPermit::Quarantined);
    }
}

//! Trials of segments that may have been blamed wrongly.

use goldcrestpitch::core::quarantine::{CrashReport, RunPermit, Suspect};

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

/// Blamed for crashes that no request caused, they were refused for good: none of them ever came
/// without the others.
#[test]
fn sound_segments_that_always_come_together_are_tried() {
    for count in 2..=4 {
        let shared: Vec<u64> = (FIRST..).take(count).collect();
        let mut gateway = Gateway::new();
        gateway.complete(&shared);
        for _ in 0..SEGMENT_LIMIT {
            gateway.crash_with(&[&shared]);
        }
        gateway.await_proof();
        assert!(!gateway.blamed().is_empty());
        gateway.pass(3000);
        assert_eq!(gateway.permit(&shared), RunPermit::Allowed, "{count} segments");
        let trial = gateway.start(&shared);
        assert_eq!(gateway.permit(&shared), RunPermit::Quarantined);
        gateway.respond(trial);
        assert_eq!(gateway.write(trial, 1000).len(), count);
        assert_eq!(gateway.blamed(), [0; 0]);
        assert_eq!(gateway.permit(&shared), RunPermit::Allowed);
    }
}

/// Two segments that always come together turn bad.
#[test]
fn joint_trials_that_crash_are_bounded_by_the_rules() {
    let prompt = [FIRST, 2];
    let mut gateway = Gateway::new();
    gateway.complete(&prompt);
    for _ in 0..SEGMENT_LIMIT {
        gateway.crash_with(&[&prompt]);
    }
    gateway.await_proof();
    let mut trials = 0;
    for second in 0..4000 {
        let request = gateway.new_request();
        match gateway.gate.permit(gateway.now, request, &prompt) {
            RunPermit::Allowed => {
                gateway.crash_with(&[&prompt]);
                trials += 1;
            }
            _ => gateway.gate.record_refusal(gateway.now, request, &prompt),
        }
        if second == 500 {
            assert_eq!(trials, 1);
        }
        gateway.pass(1000);
        gateway.gate.expire(gateway.now);
    }
    // The rules allow three sends.
    assert_eq!(trials, 3);
    assert_eq!(gateway.permit(&prompt), RunPermit::Quarantined);
}

/// A joint trial that crashes does not use up those of a request with one suspect.
#[test]
fn request_with_one_suspect_is_tried_after_a_joint_trial_has_crashed() {
    let mut gateway = Gateway::new();
    gateway.complete(&[FIRST, 2]);
    for _ in 0..SEGMENT_LIMIT {
        gateway.crash_with(&[&[FIRST, 2]]);
    }
    gateway.await_proof();
    gateway.pass(3000);
    gateway.crash_with(&[&[FIRST, 2]]);
    gateway.pass(3000);
    let [blamed] = gateway.blamed()[..] else { panic!("{:?}", gateway.blamed()) };
    assert_eq!(gateway.permit(&[FIRST, 2]), RunPermit::Quarantined);
    assert_eq!(gateway.permit(&[blamed, CONVERSATIONS]), RunPermit::Allowed);
}

/// All callers use a gateway that does not own the segment: no trial ever began.
#[test]
fn trial_runs_at_the_gateway_that_gets_the_requests() {
    let mut gateway = wrongly_blamed();
    gateway.pass(2000);
    gateway.gate.set_position(((FIRST + 1) % 3) as usize, 3);
    let refuse = |gateway: &mut Gateway| {
        let (request, segments) = (gateway.new_request(), [FIRST, CONVERSATIONS]);
        let permit = gateway.gate.permit(gateway.now, request, &segments);
        assert_eq!(permit, RunPermit::Quarantined);
        gateway.gate.record_refusal(gateway.now, request, &segments);
    };
    refuse(&mut gateway);
    assert_eq!(gateway.gate.claims(gateway.now), [FIRST]);
    // The claims of other gateways may be on their way.
    gateway.pass(1900);
    refuse(&mut gateway);
    gateway.pass(100);
    assert_eq!(gateway.permit(&[FIRST, CONVERSATIONS]), RunPermit::Allowed);
}

/// Of several gateways that get requests with the segment, one runs the trial.
#[test]
fn one_of_the_gateways_that_get_requests_runs_the_trial() {
    for asking in [vec![0, 1, 2], vec![0, 1], vec![1, 2], vec![0, 2]] {
        let mut gateway = wrongly_blamed();
        gateway.gate.record_refusal(gateway.now, 7, &[FIRST]);
        gateway.pass(2000);
        let mut trying = Vec::new();
        for position in &asking {
            let others = asking.iter().filter(|p| *p != position);
            let claims = others.map(|p| (*p, [FIRST].into())).collect();
            gateway.gate.set_position(*position, 3);
            gateway.gate.set_other_claims(claims);
            if gateway.permit(&[FIRST, CONVERSATIONS]) == RunPermit::Allowed {
                trying.push(*position);
            }
        }
        assert_eq!(trying.len(), 1, "{asking:?}: {trying:?}");
    }
}

/// A request whose crashes others explain runs in one process, and waited in vain in all others
/// if no caller asked that one.
#[test]
fn request_with_explained_crashes_runs_where_it_arrives() {
    let mut gateway = Gateway::new();
    let (request, cause) = (7, 8);
    for (suspect, crashes) in [(request, vec![1, 2, 3]), (cause, vec![1, 2, 3, 4])] {
        let (cleared, headers) = (Vec::new(), Vec::new());
        let suspect = Suspect::Request(suspect);
        let report = CrashReport { suspect, crashes, cleared, sound: false, headers };
        assert!(gateway.gate.merge(gateway.now, &report));
    }
    gateway.pass(1000);
    gateway.gate.set_position(((request + 1) % 2) as usize, 2);
    assert_eq!(gateway.gate.permit(gateway.now, request, &[]), RunPermit::Wait);
    gateway.gate.claim(gateway.now, request, &[]);
    gateway.pass(2000);
    assert_eq!(gateway.gate.permit(gateway.now, request, &[]), RunPermit::Allowed);
    assert_eq!(gateway.gate.permit(gateway.now, cause, &[]), RunPermit::Quarantined);
}

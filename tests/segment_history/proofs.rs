//! What clears segments, and what crashes mean for whole requests.

use goldcrestpitch::core::quarantine::{RunEnd, RunPermit, Suspect};

use crate::gateway::{BAD, FIRST, Gateway, REQUEST_LIMIT, SEGMENT_LIMIT};

#[test]
fn complete_run_that_began_after_a_crash_clears_all() {
    let mut gateway = Gateway::new();
    gateway.crash_with(&[&[FIRST, BAD]]);
    let run = gateway.start(&[FIRST]);
    gateway.respond(run);
    gateway.crash_with(&[&[FIRST, BAD]]);
    let ended = gateway.gate.end(gateway.now, run, RunEnd::Completed);
    assert_eq!(ended.cleared, [Suspect::Segment(FIRST)]);
    assert_eq!((gateway.crashes(FIRST), gateway.crashes(BAD)), (0, 2));
}

#[test]
fn run_that_writes_for_a_second_after_a_crash_clears_all() {
    let mut gateway = Gateway::new();
    gateway.crash_with(&[&[FIRST, BAD]]);
    let run = gateway.start(&[FIRST]);
    gateway.respond(run);
    assert_eq!(gateway.write(run, 900), []);
    assert_eq!(gateway.write(run, 100), [Suspect::Segment(FIRST)]);
    assert_eq!(gateway.crashes(FIRST), 0);
}

#[test]
fn run_that_began_before_the_first_crash_clears_nothing() {
    let mut gateway = Gateway::new();
    let run = gateway.start(&[FIRST]);
    gateway.respond(run);
    gateway.crash_with(&[&[FIRST, BAD]]);
    assert_eq!(gateway.write(run, 2000), []);
    assert_eq!(gateway.gate.end(gateway.now, run, RunEnd::Completed).cleared, []);
    assert_eq!(gateway.crashes(FIRST), 1);
}

/// The process stood still between two pieces of data of a run that crashes its endpoint.
#[test]
fn pause_between_two_pieces_of_data_is_no_writing_time() {
    let mut gateway = Gateway::new();
    gateway.crash_with(&[&[BAD]]);
    let run = gateway.start(&[BAD]);
    gateway.respond(run);
    gateway.pass(5000);
    assert_eq!(gateway.respond(run), []);
    assert!(gateway.gate.end(gateway.now, run, RunEnd::Interrupted).needs_check);
    assert_eq!(gateway.crashes(BAD), 1);
}

#[test]
fn failed_run_clears_nothing() {
    let mut gateway = Gateway::new();
    gateway.crash_with(&[&[BAD]]);
    let run = gateway.start(&[BAD]);
    gateway.respond(run);
    assert_eq!(gateway.gate.end(gateway.now, run, RunEnd::Failed).cleared, []);
    assert_eq!(gateway.crashes(BAD), 1);
}

/// A sound request that runs along again and again is resumed at once.
#[test]
fn crashes_of_a_blamed_segment_do_not_count_against_whole_requests() {
    let mut gateway = Gateway::with_sound_history();
    let sound = gateway.new_request();
    for _ in 0..SEGMENT_LIMIT {
        let endpoint = gateway.new_endpoint();
        let bad = gateway.start_at(&[FIRST, BAD], endpoint);
        let started = gateway.gate.start(gateway.now, sound, &[FIRST, 10], endpoint);
        let mut runs = vec![bad];
        runs.extend(started);
        gateway.crash(endpoint, &runs);
        gateway.pass(1000);
    }
    assert!(REQUEST_LIMIT - 1 <= gateway.gate.crashes(Suspect::Request(sound)));
    assert!(gateway.is_blamed(BAD));
    assert_eq!(gateway.gate.history().counted(sound), 0);
    let permit = |g: &Gateway| g.gate.permit(g.now, sound, &[FIRST, 10]);
    assert_eq!(permit(&gateway), RunPermit::Allowed);
}

/// The crash is not confirmed yet, but a run with a blamed segment explains it.
#[test]
fn resumption_does_not_wait_for_the_check_of_a_crash_that_a_blamed_segment_explains() {
    let mut gateway = Gateway::with_sound_history();
    let endpoint = gateway.new_endpoint();
    let in_flight = gateway.start_at(&[FIRST, BAD], endpoint);
    let sound = gateway.new_request();
    // Crashes that no segment explains: one more would quarantine the request.
    for _ in 0..REQUEST_LIMIT - 1 {
        let endpoint = gateway.new_endpoint();
        let run = gateway.gate.start(gateway.now, sound, &[10], endpoint).unwrap();
        gateway.respond(run);
        gateway.pass(1500);
        gateway.crash(endpoint, &[run]);
    }
    let along = gateway.gate.start(gateway.now, sound, &[10], endpoint).unwrap();
    for _ in 0..SEGMENT_LIMIT {
        gateway.crash_with(&[&[FIRST, BAD]]);
    }
    gateway.gate.end(gateway.now, along, RunEnd::Interrupted);
    assert_eq!(gateway.gate.permit(gateway.now, sound, &[10]), RunPermit::Allowed);
    gateway.gate.end(gateway.now, in_flight, RunEnd::Interrupted);
    gateway.pass(100);
    let checked = gateway.gate.unresolved(gateway.now, endpoint);
    assert_eq!(checked.len(), 2);
    gateway.gate.resolve(gateway.now, endpoint, &checked, true);
    assert_eq!(gateway.gate.history().counted(sound), REQUEST_LIMIT - 1);
    assert_eq!(gateway.gate.permit(gateway.now, sound, &[10]), RunPermit::Allowed);
}

#[test]
fn unconfirmed_response_counts_as_complete_if_the_endpoint_lives() {
    let mut gateway = Gateway::new();
    gateway.crash_with(&[&[FIRST, BAD]]);
    let endpoint = gateway.new_endpoint();
    let run = gateway.start_at(&[FIRST], endpoint);
    gateway.respond(run);
    let ended = gateway.gate.end(gateway.now, run, RunEnd::Unconfirmed);
    assert!(ended.needs_check && ended.cleared.is_empty());
    assert!(gateway.gate.needs_check(endpoint));
    let checked = gateway.gate.unresolved(gateway.now, endpoint);
    let changed = gateway.gate.resolve(gateway.now, endpoint, &checked, false);
    assert_eq!(changed, [Suspect::Segment(FIRST)]);
    assert!(!gateway.gate.needs_check(endpoint));
    assert_eq!(gateway.crashes(FIRST), 0);
}

#[test]
fn unconfirmed_response_counts_as_a_crash_if_the_endpoint_crashed() {
    let mut gateway = Gateway::new();
    for crash in 1..=SEGMENT_LIMIT {
        let endpoint = gateway.new_endpoint();
        let run = gateway.start_at(&[BAD], endpoint);
        gateway.respond(run);
        gateway.pass(50);
        assert!(gateway.gate.end(gateway.now, run, RunEnd::Unconfirmed).needs_check);
        gateway.pass(100);
        let checked = gateway.gate.unresolved(gateway.now, endpoint);
        let changed = gateway.gate.resolve(gateway.now, endpoint, &checked, true);
        assert!(changed.contains(&Suspect::Segment(BAD)), "{changed:?}");
        assert_eq!(gateway.crashes(BAD), crash);
    }
    assert!(gateway.is_blamed(BAD));
}

#[test]
fn caller_that_leaves_while_a_suspect_segment_begins_leads_to_a_check() {
    let mut gateway = Gateway::new();
    let run = gateway.start(&[BAD]);
    assert!(!gateway.gate.end(gateway.now, run, RunEnd::Abandoned).needs_check);
    gateway.crash_with(&[&[BAD]]);
    let run = gateway.start(&[BAD]);
    assert!(gateway.gate.end(gateway.now, run, RunEnd::Abandoned).needs_check);
}

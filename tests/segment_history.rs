//! Segments of prompts that crash endpoints, in virtual time.

use std::time::{Duration, Instant};

use goldcrestpitch::core::quarantine::{
    CrashReport, RunEnd, RunGate, RunId, RunPermit, SegmentHistory, Suspect,
};
use proptest::prelude::*;

const REQUEST_LIMIT: usize = 3;
const SEGMENT_LIMIT: usize = 5;
/// Many sound requests begin with it.
const FIRST: u64 = 1;
/// Crashes each endpoint that begins to write an answer on it.
const BAD: u64 = 100;
const OTHER_BAD: u64 = 101;
/// From here on, segments of one conversation each.
const CONVERSATIONS: u64 = 1000;

/// A gateway that is the only one unless a test says otherwise.
struct Gateway {
    gate: RunGate,
    now: Instant,
    next_request: u64,
    next_endpoint: u64,
}

impl Gateway {
    fn new() -> Self {
        Self {
            gate: RunGate::new(REQUEST_LIMIT, SEGMENT_LIMIT),
            now: Instant::now(),
            next_request: 1 << 32,
            next_endpoint: 1 << 48,
        }
    }

    /// One that has run requests with the first segment before.
    fn with_sound_history() -> Self {
        let mut gateway = Self::new();
        for i in 0..20 {
            gateway.complete(&[FIRST, CONVERSATIONS + i]);
        }
        gateway
    }

    fn pass(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }

    fn new_request(&mut self) -> u64 {
        self.next_request += 1;
        self.next_request
    }

    fn new_endpoint(&mut self) -> u64 {
        self.next_endpoint += 1;
        self.next_endpoint
    }

    fn permit(&mut self, segments: &[u64]) -> RunPermit {
        let request = self.new_request();
        self.gate.permit(self.now, request, segments)
    }

    fn start_at(&mut self, segments: &[u64], endpoint: u64) -> RunId {
        let request = self.new_request();
        self.gate.start(self.now, request, segments, endpoint).unwrap()
    }

    fn start(&mut self, segments: &[u64]) -> RunId {
        let endpoint = self.new_endpoint();
        self.start_at(segments, endpoint)
    }

    fn respond(&mut self, run: RunId) -> Vec<Suspect> {
        self.gate.record_response(self.now, run)
    }

    /// Lets the run write, with a piece of data every 100 ms.
    fn write(&mut self, run: RunId, ms: u64) -> Vec<Suspect> {
        let mut cleared = Vec::new();
        for _ in 0..ms / 100 {
            self.pass(100);
            cleared.extend(self.respond(run));
        }
        cleared
    }

    fn complete(&mut self, segments: &[u64]) -> Vec<Suspect> {
        let run = self.start(segments);
        self.respond(run);
        self.pass(100);
        self.gate.end(self.now, run, RunEnd::Completed).cleared
    }

    /// Ends the endpoint while these runs are there; the check confirms the crash.
    fn crash(&mut self, endpoint: u64, runs: &[RunId]) -> Vec<Suspect> {
        for run in runs {
            assert!(self.gate.end(self.now, *run, RunEnd::Interrupted).needs_check);
        }
        self.pass(100);
        let checked = self.gate.unresolved(self.now, endpoint);
        self.gate.resolve(self.now, endpoint, &checked, true)
    }

    /// One request for each prompt starts at the same endpoint, which crashes.
    fn crash_with(&mut self, prompts: &[&[u64]]) -> Vec<Suspect> {
        let endpoint = self.new_endpoint();
        let runs: Vec<RunId> = prompts.iter().map(|p| self.start_at(p, endpoint)).collect();
        self.pass(100);
        self.crash(endpoint, &runs)
    }

    /// Lets the time pass within which a run shows that a segment still is sound.
    fn await_proof(&mut self) {
        self.pass(2500);
        self.gate.expire(self.now);
    }

    fn crashes(&self, segment: u64) -> usize {
        self.gate.crashes(Suspect::Segment(segment))
    }

    fn is_blamed(&self, segment: u64) -> bool {
        self.gate.segments().is_blamed(segment)
    }

    fn blamed(&self) -> Vec<u64> {
        let mut blamed: Vec<u64> = self.gate.segments().blamed().iter().copied().collect();
        blamed.sort_unstable();
        blamed
    }
}

#[test]
fn cause_is_found_among_shared_first_segments() {
    let mut gateway = Gateway::with_sound_history();
    for i in 0..SEGMENT_LIMIT as u64 {
        let own = CONVERSATIONS + 100 + i;
        assert_eq!(gateway.permit(&[FIRST, BAD]), RunPermit::Allowed);
        let counted = gateway.crash_with(&[&[FIRST, BAD], &[FIRST, own]]);
        assert!(counted.contains(&Suspect::Segment(BAD)), "{counted:?}");
    }
    assert_eq!(gateway.blamed(), [BAD]);
    assert_eq!(gateway.permit(&[FIRST, BAD]), RunPermit::Quarantined);
    assert_eq!(gateway.permit(&[2, 3, BAD]), RunPermit::Quarantined);
    assert_eq!(gateway.permit(&[FIRST, CONVERSATIONS]), RunPermit::Allowed);
    assert_eq!(gateway.gate.quarantined(gateway.now), 1);
}

/// It always came with the first segment, and neither was sound here before: the one that
/// runs less is blamed.
#[test]
fn cause_is_found_without_sound_history() {
    let mut gateway = Gateway::new();
    for i in 0..20 {
        gateway.start(&[FIRST, CONVERSATIONS + i]);
    }
    for _ in 0..SEGMENT_LIMIT {
        gateway.crash_with(&[&[FIRST, BAD]]);
    }
    assert_eq!(gateway.blamed(), [BAD]);
}

#[test]
fn first_segment_may_be_the_cause() {
    let mut gateway = Gateway::new();
    for i in 0..SEGMENT_LIMIT as u64 {
        gateway.crash_with(&[&[BAD, CONVERSATIONS + i], &[FIRST, CONVERSATIONS + 100 + i]]);
        gateway.complete(&[FIRST]);
    }
    assert_eq!(gateway.blamed(), [BAD]);
    assert_eq!(gateway.permit(&[BAD, CONVERSATIONS + 200]), RunPermit::Quarantined);
}

/// The bug began after it had been sound for long.
#[test]
fn first_segment_that_was_sound_may_become_the_cause() {
    let mut gateway = Gateway::with_sound_history();
    for i in 0..SEGMENT_LIMIT as u64 {
        gateway.crash_with(&[&[FIRST, CONVERSATIONS + 100 + i]]);
    }
    assert_eq!(gateway.blamed(), [0; 0]);
    gateway.await_proof();
    assert_eq!(gateway.blamed(), [FIRST]);
}

#[test]
fn two_causes_are_found() {
    let mut gateway = Gateway::with_sound_history();
    let mut in_flight = Vec::new();
    for _ in 0..SEGMENT_LIMIT {
        for cause in [BAD, OTHER_BAD] {
            let endpoint = gateway.new_endpoint();
            in_flight.push((endpoint, gateway.start_at(&[FIRST, cause], endpoint)));
        }
    }
    for (endpoint, run) in in_flight {
        gateway.crash(endpoint, &[run]);
    }
    // The first segment has more crashes than each of them.
    assert_eq!(gateway.crashes(FIRST), 2 * SEGMENT_LIMIT);
    assert_eq!(gateway.blamed(), [BAD, OTHER_BAD]);
    assert_eq!(gateway.permit(&[FIRST, CONVERSATIONS]), RunPermit::Allowed);
}

/// One of them is blamed. If that is the wrong one, one more crash shows it.
#[test]
fn two_segments_that_always_come_together_are_told_apart_by_one_more_crash() {
    for cause in [BAD, OTHER_BAD] {
        let mut gateway = Gateway::with_sound_history();
        for _ in 0..SEGMENT_LIMIT {
            gateway.crash_with(&[&[FIRST, BAD, OTHER_BAD]]);
        }
        assert_eq!(gateway.blamed().len(), 1);
        assert_eq!(gateway.permit(&[FIRST, BAD, OTHER_BAD]), RunPermit::Quarantined);
        if gateway.permit(&[FIRST, cause]) == RunPermit::Allowed {
            gateway.crash_with(&[&[FIRST, cause]]);
        }
        assert_eq!(gateway.blamed(), [cause]);
    }
}

#[test]
fn segments_of_requests_that_ran_along_are_not_blamed() {
    let mut gateway = Gateway::with_sound_history();
    let companions = [[FIRST, 10], [2, 11], [3, 12]];
    for crash in 0..2 * SEGMENT_LIMIT {
        if gateway.permit(&[FIRST, BAD]) != RunPermit::Allowed {
            break;
        }
        let prompts: Vec<&[u64]> = companions.iter().map(|p| p.as_slice()).collect();
        // One of them misses each crash but the last.
        let mut prompts: Vec<&[u64]> =
            prompts.into_iter().enumerate().filter(|(i, _)| *i != crash % 3).map(|p| p.1).collect();
        prompts.push(&[FIRST, BAD]);
        gateway.crash_with(&prompts);
    }
    assert_eq!(gateway.blamed(), [BAD]);
}

/// They ran at the same endpoints, so that one of them explains most crashes of the other.
#[test]
fn two_causes_that_share_crashes_are_found() {
    let mut gateway = Gateway::with_sound_history();
    for _ in 0..SEGMENT_LIMIT {
        gateway.crash_with(&[&[FIRST, BAD], &[FIRST, OTHER_BAD]]);
    }
    assert_eq!(gateway.blamed().len(), 1);
    let mut sends = [0; 2];
    for _ in 0..10 {
        for (i, cause) in [BAD, OTHER_BAD].into_iter().enumerate() {
            if gateway.permit(&[FIRST, cause]) == RunPermit::Allowed {
                gateway.crash_with(&[&[FIRST, cause]]);
                sends[i] += 1;
            }
        }
    }
    assert_eq!(gateway.blamed(), [BAD, OTHER_BAD]);
    // The rules allow three sends after the fifth crash of each.
    assert!(sends.iter().all(|s| *s <= 3), "{sends:?}");
}

/// New segments that ran beside two causes explain many of their crashes.
#[test]
fn segments_that_ran_along_do_not_hide_the_second_cause() {
    let mut gateway = Gateway::with_sound_history();
    let mut in_flight = Vec::new();
    for i in 0..8 {
        let cause = if i < 5 { BAD } else { OTHER_BAD };
        let along = [CONVERSATIONS + 100 + i % 2, CONVERSATIONS + 102 + i % 3];
        let endpoint = gateway.new_endpoint();
        let mut runs = vec![gateway.start_at(&[FIRST, cause], endpoint)];
        if 3 <= i {
            runs.push(gateway.start_at(&[FIRST, OTHER_BAD], endpoint));
        }
        runs.extend(along.map(|s| gateway.start_at(&[FIRST, s], endpoint)));
        in_flight.push((endpoint, runs));
    }
    for (endpoint, runs) in in_flight {
        gateway.crash(endpoint, &runs);
    }
    assert_eq!(gateway.blamed(), [BAD, OTHER_BAD]);
}

#[test]
fn unrelated_crashes_blame_no_segment_that_is_sound() {
    let mut gateway = Gateway::with_sound_history();
    for i in 0..4 * SEGMENT_LIMIT as u64 {
        gateway.crash_with(&[&[FIRST, CONVERSATIONS + 2 * i], &[2, CONVERSATIONS + 2 * i + 1]]);
        gateway.complete(&[FIRST]);
        gateway.complete(&[2]);
        assert_eq!(gateway.blamed(), [0; 0]);
    }
}

#[test]
fn unrelated_crashes_beside_the_cause_blame_no_other_segment() {
    let mut gateway = Gateway::with_sound_history();
    for i in 0..SEGMENT_LIMIT as u64 {
        gateway.crash_with(&[&[FIRST, BAD]]);
        gateway.crash_with(&[&[FIRST, CONVERSATIONS + 100 + i]]);
        gateway.complete(&[FIRST]);
    }
    assert_eq!(gateway.blamed(), [BAD]);
}

#[test]
fn run_that_has_written_for_long_is_no_suspect() {
    let mut gateway = Gateway::new();
    let endpoint = gateway.new_endpoint();
    let long = gateway.start_at(&[10], endpoint);
    gateway.respond(long);
    gateway.pass(1000);
    let short = gateway.start_at(&[11], endpoint);
    gateway.respond(short);
    gateway.pass(900);
    let waiting = gateway.start_at(&[12], endpoint);
    let counted = gateway.crash(endpoint, &[long, short, waiting]);
    assert_eq!([10, 11, 12].map(|s| gateway.crashes(s)), [0, 1, 1]);
    let requests = counted.iter().filter(|s| s.request().is_some()).count();
    assert_eq!(requests, 3, "{counted:?}");
}

/// A registration may show a crash before the connections have ended.
#[test]
fn crash_counts_against_runs_in_progress_that_have_just_begun() {
    let mut gateway = Gateway::new();
    let endpoint = gateway.new_endpoint();
    let long = gateway.start_at(&[10], endpoint);
    gateway.respond(long);
    gateway.pass(1000);
    let short = gateway.start_at(&[11], endpoint);
    gateway.respond(short);
    gateway.gate.resolve(gateway.now, endpoint, &[], true);
    assert_eq!([10, 11].map(|s| gateway.crashes(s)), [0, 1]);
}

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

#[test]
fn blamed_segment_is_remembered_while_it_is_refused() {
    let mut gateway = Gateway::with_sound_history();
    for _ in 0..SEGMENT_LIMIT {
        gateway.crash_with(&[&[FIRST, BAD]]);
    }
    for _ in 0..10 {
        gateway.pass(500_000);
        gateway.gate.expire(gateway.now);
        assert_eq!(gateway.permit(&[FIRST, BAD]), RunPermit::Quarantined);
        let request = gateway.new_request();
        gateway.gate.record_refusal(gateway.now, request, &[FIRST, BAD]);
    }
    gateway.pass(600_000);
    assert!(gateway.gate.expire(gateway.now).contains(&Suspect::Segment(BAD)));
    assert_eq!(gateway.permit(&[FIRST, BAD]), RunPermit::Allowed);
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

/// Each process saw one crash.
#[test]
fn crashes_that_different_processes_saw_add_up() {
    let mut gateways: Vec<Gateway> = (0..SEGMENT_LIMIT).map(|_| Gateway::new()).collect();
    let now = Instant::now();
    for (i, gateway) in gateways.iter_mut().enumerate() {
        gateway.now = now;
        gateway.next_endpoint += 1000 * i as u64;
        gateway.crash_with(&[&[FIRST, BAD]]);
        gateway.complete(&[FIRST]);
    }
    let reports: Vec<CrashReport> = gateways.iter().flat_map(|g| g.gate.all_reports()).collect();
    let mut late = Gateway::new();
    gateways.push(late_with(&mut late, now));
    for gateway in &mut gateways {
        for report in &reports {
            gateway.gate.merge(now, report);
        }
        assert_eq!(gateway.blamed(), [BAD]);
        assert_eq!(gateway.permit(&[FIRST, BAD]), RunPermit::Quarantined);
        assert_eq!(gateway.permit(&[FIRST, 10]), RunPermit::Allowed);
    }
}

/// A process that has just started.
fn late_with(late: &mut Gateway, now: Instant) -> Gateway {
    late.now = now;
    std::mem::replace(late, Gateway::new())
}

#[test]
fn blamed_segment_is_not_displaced_by_segments_with_few_crashes() {
    let now = Instant::now();
    let mut history = SegmentHistory::new(SEGMENT_LIMIT);
    for crash in 0..SEGMENT_LIMIT as u64 {
        history.record_crash(now, BAD, crash);
    }
    for i in 0..10_000 {
        history.record_crash(now + Duration::from_millis(i), CONVERSATIONS + i, 99);
    }
    assert!(history.len() <= 4096);
    assert!(history.is_blamed(BAD));
}

#[test]
fn memory_is_bounded_with_100_000_segments() {
    let now = Instant::now();
    let mut history = SegmentHistory::new(SEGMENT_LIMIT);
    let started = Instant::now();
    for segment in 0..100_000 {
        history.record_run(segment);
        history.record_sound(now, segment, true);
        for crash in 0..segment % 5 {
            history.record_crash(now, segment, crash);
        }
    }
    let elapsed = started.elapsed();
    println!("{} used, {} with crashes, {elapsed:?}", history.used(), history.len());
    assert!(history.used() <= 100_000 && history.len() <= 4096);
    assert!(50_000 <= history.used());
    // All that are left become candidates.
    let started = Instant::now();
    for segment in 90_000..100_000 {
        history.record_crash(now, segment, 4);
    }
    println!("{:?} for one more crash of each", started.elapsed());
    let now = now + Duration::from_secs(3);
    history.expire(now);
    assert_eq!(history.blamed().len(), 1);
    let started = Instant::now();
    history.record_crash(now, 99_999, 5);
    println!("one more crash takes {:?}", started.elapsed());
    assert_eq!(history.blamed().len(), 1);
}

fn segment_report() -> impl Strategy<Value = CrashReport> {
    let crashes = proptest::collection::vec(0..20u64, 0..8);
    let cleared = proptest::collection::vec(0..20u64, 0..4);
    (0..6u64, crashes, cleared).prop_map(|(segment, crashes, cleared)| CrashReport {
        suspect: Suspect::Segment(segment),
        crashes,
        cleared,
    })
}

fn merged(now: Instant, reports: &[CrashReport]) -> SegmentHistory {
    let mut history = SegmentHistory::new(SEGMENT_LIMIT);
    for report in reports {
        history.merge(now, report);
    }
    history
}

fn sorted(history: &SegmentHistory, segment: u64) -> Option<CrashReport> {
    let mut report = history.report(segment)?;
    report.crashes.sort_unstable();
    report.cleared.sort_unstable();
    Some(report)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn order_of_merges_does_not_matter(
        reports in proptest::collection::vec(segment_report(), 0..20),
        seed in any::<u64>(),
    ) {
        let now = Instant::now();
        let mut shuffled = reports.clone();
        shuffled.extend(reports.iter().take(3).cloned());
        fastrand::Rng::with_seed(seed).shuffle(&mut shuffled);
        let (a, b) = (merged(now, &reports), merged(now, &shuffled));
        for segment in 0..6 {
            prop_assert_eq!(sorted(&a, segment), sorted(&b, segment));
        }
        prop_assert_eq!(a.blamed(), b.blamed());
    }

    /// A segment that is in each crash is blamed, whatever else ran there, once the others
    /// are sound.
    #[test]
    fn cause_is_blamed_after_the_limit(
        companions in proptest::collection::vec(
            proptest::collection::vec(0..20u64, 0..6), SEGMENT_LIMIT..12),
    ) {
        let mut gateway = Gateway::new();
        for segment in 0..20 {
            gateway.complete(&[segment]);
        }
        for along in companions {
            let own: Vec<[u64; 1]> = along.into_iter().map(|s| [s]).collect();
            let mut prompts: Vec<&[u64]> = own.iter().map(|p| p.as_slice()).collect();
            prompts.push(&[BAD]);
            if gateway.permit(&[BAD]) == RunPermit::Allowed {
                gateway.crash_with(&prompts);
            }
        }
        prop_assert_eq!(gateway.blamed(), vec![BAD]);
    }
}

//! Admission of prompts to an engine, in virtual time.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use goldcrestpitch::core::{
    admission::{AdmissionId, Answer, Ask, PromptAdmission},
    residency::RunningRequest,
};

const PAUSE: Duration = Duration::from_millis(300);
/// Requests are reported for this long after their prompts are read.
const REPORTED_FOR: Duration = Duration::from_millis(61);
/// Work that an engine of the data sheet does in a pause.
const WORK_PER_PAUSE: u32 = 5760;

fn gateway(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn ask(now: Instant, request: &str, work: u32, priority: u8) -> Ask {
    Ask {
        request: request.into(),
        work,
        kv_tokens: u64::from(work) + 200,
        priority,
        pause: PAUSE,
        wait_until: now + Duration::from_secs(20),
    }
}

fn run(request: &str, tokens: u64, events: u64) -> RunningRequest {
    RunningRequest { id: request.into(), tokens, events }
}

/// Guards against streams that pause because many gateways send prompts to the same engine before
/// they hear of each other: 34 gateways gave an engine 26,000 tokens within 250 ms.
#[test]
fn burst_of_many_gateways_leaves_room_for_running_streams_in_every_pause() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let start = Instant::now();
        let mut admission = PromptAdmission::default();
        admission.configure(0, 4, 0);
        let mut asks = HashMap::new();
        let mut admitted: Vec<(Duration, u32)> = Vec::new();
        let mut ids: Vec<(String, Duration)> = Vec::new();
        for ms in 0..10_000 {
            let at = Duration::from_millis(ms);
            if ms % 60 == 0 {
                // The engine reads 19.2 tokens in a millisecond, one prompt after the other, and
                // responses are short: a request ends before the second report after its prompt.
                let current = ids.iter().filter(|(_, read_at)| at < *read_at + REPORTED_FOR);
                let runs = current.map(|(id, read_at)| run(id, 1000, u64::from(*read_at <= at)));
                admission.record_report(start + at, &runs.collect::<Vec<_>>());
            }
            let mut now_admitted: Vec<AdmissionId> = Vec::new();
            // Twice what the engine can read in the first second, then nothing.
            if ms < 1000 && rng.f64() < 0.026 {
                let id = (gateway(rng.u16(1..35)), ms);
                let work = rng.u32(200..2800);
                asks.insert(id, work);
                let ask = ask(start + at, &ms.to_string(), work, rng.u8(0..3));
                if admission.ask(start + at, id, ask) == Answer::Admitted {
                    now_admitted.push(id);
                }
            }
            now_admitted.extend(admission.take_admitted(start + at));
            admitted.extend(now_admitted.iter().map(|id| (at, asks[id])));
            for id in now_admitted {
                let began =
                    ids.last().map_or(at, |(_, read_at): &(String, Duration)| at.max(*read_at));
                let reading = Duration::from_secs_f64(f64::from(asks[&id]) / 19_200.0);
                ids.push((id.1.to_string(), began + reading));
            }
        }
        assert_eq!(admitted.len(), asks.len(), "seed {seed}: a prompt was never admitted");
        for (at, _) in &admitted {
            let window = admitted.iter().filter(|(other, _)| *at <= *other && *other < *at + PAUSE);
            let work: u32 = window.map(|(_, work)| work).sum();
            assert!(work <= WORK_PER_PAUSE, "seed {seed}: {work} in a pause from {at:?}");
        }
    }
}

/// Guards against urgent prompts that stand behind less urgent ones of the same engine.
#[test]
fn urgent_prompts_are_admitted_before_less_urgent_ones_that_came_first() {
    let now = Instant::now();
    let mut admission = PromptAdmission::default();
    assert_eq!(admission.ask(now, (gateway(1), 1), ask(now, "a", 4500, 1)), Answer::Admitted);
    for ticket in 2..6 {
        let batch = ask(now, &ticket.to_string(), 1500, 2);
        assert!(matches!(admission.ask(now, (gateway(1), ticket), batch), Answer::Waits(_)));
    }
    let hint = ask(now, "hint", 1500, 0);
    assert!(matches!(admission.ask(now, (gateway(2), 9), hint), Answer::Waits(_)));
    let later = now + Duration::from_millis(310);
    admission.record_report(later, &[run("a", 4500, 1)]);
    assert_eq!(admission.take_admitted(later).first(), Some(&(gateway(2), 9)));
}

/// Guards against requests that an engine preempts because its KV cache was given out twice.
#[test]
fn kv_cache_of_admitted_requests_is_not_given_out_again_before_they_end() {
    let mut now = Instant::now();
    let mut admission = PromptAdmission::default();
    admission.configure(64, 4, 10_000);
    let mut runs = Vec::new();
    for ticket in 0..4 {
        let id = ticket.to_string();
        let answer = admission.ask(now, (gateway(1), ticket), ask(now, &id, 2000, 0));
        assert_eq!(answer, Answer::Admitted, "ticket {ticket}");
        // The engine reports only what the request has taken so far.
        runs.push(run(&id, 300, 1));
        now += Duration::from_millis(400);
        admission.record_report(now, &runs);
    }
    let fifth = ask(now, "4", 2000, 0);
    assert!(matches!(admission.ask(now, (gateway(1), 4), fifth), Answer::Waits(_)));
    now += Duration::from_millis(400);
    admission.record_report(now, &runs[1..]);
    assert_eq!(admission.take_admitted(now), [(gateway(1), 4)]);
}

/// Guards against streams that pause on an engine that is slow for some hundred milliseconds.
#[test]
fn slow_engine_admits_less_until_it_is_fast_again() {
    let start = Instant::now();
    let mut admission = PromptAdmission::default();
    admission.configure(64, 4, 0);
    let mut tokens = 0;
    let mut report = |admission: &mut PromptAdmission, ms: u64, step_ms: u64| {
        tokens += 60 / step_ms;
        let runs: Vec<_> =
            (0..8).map(|i| run(&format!("s{i}"), 1000 + tokens, 1 + tokens / 4)).collect();
        admission.record_report(start + Duration::from_millis(ms), &runs);
    };
    let admits = |admission: &PromptAdmission, ms: u64| {
        let now = start + Duration::from_millis(ms);
        let mut admission = admission.clone();
        admission.ask(now, (gateway(1), 1), ask(now, "a", 1500, 0));
        admission.ask(now, (gateway(1), 2), ask(now, "b", 1500, 0)) == Answer::Admitted
    };
    (0..6).for_each(|i| report(&mut admission, i * 60, 10));
    assert!(admits(&admission, 300));
    (6..10).for_each(|i| report(&mut admission, i * 60, 30));
    assert!(1.5 < admission.slowdown());
    assert!(!admits(&admission, 540));
    (10..14).for_each(|i| report(&mut admission, i * 60, 10));
    assert!(admits(&admission, 780));
}

/// Guards against room that stays taken by requests of a gateway that has ended, and against
/// lost datagrams: a repeated request is answered like the first.
#[test]
fn admitted_requests_that_never_arrive_and_withdrawn_ones_free_their_room() {
    let now = Instant::now();
    let mut admission = PromptAdmission::default();
    admission.configure(1, 4, 0);
    assert_eq!(admission.ask(now, (gateway(1), 1), ask(now, "a", 500, 0)), Answer::Admitted);
    assert_eq!(admission.ask(now, (gateway(1), 1), ask(now, "a", 500, 0)), Answer::Admitted);
    assert!(matches!(admission.ask(now, (gateway(2), 2), ask(now, "b", 500, 0)), Answer::Waits(_)));
    assert!(matches!(admission.ask(now, (gateway(2), 2), ask(now, "b", 500, 0)), Answer::Waits(_)));
    assert_eq!(admission.waiting(), 1);
    admission.withdraw((gateway(1), 1), "a");
    assert_eq!(admission.take_admitted(now), [(gateway(2), 2)]);
    let later = now + Duration::from_secs(1);
    admission.record_report(later, &[]);
    assert_eq!(admission.ask(later, (gateway(3), 3), ask(later, "c", 500, 0)), Answer::Admitted);
}

/// Guards against prompts beyond the engine's room: the withdrawal of a question arrives after the
/// same request was admitted on a later one.
#[test]
fn late_withdrawal_does_not_withdraw_a_later_question_of_the_request() {
    let now = Instant::now();
    let mut admission = PromptAdmission::default();
    admission.configure(1, 4, 0);
    assert_eq!(admission.ask(now, (gateway(1), 1), ask(now, "a", 500, 0)), Answer::Admitted);
    assert_eq!(admission.ask(now, (gateway(1), 2), ask(now, "a", 500, 0)), Answer::Admitted);
    admission.withdraw((gateway(1), 1), "a");
    assert!(matches!(admission.ask(now, (gateway(2), 3), ask(now, "b", 500, 0)), Answer::Waits(_)));
    // The same while the questions wait.
    assert!(matches!(admission.ask(now, (gateway(2), 4), ask(now, "b", 500, 0)), Answer::Waits(_)));
    admission.withdraw((gateway(2), 3), "b");
    assert_eq!(admission.waiting(), 1);
    admission.withdraw((gateway(1), 2), "a");
    assert_eq!(admission.take_admitted(now), [(gateway(2), 4)]);
}

/// Guards against requests that wait at an engine that cannot take them in time, while another
/// one has room.
#[test]
fn request_is_turned_away_at_once_where_its_wait_would_be_too_long() {
    let now = Instant::now();
    let mut admission = PromptAdmission::default();
    admission.ask(now, (gateway(1), 1), ask(now, "a", 5400, 0));
    let short = Ask { wait_until: now + Duration::from_millis(50), ..ask(now, "b", 2000, 0) };
    assert!(matches!(admission.ask(now, (gateway(1), 2), short), Answer::Full(_)));
    assert_eq!(admission.waiting(), 0);
}

//! Crash histories of several processes that saw different crashes.

use std::time::{Duration, Instant};

use goldcrestpitch::core::quarantine::{CrashHistory, Verdict};

const LIMIT: usize = 3;
const REQUEST: u64 = 7;

fn settled(now: Instant) -> Instant {
    now + Duration::from_secs(1)
}

#[test]
fn crashes_that_different_processes_saw_add_up() {
    let now = Instant::now();
    let mut all: Vec<CrashHistory> = (0..LIMIT).map(|_| CrashHistory::new(LIMIT)).collect();
    for (i, history) in all.iter_mut().enumerate() {
        history.record_crash(now, REQUEST, 100 + i as u64);
    }
    let reports: Vec<_> = all.iter().filter_map(|h| h.report(REQUEST)).collect();
    for history in &mut all {
        for report in &reports {
            history.merge(now, report);
        }
        assert_eq!(history.crashes(REQUEST), LIMIT);
        assert_eq!(history.verdict(settled(now), REQUEST), Verdict::Quarantined);
    }
}

#[test]
fn crash_that_several_processes_saw_counts_once() {
    let now = Instant::now();
    let (mut a, mut b) = (CrashHistory::new(LIMIT), CrashHistory::new(LIMIT));
    a.record_crash(now, REQUEST, 100);
    b.record_crash(now, REQUEST, 100);
    a.merge(now, &b.report(REQUEST).unwrap());
    assert_eq!(a.crashes(REQUEST), 1);
}

#[test]
fn complete_run_clears_only_crashes_known_when_it_started() {
    let now = Instant::now();
    let mut history = CrashHistory::new(LIMIT);
    history.record_crash(now, REQUEST, 100);
    let known = history.crash_ids(REQUEST);
    history.record_crash(now, REQUEST, 200);
    assert_eq!(history.record_completed(now, REQUEST, &known), 1);
    assert_eq!(history.crash_ids(REQUEST), [200]);
}

#[test]
fn older_report_does_not_bring_back_cleared_crashes() {
    let now = Instant::now();
    let (mut a, mut b) = (CrashHistory::new(LIMIT), CrashHistory::new(LIMIT));
    a.record_crash(now, REQUEST, 100);
    let old = a.report(REQUEST).unwrap();
    b.merge(now, &old);
    b.record_completed(now, REQUEST, &[100]);
    b.merge(now, &old);
    assert_eq!(b.crashes(REQUEST), 0);
    a.merge(now, &b.report(REQUEST).unwrap());
    assert_eq!(a.crashes(REQUEST), 0);
}

/// Two requests ran at all the same endpoints: one more crash tells them apart.
#[test]
fn requests_with_a_common_crash_are_told_apart_by_one_more() {
    let now = Instant::now();
    let (cause, other) = (REQUEST, 8);
    let mut history = CrashHistory::new(LIMIT);
    for crash in 0..LIMIT as u64 {
        history.record_crash(now, cause, crash);
        history.record_crash(now, other, crash);
    }
    assert_eq!(history.verdict(now, cause), Verdict::Undecided);
    // Only one of them runs at a time in all processes.
    assert_eq!(history.verdict(settled(now), cause), Verdict::Allowed);
    assert_eq!(history.verdict(settled(now), other), Verdict::Undecided);
    history.record_crash(now, cause, LIMIT as u64);
    assert_eq!(history.verdict(settled(now), cause), Verdict::Quarantined);
    assert_eq!(history.verdict(settled(now), other), Verdict::Allowed);
}

#[test]
fn requests_with_few_crashes_do_not_displace_a_quarantined_one() {
    let now = Instant::now();
    let mut history = CrashHistory::new(LIMIT);
    for crash in 0..LIMIT as u64 {
        history.record_crash(now, REQUEST, crash);
    }
    for i in 0..10_000 {
        history.record_crash(now + Duration::from_millis(i), 1000 + i, 99);
    }
    assert!(history.len() <= 4096);
    let later = now + Duration::from_secs(11);
    assert_eq!(history.verdict(later, REQUEST), Verdict::Quarantined);
}

#[test]
fn request_that_is_refused_again_and_again_stays_quarantined() {
    let mut now = Instant::now();
    let mut history = CrashHistory::new(LIMIT);
    for crash in 0..LIMIT as u64 {
        history.record_crash(now, REQUEST, crash);
    }
    for _ in 0..10 {
        now += Duration::from_secs(500);
        assert_eq!(history.verdict(now, REQUEST), Verdict::Quarantined);
        history.record_refusal(now, REQUEST);
    }
    now += Duration::from_secs(601);
    assert_eq!(history.verdict(now, REQUEST), Verdict::Allowed);
    assert_eq!(history.expire(now), [REQUEST]);
}

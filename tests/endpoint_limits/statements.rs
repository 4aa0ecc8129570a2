//! What responses and reports say of a limit, and what ends it.

use std::time::{Duration, Instant};

use goldcrestpitch::core::{
    ids::EndpointId,
    limits::{EndpointLimits, LimitChange, LimitReport, NamedLimit, ProcessLoad},
};

const PEER: u64 = 2;

struct Process {
    now: Instant,
    endpoint: EndpointId,
    limits: EndpointLimits,
}

impl Process {
    fn new() -> Self {
        Self { now: Instant::now(), endpoint: "i-1".into(), limits: EndpointLimits::new(1) }
    }

    fn pass(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
        self.limits.refill(self.now);
    }

    /// A response to a request that was sent `sent_before` milliseconds ago.
    fn respond(&mut self, sent_before: u64, named: NamedLimit) -> Option<LimitChange> {
        let sent_at = self.now - Duration::from_millis(sent_before);
        self.limits.record_response(self.now, &self.endpoint, 1, sent_at, named)
    }

    fn rate(&self) -> Option<f64> {
        self.limits.rate(&self.endpoint)
    }

    fn report(&self, started_ms: u64, rate: Option<f64>, age_ms: u64, sent: u64) -> LimitReport {
        let load = ProcessLoad { waiting: false, sent };
        let (endpoint, age) = (self.endpoint.clone(), Duration::from_millis(age_ms));
        LimitReport { endpoint, started_ms, rate, age, load }
    }
}

#[test]
fn older_response_that_arrives_later_does_not_end_a_limit() {
    let mut process = Process::new();
    process.pass(1000);
    let named = LimitChange::Named { rate: 2.0, previous: None };
    assert_eq!(process.respond(20, NamedLimit::Rate(2.0)), Some(named));
    process.pass(100);
    assert_eq!(process.respond(150, NamedLimit::None), None);
    assert_eq!(process.rate(), Some(2.0));
    let age = Duration::from_millis(100);
    assert_eq!(
        process.respond(20, NamedLimit::None),
        Some(LimitChange::Ended { previous: 2.0, age })
    );
    assert_eq!(process.rate(), None);
    assert_eq!(process.limits.wait(process.now, &process.endpoint, 5), Duration::ZERO);
}

#[test]
fn endpoint_that_was_started_again_has_no_limit_until_it_names_one() {
    let mut process = Process::new();
    process.respond(0, NamedLimit::Rate(2.0));
    process.pass(100);
    let (now, endpoint) = (process.now, process.endpoint.clone());
    process.limits.record_response(now, &endpoint, 2, now, NamedLimit::Rate(5.0));
    assert_eq!(process.rate(), Some(5.0));
    // A report on the start before.
    process.limits.merge(now, PEER, &process.report(1, Some(2.0), 0, 0));
    assert_eq!(process.rate(), Some(5.0));
    process.limits.retain(|_| Some(2));
    assert_eq!(process.rate(), Some(5.0));
    process.limits.retain(|_| Some(3));
    assert_eq!(process.rate(), None);
}

#[test]
fn report_of_an_older_response_changes_nothing() {
    let mut process = Process::new();
    process.pass(5000);
    process.respond(0, NamedLimit::Rate(2.0));
    process.pass(500);
    assert!(!process.limits.merge(process.now, PEER, &process.report(1, None, 900, 0)));
    assert_eq!(process.rate(), Some(2.0));
    assert!(process.limits.merge(process.now, PEER, &process.report(1, None, 10, 0)));
    assert_eq!(process.rate(), None);
}

#[test]
fn requests_of_other_processes_count() {
    let mut process = Process::new();
    process.respond(0, NamedLimit::Rate(1.0));
    process.pass(1000);
    assert_eq!(process.limits.wait(process.now, &process.endpoint, 0), Duration::ZERO);
    process.limits.merge(process.now, PEER, &process.report(1, Some(1.0), 0, 3));
    let wait = process.limits.wait(process.now, &process.endpoint, 0);
    assert!(Duration::from_secs(3) <= wait, "{wait:?}");
    // The report again is no news, and a process that was started again counts from 0.
    process.limits.merge(process.now, PEER, &process.report(1, Some(1.0), 0, 3));
    assert_eq!(process.limits.wait(process.now, &process.endpoint, 0), wait);
    process.limits.merge(process.now, PEER, &process.report(1, Some(1.0), 0, 1));
    assert!(wait < process.limits.wait(process.now, &process.endpoint, 0));
}

#[test]
fn endpoint_that_takes_no_requests_is_asked_at_times() {
    let mut process = Process::new();
    process.respond(0, NamedLimit::Rate(0.0));
    process.pass(4000);
    assert_eq!(process.limits.wait(process.now, &process.endpoint, 0), Duration::ZERO);
    process.limits.take("i-1");
    assert_eq!(process.limits.wait(process.now, &process.endpoint, 0), Duration::from_secs(4));
}

#[test]
fn unreadable_value_is_reported_once_and_changes_nothing() {
    let mut process = Process::new();
    process.respond(0, NamedLimit::Rate(2.0));
    process.pass(100);
    assert_eq!(process.respond(0, NamedLimit::Invalid), Some(LimitChange::Unreadable));
    assert_eq!(process.respond(0, NamedLimit::Invalid), None);
    assert_eq!(process.rate(), Some(2.0));
}

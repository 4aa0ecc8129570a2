//! Which endpoints count as gone around an outage of the store, in virtual time.

use std::time::{Duration, Instant};

use goldcrestpitch::core::forwarding::{
    Change, EndpointRegistry, EndpointState, Registration, Residency, StoreOutage,
};
use proptest::{prelude::*, test_runner::RngSeed};

/// How long an endpoint may take to register again after an outage, by the platform's rules.
const GRACE_MS: u64 = 2000;
/// Longest time that a read takes to fail after it was sent: the wait and the time limit.
const READ_TIME_MS: u64 = 3500;

struct Gateway {
    start: Instant,
    outage: StoreOutage,
    registry: EndpointRegistry,
}

impl Gateway {
    fn new() -> Self {
        let mut registry = EndpointRegistry::default();
        let start = Instant::now();
        registry.apply(start, Change::Registered(registration()), false);
        Self { start, outage: StoreOutage::default(), registry }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    /// A read of registrations is answered, with these changes.
    fn read(&mut self, ms: u64, changes: Vec<Change>) {
        let now = self.at(ms);
        self.outage.record_answer(now);
        let after_outage = self.outage.affects_registrations(now);
        for change in changes {
            self.registry.apply(now, change, after_outage);
        }
        self.registry.expire(after_outage);
    }

    fn fail(&mut self, sent_ms: u64) {
        self.outage.record_failure(self.at(sent_ms));
    }

    fn sends(&self) -> bool {
        self.registry.get("i-0").is_some()
    }
}

fn registration() -> Registration {
    Registration {
        id: "i-0".into(),
        service: "desk".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".into(),
        version: None,
        state: EndpointState::Ready,
        slots: 6,
        started_ms: 1,
        order_seq: 0,
        residency: Residency::default(),
    }
}

fn removal() -> Vec<Change> {
    vec![Change::Removed("i-0".into())]
}

// Guards against requests to an endpoint that has left: the late end of a read that an outage
// swallowed extended the time in which a removal is taken for a lapsed registration.
#[test]
fn removal_after_the_grace_of_an_outage_is_final_though_a_read_from_before_fails_late() {
    let mut gateway = Gateway::new();
    gateway.fail(1000);
    gateway.read(5000, vec![]);
    // This read fails at 7400.
    gateway.fail(3900);
    gateway.read(7500, removal());
    assert!(!gateway.sends());
}

// Guards against a removal that is held for longer than endpoints take to register again.
#[test]
fn removal_during_the_grace_is_final_when_the_grace_ends() {
    let mut gateway = Gateway::new();
    gateway.fail(1000);
    gateway.read(5000, vec![]);
    gateway.read(6900, removal());
    assert!(gateway.sends());
    gateway.read(5000 + GRACE_MS, vec![]);
    assert!(!gateway.sends());
}

#[test]
fn endpoint_whose_registration_lapsed_in_an_outage_gets_requests_until_it_registers_again() {
    let mut gateway = Gateway::new();
    gateway.fail(1000);
    gateway.read(5000, removal());
    gateway.read(5000 + GRACE_MS - 1, vec![]);
    assert!(gateway.sends());
    gateway.read(5000 + GRACE_MS, vec![Change::Registered(registration())]);
    gateway.read(9000, vec![]);
    assert!(gateway.sends());
}

#[test]
fn second_outage_extends_the_grace_of_a_registration_that_lapsed_in_the_first() {
    let mut gateway = Gateway::new();
    gateway.fail(1000);
    gateway.read(5000, removal());
    gateway.fail(6000);
    gateway.read(9000, vec![]);
    gateway.read(9000 + GRACE_MS - 1, vec![]);
    assert!(gateway.sends());
    gateway.read(9000 + GRACE_MS, vec![]);
    assert!(!gateway.sends());
}

#[test]
fn failure_of_a_read_sent_since_the_last_answer_is_an_outage() {
    let mut gateway = Gateway::new();
    gateway.read(1000, vec![]);
    gateway.fail(1001);
    assert!(gateway.outage.is_unavailable());
    gateway.read(3000, removal());
    assert!(gateway.sends());
}

#[test]
fn read_swallowed_while_others_are_answered_has_a_grace_from_the_next_answer() {
    let mut gateway = Gateway::new();
    gateway.read(1000, vec![]);
    gateway.read(1800, vec![]);
    // Sent between the two answers, and known to have failed only now.
    gateway.fail(1200);
    assert!(!gateway.outage.is_unavailable());
    gateway.read(1800 + GRACE_MS - 1, removal());
    assert!(gateway.sends());
    gateway.read(1800 + GRACE_MS, vec![]);
    assert!(!gateway.sends());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Two topics are read in turn while outages come and go. The grace ends at most this long
    /// after the store was last away: until the next answer, and the time to register again.
    #[test]
    fn grace_ends_in_time_after_the_last_outage(
        outages in proptest::collection::vec((0_u64..20_000, 1_u64..5000), 1..4),
        phases in (0_u64..800, 0_u64..2000),
    ) {
        let is_away = |ms: u64| outages.iter().any(|(at, length)| (*at..at + length).contains(&ms));
        let last = outages.iter().map(|(at, length)| at + length).max().unwrap();
        // (end, topic, sent) of the reads: registrations at once, the configuration in 2 s.
        let mut ends: Vec<(u64, bool, u64, bool)> = Vec::new();
        for (mut sent, wait, pause) in [(phases.0, 0, 800), (phases.1, 2000, 0)] {
            while sent < last + 20_000 {
                let swallowed = (sent..=sent + wait).any(is_away);
                let end = sent + wait + if swallowed { 1500 } else { 4 };
                ends.push((end, wait == 0, sent, swallowed));
                sent = end + if swallowed { 700 } else { pause };
            }
        }
        ends.sort_unstable();
        let mut gateway = Gateway::new();
        let mut first_answer = None;
        for (end, _, sent, swallowed) in ends {
            if swallowed {
                gateway.fail(sent);
            } else {
                gateway.read(end, vec![]);
                if last <= end {
                    first_answer.get_or_insert(end);
                }
            }
            let grace_end = first_answer.map(|at| at + GRACE_MS);
            if grace_end.is_some_and(|at| at <= end) {
                let after_outage = gateway.outage.affects_registrations(gateway.at(end));
                prop_assert!(!after_outage, "at {end}, last outage until {last}");
            }
            prop_assert!(end <= sent + READ_TIME_MS);
        }
    }
}

//! Many clients send the same crashing request at once through many entries. The registry
//! must limit how many endpoints it crashes.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use goldcrestpitch::core::{
    ids::AttemptId,
    quarantine::{AttemptEnd, Permit, QuarantineRegistry},
};

const ENDPOINTS: usize = 12;
const SEEDS: u64 = 2000;

/// State of a client that sends the request, crashes its endpoint and tries again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Client {
    Asking,
    Running(usize),
    Ended,
}

/// Runs one random schedule and returns the crashed endpoints.
fn schedule(seed: u64, with_registry: bool) -> BTreeSet<usize> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut registry = QuarantineRegistry::new(2);
    let now = Instant::now();
    let count = rng.usize(2..8);
    let mut clients = vec![Client::Asking; count];
    let mut attempts = vec![0; count];
    let mut crashed = BTreeSet::new();
    for step in 0..2000u64 {
        let i = rng.usize(..count);
        let attempt: AttemptId = format!("{i}.{}", attempts[i]).into();
        let at = now + Duration::from_millis(step);
        clients[i] = match clients[i] {
            Client::Asking => {
                let permit = if with_registry {
                    registry.request_permit(at, 7, &attempt)
                } else {
                    Permit::Proven
                };
                match permit {
                    Permit::Proven => Client::Running(rng.usize(..ENDPOINTS)),
                    Permit::First => {
                        let endpoint = rng.usize(..ENDPOINTS);
                        registry.set_endpoint(7, &attempt, &format!("e{endpoint}").into());
                        Client::Running(endpoint)
                    }
                    Permit::Follow(name) => match name.trim_start_matches('e').parse() {
                        // A crashed endpoint admits no request, so the client asks again.
                        Ok(endpoint) if crashed.contains(&endpoint) => Client::Asking,
                        Ok(endpoint) => Client::Running(endpoint),
                        Err(_) => Client::Ended,
                    },
                    Permit::Wait => Client::Asking,
                    Permit::Quarantined(_) => Client::Ended,
                }
            }
            Client::Running(endpoint) => {
                crashed.insert(endpoint);
                let name = format!("e{endpoint}").into();
                registry.end_attempt(7, &attempt, &AttemptEnd::Crashed(name));
                attempts[i] += 1;
                Client::Asking
            }
            Client::Ended => Client::Ended,
        };
    }
    crashed
}

#[test]
fn one_request_crashes_at_most_two_endpoints() {
    println!("seeds 0..{SEEDS}");
    for seed in 0..SEEDS {
        let crashed = schedule(seed, true);
        assert!(crashed.len() <= 2, "seed {seed}: endpoints {crashed:?} crashed");
    }
}

/// Shows that the test above can fail: without the registry the same schedules crash
/// more endpoints.
#[test]
fn more_endpoints_crash_without_the_registry() {
    assert!((0..50).any(|seed| 2 < schedule(seed, false).len()));
}

#[test]
fn a_follower_becomes_the_leader_when_the_first_attempt_ends() {
    let now = Instant::now();
    let mut registry = QuarantineRegistry::new(2);
    let [a, b, c]: [AttemptId; 3] = ["a".into(), "b".into(), "c".into()];
    assert_eq!(registry.request_permit(now, 7, &a), Permit::First);
    registry.set_endpoint(7, &a, &"e1".into());
    assert_eq!(registry.request_permit(now, 7, &b), Permit::Follow("e1".into()));
    registry.end_attempt(7, &a, &AttemptEnd::Other);
    assert_eq!(registry.request_permit(now, 7, &c), Permit::Follow("e1".into()));
    registry.end_attempt(7, &b, &AttemptEnd::Other);
    registry.end_attempt(7, &c, &AttemptEnd::Other);
    assert!(registry.is_empty());
}

#[test]
fn attempt_without_reported_end_expires() {
    let now = Instant::now();
    let mut registry = QuarantineRegistry::new(2);
    assert_eq!(registry.request_permit(now, 7, &"a".into()), Permit::First);
    assert_eq!(registry.request_permit(now, 7, &"b".into()), Permit::Wait);
    let later = now + Duration::from_secs(61);
    assert_eq!(registry.request_permit(later, 7, &"c".into()), Permit::First);
}

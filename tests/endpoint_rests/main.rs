//! Endpoints that ask gateways for rest, in virtual time with random schedules of bursts and
//! queues. Each schedule follows from its seed.

mod fleet;

use std::thread;

use fleet::{Fleet, Outcome};

const SCHEDULES: u64 = 10_000;
const THREADS: u64 = 4;
/// Requests that may reach an endpoint in a rest, by the platform's rules.
const MAX_IN_REST: usize = 2;

fn broken(
    fleet: impl Fn(u64) -> Fleet + Sync,
    is_broken: impl Fn(&Outcome) -> bool + Sync,
) -> Vec<u64> {
    println!("seeds 0..{SCHEDULES}");
    let range = |t: u64| t * SCHEDULES / THREADS..(t + 1) * SCHEDULES / THREADS;
    let (fleet, is_broken) = (&fleet, &is_broken);
    thread::scope(|scope| {
        let spawn = |t| {
            let play = move || range(t).filter(|s| is_broken(&fleet(*s).play())).collect();
            scope.spawn(play)
        };
        let threads: Vec<_> = (0..THREADS).map(spawn).collect();
        let seeds = threads.into_iter().map(|t| t.join().expect("a schedule panicked"));
        seeds.flat_map(|seeds: Vec<u64>| seeds).collect()
    })
}

#[test]
fn endpoint_gets_at_most_two_requests_in_a_rest() {
    let exceeds = |o: &Outcome| o.most_in_rest().is_some_and(|count| MAX_IN_REST < count);
    assert_eq!(broken(Fleet::new, exceeds), [0; 0]);
}

#[test]
fn requests_are_refused_only_while_all_endpoints_rest_or_are_full() {
    assert_eq!(broken(Fleet::new, |o| 0 < o.refused_beside_room), [0; 0]);
}

#[test]
fn endpoint_serves_within_a_second_of_the_end_of_its_rest() {
    assert_eq!(broken(Fleet::new, |o| 0 < o.not_served_after_rest), [0; 0]);
}

/// Shows that the check can fail: a gateway that does not hear of rests sends on.
#[test]
fn without_rests_endpoints_get_more_requests() {
    let exceeds = |o: &Outcome| o.most_in_rest().is_some_and(|count| MAX_IN_REST < count);
    assert_ne!(broken(|seed| Fleet::new(seed).deaf(), exceeds), [0; 0]);
}

//! Gateways that share the request rates which endpoints name, in virtual time with random
//! schedules.
//!
//! Endpoints name, change and withdraw rates; load is uneven and comes in bursts. Gateways
//! start, stop, freeze, are cut off and lose datagrams. Each schedule follows from its seed.

mod fleet;
mod outcome;
mod statements;

use std::thread;

use fleet::{Fleet, Trouble};
use outcome::Outcome;

const SCHEDULES: u64 = 10_000;
const THREADS: u64 = 4;
/// Served share of a rate below which an endpoint with enough demand counts as starved.
const MIN_SERVED_SHARE: f64 = 0.7;

/// Plays the schedules and returns the seeds that `is_broken` selects.
fn broken(
    play: impl Fn(u64) -> Outcome + Sync,
    is_broken: impl Fn(&Outcome) -> bool + Sync,
) -> Vec<u64> {
    println!("seeds 0..{SCHEDULES}");
    let range = |t: u64| t * SCHEDULES / THREADS..(t + 1) * SCHEDULES / THREADS;
    let (play, is_broken) = (&play, &is_broken);
    thread::scope(|scope| {
        let spawn = |t| {
            scope.spawn(move || range(t).filter(|s| is_broken(&play(*s))).collect::<Vec<u64>>())
        };
        let threads: Vec<_> = (0..THREADS).map(spawn).collect();
        threads.into_iter().flat_map(|t| t.join().expect("a schedule panicked")).collect()
    })
}

fn exceeds(outcome: &Outcome) -> bool {
    outcome.excess().is_some()
}

#[test]
fn calm_gateways_keep_the_rate_of_an_endpoint() {
    assert_eq!(broken(|seed| Fleet::new(seed, Trouble::default()).play(), exceeds), [0; 0]);
}

#[test]
fn disturbed_gateways_keep_the_rate_of_an_endpoint() {
    let play = |seed| Fleet::new(seed, Trouble::random(seed)).play();
    assert_eq!(broken(play, exceeds), [0; 0]);
}

#[test]
fn endpoint_with_enough_demand_is_served_close_to_its_rate() {
    let starved = |outcome: &Outcome| outcome.served_share().is_some_and(|s| s < MIN_SERVED_SHARE);
    assert_eq!(broken(|seed| Fleet::steady(seed).play(), starved), [0; 0]);
}

/// Shows that the checks can fail: gateways that hear nothing of each other exceed the rate.
#[test]
fn without_reports_the_rate_is_exceeded() {
    let trouble = Trouble { loss: 1.0, ..Trouble::default() };
    assert!((0..200).any(|seed| exceeds(&Fleet::new(seed, trouble).play())));
}

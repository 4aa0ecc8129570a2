//! Seeded concurrent schedules of the claim protocol. The plain service's own
//! count of runs and a linearizability checker are the judges.

mod history;
mod world;

use world::{Faults, Planted, Tally, World};

const SEEDS: u64 = 1500;

const NONE: Faults = Faults::none();

fn scenarios() -> Vec<(&'static str, Faults)> {
    vec![
        ("no fault", NONE),
        ("entry dies", Faults { entry_dies: 25, ..NONE }),
        ("agent dies", Faults { agent_dies: 25, ..NONE }),
        ("log down at times", Faults { log_down: 25, ..NONE }),
        ("append answers lost", Faults { append_lost: 30, ..NONE }),
        ("messages lost or late", Faults { message_lost: 15, ..NONE }),
        ("holders paused", Faults { paused: 10, ..NONE }),
        ("service breaks", Faults { service_breaks: 10, ..NONE }),
        (
            "all together",
            Faults {
                entry_dies: 10,
                agent_dies: 10,
                log_down: 10,
                append_lost: 15,
                message_lost: 10,
                paused: 5,
                service_breaks: 5,
                refuses: 10,
            },
        ),
    ]
}

fn run(faults: Faults, planted: Planted, seeds: std::ops::Range<u64>) -> Tally {
    let mut tally = Tally::default();
    for seed in seeds {
        let end = World::new(seed, faults, planted).run();
        tally.add(&end, seed);
    }
    tally
}

#[test]
fn no_key_runs_twice_and_not_run_is_true() {
    println!("seeds 0..{SEEDS} a scenario; share of calls answered, calls, unknown, not run");
    for (name, faults) in scenarios() {
        let tally = run(faults, Planted::Nothing, 0..SEEDS);
        assert_eq!(tally.violations, Vec::<String>::new(), "{name}");
        assert!(SEEDS < tally.answered, "{name}: {} answered", tally.answered);
        println!(
            "{name:24} {:5.1}% {:6} {:5} {:5}",
            tally.answered as f64 * 100.0 / tally.calls as f64,
            tally.calls,
            tally.unknown,
            tally.not_run
        );
    }
}

#[test]
fn judges_catch_planted_faults() {
    let all = scenarios().pop().map(|(_, faults)| faults).unwrap_or(NONE);
    for planted in [Planted::FenceForgets, Planted::EveryClaimWins, Planted::NoTicketCheck] {
        let tally = run(all, planted, 0..SEEDS);
        assert!(!tally.violations.is_empty(), "{planted:?} was not noticed");
    }
}

//! Simulates seeded concurrent schedules of the claim protocol. The number of runs
//! counted by the service and a linearizability checker decide whether a schedule
//! violates at-most-once execution.

mod history;
mod simulation;

use simulation::{Faults, InjectedBug, Simulation, Totals};

const SEEDS: u64 = 1500;

const NONE: Faults = Faults::none();

fn scenarios() -> Vec<(&'static str, Faults)> {
    vec![
        ("no fault", NONE),
        ("entry crashes", Faults { entry_crash: 25, ..NONE }),
        ("agent restarts", Faults { agent_restart: 25, ..NONE }),
        ("log unavailable at times", Faults { log_outage: 25, ..NONE }),
        ("append responses lost", Faults { append_lost: 30, ..NONE }),
        ("messages lost or delayed", Faults { message_lost: 15, ..NONE }),
        ("entries paused", Faults { entry_pause: 10, ..NONE }),
        ("service fails", Faults { service_failure: 10, ..NONE }),
        (
            "all together",
            Faults {
                entry_crash: 10,
                agent_restart: 10,
                log_outage: 10,
                append_lost: 15,
                message_lost: 10,
                entry_pause: 5,
                service_failure: 5,
                refusal: 10,
            },
        ),
    ]
}

fn run(faults: Faults, bug: InjectedBug, seeds: std::ops::Range<u64>) -> Totals {
    let mut totals = Totals::default();
    for seed in seeds {
        let result = Simulation::new(seed, faults, bug).run();
        totals.add(&result, seed);
    }
    totals
}

#[test]
fn no_key_runs_twice_and_not_run_is_reported_correctly() {
    println!("seeds 0..{SEEDS} a scenario; share of calls answered, calls, unknown, not run");
    for (name, faults) in scenarios() {
        let totals = run(faults, InjectedBug::None, 0..SEEDS);
        assert_eq!(totals.violations, Vec::<String>::new(), "{name}");
        assert!(SEEDS < totals.answered, "{name}: {} answered", totals.answered);
        println!(
            "{name:24} {:5.1}% {:6} {:5} {:5}",
            totals.answered as f64 * 100.0 / totals.calls as f64,
            totals.calls,
            totals.unknown,
            totals.not_run
        );
    }
}

#[test]
fn checkers_detect_injected_bugs() {
    let all_faults = scenarios().pop().map(|(_, faults)| faults).unwrap_or(NONE);
    for bug in
        [InjectedBug::FenceNotRecorded, InjectedBug::EveryClaimWins, InjectedBug::NoAdmissionCheck]
    {
        let totals = run(all_faults, bug, 0..SEEDS);
        assert!(!totals.violations.is_empty(), "{bug:?} was not detected");
    }
}

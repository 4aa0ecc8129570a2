//! The retries of gateways that find each other only by the directory in the store, in virtual
//! time. Every schedule prints its seed when it fails.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use goldcrestpitch::core::forwarding::{RetryBudget, RetryShare, ShareReport};

const SEEDS: u64 = 200;
const RATIO: f64 = 0.2;
const WINDOW_MS: u64 = 10_000;
const STEP_MS: u64 = 20;
const STATUS_INTERVAL_MS: u64 = 800;
/// Traffic starts so long after the gateways.
const TRAFFIC_MS: u64 = 10_000;
const DAY_MS: u64 = 90_000;
/// Longest time from the decision on a retry to its arrival.
const MAX_DELAY_MS: u64 = 500;
/// Ids of gateways that are gone, in settings or in the directory.
const GONE: u64 = 1000;

struct Gateway {
    id: u64,
    starts_at: u64,
    // When the store first answers it.
    registers_at: u64,
    seeds: Vec<u64>,
    running: Option<Running>,
}

struct Running {
    budget: RetryBudget,
    share: RetryShare,
    known: BTreeSet<u64>,
}

struct Fleet {
    rng: fastrand::Rng,
    start: Instant,
    now: u64,
    slack: f64,
    first_start: bool,
    gateways: Vec<Gateway>,
    directory: BTreeSet<u64>,
    requests: Vec<u64>,
    arrivals: Vec<u64>,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let count = rng.u64(2..=12);
        let first_start = rng.bool();
        let stale = if first_start { 0 } else { rng.u64(0..3) };
        let directory = (0..stale).map(|i| GONE + i).collect();
        let seeds: Vec<u64> = (0..rng.u64(1..=3))
            .map(|i| if rng.f64() < 0.7 { GONE + 100 + i } else { rng.u64(..count) })
            .collect();
        let gateways = (0..count).map(|id| {
            let starts_at = rng.u64(..=300);
            let waits = if rng.f64() < 0.2 { rng.u64(..8000) } else { rng.u64(5..50) };
            let seeds = seeds.iter().copied().filter(|seed| *seed != id).collect();
            Gateway { id, starts_at, registers_at: starts_at + waits, seeds, running: None }
        });
        let gateways = gateways.collect();
        let slack = rng.u64(20..=180) as f64;
        Self {
            rng,
            start: Instant::now(),
            now: 0,
            slack,
            first_start,
            gateways,
            directory,
            requests: Vec::new(),
            arrivals: Vec::new(),
        }
    }

    fn play(&mut self) {
        let rate = self.rng.f64() * 12.0 + 0.5;
        while self.now < DAY_MS {
            self.now += STEP_MS;
            self.start_and_register();
            if self.now.is_multiple_of(STATUS_INTERVAL_MS) {
                self.talk();
            }
            if TRAFFIC_MS <= self.now {
                self.serve(rate);
            }
        }
        self.arrivals.sort_unstable();
    }

    fn at(&self) -> Instant {
        self.start + Duration::from_millis(self.now)
    }

    fn start_and_register(&mut self) {
        let (at, step) = (self.at(), self.now - STEP_MS..self.now);
        for gateway in &mut self.gateways {
            if step.contains(&gateway.starts_at) {
                let window = Duration::from_millis(WINDOW_MS);
                let seeds = gateway.seeds.iter().copied();
                gateway.running = Some(Running {
                    budget: RetryBudget::new(RATIO, window, self.slack),
                    share: RetryShare::new(at, window, seeds, self.first_start).with_directory(),
                    known: gateway.seeds.iter().copied().collect(),
                });
            }
            let Some(running) = &mut gateway.running else { continue };
            if step.contains(&gateway.registers_at) {
                self.directory.insert(gateway.id);
                let others: Vec<u64> =
                    self.directory.iter().copied().filter(|id| *id != gateway.id).collect();
                running.share.record_directory(others.iter().copied());
                running.known.extend(others);
            }
        }
    }

    /// Each gateway sends its report to those that it knows, which know it from then on.
    fn talk(&mut self) {
        let at = self.at();
        let running = self.gateways.iter().filter_map(|g| Some((g.id, g.running.as_ref()?)));
        let reports: Vec<(u64, ShareReport, BTreeSet<u64>)> =
            running.map(|(id, r)| (id, r.share.report(), r.known.clone())).collect();
        for gateway in &mut self.gateways {
            let Some(running) = &mut gateway.running else { continue };
            for (id, report, _) in reports.iter().filter(|(.., known)| known.contains(&gateway.id))
            {
                running.share.record(at, *id, *report);
                running.known.insert(*id);
            }
            running.share.update(at);
        }
    }

    fn serve(&mut self, per_s: f64) {
        let at = self.at();
        for running in self.gateways.iter_mut().filter_map(|g| g.running.as_mut()) {
            let expected = per_s * STEP_MS as f64 / 1e3;
            if self.rng.f64() < expected {
                running.budget.record_request(at);
                self.requests.push(self.now);
            }
            let mut wanted = expected * 4.0;
            while self.rng.f64() < wanted {
                wanted -= 1.0;
                if running.budget.try_take(at, running.share.processes(at)) {
                    self.arrivals.push(self.now + self.rng.u64(..MAX_DELAY_MS));
                }
            }
        }
    }

    /// What the windows that begin at `from` allow, by the platform's rules.
    fn allowed(&self, from: u64) -> f64 {
        let starts = [from, from.saturating_sub(WINDOW_MS), from.saturating_sub(WINDOW_MS / 2)];
        let most = starts.into_iter().map(|s| within(&self.requests, s)).max().unwrap_or(0);
        RATIO * most as f64 + self.slack
    }
}

fn within(sorted: &[u64], from: u64) -> usize {
    sorted.partition_point(|at| *at < from + WINDOW_MS) - sorted.partition_point(|at| *at < from)
}

// Guards against an allowance that gateways spend several times, since none hears of the others.
#[test]
fn gateways_that_meet_by_the_directory_stay_within_the_shared_budget() {
    println!("seeds 0..{SEEDS}");
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        fleet.play();
        for from in &fleet.arrivals {
            let (count, allowed) = (within(&fleet.arrivals, *from), fleet.allowed(*from));
            assert!(count as f64 <= allowed, "seed {seed}: {count} of {allowed} from {from}");
        }
    }
}

// Guards against gateways that are left without retries for good, since they wait for gateways
// that are gone.
#[test]
fn gateways_divide_the_allowance_among_those_that_live_a_minute_after_their_start() {
    println!("seeds 0..{SEEDS}");
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        fleet.play();
        let (at, count) = (fleet.at(), fleet.gateways.len());
        for running in fleet.gateways.iter().filter_map(|g| g.running.as_ref()) {
            assert_eq!(running.share.processes(at), count, "seed {seed}");
        }
    }
}

// Guards against a survivor that waits for good for those that the directory still lists.
#[test]
fn survivor_of_a_fleet_gets_its_part_after_a_minute_and_all_parts_after_an_hour() {
    let (start, secs) = (Instant::now(), Duration::from_secs);
    let window = Duration::from_millis(WINDOW_MS);
    let mut share = RetryShare::new(start, window, [GONE], false).with_directory();
    share.record_directory([GONE, GONE + 1, GONE + 2]);
    share.update(start + secs(59));
    assert_eq!(share.processes(start + secs(59)), usize::MAX);
    share.update(start + secs(60));
    assert_eq!(share.processes(start + secs(60)), 4);
    share.update(start + secs(3600));
    assert_eq!(share.processes(start + secs(3600)), 1);
}

// Guards against a part that is used twice: a gateway that has just started, and whose messages do
// not arrive, is known from the directory before it has a part.
#[test]
fn gateway_that_is_only_listed_keeps_its_part() {
    let start = Instant::now();
    let mut share = RetryShare::new(start, Duration::from_millis(WINDOW_MS), [], true);
    share.record_started(start, 7);
    let later = start + Duration::from_secs(600);
    share.update(later);
    assert_eq!(share.processes(later), 2);
}

//! Ways to choose an endpoint, on one load with bursts and unequal endpoints,
//! in virtual time.
//!
//! A request goes to the batch of its endpoint at once or waits in its queue;
//! an endpoint's time to the first token grows with its batch.

use std::{collections::BinaryHeap, io};

const ENDPOINTS: usize = 18;
const ENTRIES: usize = 6;
const SLOTS: usize = 16;
const REQUESTS: usize = 40_000;
const SEEDS: [u64; 3] = [1, 2, 3];
const TARGET_MS: f64 = 1200.0;
const REPORT_EVERY_MS: f64 = 500.0;
const RUN_MS: f64 = 1600.0;
const PREFIXES: u64 = 60;
const CACHED: usize = 8;
const PROBE_BYTES: f64 = 185.0;
const REPORT_BYTES: f64 = 90.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Random,
    OwnInFlight,
    LaggingReports,
    Probe(usize),
    Affinity(usize),
    RefusalWithHint,
    RefusalFresh,
}

const WAYS: [(Way, &str); 9] = [
    (Way::Random, "random"),
    (Way::OwnInFlight, "own in-flight, least"),
    (Way::LaggingReports, "reports every 500 ms, least"),
    (Way::Probe(2), "probe 2 of all"),
    (Way::Probe(3), "probe 3 of all"),
    // The way that entries use.
    (Way::Affinity(2), "probe 2 by affinity, 4 at most"),
    (Way::Affinity(ENDPOINTS), "probe by affinity until one is free"),
    (Way::RefusalWithHint, "affinity, refusal names a better"),
    (Way::RefusalFresh, "affinity, refusal, fresh choice"),
];

/// Measures and prints a table.
pub(super) async fn run() -> io::Result<()> {
    println!(
        "{ENDPOINTS} endpoints (a third half as fast), {ENTRIES} entries, {REQUESTS} requests a \
         seed, seeds {SEEDS:?}; load 70% with bursts to 130%"
    );
    println!(
        "{:<36} {:>9} {:>9} {:>8} {:>8} {:>8} {:>8} {:>10}",
        "way", "attained", "refused", "p50 ms", "p95 ms", "p99 ms", "cached", "B/request"
    );
    for (way, name) in WAYS {
        let mut all: Vec<f64> = Vec::new();
        let (mut cached, mut bytes, mut refused) = (0.0, 0.0, 0.0);
        for seed in SEEDS {
            let mut world = World::new(seed, way);
            world.run();
            cached += world.hits as f64 / REQUESTS as f64 / SEEDS.len() as f64;
            bytes += world.bytes / REQUESTS as f64 / SEEDS.len() as f64;
            refused += world.refused as f64;
            all.extend(world.first_tokens);
        }
        all.sort_by(f64::total_cmp);
        let at = |share: f64| all[((all.len() - 1) as f64 * share) as usize];
        let asked = (REQUESTS * SEEDS.len()) as f64;
        let attained = all.iter().filter(|t| **t <= TARGET_MS).count() as f64 / asked;
        println!(
            "{name:<36} {:>8.2}% {:>8.2}% {:>8.0} {:>8.0} {:>8.0} {:>7.1}% {bytes:>10.0}",
            attained * 100.0,
            refused / asked * 100.0,
            at(0.5),
            at(0.95),
            at(0.99),
            cached * 100.0
        );
    }
    Ok(())
}

#[derive(Clone, Debug, Default)]
struct Endpoint {
    slowness: f64,
    running: usize,
    queue: std::collections::VecDeque<(f64, u64)>,
    reported: usize,
    cache: std::collections::VecDeque<u64>,
}

impl Endpoint {
    fn load(&self) -> f64 {
        (self.running + self.queue.len()) as f64 * self.slowness
    }
}

struct World {
    way: Way,
    rng: fastrand::Rng,
    endpoints: Vec<Endpoint>,
    in_flight: Vec<Vec<usize>>,
    // Ends of runs: time (negated for the heap order), endpoint, entry.
    ends: BinaryHeap<(std::cmp::Reverse<u64>, usize, usize)>,
    first_tokens: Vec<f64>,
    hits: u64,
    refused: u64,
    bytes: f64,
}

impl World {
    fn new(seed: u64, way: Way) -> Self {
        let endpoint = |i: usize| Endpoint {
            slowness: if i.is_multiple_of(3) { 2.0 } else { 1.0 },
            ..Endpoint::default()
        };
        Self {
            way,
            rng: fastrand::Rng::with_seed(seed),
            endpoints: (0..ENDPOINTS).map(endpoint).collect(),
            in_flight: vec![vec![0; ENDPOINTS]; ENTRIES],
            ends: BinaryHeap::new(),
            first_tokens: Vec::with_capacity(REQUESTS),
            hits: 0,
            refused: 0,
            bytes: 0.0,
        }
    }

    fn run(&mut self) {
        let (mut now, mut next_report) = (0.0, 0.0);
        // A slot serves a request in about two seconds; a slow one in four.
        let capacity: f64 = self.endpoints.iter().map(|e| SLOTS as f64 / (2.0 * e.slowness)).sum();
        for i in 0..REQUESTS {
            let burst = (i / 2000) % 4 == 3;
            let rate = capacity * if burst { 1.3 } else { 0.5 };
            now += -self.rng.f64().max(1e-12).ln() / rate * 1000.0;
            self.finish_until(now);
            while next_report <= now {
                self.report();
                next_report += REPORT_EVERY_MS;
            }
            let prefix = (self.rng.f64().powi(3) * PREFIXES as f64) as u64;
            let entry = self.rng.usize(..ENTRIES);
            let chosen = self.choose(entry, prefix);
            self.arrive(now, entry, chosen, prefix);
        }
        self.finish_until(f64::MAX);
    }

    fn report(&mut self) {
        if self.way == Way::LaggingReports {
            self.bytes += REPORT_BYTES * (ENDPOINTS * ENTRIES) as f64;
        }
        for e in &mut self.endpoints {
            e.reported = e.running + e.queue.len();
        }
    }

    fn ranked(&self, prefix: u64) -> Vec<usize> {
        let mut all: Vec<usize> = (0..ENDPOINTS).collect();
        all.sort_by_key(|e| {
            std::cmp::Reverse(crate::core::hash::stable(&[&prefix.to_le_bytes(), &e.to_le_bytes()]))
        });
        all
    }

    fn least(&mut self, among: &[usize], value: impl Fn(&Self, usize) -> f64) -> usize {
        let best = among.iter().copied().min_by(|a, b| value(self, *a).total_cmp(&value(self, *b)));
        best.unwrap_or(0)
    }

    fn choose(&mut self, entry: usize, prefix: u64) -> usize {
        let all: Vec<usize> = (0..ENDPOINTS).collect();
        match self.way {
            Way::Random => self.rng.usize(..ENDPOINTS),
            Way::OwnInFlight => self.least(&all, |w, e| w.in_flight[entry][e] as f64),
            Way::LaggingReports => {
                self.least(&all, |w, e| (w.endpoints[e].reported + w.in_flight[entry][e]) as f64)
            }
            Way::Probe(d) => {
                let mut among = all;
                self.rng.shuffle(&mut among);
                self.bytes += PROBE_BYTES * d as f64;
                self.least(&among[..d], |w, e| w.endpoints[e].load())
            }
            Way::Affinity(batches) => {
                let ranked = self.ranked(prefix);
                let mut asked = 0;
                for pair in ranked.chunks(2).take(batches) {
                    asked += pair.len();
                    self.bytes += PROBE_BYTES * pair.len() as f64;
                    let free: Vec<usize> = pair
                        .iter()
                        .copied()
                        .filter(|e| self.endpoints[*e].running < SLOTS)
                        .collect();
                    if !free.is_empty() {
                        return self.least(&free, |w, e| w.endpoints[e].load());
                    }
                }
                self.least(&ranked[..asked], |w, e| w.endpoints[e].load())
            }
            Way::RefusalWithHint | Way::RefusalFresh => self.after_refusals(prefix),
        }
    }

    /// Goes to the first by affinity, which refuses when it is full. A hint names
    /// the endpoint that the refusing agent last heard to be least loaded.
    fn after_refusals(&mut self, prefix: u64) -> usize {
        let ranked = self.ranked(prefix);
        let mut at = ranked[0];
        for next in ranked.into_iter().skip(1).take(8) {
            self.bytes += PROBE_BYTES;
            if self.endpoints[at].running < SLOTS {
                return at;
            }
            at = match self.way {
                Way::RefusalWithHint => {
                    let all: Vec<usize> = (0..ENDPOINTS).filter(|e| *e != at).collect();
                    self.least(&all, |w, e| w.endpoints[e].reported as f64)
                }
                _ => next,
            };
        }
        at
    }

    fn arrive(&mut self, now: f64, entry: usize, chosen: usize, prefix: u64) {
        self.in_flight[entry][chosen] += 1;
        let packed = prefix * ENTRIES as u64 + entry as u64;
        let e = &mut self.endpoints[chosen];
        if e.running < SLOTS {
            self.start(now, now, chosen, packed);
        } else if e.queue.len() as f64 * RUN_MS * e.slowness / SLOTS as f64 <= TARGET_MS {
            e.queue.push_back((now, packed));
        } else {
            // Refused at once: it could not start in time.
            self.in_flight[entry][chosen] -= 1;
            self.refused += 1;
        }
    }

    fn start(&mut self, arrived: f64, now: f64, chosen: usize, packed: u64) {
        let (prefix, entry) = (packed / ENTRIES as u64, (packed % ENTRIES as u64) as usize);
        let work = 0.5 + self.rng.f64();
        let e = &mut self.endpoints[chosen];
        e.running += 1;
        let found = e.cache.iter().position(|p| *p == prefix);
        if let Some(i) = found {
            e.cache.remove(i);
            self.hits += 1;
        }
        e.cache.push_back(prefix);
        if CACHED < e.cache.len() {
            e.cache.pop_front();
        }
        let batch = 1.0 + e.running as f64 / SLOTS as f64;
        let prefill = if found.is_some() { 80.0 } else { 200.0 } * e.slowness * batch;
        let total = prefill + 800.0 * work * e.slowness * batch;
        self.first_tokens.push(now - arrived + prefill);
        let end = std::cmp::Reverse(((now + total) * 1000.0) as u64);
        self.ends.push((end, chosen, entry));
    }

    fn finish_until(&mut self, now: f64) {
        while let Some((end, chosen, entry)) = self.ends.peek().copied() {
            let at = end.0 as f64 / 1000.0;
            if now < at {
                return;
            }
            self.ends.pop();
            self.endpoints[chosen].running -= 1;
            self.in_flight[entry][chosen] -= 1;
            while let Some((arrived, packed)) = self.endpoints[chosen].queue.pop_front() {
                if at - arrived <= TARGET_MS {
                    self.start(arrived, at, chosen, packed);
                    break;
                }
                // It can no longer start in time.
                self.in_flight[(packed % ENTRIES as u64) as usize][chosen] -= 1;
                self.refused += 1;
            }
        }
    }
}

//! Compares routing policies in a simulation with virtual time, on the same load with
//! bursts and endpoints of different speed.
//!
//! A request joins the batch of its endpoint at once or waits in the endpoint's queue. The
//! time to the first token of an endpoint grows with its batch.

use std::{collections::BinaryHeap, io};

const ENDPOINTS: usize = 18;
const ENTRIES: usize = 6;
const SLOTS: usize = 16;
const REQUESTS: usize = 40_000;
const SEEDS: [u64; 3] = [1, 2, 3];
const TARGET_MS: f64 = 1200.0;
const REPORT_INTERVAL_MS: f64 = 500.0;
const ESTIMATED_RUN_MS: f64 = 1600.0;
const PREFIXES: u64 = 60;
const CACHED_PREFIXES: usize = 8;
const PROBE_BYTES: f64 = 185.0;
const REPORT_BYTES: f64 = 90.0;

/// How an entry selects the endpoint of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    /// A random endpoint.
    Random,
    /// The endpoint with the fewest requests in flight from this entry.
    LeastInFlight,
    /// The endpoint with the fewest requests by its last report and this entry's own count.
    LeastReported,
    /// The least loaded of this number of random endpoints, which are probed.
    Probe(usize),
    /// Probes pairs of endpoints in the order of prefix affinity, at most this number of
    /// pairs, until one has a free slot.
    Affinity(usize),
    /// The first endpoint by affinity; after a refusal the one that the refusing agent
    /// names as having the fewest requests.
    RefusalWithHint,
    /// The first endpoint by affinity; after a refusal the next by affinity.
    RefusalThenNext,
}

const POLICIES: [(Policy, &str); 9] = [
    (Policy::Random, "random"),
    (Policy::LeastInFlight, "least in flight from this entry"),
    (Policy::LeastReported, "least by reports every 500 ms"),
    (Policy::Probe(2), "probe 2 of all"),
    (Policy::Probe(3), "probe 3 of all"),
    // The policy that entries use.
    (Policy::Affinity(2), "probe 2 by affinity, 4 at most"),
    (Policy::Affinity(ENDPOINTS), "probe by affinity until one is free"),
    (Policy::RefusalWithHint, "affinity, refusal names a better one"),
    (Policy::RefusalThenNext, "affinity, next after a refusal"),
];

/// Runs the simulations and prints a table.
pub(super) async fn run() -> io::Result<()> {
    println!(
        "{ENDPOINTS} endpoints (a third of them half as fast), {ENTRIES} entries, {REQUESTS} \
         requests per seed, seeds {SEEDS:?}; load 70% with bursts to 130%"
    );
    println!(
        "{:<36} {:>9} {:>9} {:>8} {:>8} {:>8} {:>8} {:>10}",
        "policy", "attained", "refused", "p50 ms", "p95 ms", "p99 ms", "cached", "B/request"
    );
    for (policy, name) in POLICIES {
        let mut all: Vec<f64> = Vec::new();
        let (mut cached, mut bytes, mut refused) = (0.0, 0.0, 0.0);
        for seed in SEEDS {
            let mut simulation = Simulation::new(seed, policy);
            simulation.run();
            cached += simulation.cache_hits as f64 / REQUESTS as f64 / SEEDS.len() as f64;
            bytes += simulation.bytes / REQUESTS as f64 / SEEDS.len() as f64;
            refused += simulation.refused as f64;
            all.extend(simulation.first_tokens);
        }
        all.sort_by(f64::total_cmp);
        let quantile = |q: f64| all[((all.len() - 1) as f64 * q) as usize];
        let requests = (REQUESTS * SEEDS.len()) as f64;
        let attained = all.iter().filter(|t| **t <= TARGET_MS).count() as f64 / requests;
        println!(
            "{name:<36} {:>8.2}% {:>8.2}% {:>8.0} {:>8.0} {:>8.0} {:>7.1}% {bytes:>10.0}",
            attained * 100.0,
            refused / requests * 100.0,
            quantile(0.5),
            quantile(0.95),
            quantile(0.99),
            cached * 100.0
        );
    }
    Ok(())
}

#[derive(Clone, Debug, Default)]
struct Endpoint {
    slowdown: f64,
    running: usize,
    queue: std::collections::VecDeque<(f64, u64)>,
    reported: usize,
    cache: std::collections::VecDeque<u64>,
}

impl Endpoint {
    /// Running and queued requests, weighted by the slowdown.
    fn load(&self) -> f64 {
        (self.running + self.queue.len()) as f64 * self.slowdown
    }
}

struct Simulation {
    policy: Policy,
    rng: fastrand::Rng,
    endpoints: Vec<Endpoint>,
    in_flight: Vec<Vec<usize>>,
    // End of each run in microseconds, endpoint, entry; the earliest end is popped first.
    run_ends: BinaryHeap<(std::cmp::Reverse<u64>, usize, usize)>,
    first_tokens: Vec<f64>,
    cache_hits: u64,
    refused: u64,
    bytes: f64,
}

impl Simulation {
    fn new(seed: u64, policy: Policy) -> Self {
        let endpoint = |i: usize| Endpoint {
            slowdown: if i.is_multiple_of(3) { 2.0 } else { 1.0 },
            ..Endpoint::default()
        };
        Self {
            policy,
            rng: fastrand::Rng::with_seed(seed),
            endpoints: (0..ENDPOINTS).map(endpoint).collect(),
            in_flight: vec![vec![0; ENDPOINTS]; ENTRIES],
            run_ends: BinaryHeap::new(),
            first_tokens: Vec::with_capacity(REQUESTS),
            cache_hits: 0,
            refused: 0,
            bytes: 0.0,
        }
    }

    fn run(&mut self) {
        let (mut now, mut next_report) = (0.0, 0.0);
        // A slot serves a request in about two seconds, a slot of a slow endpoint in four.
        let capacity: f64 = self.endpoints.iter().map(|e| SLOTS as f64 / (2.0 * e.slowdown)).sum();
        for i in 0..REQUESTS {
            let burst = (i / 2000) % 4 == 3;
            let rate = capacity * if burst { 1.3 } else { 0.5 };
            now += -self.rng.f64().max(1e-12).ln() / rate * 1000.0;
            self.finish_until(now);
            while next_report <= now {
                self.report();
                next_report += REPORT_INTERVAL_MS;
            }
            let prefix = (self.rng.f64().powi(3) * PREFIXES as f64) as u64;
            let entry = self.rng.usize(..ENTRIES);
            let endpoint = self.select_endpoint(entry, prefix);
            self.admit(now, entry, endpoint, prefix);
        }
        self.finish_until(f64::MAX);
    }

    /// Updates the load that each endpoint last reported.
    fn report(&mut self) {
        if self.policy == Policy::LeastReported {
            self.bytes += REPORT_BYTES * (ENDPOINTS * ENTRIES) as f64;
        }
        for e in &mut self.endpoints {
            e.reported = e.running + e.queue.len();
        }
    }

    /// All endpoints in the order of their affinity to a prefix (rendezvous hashing).
    fn rank_by_affinity(&self, prefix: u64) -> Vec<usize> {
        let mut all: Vec<usize> = (0..ENDPOINTS).collect();
        all.sort_by_key(|e| {
            std::cmp::Reverse(crate::core::hash::stable(&[&prefix.to_le_bytes(), &e.to_le_bytes()]))
        });
        all
    }

    /// The endpoint with the smallest value.
    fn min_by(&mut self, among: &[usize], value: impl Fn(&Self, usize) -> f64) -> usize {
        let best = among.iter().copied().min_by(|a, b| value(self, *a).total_cmp(&value(self, *b)));
        best.unwrap_or(0)
    }

    fn select_endpoint(&mut self, entry: usize, prefix: u64) -> usize {
        let all: Vec<usize> = (0..ENDPOINTS).collect();
        match self.policy {
            Policy::Random => self.rng.usize(..ENDPOINTS),
            Policy::LeastInFlight => self.min_by(&all, |s, e| s.in_flight[entry][e] as f64),
            Policy::LeastReported => {
                self.min_by(&all, |s, e| (s.endpoints[e].reported + s.in_flight[entry][e]) as f64)
            }
            Policy::Probe(count) => {
                let mut among = all;
                self.rng.shuffle(&mut among);
                self.bytes += PROBE_BYTES * count as f64;
                self.min_by(&among[..count], |s, e| s.endpoints[e].load())
            }
            Policy::Affinity(pairs) => {
                let ranked = self.rank_by_affinity(prefix);
                let mut probed = 0;
                for pair in ranked.chunks(2).take(pairs) {
                    probed += pair.len();
                    self.bytes += PROBE_BYTES * pair.len() as f64;
                    let free: Vec<usize> = pair
                        .iter()
                        .copied()
                        .filter(|e| self.endpoints[*e].running < SLOTS)
                        .collect();
                    if !free.is_empty() {
                        return self.min_by(&free, |s, e| s.endpoints[e].load());
                    }
                }
                self.min_by(&ranked[..probed], |s, e| s.endpoints[e].load())
            }
            Policy::RefusalWithHint | Policy::RefusalThenNext => self.select_with_refusals(prefix),
        }
    }

    /// Starts with the first endpoint by affinity; a full endpoint refuses. The hint of a
    /// refusal names the other endpoint with the fewest requests by the last reports. After
    /// eight probes the last choice is taken even if it is full.
    fn select_with_refusals(&mut self, prefix: u64) -> usize {
        let ranked = self.rank_by_affinity(prefix);
        let mut endpoint = ranked[0];
        for next in ranked.into_iter().skip(1).take(8) {
            self.bytes += PROBE_BYTES;
            if self.endpoints[endpoint].running < SLOTS {
                return endpoint;
            }
            endpoint = match self.policy {
                Policy::RefusalWithHint => {
                    let all: Vec<usize> = (0..ENDPOINTS).filter(|e| *e != endpoint).collect();
                    self.min_by(&all, |s, e| s.endpoints[e].reported as f64)
                }
                _ => next,
            };
        }
        endpoint
    }

    /// Starts, queues or refuses a request.
    fn admit(&mut self, now: f64, entry: usize, endpoint: usize, prefix: u64) {
        self.in_flight[entry][endpoint] += 1;
        let packed_request = prefix * ENTRIES as u64 + entry as u64;
        let e = &mut self.endpoints[endpoint];
        if e.running < SLOTS {
            self.start(now, now, endpoint, packed_request);
        } else if e.queue.len() as f64 * ESTIMATED_RUN_MS * e.slowdown / SLOTS as f64 <= TARGET_MS {
            e.queue.push_back((now, packed_request));
        } else {
            // Refused at once, since its expected wait exceeds the target.
            self.in_flight[entry][endpoint] -= 1;
            self.refused += 1;
        }
    }

    /// Adds a request to the batch of an endpoint.
    fn start(&mut self, arrived_at: f64, now: f64, endpoint: usize, packed_request: u64) {
        let (prefix, entry) =
            (packed_request / ENTRIES as u64, (packed_request % ENTRIES as u64) as usize);
        let work = 0.5 + self.rng.f64();
        let e = &mut self.endpoints[endpoint];
        e.running += 1;
        let found = e.cache.iter().position(|p| *p == prefix);
        if let Some(i) = found {
            e.cache.remove(i);
            self.cache_hits += 1;
        }
        e.cache.push_back(prefix);
        if CACHED_PREFIXES < e.cache.len() {
            e.cache.pop_front();
        }
        let batch = 1.0 + e.running as f64 / SLOTS as f64;
        let prefill = if found.is_some() { 80.0 } else { 200.0 } * e.slowdown * batch;
        let total = prefill + 800.0 * work * e.slowdown * batch;
        self.first_tokens.push(now - arrived_at + prefill);
        let end = std::cmp::Reverse(((now + total) * 1000.0) as u64);
        self.run_ends.push((end, endpoint, entry));
    }

    /// Ends the runs up to `now` and starts queued requests in the slots they leave.
    fn finish_until(&mut self, now: f64) {
        while let Some((end, endpoint, entry)) = self.run_ends.peek().copied() {
            let ended_at = end.0 as f64 / 1000.0;
            if now < ended_at {
                return;
            }
            self.run_ends.pop();
            self.endpoints[endpoint].running -= 1;
            self.in_flight[entry][endpoint] -= 1;
            while let Some((arrived_at, packed_request)) =
                self.endpoints[endpoint].queue.pop_front()
            {
                if ended_at - arrived_at <= TARGET_MS {
                    self.start(arrived_at, ended_at, endpoint, packed_request);
                    break;
                }
                // It has waited longer than the target and is refused.
                self.in_flight[(packed_request % ENTRIES as u64) as usize][endpoint] -= 1;
                self.refused += 1;
            }
        }
    }
}

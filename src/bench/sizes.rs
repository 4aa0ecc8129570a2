//! Sizes and computing times that grow with the number of engines: configuration, plan,
//! claim records and control messages.

use std::{
    hint::black_box,
    net::SocketAddr,
    time::{Duration, Instant},
};

use prost::Message;

use crate::{
    bench::fit_line,
    core::{
        config::{Action, Change, Fold, Item, Record, State},
        idempotency::{Answer, Claim, ClaimRecord, ClaimTable, Settle},
        placement::{Plan, static_plan},
        routing::{Site, candidates},
    },
    rpc::pb::{ProbeReply, ProbeRequest, ReportRequest, VetReply, VetRequest},
};

// Numbers of engines; the number of models grows in the proportion of the target fleet.
const SIZES: [usize; 3] = [150, 300, 600];
const TARGET_ENGINES: f64 = 600.0;
const REPEATS: u32 = 20;
// Per message: a gRPC prefix of 5 bytes and about 40 bytes of compressed headers.
const OVERHEAD_BYTES: usize = 45;

/// Runs the benchmark and prints a table of fitted sizes and times.
pub(super) fn run() {
    println!(
        "{:<42} {:>12} {:>12} {:>12} {:>14} {:>7}",
        "by engines (models in proportion)",
        SIZES[0],
        SIZES[1],
        SIZES[2],
        "at 600, fitted",
        "error"
    );
    print_row("state as JSON, KB", |n| json_bytes(&sample_state(n)) / 1000.0);
    print_row("one change applied, us", |n| micros(|| apply_change(&sample_state(n))));
    print_row("plan computed, ms", |n| {
        micros(|| drop(black_box(static_plan(&sample_state(n))))) / 1000.0
    });
    print_row("candidates of one request, us", |n| {
        let state = sample_state(n);
        let plan = static_plan(&state);
        micros(|| find_candidates(&state, &plan))
    });
    print_row("state read from a snapshot, ms", |n| {
        let bytes = serde_json::to_vec(&sample_state(n)).unwrap_or_default();
        micros(|| drop(black_box(serde_json::from_slice::<State>(&bytes)))) / 1000.0
    });
    print_claim_sizes();
    print_message_sizes();
}

fn print_row(name: &str, measure: impl Fn(usize) -> f64) {
    let values = SIZES.map(|n| (n as f64, measure(n)));
    let line = fit_line(&values);
    let at_target = line.intercept + line.slope * TARGET_ENGINES;
    println!(
        "{name:<42} {:>12.2} {:>12.2} {:>12.2} {at_target:>14.2} {:>6.1}%",
        values[0].1,
        values[1].1,
        values[2].1,
        line.max_relative_error * 100.0
    );
}

/// Configuration of a fleet with `engines` engines, and models in the proportion of the
/// target fleet: 310 models for 600 engines.
fn sample_state(engines: usize) -> State {
    let mut state = State { revision: 1, ..State::default() };
    let models = engines * 310 / 600;
    for i in 0..models {
        let item = Item::Model { memory_mib: 8192 + (i as u64 * 7919) % 40_960, version: 1 };
        state.items.entry(item.kind()).or_default().insert(format!("model-{i}"), item);
    }
    for i in 0..engines {
        let agent = SocketAddr::from(([10, (i >> 8) as u8, i as u8, 1], 7000));
        let item = Item::Endpoint {
            agent,
            region: format!("region-{}", i % 2),
            zone: format!("zone-{}", i % 7),
            // Four accelerators of 80 GiB.
            memory_mib: 4 * 80 * 1024,
            service: None,
        };
        state.items.entry(item.kind()).or_default().insert(format!("engine-{i}"), item);
    }
    for i in 0..20 {
        let item = Item::Tenant {};
        state.items.entry(item.kind()).or_default().insert(format!("tenant-{i}"), item);
    }
    state
}

fn json_bytes(state: &State) -> f64 {
    serde_json::to_vec(state).unwrap_or_default().len() as f64
}

fn apply_change(state: &State) {
    let mut fold = Fold::default();
    fold.adopt(state.clone());
    let action = Action::Set { key: "tenant.weight".to_owned(), value: 7 };
    let change = Change { id: "c".to_owned(), operator: "o".to_owned(), base: 0, action };
    let payload = serde_json::to_vec(&Record::Change(change)).unwrap_or_default();
    black_box(fold.apply(2, &payload));
}

fn find_candidates(state: &State, plan: &Plan) {
    let site = Site { region: "region-0".to_owned(), zone: "zone-0".to_owned() };
    black_box(candidates(state, plan, &site, "model-7", 99));
}

/// Returns the mean time of a call in microseconds, after one call to warm up.
fn micros(mut work: impl FnMut()) -> f64 {
    work();
    let started_at = Instant::now();
    for _ in 0..REPEATS {
        work();
    }
    let elapsed: Duration = started_at.elapsed();
    elapsed.as_secs_f64() * 1e6 / f64::from(REPEATS)
}

/// Prints the size of the log records of a confirmation and the memory per idempotency key
/// of a claim table.
fn print_claim_sizes() {
    let claim = Claim {
        key: "stundenwerk/service/payroll/0123456789abcdef".to_owned(),
        digest: u64::MAX / 3,
        attempt: "entry-137-1f2e3d4c5b6a7988-2a.1".into(),
        entry: "entry-137".into(),
        agent: "payroll-12".into(),
        incarnation: 1_790_000_000_000,
        ticket_ms: 100_000_000,
        supersedes: None,
    };
    let settle = Settle {
        key: claim.key.clone(),
        attempt: claim.attempt.clone(),
        answer: Answer::from_response(200, "application/json", &[b'x'; 60]),
    };
    let bytes = |r: &ClaimRecord| serde_json::to_vec(r).unwrap_or_default().len();
    let records = [ClaimRecord::Claim(claim.clone()), ClaimRecord::Settle(settle.clone())];
    let total: usize = records.iter().map(bytes).sum();
    println!("claim and settle records of one confirmation: {total} bytes");
    let sizes = [10_000u64, 20_000, 40_000];
    let points = sizes.map(|n| {
        let before = resident_kib();
        let mut table = ClaimTable::default();
        for i in 0..n {
            let key = format!("{}{i:016x}", claim.key);
            let (mut c, mut s) = (claim.clone(), settle.clone());
            c.key.clone_from(&key);
            s.key = key;
            c.attempt = format!("{}{i}", claim.attempt).into();
            s.attempt = c.attempt.clone();
            table.apply(i * 2 + 1, ClaimRecord::Claim(c));
            table.apply(i * 2 + 2, ClaimRecord::Settle(s));
        }
        let grown = resident_kib().saturating_sub(before);
        // Not freed, so that the table of the next size does not reuse its memory.
        std::mem::forget(table);
        (n as f64, grown as f64 * 1024.0)
    });
    let line = fit_line(&points);
    println!(
        "memory per key in a claim table: {:.0} bytes (10,000, 20,000 and 40,000 keys, error \
         {:.1}%)",
        line.slope,
        line.max_relative_error * 100.0
    );
}

/// Resident set size of this process, KiB.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// Prints the sizes of the control messages of one request.
fn print_message_sizes() {
    let probe = ProbeRequest {
        revision: 123_456,
        target: "model-123:adapter-45".to_owned(),
        tenant: "stundenwerk".to_owned(),
        class: "standard".to_owned(),
        prefix: u64::MAX,
    };
    let probe_reply = ProbeReply {
        revision: 123_456,
        incarnation: 1_790_000_000_000,
        refusal: 0,
        expected_wait_ms: 250,
        running: 12,
        queued: 3,
        resident: true,
        ticket_ms: 100_000_000,
    };
    let attempt = "entry-137-1f2e3d4c5b6a7988-2a.1".to_owned();
    let vet = VetRequest { fingerprint: u64::MAX, attempt: attempt.clone() };
    let vet_reply = VetReply { permit: 1, endpoint: String::new(), crashes: 0 };
    let report = ReportRequest {
        fingerprint: u64::MAX,
        attempt,
        what: 1,
        endpoint: "engine-599".to_owned(),
    };
    println!(
        "control messages with {OVERHEAD_BYTES} bytes of overhead each: probe {} out, {} back; vet \
         {} out, {} back; report {} out, {} back",
        probe.encoded_len() + OVERHEAD_BYTES,
        probe_reply.encoded_len() + OVERHEAD_BYTES,
        vet.encoded_len() + OVERHEAD_BYTES,
        vet_reply.encoded_len() + OVERHEAD_BYTES,
        report.encoded_len() + OVERHEAD_BYTES,
        OVERHEAD_BYTES
    );
}

//! The demo: mixed load on a small Stundenwerk while things fail.

use std::{
    fmt, io,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use tokio::time;

use crate::{
    core::config::Action,
    demo::{
        ApiClient, ClusterSpec, CompletionRequest, EngineSpec, LocalCluster, RequestResult, Site,
        report::Report,
    },
    fakes::EngineTraits,
};

const REGIONS: [&str; 3] = ["muenchen", "nuernberg", "augsburg"];
const LOAD_TIME: Duration = Duration::from_secs(8);
const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(1200);
const DRAIN_LIMIT: Duration = Duration::from_secs(10);
const SEED: u64 = 7;
const POISON: &str = "CRASH-ENGINE please";

/// Why the demo failed.
#[derive(Debug)]
pub enum DemoError {
    /// The fleet could not be started.
    Start(io::Error),
    /// Something that must always hold did not.
    Broken(Vec<String>),
}

impl fmt::Display for DemoError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Start(err) => write!(f, "the demo could not start: {err}"),
            Self::Broken(what) => write!(f, "broken: {}", what.join("; ")),
        }
    }
}

impl std::error::Error for DemoError {}

impl From<io::Error> for DemoError {
    fn from(err: io::Error) -> Self {
        Self::Start(err)
    }
}

fn shape() -> ClusterSpec {
    let engine = |i: usize| EngineSpec {
        name: format!("engine-{}", i + 1),
        site: Site::of(REGIONS[i % 3]),
        traits: EngineTraits { checks_fencing: i.is_multiple_of(2), ..EngineTraits::default() },
    };
    let models =
        [("planner-assist", 16), ("shift-desk", 8), ("roster-draft", 24), ("badge-ocr", 4)];
    ClusterSpec {
        entries: REGIONS.iter().map(|r| (format!("entry-{r}"), Site::of(r))).collect(),
        engines: (0..6).map(engine).collect(),
        services: vec![
            ("payroll-1".into(), "payroll".into(), Site::of("muenchen")),
            ("payroll-2".into(), "payroll".into(), Site::of("nuernberg")),
        ],
        models: models.iter().map(|(m, gib)| ((*m).to_owned(), gib * 1024)).collect(),
        tenants: vec!["stundenwerk".into(), "partner".into()],
        classes: vec!["standard".into(), "batch".into()],
        service_latency: Duration::from_millis(20),
        seed: SEED,
        ..ClusterSpec::default()
    }
}

/// Runs the demo and prints its table.
///
/// # Errors
/// [`DemoError::Broken`] with every invariant that did not hold.
pub async fn run() -> Result<(), DemoError> {
    let mut bed = LocalCluster::start(&shape()).await?;
    bed.wait_until_loaded(Duration::from_secs(10)).await;
    println!("3 entries, 6 engines, 2 plain service instances are up; load for {LOAD_TIME:?}");
    let report = Arc::new(Mutex::new(Report::default()));
    let loads: Vec<_> = load(&bed, &report);
    let faults = faults(&mut bed);
    let (in_force, poison, confirmations, drained) = faults.await;
    join_all(loads).await;
    {
        let report = report.lock().unwrap_or_else(PoisonError::into_inner);
        println!("\n{report}");
        println!("refusals by code: {:?}", report.refusals());
    }
    let moves = bed.engines.values().map(|e| e.moves());
    let (loads, unloads) = moves.fold((0, 0), |sum, m| (sum.0 + m.0, sum.1 + m.1));
    println!("moves: {loads} loads, {unloads} unloads");
    println!("change in force everywhere after {in_force:?}");
    println!("poison request: code {} after {} crashes", poison.code, crashes(&bed));
    let runs: Vec<u64> = bed.services["payroll"].runs().into_values().collect();
    println!("confirmations sent twice at once: {confirmations} answers, runs of each: {runs:?}");
    let broken = judge(&bed, in_force, drained, &poison);
    bed.shutdown().await;
    if broken.is_empty() {
        println!("all invariants held");
        return Ok(());
    }
    Err(DemoError::Broken(broken))
}

fn crashes(bed: &LocalCluster) -> u64 {
    bed.engines.values().map(|e| e.crashes()).sum()
}

fn load(bed: &LocalCluster, report: &Arc<Mutex<Report>>) -> Vec<tokio::task::JoinHandle<()>> {
    let kinds = [
        ("stundenwerk", "standard", "planner-assist", 24, 60),
        ("stundenwerk", "standard", "shift-desk", 8, 40),
        ("partner", "batch", "roster-draft", 32, 90),
        ("partner", "standard", "badge-ocr", 4, 30),
    ];
    let mut tasks = Vec::new();
    for (i, (tenant, class, model, tokens, pause)) in kinds.into_iter().enumerate() {
        for (j, entry) in bed.entries.values().enumerate() {
            let caller = ApiClient::new(entry.address, tenant, class);
            let report = report.clone();
            let mut rng = fastrand::Rng::with_seed(SEED + (i * 10 + j) as u64);
            tasks.push(tokio::spawn(async move {
                let until = Instant::now() + LOAD_TIME;
                while Instant::now() < until {
                    let ask = CompletionRequest {
                        model: model.to_owned(),
                        prompt: format!("event {}", rng.u32(..40)),
                        tokens,
                        stream: rng.bool(),
                    };
                    let result = caller.complete(&ask).await;
                    {
                        let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
                        report.add(tenant, class, FIRST_TOKEN_TARGET, &result);
                    }
                    time::sleep(Duration::from_millis(rng.u64(1..pause))).await;
                }
            }));
        }
    }
    tasks
}

/// Brings the faults about, one after the other, while the load runs.
async fn faults(bed: &mut LocalCluster) -> (Option<Duration>, RequestResult, usize, bool) {
    time::sleep(Duration::from_millis(500)).await;
    let action = Action::Set { key: "retry.max_attempts".to_owned(), value: 4 };
    let changed = bed.submit_change(action).await.is_ok();
    let in_force = bed.wait_until_propagated(Duration::from_secs(3)).await.filter(|_| changed);
    bed.kill_agent("engine-2").await;
    time::sleep(Duration::from_millis(500)).await;
    // Without an agent the start fails only when the address is taken.
    let restarted = bed.start_agent("engine-2").await.is_ok();
    let drained = restarted && bed.drain_agent("engine-3", DRAIN_LIMIT).await;
    let caller = ApiClient::new(bed.entries["entry-augsburg"].address, "partner", "batch");
    let ask = CompletionRequest {
        model: "badge-ocr".to_owned(),
        prompt: POISON.to_owned(),
        tokens: 4,
        stream: false,
    };
    let poison = caller.complete(&ask).await;
    let confirmations = confirm_twice(bed).await;
    (in_force, poison, confirmations, drained)
}

/// Sends confirmations through two entries at once under one key each.
async fn confirm_twice(bed: &LocalCluster) -> usize {
    let addresses: Vec<_> = bed.entries.values().map(|e| e.address).collect();
    let calls = (0..10).flat_map(|i| {
        let id = format!("shift-{i}");
        [addresses[i % 3], addresses[(i + 1) % 3]].map(|address| {
            let id = id.clone();
            async move {
                let caller = ApiClient::new(address, "stundenwerk", "standard");
                caller.confirm("payroll", &id, Some(&id)).await
            }
        })
    });
    let results = join_all(calls).await;
    results.iter().filter(|r| r.complete).count()
}

fn judge(
    bed: &LocalCluster,
    in_force: Option<Duration>,
    drained: bool,
    poison: &RequestResult,
) -> Vec<String> {
    let mut broken = Vec::new();
    if in_force.is_none() {
        broken.push("the change was not in force everywhere within 3 s".to_owned());
    }
    if !drained {
        broken.push("the planned stop of engine-3's agent did not end in time".to_owned());
    }
    if 2 < crashes(bed) || poison.complete {
        broken.push(format!("one request crashed {} engines", crashes(bed)));
    }
    for (name, engine) in &bed.engines {
        if engine.was_overcommitted() {
            broken.push(format!("the memory of {name} was overcommitted"));
        }
    }
    for (id, runs) in bed.services["payroll"].runs() {
        if runs != 1 {
            broken.push(format!("confirmation {id} ran {runs} times"));
        }
    }
    broken
}

/// Leaves the fleet up until the process is ended, and prints calls to try.
///
/// # Errors
/// [`DemoError::Start`].
pub async fn serve_forever() -> Result<(), DemoError> {
    let bed = LocalCluster::start(&shape()).await?;
    bed.wait_until_loaded(Duration::from_secs(10)).await;
    let entry = bed.entries["entry-muenchen"].address;
    let log = bed.log_address();
    println!("The fleet is up. To try:\n");
    println!("curl -s http://{entry}/v1/models");
    println!(
        "curl -N http://{entry}/v1/completions -H 'x-tenant: stundenwerk' \
         -d '{{\"model\":\"planner-assist\",\"prompt\":\"hello\",\"stream\":true}}'"
    );
    println!(
        "curl -s http://{entry}/services/payroll/confirm -H 'x-tenant: stundenwerk' \
         -H 'idempotency-key: k1' -d '{{\"id\":\"k1\"}}'"
    );
    println!("goldcrestpitch config --log {log} get");
    println!("goldcrestpitch status --log {log}");
    println!("The log is at {log}, the list of VMs at {}.", bed.vms_address());
    println!("goldcrestpitch config --log {log} set tenant.rate_per_s 50");
    std::future::pending().await
}

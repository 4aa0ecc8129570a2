//! The demo: sends a mixed load to a small cluster with the models and services of
//! Stundenwerk, injects faults meanwhile and checks the invariants at the end.

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
    fakes::EngineProfile,
};

const REGIONS: [&str; 3] = ["muenchen", "nuernberg", "augsburg"];
const LOAD_DURATION: Duration = Duration::from_secs(8);
const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(1200);
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);
const SEED: u64 = 7;
const CRASH_PROMPT: &str = "CRASH-ENGINE please";

/// Why the demo failed.
#[derive(Debug)]
pub enum DemoError {
    /// The cluster could not be started.
    Start(io::Error),
    /// Invariants did not hold; one description for each.
    InvariantsViolated(Vec<String>),
}

impl fmt::Display for DemoError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Start(err) => write!(f, "cannot start the demo: {err}"),
            Self::InvariantsViolated(violations) => {
                write!(f, "invariants violated: {}", violations.join("; "))
            }
        }
    }
}

impl std::error::Error for DemoError {}

impl From<io::Error> for DemoError {
    fn from(err: io::Error) -> Self {
        Self::Start(err)
    }
}

fn cluster_spec() -> ClusterSpec {
    let engine = |i: usize| EngineSpec {
        name: format!("engine-{}", i + 1),
        site: Site::of(REGIONS[i % 3]),
        profile: EngineProfile { checks_fencing: i.is_multiple_of(2), ..EngineProfile::default() },
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

/// Runs the demo and prints its results.
///
/// # Errors
/// [`DemoError::Start`] when the cluster cannot be started,
/// [`DemoError::InvariantsViolated`] when an invariant did not hold.
pub async fn run() -> Result<(), DemoError> {
    let mut cluster = LocalCluster::start(&cluster_spec()).await?;
    cluster.wait_until_loaded(Duration::from_secs(10)).await;
    println!(
        "3 entries, 6 engines and 2 plain service instances are running; sending load for \
         {LOAD_DURATION:?}"
    );
    let report = Arc::new(Mutex::new(Report::default()));
    let load_tasks: Vec<_> = start_load(&cluster, &report);
    let faults = inject_faults(&mut cluster);
    let (propagated_after, crash_result, confirmations, drained) = faults.await;
    join_all(load_tasks).await;
    {
        let report = report.lock().unwrap_or_else(PoisonError::into_inner);
        println!("\n{report}");
        println!("refusals by code: {:?}", report.refusals());
    }
    let moves = cluster.engines.values().map(|e| e.load_counts());
    let (loads, unloads) = moves.fold((0, 0), |sum, m| (sum.0 + m.0, sum.1 + m.1));
    println!("moves: {loads} loads, {unloads} unloads");
    println!("time until every process had applied the change: {propagated_after:?}");
    println!(
        "request that crashes engines: code {} after {} crashes",
        crash_result.code,
        crashes(&cluster)
    );
    let runs: Vec<u64> = cluster.services["payroll"].runs().into_values().collect();
    println!(
        "confirmations sent twice at the same time: {confirmations} responses, runs of \
         each: {runs:?}"
    );
    let violations = check_invariants(&cluster, propagated_after, drained, &crash_result);
    cluster.shutdown().await;
    if violations.is_empty() {
        println!("all invariants held");
        return Ok(());
    }
    Err(DemoError::InvariantsViolated(violations))
}

fn crashes(cluster: &LocalCluster) -> u64 {
    cluster.engines.values().map(|e| e.crashes()).sum()
}

fn start_load(
    cluster: &LocalCluster,
    report: &Arc<Mutex<Report>>,
) -> Vec<tokio::task::JoinHandle<()>> {
    let workloads = [
        ("stundenwerk", "standard", "planner-assist", 24, 60),
        ("stundenwerk", "standard", "shift-desk", 8, 40),
        ("partner", "batch", "roster-draft", 32, 90),
        ("partner", "standard", "badge-ocr", 4, 30),
    ];
    let mut tasks = Vec::new();
    for (i, (tenant, class, model, tokens, max_pause_ms)) in workloads.into_iter().enumerate() {
        for (j, entry) in cluster.entries.values().enumerate() {
            let client = ApiClient::new(entry.address, tenant, class);
            let report = report.clone();
            let mut rng = fastrand::Rng::with_seed(SEED + (i * 10 + j) as u64);
            tasks.push(tokio::spawn(async move {
                let until = Instant::now() + LOAD_DURATION;
                while Instant::now() < until {
                    let request = CompletionRequest {
                        model: model.to_owned(),
                        prompt: format!("event {}", rng.u32(..40)),
                        tokens,
                        stream: rng.bool(),
                    };
                    let result = client.complete(&request).await;
                    {
                        let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
                        report.add(tenant, class, FIRST_TOKEN_TARGET, &result);
                    }
                    time::sleep(Duration::from_millis(rng.u64(1..max_pause_ms))).await;
                }
            }));
        }
    }
    tasks
}

/// Injects the faults one after the other while the load runs.
///
/// Returns the time until every process had applied a change, the result of the request
/// that crashes engines, the number of complete responses to the duplicated confirmations,
/// and whether the agent of engine-3 stopped gracefully.
async fn inject_faults(
    cluster: &mut LocalCluster,
) -> (Option<Duration>, RequestResult, usize, bool) {
    time::sleep(Duration::from_millis(500)).await;
    let action = Action::Set { key: "retry.max_attempts".to_owned(), value: 4 };
    let changed = cluster.submit_change(action).await.is_ok();
    let propagated_after =
        cluster.wait_until_propagated(Duration::from_secs(3)).await.filter(|_| changed);
    cluster.kill_agent("engine-2").await;
    time::sleep(Duration::from_millis(500)).await;
    // The old agent is gone, so the start fails only when its address is still in use.
    let restarted = cluster.start_agent("engine-2").await.is_ok();
    let drained = restarted && cluster.drain_agent("engine-3", DRAIN_TIMEOUT).await;
    let client = ApiClient::new(cluster.entries["entry-augsburg"].address, "partner", "batch");
    let request = CompletionRequest {
        model: "badge-ocr".to_owned(),
        prompt: CRASH_PROMPT.to_owned(),
        tokens: 4,
        stream: false,
    };
    let crash_result = client.complete(&request).await;
    let confirmations = confirm_twice(cluster).await;
    (propagated_after, crash_result, confirmations, drained)
}

/// Sends each of ten confirmations through two entries at the same time, with the same
/// idempotency key. Returns the number of complete responses.
async fn confirm_twice(cluster: &LocalCluster) -> usize {
    let addresses: Vec<_> = cluster.entries.values().map(|e| e.address).collect();
    let requests = (0..10).flat_map(|i| {
        let id = format!("shift-{i}");
        [addresses[i % 3], addresses[(i + 1) % 3]].map(|address| {
            let id = id.clone();
            async move {
                let client = ApiClient::new(address, "stundenwerk", "standard");
                client.confirm("payroll", &id, Some(&id)).await
            }
        })
    });
    let results = join_all(requests).await;
    results.iter().filter(|r| r.complete).count()
}

fn check_invariants(
    cluster: &LocalCluster,
    propagated_after: Option<Duration>,
    drained: bool,
    crash_result: &RequestResult,
) -> Vec<String> {
    let mut violations = Vec::new();
    if propagated_after.is_none() {
        violations.push("not every process applied the change within 3 s".to_owned());
    }
    if !drained {
        violations.push("the agent of engine-3 did not stop gracefully in time".to_owned());
    }
    if 2 < crashes(cluster) || crash_result.complete {
        violations.push(format!("one request crashed {} engines", crashes(cluster)));
    }
    for (name, engine) in &cluster.engines {
        if engine.was_overcommitted() {
            violations.push(format!("the memory of {name} was overcommitted"));
        }
    }
    for (id, runs) in cluster.services["payroll"].runs() {
        if runs != 1 {
            violations.push(format!("confirmation {id} ran {runs} times"));
        }
    }
    violations
}

/// Starts the cluster, prints commands to try and serves until the process is killed.
///
/// # Errors
/// [`DemoError::Start`] when the cluster cannot be started.
pub async fn serve_forever() -> Result<(), DemoError> {
    let cluster = LocalCluster::start(&cluster_spec()).await?;
    cluster.wait_until_loaded(Duration::from_secs(10)).await;
    let entry = cluster.entries["entry-muenchen"].address;
    let log = cluster.log_address();
    println!("The cluster is running. Commands to try:\n");
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
    println!("The log is at {log}, the list of VMs at {}.", cluster.vms_address());
    println!("goldcrestpitch config --log {log} set tenant.rate_per_s 50");
    std::future::pending().await
}

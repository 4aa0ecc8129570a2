//! Closed-loop latency and throughput of requests through entry and agent, compared with
//! requests sent directly to the engine in the same run.

use std::{
    io,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use tokio::runtime::Builder;

use crate::{
    bench::print_machine,
    demo::{ApiClient, ClusterSpec, CompletionRequest, EngineSpec, LocalCluster, Site},
    fakes::EngineProfile,
};

const CONNECTIONS: [usize; 3] = [1, 32, 256];
const RUN_DURATION: Duration = Duration::from_secs(4);
const TOKENS: u32 = 16;
const ENGINES: usize = 2;

/// Profile of an engine that adds hardly any latency of its own.
pub(super) fn fast_engine() -> EngineProfile {
    EngineProfile {
        first_token: Duration::from_millis(2),
        token_gap: Duration::from_micros(500),
        latency_doubling_batch: 1e9,
        load_time_per_gib: Duration::from_millis(1),
        ..EngineProfile::default()
    }
}

/// A cluster with one entry, some engines and one model in one zone.
pub(super) fn small_cluster_spec(engines: usize, profile: EngineProfile) -> ClusterSpec {
    let engine = |i| EngineSpec { name: format!("engine-{i}"), site: Site::of("r"), profile };
    ClusterSpec {
        entries: vec![("entry-0".into(), Site::of("r"))],
        engines: (0..engines).map(engine).collect(),
        models: vec![("m".into(), 1024)],
        tenants: vec!["t".into()],
        classes: vec!["standard".into()],
        seed: 1,
        ..ClusterSpec::default()
    }
}

/// Time to the first token of every successful request, and the number of failed requests.
#[derive(Debug, Default)]
pub(super) struct Latencies {
    pub(super) first_token: Vec<Duration>,
    pub(super) failed: usize,
}

impl Latencies {
    /// Returns the `q` quantile of the latencies to the first token.
    pub(super) fn quantile(&mut self, q: f64) -> Duration {
        self.first_token.sort_unstable();
        let last = self.first_token.len().saturating_sub(1);
        self.first_token.get((last as f64 * q).round() as usize).copied().unwrap_or_default()
    }
}

/// Runs a load generator on a separate thread, so that it does not slow down the processes
/// under test.
pub(super) async fn run_on_thread<T, F>(load: impl FnOnce() -> F + Send + 'static) -> io::Result<T>
where
    T: Send + 'static,
    F: Future<Output = T>,
{
    let (tx, rx) = tokio::sync::oneshot::channel();
    thread::Builder::new().name("load".to_owned()).spawn(move || {
        let Ok(runtime) = Builder::new_current_thread().enable_all().build() else { return };
        let _ = tx.send(runtime.block_on(load()));
    })?;
    rx.await.map_err(|_| io::Error::other("the load generator ended unexpectedly"))
}

/// Runs the benchmark and prints a table.
pub(super) async fn run() -> io::Result<()> {
    print_machine();
    println!("closed loop, {TOKENS} tokens, {RUN_DURATION:?} each, {ENGINES} engines, 1 entry");
    println!(
        "{:>11} {:>9} {:>10} {:>10} {:>10} {:>7}",
        "connections", "path", "requests/s", "first p50", "first p99", "failed"
    );
    let mut cluster = LocalCluster::start(&small_cluster_spec(ENGINES, fast_engine())).await?;
    cluster.remove_limits().await.map_err(io::Error::other)?;
    cluster.wait_until_loaded(Duration::from_secs(10)).await;
    let entry = cluster.entries["entry-0"].address;
    for connections in CONNECTIONS {
        let direct = measure(cluster.backend_address("engine-0"), connections).await?;
        let through = measure(entry, connections).await?;
        let (mut direct, mut through) = (direct, through);
        print_row("direct", connections, &mut direct);
        print_row("through", connections, &mut through);
        println!(
            "{connections:>11} {:>9} {:>10.2} {:>9.2}x {:>9.2}x",
            "ratio",
            through.first_token.len() as f64 / direct.first_token.len() as f64,
            through.quantile(0.5).as_secs_f64() / direct.quantile(0.5).as_secs_f64(),
            through.quantile(0.99).as_secs_f64() / direct.quantile(0.99).as_secs_f64(),
        );
    }
    cluster.shutdown().await;
    Ok(())
}

fn print_row(path: &str, connections: usize, latencies: &mut Latencies) {
    println!(
        "{connections:>11} {path:>9} {:>10.0} {:>7.2} ms {:>7.2} ms {:>7}",
        latencies.first_token.len() as f64 / RUN_DURATION.as_secs_f64(),
        latencies.quantile(0.5).as_secs_f64() * 1000.0,
        latencies.quantile(0.99).as_secs_f64() * 1000.0,
        latencies.failed
    );
}

/// Sends requests over `connections` concurrent clients for [`RUN_DURATION`].
async fn measure(address: SocketAddr, connections: usize) -> io::Result<Latencies> {
    run_on_thread(move || async move {
        let until = Instant::now() + RUN_DURATION;
        let workers = (0..connections).map(|i| run_worker(address, i, until));
        let mut all = Latencies::default();
        for latencies in futures_util::future::join_all(workers).await {
            all.first_token.extend(latencies.first_token);
            all.failed += latencies.failed;
        }
        all
    })
    .await
}

/// Sends one request after the other until `until`.
async fn run_worker(address: SocketAddr, number: usize, until: Instant) -> Latencies {
    let client = ApiClient::new(address, "t", "standard");
    let mut latencies = Latencies::default();
    let mut rng = fastrand::Rng::with_seed(number as u64);
    while Instant::now() < until {
        let prompt = format!("prompt {:x}", rng.u64(..));
        let request =
            CompletionRequest { model: "m".to_owned(), prompt, tokens: TOKENS, stream: true };
        let result = client.complete(&request).await;
        if result.complete {
            latencies.first_token.push(result.first_token)
        } else {
            latencies.failed += 1
        }
    }
    latencies
}

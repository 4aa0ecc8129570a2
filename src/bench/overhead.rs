//! Latency and throughput through entry and agent against the engine called
//! directly, closed loop, in the same run.

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
    fakes::EngineTraits,
};

const CONNECTIONS: [usize; 3] = [1, 32, 256];
const RUN_TIME: Duration = Duration::from_secs(4);
const TOKENS: u32 = 16;
const ENGINES: usize = 2;

/// An engine that costs hardly any time itself.
pub(super) fn instant_engine() -> EngineTraits {
    EngineTraits {
        first_token: Duration::from_millis(2),
        gap: Duration::from_micros(500),
        doubling_batch: 1e9,
        load_per_gib: Duration::from_millis(1),
        ..EngineTraits::default()
    }
}

/// A bed with one entry and some engines in one zone.
pub(super) fn small_shape(engines: usize, traits: EngineTraits) -> ClusterSpec {
    let engine = |i| EngineSpec { name: format!("engine-{i}"), site: Site::of("r"), traits };
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

/// Times of the requests of one run.
#[derive(Debug, Default)]
pub(super) struct Times {
    pub(super) first: Vec<Duration>,
    pub(super) failed: usize,
}

impl Times {
    pub(super) fn quantile(&mut self, share: f64) -> Duration {
        self.first.sort_unstable();
        let last = self.first.len().saturating_sub(1);
        self.first.get((last as f64 * share).round() as usize).copied().unwrap_or_default()
    }
}

/// Runs a load on a thread of its own, so that it does not slow what is measured.
pub(super) async fn on_thread<T, F>(load: impl FnOnce() -> F + Send + 'static) -> io::Result<T>
where
    T: Send + 'static,
    F: Future<Output = T>,
{
    let (tx, rx) = tokio::sync::oneshot::channel();
    thread::Builder::new().name("load".to_owned()).spawn(move || {
        let Ok(runtime) = Builder::new_current_thread().enable_all().build() else { return };
        let _ = tx.send(runtime.block_on(load()));
    })?;
    rx.await.map_err(|_| io::Error::other("the load ended unexpectedly"))
}

/// Measures and prints a table.
pub(super) async fn run() -> io::Result<()> {
    print_machine();
    println!("closed loop, {TOKENS} tokens, {RUN_TIME:?} each, {ENGINES} engines, 1 entry");
    println!(
        "{:>11} {:>9} {:>10} {:>10} {:>10} {:>7}",
        "connections", "path", "requests/s", "first p50", "first p99", "failed"
    );
    let mut bed = LocalCluster::start(&small_shape(ENGINES, instant_engine())).await?;
    bed.remove_limits().await.map_err(io::Error::other)?;
    bed.wait_until_loaded(Duration::from_secs(10)).await;
    let entry = bed.entries["entry-0"].address;
    for connections in CONNECTIONS {
        let direct = measure(bed.backend_address("engine-0"), connections).await?;
        let through = measure(entry, connections).await?;
        let (mut d, mut t) = (direct, through);
        print("direct", connections, &mut d);
        print("through", connections, &mut t);
        println!(
            "{connections:>11} {:>9} {:>10.2} {:>9.2}x {:>9.2}x",
            "ratio",
            t.first.len() as f64 / d.first.len() as f64,
            t.quantile(0.5).as_secs_f64() / d.quantile(0.5).as_secs_f64(),
            t.quantile(0.99).as_secs_f64() / d.quantile(0.99).as_secs_f64(),
        );
    }
    bed.shutdown().await;
    Ok(())
}

fn print(path: &str, connections: usize, times: &mut Times) {
    println!(
        "{connections:>11} {path:>9} {:>10.0} {:>7.2} ms {:>7.2} ms {:>7}",
        times.first.len() as f64 / RUN_TIME.as_secs_f64(),
        times.quantile(0.5).as_secs_f64() * 1000.0,
        times.quantile(0.99).as_secs_f64() * 1000.0,
        times.failed
    );
}

async fn measure(address: SocketAddr, connections: usize) -> io::Result<Times> {
    on_thread(move || async move {
        let until = Instant::now() + RUN_TIME;
        let workers = (0..connections).map(|i| worker(address, i, until));
        let mut all = Times::default();
        for times in futures_util::future::join_all(workers).await {
            all.first.extend(times.first);
            all.failed += times.failed;
        }
        all
    })
    .await
}

async fn worker(address: SocketAddr, number: usize, until: Instant) -> Times {
    let caller = ApiClient::new(address, "t", "standard");
    let mut times = Times::default();
    let mut rng = fastrand::Rng::with_seed(number as u64);
    while Instant::now() < until {
        let prompt = format!("prompt {:x}", rng.u64(..));
        let ask = CompletionRequest { model: "m".to_owned(), prompt, tokens: TOKENS, stream: true };
        let result = caller.complete(&ask).await;
        if result.complete { times.first.push(result.first_token) } else { times.failed += 1 }
    }
    times
}

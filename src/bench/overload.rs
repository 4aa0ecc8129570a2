//! Load of up to twice the capacity of a small cluster: goodput, shares of the tenants
//! and latency of refusals.

use std::{io, net::SocketAddr, time::Duration};

use tokio::{task::JoinSet, time};

use crate::{
    bench::{
        overhead::{run_on_thread, small_cluster_spec},
        print_machine,
    },
    core::config::{Action, Selector},
    demo::{ApiClient, CompletionRequest, LocalCluster, RequestResult},
    fakes::EngineProfile,
};

const ENGINES: usize = 2;
const SLOTS: u64 = 8;
const TOKENS: u32 = 20;
const RUN_DURATION: Duration = Duration::from_secs(12);
const MULTIPLES: [f64; 4] = [0.5, 0.9, 1.2, 2.0];
const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(600);

/// Profile of an engine that takes about 0.4 s per request when its batch is full.
fn engine_profile() -> EngineProfile {
    EngineProfile {
        first_token: Duration::from_millis(60),
        token_gap: Duration::from_millis(10),
        latency_doubling_batch: 16.0,
        ..EngineProfile::default()
    }
}

/// Runs the benchmark and prints a table.
pub(super) async fn run() -> io::Result<()> {
    print_machine();
    // A request takes 60 ms to the first token and 19 gaps of 10 ms, both 1.5 times as long
    // with 8 running requests.
    let capacity = ENGINES as f64 * SLOTS as f64 / (0.25 * 1.5);
    println!(
        "{ENGINES} engines with {SLOTS} slots each, capacity about {capacity:.0} requests/s, \
         target {FIRST_TOKEN_TARGET:?}, {RUN_DURATION:?} each; tenants heavy (weight 300) and \
         light (weight 100) send half of the load each"
    );
    println!(
        "{:>8} {:>10} {:>10} {:>9} {:>9} {:>9} {:>13} {:>13}",
        "multiple",
        "offered/s",
        "goodput/s",
        "heavy/s",
        "light/s",
        "refused",
        "refused p50",
        "refused p99"
    );
    let mut spec = small_cluster_spec(ENGINES, engine_profile());
    spec.tenants = vec!["heavy".into(), "light".into()];
    let mut cluster = LocalCluster::start(&spec).await?;
    configure(&mut cluster).await?;
    cluster.wait_until_loaded(Duration::from_secs(10)).await;
    let entry = cluster.entries["entry-0"].address;
    for multiple in MULTIPLES {
        let rate = capacity * multiple;
        let loads = futures_util::future::join(
            send_load(entry, "heavy", rate / 2.0),
            send_load(entry, "light", rate / 2.0),
        );
        let (heavy, light) = loads.await;
        print_row(multiple, rate, &heavy?, &light?);
    }
    cluster.shutdown().await;
    Ok(())
}

async fn configure(cluster: &mut LocalCluster) -> io::Result<()> {
    cluster.remove_limits().await.map_err(io::Error::other)?;
    let defaults = [
        ("endpoint.max_running", SLOTS),
        ("endpoint.queue_limit", 64),
        ("class.first_token_ms", FIRST_TOKEN_TARGET.as_millis() as u64),
    ];
    for (key, value) in defaults {
        let action = Action::Set { key: key.to_owned(), value };
        cluster.submit_change(action).await.map_err(io::Error::other)?;
    }
    let selector: Selector = "tenant=heavy".parse().map_err(io::Error::other)?;
    let action = Action::Except {
        selector,
        key: "tenant.weight".to_owned(),
        value: 300,
        reason: "has paid for three shares".to_owned(),
    };
    cluster.submit_change(action).await.map_err(io::Error::other)?;
    cluster.wait_until_propagated(Duration::from_secs(3)).await;
    Ok(())
}

fn print_row(multiple: f64, rate: f64, heavy: &[RequestResult], light: &[RequestResult]) {
    let goodput = |results: &[RequestResult]| {
        let in_time =
            results.iter().filter(|r| r.complete && r.first_token <= FIRST_TOKEN_TARGET).count();
        in_time as f64 / RUN_DURATION.as_secs_f64()
    };
    let mut refused: Vec<Duration> =
        heavy.iter().chain(light).filter(|r| r.code != 0).map(|r| r.total).collect();
    refused.sort_unstable();
    let quantile = |q: f64| {
        let index = (refused.len().saturating_sub(1) as f64 * q).round() as usize;
        refused.get(index).map_or(0.0, |d| d.as_secs_f64() * 1000.0)
    };
    println!(
        "{multiple:>8} {rate:>10.0} {:>10.1} {:>9.1} {:>9.1} {:>8.1}% {:>10.1} ms {:>10.1} ms",
        goodput(heavy) + goodput(light),
        goodput(heavy),
        goodput(light),
        refused.len() as f64 * 100.0 / (heavy.len() + light.len()) as f64,
        quantile(0.5),
        quantile(0.99)
    );
}

/// Sends streamed completions of a tenant at a fixed rate and returns their results.
async fn send_load(
    entry: SocketAddr,
    tenant: &'static str,
    rate: f64,
) -> io::Result<Vec<RequestResult>> {
    run_on_thread(move || async move {
        let client = ApiClient::new(entry, tenant, "standard");
        let mut tasks = JoinSet::new();
        let mut rng = fastrand::Rng::with_seed(tenant.len() as u64);
        let started_at = time::Instant::now();
        for i in 0..(rate * RUN_DURATION.as_secs_f64()) as u32 {
            time::sleep_until(started_at + Duration::from_secs_f64(f64::from(i) / rate)).await;
            let prompt = format!("prompt {:x}", rng.u64(..));
            let request =
                CompletionRequest { model: "m".to_owned(), prompt, tokens: TOKENS, stream: true };
            let client = client.clone();
            tasks.spawn(async move { client.complete(&request).await });
        }
        tasks.join_all().await
    })
    .await
}

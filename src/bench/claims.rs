//! Cost of idempotency keys on confirmations: added latency and log appends per call, at
//! several request rates.

use std::{
    io,
    time::{Duration, Instant},
};

use tokio::{task::JoinSet, time};

use crate::{
    bench::print_machine,
    demo::{ApiClient, ClusterSpec, LocalCluster, Site},
};

const RATES: [f64; 4] = [5.0, 20.0, 80.0, 160.0];
const RUN_DURATION: Duration = Duration::from_secs(5);

/// Runs the benchmark and prints a table.
pub(super) async fn run() -> io::Result<()> {
    print_machine();
    println!("2 entries, 2 instances of a service with 5 ms latency, a log with 2 ms latency");
    println!(
        "{:>8} {:>9} {:>10} {:>10} {:>10} {:>10} {:>12} {:>8}",
        "rate/s",
        "answered",
        "no key p50",
        "no key p99",
        "keyed p50",
        "keyed p99",
        "appends/call",
        "appends/s"
    );
    let site = Site::of("r");
    let spec = ClusterSpec {
        entries: vec![("entry-0".into(), site.clone()), ("entry-1".into(), site.clone())],
        services: vec![
            ("payroll-0".into(), "payroll".into(), site.clone()),
            ("payroll-1".into(), "payroll".into(), site),
        ],
        tenants: vec!["t".into()],
        classes: vec!["standard".into()],
        service_latency: Duration::from_millis(5),
        seed: 1,
        ..ClusterSpec::default()
    };
    for rate in RATES {
        let mut cluster = LocalCluster::start(&spec).await?;
        cluster.remove_limits().await.map_err(io::Error::other)?;
        let without_key = send_load(&cluster, rate, false).await;
        let before = (cluster.log.appends(), Instant::now());
        let with_key = send_load(&cluster, rate, true).await;
        let elapsed_s = before.1.elapsed().as_secs_f64();
        time::sleep(Duration::from_millis(200)).await;
        let appends = (cluster.log.appends() - before.0) as f64;
        println!(
            "{rate:>8} {:>8.1}% {:>7.1} ms {:>7.1} ms {:>7.1} ms {:>7.1} ms {:>12.2} {:>8.1}",
            with_key.len() as f64 * 100.0 / (rate * RUN_DURATION.as_secs_f64()),
            quantile(&without_key, 0.5),
            quantile(&without_key, 0.99),
            quantile(&with_key, 0.5),
            quantile(&with_key, 0.99),
            appends / with_key.len().max(1) as f64,
            appends / elapsed_s,
        );
        cluster.shutdown().await;
    }
    Ok(())
}

/// Returns the `q` quantile of sorted times in milliseconds.
fn quantile(sorted: &[Duration], q: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * q).round() as usize;
    sorted.get(index).map_or(0.0, |d| d.as_secs_f64() * 1000.0)
}

/// Sends confirmations at a fixed rate, with an idempotency key each if `keyed`. Returns
/// the sorted durations of those with a complete response.
async fn send_load(cluster: &LocalCluster, rate: f64, keyed: bool) -> Vec<Duration> {
    let clients: Vec<ApiClient> =
        cluster.entries.values().map(|e| ApiClient::new(e.address, "t", "standard")).collect();
    let mut tasks = JoinSet::new();
    let started_at = time::Instant::now();
    for i in 0..(rate * RUN_DURATION.as_secs_f64()) as u32 {
        time::sleep_until(started_at + Duration::from_secs_f64(f64::from(i) / rate)).await;
        let client = clients[i as usize % clients.len()].clone();
        tasks.spawn(async move {
            let id = format!("{keyed}-{i}");
            client.confirm("payroll", &id, keyed.then_some(id.as_str())).await
        });
    }
    let mut times = Vec::new();
    while let Some(result) = tasks.join_next().await {
        if let Ok(result) = result
            && result.complete
        {
            times.push(result.total);
        }
    }
    times.sort_unstable();
    times
}

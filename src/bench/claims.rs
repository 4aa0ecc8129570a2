//! Confirmations through entries: added latency and appends for each, by rate.

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
const RUN_TIME: Duration = Duration::from_secs(5);

/// Measures and prints a table.
pub(super) async fn run() -> io::Result<()> {
    print_machine();
    println!("2 entries, 2 instances of a service that takes 5 ms, log that takes 2 ms");
    println!(
        "{:>8} {:>9} {:>10} {:>10} {:>10} {:>10} {:>12} {:>8}",
        "rate/s",
        "answered",
        "bare p50",
        "bare p99",
        "claim p50",
        "claim p99",
        "appends/call",
        "appends/s"
    );
    let site = Site::of("r");
    let shape = ClusterSpec {
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
        let mut bed = LocalCluster::start(&shape).await?;
        bed.remove_limits().await.map_err(io::Error::other)?;
        let bare = load(&bed, rate, false).await;
        let before = (bed.log.appends(), Instant::now());
        let claimed = load(&bed, rate, true).await;
        let wall = before.1.elapsed().as_secs_f64();
        time::sleep(Duration::from_millis(200)).await;
        let appends = (bed.log.appends() - before.0) as f64;
        println!(
            "{rate:>8} {:>8.1}% {:>7.1} ms {:>7.1} ms {:>7.1} ms {:>7.1} ms {:>12.2} {:>8.1}",
            claimed.len() as f64 * 100.0 / (rate * RUN_TIME.as_secs_f64()),
            quantile(&bare, 0.5),
            quantile(&bare, 0.99),
            quantile(&claimed, 0.5),
            quantile(&claimed, 0.99),
            appends / claimed.len().max(1) as f64,
            appends / wall,
        );
        bed.shutdown().await;
    }
    Ok(())
}

fn quantile(sorted: &[Duration], share: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * share).round() as usize;
    sorted.get(index).map_or(0.0, |d| d.as_secs_f64() * 1000.0)
}

/// Sends confirmations at a rate; returns the sorted times of those that were answered.
async fn load(bed: &LocalCluster, rate: f64, keyed: bool) -> Vec<Duration> {
    let callers: Vec<ApiClient> =
        bed.entries.values().map(|e| ApiClient::new(e.address, "t", "standard")).collect();
    let mut tasks = JoinSet::new();
    let began = time::Instant::now();
    for i in 0..(rate * RUN_TIME.as_secs_f64()) as u32 {
        time::sleep_until(began + Duration::from_secs_f64(f64::from(i) / rate)).await;
        let caller = callers[i as usize % callers.len()].clone();
        tasks.spawn(async move {
            let id = format!("{keyed}-{i}");
            caller.confirm("payroll", &id, keyed.then_some(id.as_str())).await
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

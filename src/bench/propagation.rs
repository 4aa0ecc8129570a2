//! Time from submitting a configuration change until every process has applied it.

use std::{io, time::Duration};

use tokio::time;

use crate::{
    bench::print_machine,
    core::config::Action,
    demo::{ClusterSpec, EngineSpec, LocalCluster, Site},
    fakes::EngineProfile,
};

const ENTRIES: usize = 20;
const ENGINES: usize = 30;
const CHANGES: u64 = 60;
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(10);
const OUTAGE_DURATION: Duration = Duration::from_secs(3);

/// Runs the benchmark and prints a table.
pub(super) async fn run() -> io::Result<()> {
    print_machine();
    println!("{ENTRIES} entries and {ENGINES} agents, {CHANGES} changes each");
    println!("{:<34} {:>9} {:>9} {:>9}", "log", "p50", "p99", "largest");
    let mut cluster = LocalCluster::start(&cluster_spec()).await?;
    measure(&mut cluster, "answers in 2 ms").await?;
    cluster.log.set_faults(|f| f.delay = Duration::from_millis(150));
    measure(&mut cluster, "answers in 150 ms").await?;
    cluster.log.set_faults(|f| {
        f.delay = Duration::from_millis(2);
        f.lost_response_percent = 30;
    });
    measure(&mut cluster, "loses 30% of append answers").await?;
    cluster.log.set_faults(|f| f.lost_response_percent = 0);
    measure_after_outage(&mut cluster).await?;
    cluster.shutdown().await;
    Ok(())
}

fn cluster_spec() -> ClusterSpec {
    let site = |i: usize| Site { region: format!("r{}", i % 2), zone: format!("z{}", i % 7) };
    let engine = |i: usize| EngineSpec {
        name: format!("engine-{i}"),
        site: site(i),
        profile: EngineProfile::default(),
    };
    ClusterSpec {
        entries: (0..ENTRIES).map(|i| (format!("entry-{i}"), site(i))).collect(),
        engines: (0..ENGINES).map(engine).collect(),
        tenants: vec!["t".into()],
        classes: vec!["standard".into()],
        seed: 4,
        ..ClusterSpec::default()
    }
}

/// Measures [`CHANGES`] changes one after the other.
async fn measure(cluster: &mut LocalCluster, name: &str) -> io::Result<()> {
    let mut times = Vec::new();
    for i in 0..CHANGES {
        let action = Action::Set { key: "tenant.weight".to_owned(), value: 100 + i };
        cluster.submit_change(action).await.map_err(io::Error::other)?;
        let elapsed = cluster.wait_until_propagated(PROPAGATION_TIMEOUT).await;
        times.push(elapsed.ok_or_else(|| {
            io::Error::other("a change was not applied by every process in time")
        })?);
        time::sleep(Duration::from_millis(10)).await;
    }
    print_row(name, &mut times);
    Ok(())
}

/// Measures changes that are submitted as soon as an outage of the log ends.
async fn measure_after_outage(cluster: &mut LocalCluster) -> io::Result<()> {
    let mut times = Vec::new();
    for i in 0..5 {
        cluster.log.set_faults(|f| f.outage = true);
        time::sleep(OUTAGE_DURATION).await;
        cluster.log.set_faults(|f| f.outage = false);
        let action = Action::Set { key: "tenant.weight".to_owned(), value: 500 + i };
        cluster.submit_change(action).await.map_err(io::Error::other)?;
        let elapsed = cluster.wait_until_propagated(PROPAGATION_TIMEOUT).await;
        times.push(elapsed.ok_or_else(|| {
            io::Error::other("a change was not applied by every process in time")
        })?);
    }
    print_row("back after a 3 s outage, 5 changes", &mut times);
    Ok(())
}

fn print_row(name: &str, times: &mut [Duration]) {
    times.sort_unstable();
    let quantile = |q: f64| {
        let index = ((times.len() - 1) as f64 * q).round() as usize;
        times[index].as_secs_f64() * 1000.0
    };
    println!(
        "{name:<34} {:>6.0} ms {:>6.0} ms {:>6.0} ms",
        quantile(0.5),
        quantile(0.99),
        quantile(1.0)
    );
}

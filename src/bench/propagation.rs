//! Time from sending a change until it is in force in every process.

use std::{io, time::Duration};

use tokio::time;

use crate::{
    bench::print_machine,
    core::config::Action,
    demo::{ClusterSpec, EngineSpec, LocalCluster, Site},
    fakes::EngineTraits,
};

const ENTRIES: usize = 20;
const ENGINES: usize = 30;
const CHANGES: u64 = 60;
const LIMIT: Duration = Duration::from_secs(10);
const OUTAGE: Duration = Duration::from_secs(3);

/// Measures and prints a table.
pub(super) async fn run() -> io::Result<()> {
    print_machine();
    println!("{ENTRIES} entries and {ENGINES} agents, {CHANGES} changes each");
    println!("{:<34} {:>9} {:>9} {:>9}", "log", "p50", "p99", "largest");
    let mut bed = LocalCluster::start(&shape()).await?;
    measure(&mut bed, "answers in 2 ms").await?;
    bed.log.set_faults(|f| f.delay = Duration::from_millis(150));
    measure(&mut bed, "answers in 150 ms").await?;
    bed.log.set_faults(|f| {
        f.delay = Duration::from_millis(2);
        f.lost_answers = 30;
    });
    measure(&mut bed, "loses 30% of append answers").await?;
    bed.log.set_faults(|f| f.lost_answers = 0);
    after_outage(&mut bed).await?;
    bed.shutdown().await;
    Ok(())
}

fn shape() -> ClusterSpec {
    let site = |i: usize| Site { region: format!("r{}", i % 2), zone: format!("z{}", i % 7) };
    let engine = |i: usize| EngineSpec {
        name: format!("engine-{i}"),
        site: site(i),
        traits: EngineTraits::default(),
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

async fn measure(bed: &mut LocalCluster, name: &str) -> io::Result<()> {
    let mut times = Vec::new();
    for i in 0..CHANGES {
        let action = Action::Set { key: "tenant.weight".to_owned(), value: 100 + i };
        bed.submit_change(action).await.map_err(io::Error::other)?;
        let took = bed.wait_until_propagated(LIMIT).await;
        times.push(took.ok_or_else(|| io::Error::other("a change was not in force in time"))?);
        time::sleep(Duration::from_millis(10)).await;
    }
    print(name, &mut times);
    Ok(())
}

/// Changes that are made as soon as an outage ends.
async fn after_outage(bed: &mut LocalCluster) -> io::Result<()> {
    let mut times = Vec::new();
    for i in 0..5 {
        bed.log.set_faults(|f| f.outage = true);
        time::sleep(OUTAGE).await;
        bed.log.set_faults(|f| f.outage = false);
        let action = Action::Set { key: "tenant.weight".to_owned(), value: 500 + i };
        bed.submit_change(action).await.map_err(io::Error::other)?;
        let took = bed.wait_until_propagated(LIMIT).await;
        times.push(took.ok_or_else(|| io::Error::other("a change was not in force in time"))?);
    }
    print("back after 3 s, 5 changes", &mut times);
    Ok(())
}

fn print(name: &str, times: &mut [Duration]) {
    times.sort_unstable();
    let at = |share: f64| {
        let index = ((times.len() - 1) as f64 * share).round() as usize;
        times[index].as_secs_f64() * 1000.0
    };
    println!("{name:<34} {:>6.0} ms {:>6.0} ms {:>6.0} ms", at(0.5), at(0.99), at(1.0));
}

//! Twice the load that a small fleet can carry: goodput, shares, time to refuse.

use std::{io, net::SocketAddr, time::Duration};

use tokio::{task::JoinSet, time};

use crate::{
    bench::{
        overhead::{on_thread, small_shape},
        print_machine,
    },
    core::config::{Action, Selector},
    demo::{ApiClient, CompletionRequest, LocalCluster, RequestResult},
    fakes::EngineTraits,
};

const ENGINES: usize = 2;
const SLOTS: u64 = 8;
const TOKENS: u32 = 20;
const RUN_TIME: Duration = Duration::from_secs(12);
const MULTIPLES: [f64; 4] = [0.5, 0.9, 1.2, 2.0];
const TARGET: Duration = Duration::from_millis(600);

// An engine that takes about 0.4 s for a request with its batch full.
fn traits() -> EngineTraits {
    EngineTraits {
        first_token: Duration::from_millis(60),
        gap: Duration::from_millis(10),
        doubling_batch: 16.0,
        ..EngineTraits::default()
    }
}

/// Measures and prints a table.
pub(super) async fn run() -> io::Result<()> {
    print_machine();
    // 60 ms and 19 gaps of 10 ms, both 1.5 times as long with 8 running.
    let capacity = ENGINES as f64 * SLOTS as f64 / (0.25 * 1.5);
    println!(
        "{ENGINES} engines of {SLOTS} slots, capacity about {capacity:.0} requests/s, target \
         {TARGET:?}, {RUN_TIME:?} each; tenant heavy (weight 300) and light (weight 100) send \
         half each"
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
    let mut shape = small_shape(ENGINES, traits());
    shape.tenants = vec!["heavy".into(), "light".into()];
    let mut bed = LocalCluster::start(&shape).await?;
    configure(&mut bed).await?;
    bed.wait_until_loaded(Duration::from_secs(10)).await;
    let entry = bed.entries["entry-0"].address;
    for multiple in MULTIPLES {
        let rate = capacity * multiple;
        let halves = futures_util::future::join(
            tenant(entry, "heavy", rate / 2.0),
            tenant(entry, "light", rate / 2.0),
        );
        let (heavy, light) = halves.await;
        print(multiple, rate, &heavy?, &light?);
    }
    bed.shutdown().await;
    Ok(())
}

async fn configure(bed: &mut LocalCluster) -> io::Result<()> {
    bed.remove_limits().await.map_err(io::Error::other)?;
    let defaults = [
        ("endpoint.max_running", SLOTS),
        ("endpoint.queue_limit", 64),
        ("class.first_token_ms", TARGET.as_millis() as u64),
    ];
    for (key, value) in defaults {
        let action = Action::Set { key: key.to_owned(), value };
        bed.submit_change(action).await.map_err(io::Error::other)?;
    }
    let selector: Selector = "tenant=heavy".parse().map_err(io::Error::other)?;
    let action = Action::Except {
        selector,
        key: "tenant.weight".to_owned(),
        value: 300,
        reason: "has paid for three shares".to_owned(),
    };
    bed.submit_change(action).await.map_err(io::Error::other)?;
    bed.wait_until_propagated(Duration::from_secs(3)).await;
    Ok(())
}

fn print(multiple: f64, rate: f64, heavy: &[RequestResult], light: &[RequestResult]) {
    let good = |results: &[RequestResult]| {
        let in_time = results.iter().filter(|r| r.complete && r.first_token <= TARGET).count();
        in_time as f64 / RUN_TIME.as_secs_f64()
    };
    let mut refused: Vec<Duration> =
        heavy.iter().chain(light).filter(|r| r.code != 0).map(|r| r.total).collect();
    refused.sort_unstable();
    let at = |share: f64| {
        let index = (refused.len().saturating_sub(1) as f64 * share).round() as usize;
        refused.get(index).map_or(0.0, |d| d.as_secs_f64() * 1000.0)
    };
    println!(
        "{multiple:>8} {rate:>10.0} {:>10.1} {:>9.1} {:>9.1} {:>8.1}% {:>10.1} ms {:>10.1} ms",
        good(heavy) + good(light),
        good(heavy),
        good(light),
        refused.len() as f64 * 100.0 / (heavy.len() + light.len()) as f64,
        at(0.5),
        at(0.99)
    );
}

async fn tenant(
    entry: SocketAddr,
    name: &'static str,
    rate: f64,
) -> io::Result<Vec<RequestResult>> {
    on_thread(move || async move {
        let caller = ApiClient::new(entry, name, "standard");
        let mut tasks = JoinSet::new();
        let mut rng = fastrand::Rng::with_seed(name.len() as u64);
        let began = time::Instant::now();
        for i in 0..(rate * RUN_TIME.as_secs_f64()) as u32 {
            time::sleep_until(began + Duration::from_secs_f64(f64::from(i) / rate)).await;
            let prompt = format!("prompt {:x}", rng.u64(..));
            let ask =
                CompletionRequest { model: "m".to_owned(), prompt, tokens: TOKENS, stream: true };
            let caller = caller.clone();
            tasks.spawn(async move { caller.complete(&ask).await });
        }
        tasks.join_all().await
    })
    .await
}

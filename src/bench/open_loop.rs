//! An entry at multiples of its share of the target peak, open loop.

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use tokio::{task::JoinSet, time};

use crate::{
    bench::{
        fit,
        overhead::{Times, instant_engine, on_thread, small_shape},
        print_machine, threads,
    },
    demo::{ApiClient, CompletionRequest, LocalCluster},
    fakes::EngineTraits,
};

// The target peak: 1,400 requests and 430,000 tokens a second over 340 entries.
const SHARE_REQUESTS: f64 = 1400.0 / 340.0;
const TOKENS_PER_REQUEST: u32 = 430_000 / 1400;
const MULTIPLES: [f64; 5] = [1.0, 5.0, 10.0, 20.0, 40.0];
const RUN_TIME: Duration = Duration::from_secs(10);
const ENGINES: usize = 2;
const IDLE_TIME: Duration = Duration::from_secs(5);

/// Measures and prints a table and the fitted slopes.
pub(super) async fn run() -> io::Result<()> {
    print_machine();
    println!(
        "open loop, {TOKENS_PER_REQUEST} tokens a request, {RUN_TIME:?} each, {ENGINES} agents, \
         1 entry; CPU is of one core; the share of the target peak is {SHARE_REQUESTS:.1} \
         requests/s"
    );
    let traits = EngineTraits { gap: Duration::from_millis(4), ..instant_engine() };
    let mut bed = LocalCluster::start(&small_shape(ENGINES, traits)).await?;
    bed.remove_limits().await.map_err(io::Error::other)?;
    bed.wait_until_loaded(Duration::from_secs(10)).await;
    let idle = idle().await;
    println!("idle: entry {:.2}% of a core, agents {:.2}% each", idle.0, idle.1);
    println!(
        "{:>8} {:>10} {:>10} {:>10} {:>10} {:>10} {:>9} {:>9} {:>7}",
        "multiple",
        "direct p50",
        "direct p99",
        "entry p50",
        "entry p99",
        "added p99",
        "entry CPU",
        "agent CPU",
        "failed"
    );
    let entry = bed.entries["entry-0"].address;
    let direct: Vec<SocketAddr> =
        (0..ENGINES).map(|i| bed.backend_address(&format!("engine-{i}"))).collect();
    let (mut entry_points, mut agent_points) = (Vec::new(), Vec::new());
    for multiple in MULTIPLES {
        let rate = SHARE_REQUESTS * multiple;
        let mut bare = load(direct.clone(), rate).await?;
        let before = (threads::cpu("entry"), threads::cpu("engine"), Instant::now());
        let mut through = load(vec![entry], rate).await?;
        let wall = before.2.elapsed().as_secs_f64();
        let entry_cpu = (threads::cpu("entry") - before.0).as_secs_f64() * 100.0 / wall;
        let agents_cpu = (threads::cpu("engine") - before.1).as_secs_f64() * 100.0 / wall;
        let (d, t) = (bare.quantile(0.99), through.quantile(0.99));
        println!(
            "{multiple:>8} {:>7.2} ms {:>7.2} ms {:>7.2} ms {:>7.2} ms {:>7.2} ms {entry_cpu:>8.1}% \
             {:>8.1}% {:>7}",
            ms(bare.quantile(0.5)),
            ms(d),
            ms(through.quantile(0.5)),
            ms(t),
            ms(t) - ms(d),
            agents_cpu / ENGINES as f64,
            through.failed
        );
        entry_points.push((rate, entry_cpu));
        agent_points.push((rate, agents_cpu));
    }
    for (role, points) in [("entry", entry_points), ("all agents", agent_points)] {
        let line = fit(&points);
        println!(
            "{role}: {:.2}% + {:.4}% of a core for each request/s of {TOKENS_PER_REQUEST} tokens, \
             error {:.1}%",
            line.base,
            line.slope,
            line.error * 100.0
        );
    }
    bed.shutdown().await;
    Ok(())
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

async fn idle() -> (f64, f64) {
    let before = (threads::cpu("entry"), threads::cpu("engine"));
    time::sleep(IDLE_TIME).await;
    let share = |d: Duration| d.as_secs_f64() * 100.0 / IDLE_TIME.as_secs_f64();
    let entry = share(threads::cpu("entry") - before.0);
    let agents = share(threads::cpu("engine") - before.1);
    (entry, agents / ENGINES as f64)
}

async fn load(addresses: Vec<SocketAddr>, rate: f64) -> io::Result<Times> {
    on_thread(move || async move {
        let callers: Vec<ApiClient> =
            addresses.iter().map(|a| ApiClient::new(*a, "t", "standard")).collect();
        let mut tasks = JoinSet::new();
        let mut rng = fastrand::Rng::with_seed(9);
        let began = time::Instant::now();
        let count = (rate * RUN_TIME.as_secs_f64()) as u32;
        for i in 0..count {
            time::sleep_until(began + Duration::from_secs_f64(f64::from(i) / rate)).await;
            let caller = callers[i as usize % callers.len()].clone();
            let prompt = format!("prompt {:x}", rng.u64(..));
            let ask = CompletionRequest {
                model: "m".to_owned(),
                prompt,
                tokens: TOKENS_PER_REQUEST,
                stream: true,
            };
            tasks.spawn(async move { caller.complete(&ask).await });
        }
        let mut times = Times::default();
        while let Some(result) = tasks.join_next().await {
            match result {
                Ok(result) if result.complete => times.first.push(result.first_token),
                _ => times.failed += 1,
            }
        }
        times
    })
    .await
}

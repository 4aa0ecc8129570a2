//! Open-loop load on one entry at multiples of its share of the target peak load: added
//! latency, and CPU time of the entry and the agents.

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use tokio::{task::JoinSet, time};

use crate::{
    bench::{
        fit_line,
        overhead::{Latencies, fast_engine, run_on_thread, small_cluster_spec},
        print_machine, threads,
    },
    demo::{ApiClient, CompletionRequest, LocalCluster},
    fakes::EngineProfile,
};

// The target peak load is 1,400 requests and 430,000 tokens per second over 340 entries.
const PEAK_REQUESTS_PER_ENTRY: f64 = 1400.0 / 340.0;
const TOKENS_PER_REQUEST: u32 = 430_000 / 1400;
const MULTIPLES: [f64; 5] = [1.0, 5.0, 10.0, 20.0, 40.0];
const RUN_DURATION: Duration = Duration::from_secs(10);
const ENGINES: usize = 2;
const IDLE_DURATION: Duration = Duration::from_secs(5);

/// Runs the benchmark and prints a table and the fitted lines of CPU time over rate.
pub(super) async fn run() -> io::Result<()> {
    print_machine();
    println!(
        "open loop, {TOKENS_PER_REQUEST} tokens per request, {RUN_DURATION:?} each, {ENGINES} \
         agents, 1 entry; CPU in percent of one core; the share of one entry in the target peak \
         is {PEAK_REQUESTS_PER_ENTRY:.1} requests/s"
    );
    let profile = EngineProfile { token_gap: Duration::from_millis(4), ..fast_engine() };
    let mut cluster = LocalCluster::start(&small_cluster_spec(ENGINES, profile)).await?;
    cluster.remove_limits().await.map_err(io::Error::other)?;
    cluster.wait_until_loaded(Duration::from_secs(10)).await;
    let idle = measure_idle().await;
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
    let entry = cluster.entries["entry-0"].address;
    let backends: Vec<SocketAddr> =
        (0..ENGINES).map(|i| cluster.backend_address(&format!("engine-{i}"))).collect();
    let (mut entry_points, mut agent_points) = (Vec::new(), Vec::new());
    for multiple in MULTIPLES {
        let rate = PEAK_REQUESTS_PER_ENTRY * multiple;
        let mut direct_latencies = send_load(backends.clone(), rate).await?;
        let before = (threads::cpu_time("entry"), threads::cpu_time("engine"), Instant::now());
        let mut entry_latencies = send_load(vec![entry], rate).await?;
        let elapsed_s = before.2.elapsed().as_secs_f64();
        let entry_cpu = (threads::cpu_time("entry") - before.0).as_secs_f64() * 100.0 / elapsed_s;
        let agents_cpu = (threads::cpu_time("engine") - before.1).as_secs_f64() * 100.0 / elapsed_s;
        let (direct_p99, entry_p99) =
            (direct_latencies.quantile(0.99), entry_latencies.quantile(0.99));
        println!(
            "{multiple:>8} {:>7.2} ms {:>7.2} ms {:>7.2} ms {:>7.2} ms {:>7.2} ms {entry_cpu:>8.1}% \
             {:>8.1}% {:>7}",
            ms(direct_latencies.quantile(0.5)),
            ms(direct_p99),
            ms(entry_latencies.quantile(0.5)),
            ms(entry_p99),
            ms(entry_p99) - ms(direct_p99),
            agents_cpu / ENGINES as f64,
            entry_latencies.failed
        );
        entry_points.push((rate, entry_cpu));
        agent_points.push((rate, agents_cpu));
    }
    for (role, points) in [("entry", entry_points), ("all agents", agent_points)] {
        let line = fit_line(&points);
        println!(
            "{role}: {:.2}% + {:.4}% of a core per request/s of {TOKENS_PER_REQUEST} tokens, \
             error {:.1}%",
            line.intercept,
            line.slope,
            line.max_relative_error * 100.0
        );
    }
    cluster.shutdown().await;
    Ok(())
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

/// Measures the CPU usage of the entry and of one agent without load, percent of a core.
/// Agents run on threads that are named after their endpoints, `engine-0` and so on.
async fn measure_idle() -> (f64, f64) {
    let before = (threads::cpu_time("entry"), threads::cpu_time("engine"));
    time::sleep(IDLE_DURATION).await;
    let percent = |d: Duration| d.as_secs_f64() * 100.0 / IDLE_DURATION.as_secs_f64();
    let entry = percent(threads::cpu_time("entry") - before.0);
    let agents = percent(threads::cpu_time("engine") - before.1);
    (entry, agents / ENGINES as f64)
}

/// Sends streamed completions at a fixed rate, in turn to each address.
async fn send_load(addresses: Vec<SocketAddr>, rate: f64) -> io::Result<Latencies> {
    run_on_thread(move || async move {
        let clients: Vec<ApiClient> =
            addresses.iter().map(|a| ApiClient::new(*a, "t", "standard")).collect();
        let mut tasks = JoinSet::new();
        let mut rng = fastrand::Rng::with_seed(9);
        let started_at = time::Instant::now();
        let count = (rate * RUN_DURATION.as_secs_f64()) as u32;
        for i in 0..count {
            time::sleep_until(started_at + Duration::from_secs_f64(f64::from(i) / rate)).await;
            let client = clients[i as usize % clients.len()].clone();
            let prompt = format!("prompt {:x}", rng.u64(..));
            let request = CompletionRequest {
                model: "m".to_owned(),
                prompt,
                tokens: TOKENS_PER_REQUEST,
                stream: true,
            };
            tasks.spawn(async move { client.complete(&request).await });
        }
        let mut latencies = Latencies::default();
        while let Some(result) = tasks.join_next().await {
            match result {
                Ok(result) if result.complete => latencies.first_token.push(result.first_token),
                _ => latencies.failed += 1,
            }
        }
        latencies
    })
    .await
}

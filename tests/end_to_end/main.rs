//! Real processes on loopback sockets with stand-ins. No assertion is about time.

mod callers;
mod crashes;
mod once;
mod outages;
mod serving;

use std::time::Duration;

use goldcrestpitch::{
    demo::{ApiClient, ClusterSpec, CompletionRequest, EngineSpec, LocalCluster, Site},
    fakes::EngineProfile,
};

const GIB: u64 = 1024;

/// Two zones, two entries, three engines, one plain service of two instances.
fn shape() -> ClusterSpec {
    let zones = ["east", "west"];
    let engine = |i: usize| EngineSpec {
        name: format!("engine-{i}"),
        site: Site::of(zones[i % 2]),
        profile: EngineProfile { checks_fencing: i != 1, ..quick() },
    };
    ClusterSpec {
        entries: zones.iter().map(|z| (format!("entry-{z}"), Site::of(z))).collect(),
        engines: (0..3).map(engine).collect(),
        services: vec![
            ("payroll-0".into(), "payroll".into(), Site::of("east")),
            ("payroll-1".into(), "payroll".into(), Site::of("west")),
        ],
        models: vec![("roster".into(), 16 * GIB), ("snow".into(), 24 * GIB)],
        tenants: vec!["acme".into(), "metro".into()],
        classes: vec!["standard".into()],
        service_latency: Duration::from_millis(10),
        seed: 3,
        ..ClusterSpec::default()
    }
}

fn quick() -> EngineProfile {
    EngineProfile {
        first_token: Duration::from_millis(5),
        token_gap: Duration::from_millis(2),
        load_time_per_gib: Duration::from_millis(1),
        restart_time: Duration::from_millis(300),
        ..EngineProfile::default()
    }
}

async fn start() -> LocalCluster {
    start_with(&shape()).await
}

async fn start_with(shape: &ClusterSpec) -> LocalCluster {
    let bed = LocalCluster::start(shape).await.expect("the bed starts");
    assert!(bed.wait_until_loaded(Duration::from_secs(20)).await, "the plan was not loaded");
    bed
}

fn caller(bed: &LocalCluster, entry: &str) -> ApiClient {
    ApiClient::new(bed.entries[entry].address, "acme", "standard")
}

fn ask(model: &str, prompt: &str, tokens: u32, stream: bool) -> CompletionRequest {
    CompletionRequest { model: model.into(), prompt: prompt.into(), tokens, stream }
}

/// Runs a test on one thread, as each process does.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(test);
}

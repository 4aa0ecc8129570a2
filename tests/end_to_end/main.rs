//! Runs entries and agents on loopback sockets, with fake engines, services and log. No assertion
//! depends on timing.

mod at_most_once;
mod clients;
mod crashes;
mod outages;
mod serving;

use std::time::Duration;

use goldcrestpitch::{
    demo::{ApiClient, ClusterSpec, CompletionRequest, EngineSpec, LocalCluster, Site},
    fakes::EngineProfile,
};

const MIB_PER_GIB: u64 = 1024;

/// Two zones, two entries, three engines, of which one does not check fencing tokens, and one
/// plain service with two instances.
fn cluster_spec() -> ClusterSpec {
    let zones = ["east", "west"];
    let engine = |i: usize| EngineSpec {
        name: format!("engine-{i}"),
        site: Site::of(zones[i % 2]),
        profile: EngineProfile { checks_fencing: i != 1, ..fast_engine_profile() },
    };
    ClusterSpec {
        entries: zones.iter().map(|z| (format!("entry-{z}"), Site::of(z))).collect(),
        engines: (0..3).map(engine).collect(),
        services: vec![
            ("payroll-0".into(), "payroll".into(), Site::of("east")),
            ("payroll-1".into(), "payroll".into(), Site::of("west")),
        ],
        models: vec![("roster".into(), 16 * MIB_PER_GIB), ("snow".into(), 24 * MIB_PER_GIB)],
        tenants: vec!["acme".into(), "metro".into()],
        classes: vec!["standard".into()],
        service_latency: Duration::from_millis(10),
        seed: 3,
        ..ClusterSpec::default()
    }
}

fn fast_engine_profile() -> EngineProfile {
    EngineProfile {
        first_token: Duration::from_millis(5),
        token_gap: Duration::from_millis(2),
        load_time_per_gib: Duration::from_millis(1),
        restart_time: Duration::from_millis(300),
        ..EngineProfile::default()
    }
}

async fn start_default() -> LocalCluster {
    start_cluster(&cluster_spec()).await
}

async fn start_cluster(spec: &ClusterSpec) -> LocalCluster {
    let cluster = LocalCluster::start(spec).await.expect("the cluster did not start");
    assert!(
        cluster.wait_until_loaded(Duration::from_secs(20)).await,
        "the planned models were not loaded"
    );
    cluster
}

fn client_for(cluster: &LocalCluster, entry: &str) -> ApiClient {
    ApiClient::new(cluster.entries[entry].address, "acme", "standard")
}

fn completion_request(model: &str, prompt: &str, tokens: u32, stream: bool) -> CompletionRequest {
    CompletionRequest { model: model.into(), prompt: prompt.into(), tokens, stream }
}

/// Runs a test on one thread, like each process.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(test);
}

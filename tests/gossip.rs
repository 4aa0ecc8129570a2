//! Messages of the largest deployments must fit into one datagram: a larger message is
//! dropped by the sender, each time.

use goldcrestpitch::gossip::{
    Body, ChangeKind, CrashReport, CrashReports, Datagram, Demand, EngineStatus, GatewayStatus,
    Hello, LoadedModel, MAX_DATAGRAM_BYTES, ResidencyChange,
};
use prost::Message;

fn encoded_size(body: Body) -> usize {
    Datagram { body: Some(body) }.encode_to_vec().len()
}

fn addresses(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("10.10.100.{i}:8300")).collect()
}

fn model_name(i: usize) -> String {
    format!("model-name-{i:04}")
}

#[test]
fn gateway_status_fits_a_datagram() {
    let demand = |i| Demand {
        service: "language-model".into(),
        model: model_name(i),
        tokens_per_s: 12_345.6,
        waiting: 99,
    };
    let status = GatewayStatus {
        serving: true,
        demand: (0..20).map(demand).collect(),
        gateways: addresses(8),
        zone: "muenchen-a".into(),
    };
    let bytes = encoded_size(Body::GatewayStatus(status));
    assert!(bytes <= MAX_DATAGRAM_BYTES, "{bytes}");
}

#[test]
fn crash_reports_fit_a_datagram() {
    let report = |i| CrashReport {
        fingerprint: u64::MAX - i,
        crashes: vec![u64::MAX; 8],
        cleared: vec![u64::MAX; 8],
    };
    let reports = CrashReports { reports: (0..9).map(report).collect() };
    let bytes = encoded_size(Body::CrashReports(reports));
    let after_one_crash = CrashReport { crashes: vec![u64::MAX], cleared: Vec::new(), ..report(0) };
    let reports = CrashReports { reports: vec![after_one_crash; 9] };
    println!(
        "{bytes} bytes at most, {} after one crash",
        encoded_size(Body::CrashReports(reports))
    );
    assert!(bytes <= MAX_DATAGRAM_BYTES, "{bytes}");
}

#[test]
fn status_of_a_full_engine_fits_a_datagram() {
    let loaded = |i| LoadedModel {
        name: model_name(i),
        adapters: (0..8).map(|a| format!("a{a}")).collect(),
    };
    let status = EngineStatus {
        engine: "10.10.100.100:8300".into(),
        sequence: u64::MAX,
        loaded: (0..5).map(loaded).collect(),
        cached: (0..16).map(model_name).collect(),
        gateways: addresses(8),
        loading: model_name(7),
        started_ms: u64::MAX,
        weights_mib: 83_000,
        can_order: true,
        in_use: (0..5).map(model_name).collect(),
        kv_used: 100_000,
        kv_total: 100_000,
        recent_tokens: 10_000,
        ..EngineStatus::default()
    };
    let bytes = encoded_size(Body::EngineStatus(status));
    assert!(bytes <= MAX_DATAGRAM_BYTES, "{bytes}");
}

#[test]
fn hello_with_many_changes_fits_a_datagram() {
    let change = |i| ResidencyChange {
        kind: ChangeKind::Load.into(),
        model: model_name(i),
        adapter: "a17".into(),
    };
    let hello = Hello {
        serving: true,
        is_planner: true,
        changes: (0..16).map(change).collect(),
        used_models: (0..13).map(|i| format!("{}/a17", model_name(i))).collect(),
        wants_status: true,
    };
    let bytes = encoded_size(Body::Hello(hello));
    assert!(bytes <= MAX_DATAGRAM_BYTES, "{bytes}");
}

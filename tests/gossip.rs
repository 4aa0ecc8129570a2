//! Messages of usual deployments must fit into one datagram. A larger message takes several, and
//! is lost with any of them.

use std::time::Instant;

use goldcrestpitch::{
    core::{
        forwarding::{KeptSegment, ReportedSegment},
        limits,
        quarantine::{self, SegmentHistory, Suspect},
    },
    gossip::{
        Body, ChangeKind, CrashReport, CrashReports, Datagram, Demand, EngineStatus, GatewayStatus,
        Hello, KeptSegments, LoadedModel, MAX_DATAGRAM_BYTES, QuotaReports, ResidencyChange,
        SuspectKind,
    },
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
        requests: 9_999,
        kv_tokens: 20_000_000,
    };
    let status = GatewayStatus {
        serving: true,
        demand: (0..20).map(demand).collect(),
        gateways: addresses(8),
        zone: "muenchen-a".into(),
        known: 400,
        is_informed: true,
        configuration: u64::MAX,
        kept: None,
    };
    let bytes = encoded_size(Body::GatewayStatus(status));
    assert!(bytes <= MAX_DATAGRAM_BYTES, "{bytes}");
}

fn kept_segment(i: u32) -> ReportedSegment {
    let segment = KeptSegment { key: u64::MAX - u64::from(i), tokens: 1_000_000 };
    ReportedSegment { engine: u32::MAX - i, segment }
}

/// Guards against a status that is dropped because the kept segments make it too large.
#[test]
fn kept_segments_fit_beside_any_status() {
    for models in 0..40 {
        let demand =
            |i| Demand { service: "llm".into(), model: model_name(i), ..Demand::default() };
        let demand = (0..models).map(demand).collect();
        let mut status =
            GatewayStatus { demand, gateways: addresses(8), ..GatewayStatus::default() };
        let without = encoded_size(Body::GatewayStatus(status.clone()));
        let room = KeptSegments::room_beside(&status);
        assert!(room <= 24);
        let kept: Vec<ReportedSegment> = (0..room as u32).map(kept_segment).collect();
        status.kept = KeptSegments::new(&kept);
        assert_eq!(status.kept.iter().flat_map(KeptSegments::segments).collect::<Vec<_>>(), kept);
        let bytes = encoded_size(Body::GatewayStatus(status));
        assert!(bytes <= MAX_DATAGRAM_BYTES.max(without), "{bytes} for {models} models");
    }
}

/// Guards against a fleet whose status messages an earlier version can't read, and against bytes
/// for kept segments where there are none.
#[test]
fn status_without_kept_segments_is_as_before() {
    let status = GatewayStatus { serving: true, known: 3, ..GatewayStatus::default() };
    assert_eq!(KeptSegments::new(&[]), None);
    assert_eq!(status.encoded_len(), 4);
    // Tag 15 stands for a field that this version does not know.
    let mut encoded = status.encode_to_vec();
    encoded.extend([0x7a, 2, 1, 2]);
    assert_eq!(GatewayStatus::decode(&*encoded).unwrap(), status);
    // Lists of unequal length are cut to the shortest.
    let mut kept = KeptSegments::new(&[kept_segment(1), kept_segment(2)]).unwrap();
    kept.tokens.pop();
    assert_eq!(kept.segments().count(), 1);
}

#[test]
fn crash_reports_fit_a_datagram() {
    let report = |i| CrashReport {
        id: u64::MAX - i,
        crashes: vec![u64::MAX; 8],
        cleared: vec![u64::MAX; 8],
        kind: SuspectKind::Request.into(),
        sound: false,
        headers: Vec::new(),
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

fn segment_report(crashes: usize, cleared: usize) -> CrashReport {
    CrashReport {
        id: u64::MAX,
        crashes: vec![u64::MAX; crashes],
        cleared: vec![u64::MAX; cleared],
        kind: SuspectKind::Segment.into(),
        sound: false,
        headers: Vec::new(),
    }
}

/// The largest report that a gateway can have on a segment.
fn largest_segment_report() -> CrashReport {
    let mut history = SegmentHistory::new(5);
    let now = Instant::now();
    for crash in 0..1000 {
        history.record_crash(now, 7, crash);
    }
    history.record_sound(now, 7, true);
    for crash in 1000..2000 {
        history.record_crash(now, 7, crash);
    }
    history.report(7).unwrap().into()
}

#[test]
fn reports_of_any_size_are_distributed_over_datagrams() {
    let largest = largest_segment_report();
    println!(
        "a report on a segment: {} bytes after one crash, {} after five, {} at most",
        segment_report(1, 0).encoded_len(),
        segment_report(5, 0).encoded_len(),
        largest.encoded_len()
    );
    for report in [segment_report(1, 0), segment_report(5, 0), largest] {
        let batches = CrashReports::batches(vec![report.clone(); 100]);
        let count: usize = batches.iter().map(|b| b.reports.len()).sum();
        assert_eq!(count, 100);
        let per_datagram = batches[0].reports.len();
        println!("{per_datagram} reports of {} bytes in a datagram", report.encoded_len());
        for batch in &batches {
            let bytes = encoded_size(Body::CrashReports(batch.clone()));
            assert!(bytes <= MAX_DATAGRAM_BYTES, "{bytes}");
        }
    }
}

#[test]
fn report_without_a_kind_is_of_a_request() {
    /// The report as versions encoded it that knew requests only.
    #[derive(Clone, PartialEq, Message)]
    struct OldCrashReport {
        #[prost(fixed64, tag = "1")]
        fingerprint: u64,
        #[prost(fixed64, repeated, tag = "2")]
        crashes: Vec<u64>,
        #[prost(fixed64, repeated, tag = "3")]
        cleared: Vec<u64>,
    }
    let old = OldCrashReport { fingerprint: 7, crashes: vec![1, 2], cleared: vec![3] };
    let read = CrashReport::decode(old.encode_to_vec().as_slice()).unwrap();
    let report = quarantine::CrashReport::try_from(read).unwrap();
    assert_eq!(report.suspect, Suspect::Request(7));
    assert_eq!((report.crashes, report.cleared), (vec![1, 2], vec![3]));
}

#[test]
fn report_on_a_segment_is_read_as_such() {
    let report = quarantine::CrashReport {
        suspect: Suspect::Segment(7),
        crashes: vec![1],
        cleared: vec![2],
        sound: true,
        headers: Vec::new(),
    };
    let sent = CrashReport::from(report.clone()).encode_to_vec();
    let read = CrashReport::decode(sent.as_slice()).unwrap();
    assert_eq!(quarantine::CrashReport::try_from(read), Ok(report));
}

#[test]
fn report_of_an_unknown_kind_is_no_report_of_a_request() {
    let unknown = CrashReport { kind: 99, ..segment_report(1, 0) };
    assert!(quarantine::CrashReport::try_from(unknown).is_err());
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
        engine_id: "i-0123456789abcdef".into(),
        engine_started_ms: 1_700_000_000_000,
    };
    let bytes = encoded_size(Body::Hello(hello));
    assert!(bytes <= MAX_DATAGRAM_BYTES, "{bytes}");
}

fn quota_report(accounts: usize) -> limits::QuotaReport {
    let account = |i| limits::AccountReport {
        account: format!("{}{i:04}", "n".repeat(60)).into(),
        charged: 1e12 + i as f64,
        level: -0.5,
    };
    limits::QuotaReport {
        start: u64::MAX,
        sequence: u64::MAX,
        gateways: 34,
        is_settled: true,
        accounts: (0..accounts).map(account).collect(),
    }
}

/// Guards against reports that are dropped by the sender because they are too large.
#[test]
fn quota_reports_of_any_size_are_distributed_over_datagrams() {
    for accounts in [0, 1, 16, 200] {
        let report = quota_report(accounts);
        let batches = QuotaReports::batches(report.clone());
        let mut read = limits::QuotaReport { accounts: Vec::new(), ..report.clone() };
        for batch in batches {
            let bytes = encoded_size(Body::QuotaReports(batch.clone()));
            assert!(bytes <= MAX_DATAGRAM_BYTES, "{bytes}");
            read.accounts.extend(limits::QuotaReport::try_from(batch).unwrap().accounts);
        }
        assert_eq!(read, report);
    }
}

/// Guards against quotas that an amount which is no number makes useless for good.
#[test]
fn quota_report_with_an_implausible_number_is_not_read() {
    let mut report = quota_report(1);
    report.accounts[0].charged = f64::NAN;
    assert!(limits::QuotaReport::try_from(QuotaReports::from(report)).is_err());
    let report = limits::QuotaReport { gateways: usize::MAX, ..quota_report(1) };
    assert!(limits::QuotaReport::try_from(QuotaReports::from(report)).is_err());
}

/// Guards against versions that fail to read a datagram of a kind they do not know.
#[test]
fn quota_report_is_ignored_by_an_earlier_version() {
    #[derive(Clone, PartialEq, Message)]
    struct OldDatagram {
        #[prost(oneof = "OldBody", tags = "3")]
        body: Option<OldBody>,
    }
    #[derive(Clone, PartialEq, prost::Oneof)]
    enum OldBody {
        #[prost(message, tag = "3")]
        GatewayStatus(GatewayStatus),
    }
    let message = QuotaReports::from(quota_report(16));
    let sent = Datagram { body: Some(Body::QuotaReports(message)) }.encode_to_vec();
    assert_eq!(OldDatagram::decode(sent.as_slice()).unwrap().body, None);
}

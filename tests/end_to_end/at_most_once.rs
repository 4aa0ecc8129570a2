//! At-most-once execution, checked with the number of runs that the service counts.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use goldcrestpitch::{
    demo::{ApiClient, LocalCluster, RequestResult, Site},
    errors::Code,
};
use tokio::{sync::Mutex, time};

use crate::{client_for, completion_request, run, start_default};

fn assert_single_runs(cluster: &LocalCluster) {
    for (id, runs) in cluster.services["payroll"].runs() {
        assert_eq!(runs, 1, "{id} ran {runs} times");
    }
}

#[test]
fn duplicate_confirmations_run_once_and_get_the_same_response() {
    run(async {
        let cluster = start_default().await;
        let requests = (0..20).flat_map(|i| {
            let id = format!("shift-{i}");
            ["entry-east", "entry-west"].map(|entry| {
                let (client, id) = (client_for(&cluster, entry), id.clone());
                async move { client.confirm("payroll", &id, Some(&id)).await }
            })
        });
        for result in join_all(requests).await {
            assert!(result.complete && result.body.contains("\"run\":1"), "{result:?}");
        }
        assert_eq!(cluster.services["payroll"].runs().len(), 20);
        assert_single_runs(&cluster);
        cluster.shutdown().await;
    });
}

#[test]
fn idempotency_key_with_a_different_body_is_rejected() {
    run(async {
        let cluster = start_default().await;
        let east = client_for(&cluster, "entry-east");
        assert!(east.confirm("payroll", "a", Some("k")).await.complete);
        let different_body = east.confirm("payroll", "b", Some("k")).await;
        assert_eq!(
            (different_body.code, different_body.outcome.as_str()),
            (Code::KeyReused.number(), "not_run")
        );
        let path = "/v1/completions";
        let body = serde_json::json!({ "model": "roster", "prompt": "p", "max_tokens": 4 });
        let first = east.post(path, &body, Some("m"), false).await;
        let again = client_for(&cluster, "entry-west").post(path, &body, Some("m"), false).await;
        assert_eq!(first.body, again.body);
        assert!(first.status == 200 && again.status == 200, "{first:?} {again:?}");
        cluster.shutdown().await;
    });
}

#[test]
fn duplicate_after_all_vms_were_replaced_gets_the_first_response() {
    run(async {
        let mut cluster = start_default().await;
        assert!(
            client_for(&cluster, "entry-east").confirm("payroll", "a", Some("k")).await.complete
        );
        // The settle record is appended after the response was sent.
        while cluster.log.appends() < 2 || !is_settled(&cluster).await {
            time::sleep(Duration::from_millis(10)).await;
        }
        for entry in ["entry-east", "entry-west"] {
            cluster.kill_entry(entry).await;
        }
        for agent in ["payroll-0", "payroll-1"] {
            cluster.kill_agent(agent).await;
            cluster.start_agent(agent).await.unwrap();
        }
        cluster.start_entry("entry-new", &Site::of("east")).await.unwrap();
        assert!(cluster.wait_until_propagated(Duration::from_secs(20)).await.is_some());
        let again = client_for(&cluster, "entry-new").confirm("payroll", "a", Some("k")).await;
        assert!(again.complete, "{again:?}");
        assert_single_runs(&cluster);
        cluster.shutdown().await;
    });
}

async fn is_settled(cluster: &LocalCluster) -> bool {
    use goldcrestpitch::fleet::Log;
    for partition in 0..goldcrestpitch::entry::CLAIM_PARTITIONS {
        let stream = format!("claims-{partition}");
        let page = cluster.log.read(&stream, 1, Duration::ZERO).await.unwrap();
        let is_settle_record = |p: &[u8]| String::from_utf8_lossy(p).contains("\"settle\"");
        if page.records.iter().any(|r| is_settle_record(&r.payload)) {
            return true;
        }
    }
    false
}

/// Clients send each confirmation through random entries until it completes, with up to four
/// attempts, while entries and agents are killed or paused and the log is unavailable or loses
/// acknowledgements.
#[test]
fn no_request_runs_twice_during_process_failures() {
    run(async {
        let cluster = Arc::new(Mutex::new(start_default().await));
        let deadline = Instant::now() + Duration::from_secs(6);
        let workers: Vec<_> =
            (0..8).map(|w| tokio::spawn(worker(cluster.clone(), w, deadline))).collect();
        let mut rng = fastrand::Rng::with_seed(5);
        println!("seed 5");
        while Instant::now() < deadline {
            time::sleep(Duration::from_millis(rng.u64(50..300))).await;
            inject_fault(&mut *cluster.lock().await, &mut rng).await;
        }
        let mut answered = 0;
        for worker in workers {
            answered += worker.await.unwrap();
        }
        assert!(10 < answered, "only {answered} confirmations were answered");
        let cluster = cluster.lock().await;
        assert_single_runs(&cluster);
    });
}

async fn inject_fault(cluster: &mut LocalCluster, rng: &mut fastrand::Rng) {
    let zone = ["east", "west"][rng.usize(..2)];
    let agent = format!("payroll-{}", rng.usize(..2));
    match rng.u8(..6) {
        0 => {
            let entry = format!("entry-{zone}");
            cluster.kill_entry(&entry).await;
            cluster.start_entry(&entry, &Site::of(zone)).await.unwrap();
        }
        1 => {
            cluster.kill_agent(&agent).await;
            cluster.start_agent(&agent).await.unwrap();
        }
        2 => cluster.agents[&agent].node.pause(Duration::from_millis(400)),
        3 => cluster.log.set_faults(|f| f.outage = true),
        4 => cluster.log.set_faults(|f| f.lost_response_percent = 40),
        _ => cluster.log.set_faults(|f| {
            f.outage = false;
            f.lost_response_percent = 0;
        }),
    }
}

/// Sends confirmations one after the other and returns the number of answered ones.
async fn worker(cluster: Arc<Mutex<LocalCluster>>, number: usize, deadline: Instant) -> usize {
    let mut answered = 0;
    let mut rng = fastrand::Rng::with_seed(number as u64);
    for i in 0.. {
        if deadline <= Instant::now() {
            break;
        }
        let id = format!("w{number}-{i}");
        for _ in 0..4 {
            let entry = ["entry-east", "entry-west"][rng.usize(..2)];
            let address = cluster.lock().await.entries.get(entry).map(|e| e.address);
            let Some(address) = address else { continue };
            let client = ApiClient::new(address, "acme", "standard");
            let result = client.confirm("payroll", &id, Some(&id)).await;
            if result.complete {
                answered += 1;
                break;
            }
            assert_ran_at_most_once(&cluster, &id, &result).await;
        }
    }
    answered
}

/// Checks that a confirmation whose outcome is not `not_run` has run at most once.
async fn assert_ran_at_most_once(
    cluster: &Arc<Mutex<LocalCluster>>,
    id: &str,
    result: &RequestResult,
) {
    // An earlier attempt with the same id may have run without a response, so `not_run` says
    // nothing about the number of runs.
    if result.outcome == "not_run" {
        return;
    }
    let runs = cluster.lock().await.services["payroll"].runs();
    assert!(runs.get(id).copied().unwrap_or(0) <= 1, "{id}: {result:?}");
}

#[test]
fn not_run_is_reported_correctly_during_a_log_outage() {
    run(async {
        let cluster = start_default().await;
        cluster.log.set_faults(|f| f.outage = true);
        let east = client_for(&cluster, "entry-east");
        let refused = east.confirm("payroll", "a", Some("k")).await;
        assert_eq!(refused.code, Code::ClaimUnavailable.number(), "{refused:?}");
        assert_eq!(refused.outcome, "not_run");
        assert!(cluster.services["payroll"].runs().is_empty());
        let completion =
            east.complete(&completion_request("roster", "still served", 4, false)).await;
        assert!(completion.complete, "{completion:?}");
        cluster.log.set_faults(|f| f.outage = false);
        let again = east.confirm("payroll", "a", Some("k")).await;
        assert!(again.complete, "{again:?}");
        assert_single_runs(&cluster);
        cluster.shutdown().await;
    });
}

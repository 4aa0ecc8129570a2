//! Requests that run at most once, with the service's own count as the judge.

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

use crate::{ask, caller, run, start};

fn assert_single_runs(bed: &LocalCluster) {
    for (id, runs) in bed.services["payroll"].runs() {
        assert_eq!(runs, 1, "{id} ran {runs} times");
    }
}

#[test]
fn doubled_confirmation_runs_once_and_both_get_its_answer() {
    run(async {
        let bed = start().await;
        let calls = (0..20).flat_map(|i| {
            let id = format!("shift-{i}");
            ["entry-east", "entry-west"].map(|entry| {
                let (caller, id) = (caller(&bed, entry), id.clone());
                async move { caller.confirm("payroll", &id, Some(&id)).await }
            })
        });
        for result in join_all(calls).await {
            assert!(result.complete && result.body.contains("\"run\":1"), "{result:?}");
        }
        assert_eq!(bed.services["payroll"].runs().len(), 20);
        assert_single_runs(&bed);
        bed.shutdown().await;
    });
}

#[test]
fn key_with_another_body_is_refused() {
    run(async {
        let bed = start().await;
        let east = caller(&bed, "entry-east");
        assert!(east.confirm("payroll", "a", Some("k")).await.complete);
        let other = east.confirm("payroll", "b", Some("k")).await;
        assert_eq!((other.code, other.outcome.as_str()), (Code::KeyReused.number(), "not_run"));
        let model = "/v1/completions";
        let body = serde_json::json!({ "model": "roster", "prompt": "p", "max_tokens": 4 });
        let first = east.post(model, &body, Some("m"), false).await;
        let again = caller(&bed, "entry-west").post(model, &body, Some("m"), false).await;
        assert_eq!(first.body, again.body);
        assert!(first.status == 200 && again.status == 200, "{first:?} {again:?}");
        bed.shutdown().await;
    });
}

#[test]
fn duplicate_after_all_vms_were_replaced_gets_the_first_answer() {
    run(async {
        let mut bed = start().await;
        assert!(caller(&bed, "entry-east").confirm("payroll", "a", Some("k")).await.complete);
        // The settle record is appended behind the answer.
        while bed.log.appends() < 2 || !settled(&bed).await {
            time::sleep(Duration::from_millis(10)).await;
        }
        for entry in ["entry-east", "entry-west"] {
            bed.kill_entry(entry).await;
        }
        for agent in ["payroll-0", "payroll-1"] {
            bed.kill_agent(agent).await;
            bed.start_agent(agent).await.unwrap();
        }
        bed.start_entry("entry-new", &Site::of("east")).await.unwrap();
        assert!(bed.wait_until_propagated(Duration::from_secs(20)).await.is_some());
        let again = caller(&bed, "entry-new").confirm("payroll", "a", Some("k")).await;
        assert!(again.complete, "{again:?}");
        assert_single_runs(&bed);
        bed.shutdown().await;
    });
}

async fn settled(bed: &LocalCluster) -> bool {
    use goldcrestpitch::fleet::Log;
    for partition in 0..goldcrestpitch::entry::CLAIM_PARTITIONS {
        let stream = format!("claims-{partition}");
        let page = bed.log.read(&stream, 1, Duration::ZERO).await.unwrap();
        let has = |p: &[u8]| String::from_utf8_lossy(p).contains("\"settle\"");
        if page.records.iter().any(|r| has(&r.payload)) {
            return true;
        }
    }
    false
}

/// Callers send each confirmation through changing entries until they have a
/// definite word, while entries and agents die, the log goes down and loses answers.
#[test]
fn nothing_runs_twice_while_processes_die() {
    run(async {
        let bed = Arc::new(Mutex::new(start().await));
        let until = Instant::now() + Duration::from_secs(6);
        let workers: Vec<_> = (0..8).map(|w| tokio::spawn(worker(bed.clone(), w, until))).collect();
        let mut rng = fastrand::Rng::with_seed(5);
        println!("seed 5");
        while Instant::now() < until {
            time::sleep(Duration::from_millis(rng.u64(50..300))).await;
            fault(&mut *bed.lock().await, &mut rng).await;
        }
        let mut answered = 0;
        for worker in workers {
            answered += worker.await.unwrap();
        }
        assert!(10 < answered, "only {answered} confirmations were answered");
        let bed = bed.lock().await;
        assert_single_runs(&bed);
    });
}

async fn fault(bed: &mut LocalCluster, rng: &mut fastrand::Rng) {
    let zone = ["east", "west"][rng.usize(..2)];
    let agent = format!("payroll-{}", rng.usize(..2));
    match rng.u8(..6) {
        0 => {
            let entry = format!("entry-{zone}");
            bed.kill_entry(&entry).await;
            bed.start_entry(&entry, &Site::of(zone)).await.unwrap();
        }
        1 => {
            bed.kill_agent(&agent).await;
            bed.start_agent(&agent).await.unwrap();
        }
        2 => bed.agents[&agent].node.pause(Duration::from_millis(400)),
        3 => bed.log.set_faults(|f| f.outage = true),
        4 => bed.log.set_faults(|f| f.lost_response_percent = 40),
        _ => bed.log.set_faults(|f| {
            f.outage = false;
            f.lost_response_percent = 0;
        }),
    }
}

/// Sends confirmations one after the other; returns how many were answered.
async fn worker(bed: Arc<Mutex<LocalCluster>>, number: usize, until: Instant) -> usize {
    let mut answered = 0;
    let mut rng = fastrand::Rng::with_seed(number as u64);
    for i in 0.. {
        if until <= Instant::now() {
            break;
        }
        let id = format!("w{number}-{i}");
        for _ in 0..4 {
            let entry = ["entry-east", "entry-west"][rng.usize(..2)];
            let address = bed.lock().await.entries.get(entry).map(|e| e.address);
            let Some(address) = address else { continue };
            let caller = ApiClient::new(address, "acme", "standard");
            let result = caller.confirm("payroll", &id, Some(&id)).await;
            if result.complete {
                answered += 1;
                break;
            }
            check_refusal(&bed, &id, &result).await;
        }
    }
    answered
}

/// A key whose every call said `not_run` has not run.
async fn check_refusal(bed: &Arc<Mutex<LocalCluster>>, id: &str, result: &RequestResult) {
    // Earlier calls of the id may have run without an answer; only the first word is judged.
    if result.outcome == "not_run" {
        return;
    }
    let runs = bed.lock().await.services["payroll"].runs();
    assert!(runs.get(id).copied().unwrap_or(0) <= 1, "{id}: {result:?}");
}

#[test]
fn not_run_is_true_while_the_log_is_down() {
    run(async {
        let bed = start().await;
        bed.log.set_faults(|f| f.outage = true);
        let east = caller(&bed, "entry-east");
        let refused = east.confirm("payroll", "a", Some("k")).await;
        assert_eq!(refused.code, Code::ClaimUnavailable.number(), "{refused:?}");
        assert_eq!(refused.outcome, "not_run");
        assert!(bed.services["payroll"].runs().is_empty());
        let other = east.complete(&ask("roster", "still served", 4, false)).await;
        assert!(other.complete, "{other:?}");
        bed.log.set_faults(|f| f.outage = false);
        let again = east.confirm("payroll", "a", Some("k")).await;
        assert!(again.complete, "{again:?}");
        assert_single_runs(&bed);
        bed.shutdown().await;
    });
}

//! Claims against a log with limited retention, in virtual time.

use goldcrestpitch::{
    core::{
        hash,
        idempotency::{Claim, ClaimResult},
    },
    entry::{CLAIM_PARTITIONS, ClaimService},
    fakes::{FakeLog, FakeVmList, LogFaults},
    fleet::watch_vms,
    http::stop_channel,
    rpc::Channels,
};

fn claim(key: &str, attempt: usize) -> Claim {
    Claim {
        key: key.into(),
        digest: 1,
        attempt: format!("r{attempt}.1").into(),
        entry: "e".into(),
        agent: "a".into(),
        incarnation: 1,
        ticket_ms: 0,
        supersedes: None,
    }
}

/// Keys in the same partition as `first`.
fn keys_in_partition_of(first: &str) -> impl Iterator<Item = String> {
    let partition = |key: &str| hash::stable(&[key.as_bytes()]) % CLAIM_PARTITIONS;
    let wanted = partition(first);
    (0..).map(|i| format!("k{i}")).filter(move |k| partition(k) == wanted)
}

fn service(retention: usize) -> ClaimService<FakeLog> {
    let (stop, stopped) = stop_channel();
    // Dropping the sender would stop the tasks of the service.
    std::mem::forget(stop);
    let log = FakeLog::new(LogFaults { retention, rate_per_s: 1e6, ..LogFaults::default() }, 1);
    let vms = watch_vms(FakeVmList::default(), stopped);
    ClaimService::new("e".into(), log, vms, Channels::default())
}

#[tokio::test(start_paused = true)]
async fn key_is_held_until_its_claim_expires_from_the_log() {
    let service = service(100);
    assert!(matches!(service.claim(claim("first", 0)).await, ClaimResult::Won(_)));
    let mut keys = keys_in_partition_of("first");
    for (attempt, key) in keys.by_ref().take(60).enumerate() {
        let result = service.claim(claim(&key, attempt + 1)).await;
        assert!(matches!(result, ClaimResult::Won(_)), "{key}: {result:?}");
    }
    let held = service.claim(claim("first", 900)).await;
    assert!(matches!(held, ClaimResult::Held(_)), "{held:?}");
    for (attempt, key) in keys.take(200).enumerate() {
        service.claim(claim(&key, attempt + 100)).await;
    }
    // Reading the log in between removes expired claims; otherwise the claim table would
    // grow without bound.
    let again = service.claim(claim("first", 901)).await;
    assert!(matches!(again, ClaimResult::Won(_)), "{again:?}");
}

#[tokio::test(start_paused = true)]
async fn claiming_the_same_attempt_twice_returns_the_same_result() {
    let service = service(1000);
    let first = service.claim(claim("key", 1)).await;
    assert_eq!(service.claim(claim("key", 1)).await, first);
    assert!(matches!(service.claim(claim("key", 2)).await, ClaimResult::Held(_)));
}

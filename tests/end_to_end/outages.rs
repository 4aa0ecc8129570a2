//! Outages of the log, expired log records and concurrent configuration changes.

use std::time::Duration;

use goldcrestpitch::{
    core::config::{Action, Change, Fold, Key, Scope, State},
    demo::Site,
    errors::Code,
    fleet::submit,
};

use crate::{client_for, cluster_spec, completion_request, run, start_cluster, start_default};

const TIMEOUT: Duration = Duration::from_secs(20);

#[test]
fn new_entry_gets_the_configuration_from_a_peer_during_a_log_outage() {
    run(async {
        let mut cluster = start_default().await;
        cluster.log.set_faults(|f| f.outage = true);
        cluster.start_entry("entry-new", &Site::of("west")).await.unwrap();
        assert!(cluster.wait_until_propagated(TIMEOUT).await.is_some());
        let result = client_for(&cluster, "entry-new")
            .complete(&completion_request("snow", "hi", 4, false))
            .await;
        assert!(result.complete, "{result:?}");
        cluster.shutdown().await;
    });
}

#[test]
fn change_with_a_lost_acknowledgement_is_applied_once() {
    run(async {
        let mut cluster = start_default().await;
        cluster.log.set_faults(|f| f.lost_response_percent = 100);
        for value in [3, 4, 5] {
            let action = Action::Set { key: "retry.max_attempts".into(), value };
            cluster.submit_change(action).await.unwrap();
        }
        assert!(cluster.wait_until_propagated(TIMEOUT).await.is_some());
        let store = &cluster.entries["entry-east"].store;
        assert_eq!(store.view().state.value(Key::MaxAttempts, &Scope::default()), 5);
        cluster.shutdown().await;
    });
}

#[test]
fn one_of_several_concurrent_changes_succeeds_and_the_others_are_stale() {
    run(async {
        let cluster = start_default().await;
        let mut tasks = Vec::new();
        for i in 0..6u64 {
            let log = cluster.log.clone();
            tasks.push(tokio::spawn(async move {
                let action = Action::Set { key: "class.priority".into(), value: i };
                let change =
                    Change { id: format!("race-{i}"), operator: format!("op{i}"), base: 0, action };
                submit(&log, &mut Fold::default(), &change, TIMEOUT).await
            }));
        }
        let mut successes = 0;
        for task in tasks {
            match task.await.unwrap() {
                Ok(_) => successes += 1,
                Err(err) => assert_eq!(err.0.code, Code::StaleBase, "{err}"),
            }
        }
        assert_eq!(successes, 1);
        cluster.shutdown().await;
    });
}

/// The log retains fewer records than were written, so the rest must come from snapshots.
/// The snapshot contains a request that crashed engines, and no entry is left that knows
/// the configuration.
#[test]
fn last_entry_starts_from_a_snapshot_with_suspects() {
    run(async {
        let mut spec = cluster_spec();
        spec.log_faults.retention = 260;
        let mut cluster = start_cluster(&spec).await;
        let request = completion_request("roster", "CRASH-ENGINE now", 4, false);
        let result = client_for(&cluster, "entry-east").complete(&request).await;
        assert_eq!(result.code, Code::Quarantined.number(), "{result:?}");
        for i in 0..420 {
            let action = Action::Set { key: "tenant.rate_per_s".into(), value: 1000 + i };
            cluster.submit_change(action).await.unwrap();
            // Appends are rate-limited, and the followers also append snapshots.
            tokio::time::sleep(Duration::from_millis(8)).await;
        }
        cluster.kill_entry("entry-east").await;
        cluster.kill_entry("entry-west").await;
        cluster.start_entry("entry-late", &Site::of("east")).await.unwrap();
        assert!(
            cluster.wait_until_propagated(TIMEOUT).await.is_some(),
            "the last entry did not read the snapshot"
        );
        let state = cluster.entries["entry-late"].store.view().state;
        assert_eq!(state.value(Key::RatePerSecond, &Scope::default()), 1419);
        assert_eq!(state.suspects.values().map(|s| s.crashes).max(), Some(2));
        cluster.shutdown().await;
    });
}

#[test]
fn late_entry_starts_from_a_snapshot() {
    run(async {
        let mut spec = cluster_spec();
        spec.log_faults.retention = 260;
        let mut cluster = start_cluster(&spec).await;
        for i in 0..420 {
            let action = Action::Set { key: "tenant.rate_per_s".into(), value: 1000 + i };
            cluster.submit_change(action).await.unwrap();
            // Appends are rate-limited, and the followers also append snapshots.
            tokio::time::sleep(Duration::from_millis(8)).await;
        }
        cluster.start_entry("entry-late", &Site::of("east")).await.unwrap();
        assert!(
            cluster.wait_until_propagated(TIMEOUT).await.is_some(),
            "the late entry did not catch up"
        );
        let state = cluster.entries["entry-late"].store.view().state;
        assert_eq!(state.value(Key::RatePerSecond, &Scope::default()), 1419);
        // A snapshot appended between the two reads changes only the revision.
        let other = cluster.entries["entry-east"].store.view().state;
        let revision = state.revision.max(other.revision);
        let with_revision = |s: &State| State { revision, ..s.clone() };
        assert_eq!(with_revision(&state), with_revision(&other));
        cluster.shutdown().await;
    });
}

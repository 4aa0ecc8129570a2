//! The log away, records expired, operators racing.

use std::time::Duration;

use goldcrestpitch::{
    core::config::{Action, Change, Fold, Key, Scope, State},
    demo::Site,
    errors::Code,
    fleet::submit,
};

use crate::{ask, caller, run, shape, start, start_with};

const LIMIT: Duration = Duration::from_secs(20);

#[test]
fn new_entry_takes_the_configuration_from_a_peer_while_the_log_is_down() {
    run(async {
        let mut bed = start().await;
        bed.log.set_faults(|f| f.outage = true);
        bed.start_entry("entry-new", &Site::of("west")).await.unwrap();
        assert!(bed.wait_until_propagated(LIMIT).await.is_some());
        let result = caller(&bed, "entry-new").complete(&ask("snow", "hi", 4, false)).await;
        assert!(result.complete, "{result:?}");
        bed.shutdown().await;
    });
}

#[test]
fn change_whose_answer_was_lost_is_accepted_once() {
    run(async {
        let mut bed = start().await;
        bed.log.set_faults(|f| f.lost_response_percent = 100);
        for value in [3, 4, 5] {
            let action = Action::Set { key: "retry.max_attempts".into(), value };
            bed.submit_change(action).await.unwrap();
        }
        assert!(bed.wait_until_propagated(LIMIT).await.is_some());
        let store = &bed.entries["entry-east"].store;
        assert_eq!(store.view().state.value(Key::MaxAttempts, &Scope::default()), 5);
        bed.shutdown().await;
    });
}

#[test]
fn of_racing_operators_one_wins_and_the_others_are_told() {
    run(async {
        let bed = start().await;
        let mut tasks = Vec::new();
        for i in 0..6u64 {
            let log = bed.log.clone();
            tasks.push(tokio::spawn(async move {
                let action = Action::Set { key: "class.priority".into(), value: i };
                let change =
                    Change { id: format!("race-{i}"), operator: format!("op{i}"), base: 0, action };
                submit(&log, &mut Fold::default(), &change, LIMIT).await
            }));
        }
        let mut won = 0;
        for task in tasks {
            match task.await.unwrap() {
                Ok(_) => won += 1,
                Err(err) => assert_eq!(err.0.code, Code::StaleBase, "{err}"),
            }
        }
        assert_eq!(won, 1);
        bed.shutdown().await;
    });
}

/// The log keeps fewer records than were written: snapshots carry the rest.
#[test]
fn entry_that_starts_late_begins_from_a_snapshot() {
    run(async {
        let mut shape = shape();
        shape.log_faults.retention = 260;
        let mut bed = start_with(&shape).await;
        for i in 0..420 {
            let action = Action::Set { key: "tenant.rate_per_s".into(), value: 1000 + i };
            bed.submit_change(action).await.unwrap();
            // The rate of appends is limited; the followers snapshot meanwhile.
            tokio::time::sleep(Duration::from_millis(8)).await;
        }
        bed.start_entry("entry-late", &Site::of("east")).await.unwrap();
        assert!(bed.wait_until_propagated(LIMIT).await.is_some(), "the late entry is behind");
        let state = bed.entries["entry-late"].store.view().state;
        assert_eq!(state.value(Key::RatePerSecond, &Scope::default()), 1419);
        // Snapshots that come meanwhile move the revision alone.
        let other = bed.entries["entry-east"].store.view().state;
        let revision = state.revision.max(other.revision);
        let at = |s: &State| State { revision, ..s.clone() };
        assert_eq!(at(&state), at(&other));
        bed.shutdown().await;
    });
}

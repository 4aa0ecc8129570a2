//! Answers, configuration and planned stops.

use std::time::Duration;

use futures_util::future::join_all;
use goldcrestpitch::{
    core::config::{Action, Item, Key, Scope},
    demo::Site,
    errors::Code,
    fakes::EngineProfile,
};
use tokio::time;

use crate::{GIB, ask, caller, quick, run, shape, start, start_with};

const LIMIT: Duration = Duration::from_secs(20);

#[test]
fn answers_are_whole_streamed_or_not() {
    run(async {
        let bed = start().await;
        let calls = (0..24).map(|i| {
            let caller = caller(&bed, ["entry-east", "entry-west"][i % 2]);
            let ask = ask(["roster", "snow"][i % 2], &format!("prompt {i}"), 12, i % 3 == 0);
            async move { caller.complete(&ask).await }
        });
        for result in join_all(calls).await {
            assert!(result.complete, "{result:?}");
        }
        bed.shutdown().await;
    });
}

#[test]
fn change_comes_into_force_in_every_process() {
    run(async {
        let mut bed = start().await;
        let action = Action::Set { key: "tenant.weight".into(), value: 7 };
        bed.submit_change(action).await.unwrap();
        assert!(bed.wait_until_propagated(LIMIT).await.is_some());
        for store in bed.stores() {
            assert_eq!(store.view().state.value(Key::Weight, &Scope::default()), 7);
        }
        bed.shutdown().await;
    });
}

#[test]
fn planned_stop_of_an_agent_cuts_nothing() {
    run(async {
        let mut bed = start().await;
        let east = caller(&bed, "entry-east");
        let calls: Vec<_> = (0..12)
            .map(|i| {
                let caller = east.clone();
                let ask = ask("roster", &format!("long {i}"), 100, true);
                tokio::spawn(async move { caller.complete(&ask).await })
            })
            .collect();
        time::sleep(Duration::from_millis(60)).await;
        assert!(bed.drain_agent("engine-0", LIMIT).await, "the agent did not end");
        for call in calls {
            let result = call.await.unwrap();
            assert!(result.complete, "{result:?}");
        }
        let before = bed.engines["engine-0"].running();
        assert_eq!(before, 0);
        assert_eq!(bed.engines["engine-0"].cancelled(), 0);
        let after = east.complete(&ask("roster", "after", 4, false)).await;
        assert!(after.complete, "{after:?}");
        bed.shutdown().await;
    });
}

#[test]
fn planned_stop_of_an_entry_cuts_nothing() {
    run(async {
        let mut bed = start().await;
        let east = caller(&bed, "entry-east");
        let calls: Vec<_> = (0..6)
            .map(|i| {
                let caller = east.clone();
                let ask = ask("snow", &format!("long {i}"), 150, true);
                tokio::spawn(async move { caller.complete(&ask).await })
            })
            .collect();
        time::sleep(Duration::from_millis(60)).await;
        assert!(bed.stop_entry("entry-east", LIMIT).await, "the entry did not end");
        for call in calls {
            let result = call.await.unwrap();
            assert!(result.complete, "{result:?}");
        }
        bed.shutdown().await;
    });
}

#[test]
fn killed_agent_is_replaced_in_the_middle_of_answers() {
    run(async {
        let mut bed = start().await;
        let east = caller(&bed, "entry-east");
        let calls: Vec<_> = (0..12)
            .map(|i| {
                let caller = east.clone();
                let ask = ask("roster", &format!("long {i}"), 120, i % 2 == 0);
                tokio::spawn(async move { caller.complete(&ask).await })
            })
            .collect();
        time::sleep(Duration::from_millis(80)).await;
        bed.kill_agent("engine-0").await;
        bed.kill_agent("engine-2").await;
        for call in calls {
            let result = call.await.unwrap();
            assert!(result.complete, "{result:?}");
        }
        bed.start_agent("engine-0").await.unwrap();
        let after = east.complete(&ask("roster", "after", 4, false)).await;
        assert!(after.complete, "{after:?}");
        bed.shutdown().await;
    });
}

/// More models than fit: those that no engine holds are loaded on demand.
#[test]
fn every_model_stays_reachable_without_overcommit() {
    run(async {
        let mut shape = shape();
        shape.models = (0..12).map(|i| (format!("model-{i}"), 22 * GIB)).collect();
        let bed = start_with(&shape).await;
        for round in 0..2 {
            for i in 0..12 {
                let ask = ask(&format!("model-{i}"), &format!("round {round}"), 4, false);
                let result = caller(&bed, "entry-west").complete(&ask).await;
                assert!(result.complete, "model-{i}: {result:?}");
            }
        }
        for (name, engine) in &bed.engines {
            assert!(!engine.was_overcommitted(), "{name}");
        }
        bed.shutdown().await;
    });
}

/// A request that waited for the room of a model on demand and gave up leaves
/// that model usable.
#[test]
fn model_on_demand_serves_on_when_who_waited_gave_up() {
    run(async {
        let mut shape = shape();
        shape.engines.truncate(1);
        shape.models = (0..4).map(|i| (format!("model-{i}"), 22 * GIB)).collect();
        let mut bed = start_with(&shape).await;
        bed.submit_change(Action::Set { key: "request.deadline_ms".into(), value: 1500 })
            .await
            .unwrap();
        assert!(bed.wait_until_propagated(LIMIT).await.is_some());
        let engine = &bed.engines["engine-0"];
        let on_demand: Vec<String> =
            (0..4).map(|i| format!("model-{i}")).filter(|m| !engine.has_loaded(m)).collect();
        let east = caller(&bed, "entry-east");
        let long = {
            let (east, ask) = (east.clone(), ask(&on_demand[0], "long", 600, true));
            tokio::spawn(async move { east.complete(&ask).await })
        };
        while engine.running() == 0 {
            time::sleep(Duration::from_millis(5)).await;
        }
        let waited = east.complete(&ask(&on_demand[1], "waits", 4, false)).await;
        let _ = long.await;
        for i in 0..3 {
            let again = east.complete(&ask(&on_demand[0], &format!("again {i}"), 4, false)).await;
            assert!(again.complete, "{again:?} after {waited:?}");
        }
        bed.shutdown().await;
    });
}

#[test]
fn new_version_is_loaded_before_the_old_one_goes() {
    run(async {
        let mut bed = start().await;
        let item = Item::Model { memory_mib: 16 * GIB, version: 2 };
        bed.submit_change(Action::Declare { name: "roster".into(), item }).await.unwrap();
        for i in 0..40 {
            let ask = ask("roster", &format!("during {i}"), 4, false);
            let result = caller(&bed, "entry-east").complete(&ask).await;
            assert!(result.complete, "{result:?}");
        }
        for (name, engine) in &bed.engines {
            assert!(!engine.was_overcommitted(), "{name}");
        }
        bed.shutdown().await;
    });
}

/// A second agent beside an endpoint fails at its start, since the address is held.
#[test]
fn second_agent_cannot_start() {
    run(async {
        let mut bed = start().await;
        let first = bed.agents.remove("engine-0").unwrap();
        assert!(bed.start_agent("engine-0").await.is_err());
        first.node.kill().await;
        bed.start_agent("engine-0").await.unwrap();
        bed.shutdown().await;
    });
}

#[test]
fn paused_agent_delays_but_loses_nothing() {
    run(async {
        let bed = start().await;
        bed.agents["engine-0"].node.pause(Duration::from_millis(700));
        let calls = (0..10).map(|i| {
            let caller = caller(&bed, "entry-east");
            let ask = ask("snow", &format!("paused {i}"), 10, true);
            async move { caller.complete(&ask).await }
        });
        for result in join_all(calls).await {
            assert!(result.complete, "{result:?}");
        }
        bed.shutdown().await;
    });
}

/// Overload is refused as not run, and says when to come back.
#[test]
fn overload_is_refused_as_not_run() {
    run(async {
        let mut shape = shape();
        for engine in &mut shape.engines {
            engine.profile = EngineProfile { first_token: Duration::from_millis(80), ..quick() };
        }
        shape.entries = vec![("entry-east".into(), Site::of("east"))];
        let mut bed = start_with(&shape).await;
        for (key, value) in [("endpoint.max_running", 1), ("endpoint.queue_limit", 1)] {
            bed.submit_change(Action::Set { key: key.into(), value }).await.unwrap();
        }
        assert!(bed.wait_until_propagated(LIMIT).await.is_some());
        let calls = (0..40).map(|i| {
            let caller = caller(&bed, "entry-east");
            let ask = ask("roster", &format!("flood {i}"), 4, false);
            async move { caller.complete(&ask).await }
        });
        let results = join_all(calls).await;
        let refused: Vec<_> = results.iter().filter(|r| !r.complete).collect();
        assert!(!refused.is_empty() && refused.len() < 40, "{} refused", refused.len());
        for result in refused {
            assert_eq!(result.outcome, "not_run", "{result:?}");
            let codes = [Code::QueueFull.number(), Code::DeadlineTooShort.number()];
            assert!(codes.contains(&result.code), "{result:?}");
        }
        bed.shutdown().await;
    });
}

//! Responses, configuration changes, graceful shutdown and model loading.

use std::time::Duration;

use futures_util::future::join_all;
use goldcrestpitch::{
    core::config::{Action, Item, Key, Scope},
    demo::Site,
    errors::Code,
    fakes::EngineProfile,
};
use tokio::time;

use crate::{
    MIB_PER_GIB, client_for, cluster_spec, completion_request, fast_engine_profile, run,
    start_cluster, start_default,
};

const TIMEOUT: Duration = Duration::from_secs(20);

#[test]
fn streamed_and_buffered_responses_are_complete() {
    run(async {
        let cluster = start_default().await;
        let requests = (0..24).map(|i| {
            let client = client_for(&cluster, ["entry-east", "entry-west"][i % 2]);
            let request = completion_request(
                ["roster", "snow"][i % 2],
                &format!("prompt {i}"),
                12,
                i % 3 == 0,
            );
            async move { client.complete(&request).await }
        });
        for result in join_all(requests).await {
            assert!(result.complete, "{result:?}");
        }
        cluster.shutdown().await;
    });
}

#[test]
fn configuration_change_reaches_every_process() {
    run(async {
        let mut cluster = start_default().await;
        let action = Action::Set { key: "tenant.weight".into(), value: 7 };
        cluster.submit_change(action).await.unwrap();
        assert!(cluster.wait_until_propagated(TIMEOUT).await.is_some());
        for store in cluster.stores() {
            assert_eq!(store.view().state.value(Key::Weight, &Scope::default()), 7);
        }
        cluster.shutdown().await;
    });
}

#[test]
fn agent_drain_completes_running_requests() {
    run(async {
        let mut cluster = start_default().await;
        let east = client_for(&cluster, "entry-east");
        let tasks: Vec<_> = (0..12)
            .map(|i| {
                let client = east.clone();
                let request = completion_request("roster", &format!("long {i}"), 100, true);
                tokio::spawn(async move { client.complete(&request).await })
            })
            .collect();
        time::sleep(Duration::from_millis(60)).await;
        assert!(cluster.drain_agent("engine-0", TIMEOUT).await, "the agent did not stop in time");
        for task in tasks {
            let result = task.await.unwrap();
            assert!(result.complete, "{result:?}");
        }
        let running = cluster.engines["engine-0"].running();
        assert_eq!(running, 0);
        assert_eq!(cluster.engines["engine-0"].cancelled(), 0);
        let after = east.complete(&completion_request("roster", "after", 4, false)).await;
        assert!(after.complete, "{after:?}");
        cluster.shutdown().await;
    });
}

#[test]
fn entry_shutdown_completes_running_requests() {
    run(async {
        let mut cluster = start_default().await;
        let east = client_for(&cluster, "entry-east");
        let tasks: Vec<_> = (0..6)
            .map(|i| {
                let client = east.clone();
                let request = completion_request("snow", &format!("long {i}"), 150, true);
                tokio::spawn(async move { client.complete(&request).await })
            })
            .collect();
        time::sleep(Duration::from_millis(60)).await;
        assert!(cluster.stop_entry("entry-east", TIMEOUT).await, "the entry did not stop in time");
        for task in tasks {
            let result = task.await.unwrap();
            assert!(result.complete, "{result:?}");
        }
        cluster.shutdown().await;
    });
}

#[test]
fn requests_survive_killed_agents() {
    run(async {
        let mut cluster = start_default().await;
        let east = client_for(&cluster, "entry-east");
        let tasks: Vec<_> = (0..12)
            .map(|i| {
                let client = east.clone();
                let request = completion_request("roster", &format!("long {i}"), 120, i % 2 == 0);
                tokio::spawn(async move { client.complete(&request).await })
            })
            .collect();
        time::sleep(Duration::from_millis(80)).await;
        cluster.kill_agent("engine-0").await;
        cluster.kill_agent("engine-2").await;
        for task in tasks {
            let result = task.await.unwrap();
            assert!(result.complete, "{result:?}");
        }
        cluster.start_agent("engine-0").await.unwrap();
        let after = east.complete(&completion_request("roster", "after", 4, false)).await;
        assert!(after.complete, "{after:?}");
        cluster.shutdown().await;
    });
}

/// The models do not all fit into memory; those that no engine holds are loaded on demand.
#[test]
fn every_model_is_available_without_overcommit() {
    run(async {
        let mut spec = cluster_spec();
        spec.models = (0..12).map(|i| (format!("model-{i}"), 22 * MIB_PER_GIB)).collect();
        let cluster = start_cluster(&spec).await;
        for round in 0..2 {
            for i in 0..12 {
                let request =
                    completion_request(&format!("model-{i}"), &format!("round {round}"), 4, false);
                let result = client_for(&cluster, "entry-west").complete(&request).await;
                assert!(result.complete, "model-{i}: {result:?}");
            }
        }
        for (name, engine) in &cluster.engines {
            assert!(!engine.was_overcommitted(), "{name}");
        }
        cluster.shutdown().await;
    });
}

/// A request times out while it waits for the memory that an on-demand model occupies; that
/// model must stay available.
#[test]
fn on_demand_model_stays_available_after_a_waiting_request_times_out() {
    run(async {
        let mut spec = cluster_spec();
        spec.engines.truncate(1);
        spec.models = (0..4).map(|i| (format!("model-{i}"), 22 * MIB_PER_GIB)).collect();
        let mut cluster = start_cluster(&spec).await;
        cluster
            .submit_change(Action::Set { key: "request.deadline_ms".into(), value: 1500 })
            .await
            .unwrap();
        assert!(cluster.wait_until_propagated(TIMEOUT).await.is_some());
        let engine = &cluster.engines["engine-0"];
        let on_demand: Vec<String> =
            (0..4).map(|i| format!("model-{i}")).filter(|m| !engine.has_loaded(m)).collect();
        let east = client_for(&cluster, "entry-east");
        let long = {
            let (east, request) =
                (east.clone(), completion_request(&on_demand[0], "long", 600, true));
            tokio::spawn(async move { east.complete(&request).await })
        };
        while engine.running() == 0 {
            time::sleep(Duration::from_millis(5)).await;
        }
        let waiting = east.complete(&completion_request(&on_demand[1], "waits", 4, false)).await;
        let _ = long.await;
        for i in 0..3 {
            let again = east
                .complete(&completion_request(&on_demand[0], &format!("again {i}"), 4, false))
                .await;
            assert!(again.complete, "{again:?} after {waiting:?}");
        }
        cluster.shutdown().await;
    });
}

#[test]
fn new_model_version_is_loaded_before_the_old_one_is_unloaded() {
    run(async {
        let mut cluster = start_default().await;
        let item = Item::Model { memory_mib: 16 * MIB_PER_GIB, version: 2 };
        cluster.submit_change(Action::Declare { name: "roster".into(), item }).await.unwrap();
        for i in 0..40 {
            let request = completion_request("roster", &format!("during {i}"), 4, false);
            let result = client_for(&cluster, "entry-east").complete(&request).await;
            assert!(result.complete, "{result:?}");
        }
        for (name, engine) in &cluster.engines {
            assert!(!engine.was_overcommitted(), "{name}");
        }
        cluster.shutdown().await;
    });
}

/// A second agent for the same endpoint cannot bind the address.
#[test]
fn second_agent_of_an_endpoint_fails_to_start() {
    run(async {
        let mut cluster = start_default().await;
        let first = cluster.agents.remove("engine-0").unwrap();
        assert!(cluster.start_agent("engine-0").await.is_err());
        first.node.kill().await;
        cluster.start_agent("engine-0").await.unwrap();
        cluster.shutdown().await;
    });
}

#[test]
fn paused_agent_loses_no_request() {
    run(async {
        let cluster = start_default().await;
        cluster.agents["engine-0"].node.pause(Duration::from_millis(700));
        let requests = (0..10).map(|i| {
            let client = client_for(&cluster, "entry-east");
            let request = completion_request("snow", &format!("paused {i}"), 10, true);
            async move { client.complete(&request).await }
        });
        for result in join_all(requests).await {
            assert!(result.complete, "{result:?}");
        }
        cluster.shutdown().await;
    });
}

/// Requests beyond the queue limit are rejected as not run.
#[test]
fn overload_is_rejected_as_not_run() {
    run(async {
        let mut spec = cluster_spec();
        for engine in &mut spec.engines {
            engine.profile =
                EngineProfile { first_token: Duration::from_millis(80), ..fast_engine_profile() };
        }
        spec.entries = vec![("entry-east".into(), Site::of("east"))];
        let mut cluster = start_cluster(&spec).await;
        for (key, value) in [("endpoint.max_running", 1), ("endpoint.queue_limit", 1)] {
            cluster.submit_change(Action::Set { key: key.into(), value }).await.unwrap();
        }
        assert!(cluster.wait_until_propagated(TIMEOUT).await.is_some());
        let requests = (0..40).map(|i| {
            let client = client_for(&cluster, "entry-east");
            let request = completion_request("roster", &format!("flood {i}"), 4, false);
            async move { client.complete(&request).await }
        });
        let results = join_all(requests).await;
        let refused: Vec<_> = results.iter().filter(|r| !r.complete).collect();
        assert!(!refused.is_empty() && refused.len() < 40, "{} refused", refused.len());
        for result in refused {
            assert_eq!(result.outcome, "not_run", "{result:?}");
            let codes = [Code::QueueFull.number(), Code::DeadlineTooShort.number()];
            assert!(codes.contains(&result.code), "{result:?}");
        }
        cluster.shutdown().await;
    });
}

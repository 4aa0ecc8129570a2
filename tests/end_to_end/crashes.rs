//! Requests that crash engines, and the other requests on these engines.

use std::time::Duration;

use futures_util::future::join_all;
use goldcrestpitch::errors::Code;
use tokio::time;

use crate::{client_for, cluster_spec, completion_request, run, start_cluster};

const CRASHING_PROMPT: &str = "CRASH-ENGINE now";

#[test]
fn crashing_request_stops_at_most_two_engines_and_other_requests_complete() {
    run(async {
        let mut spec = cluster_spec();
        let extra_engines = (3..6).map(|i| {
            let mut engine = spec.engines[i % 3].clone();
            engine.name = format!("engine-{i}");
            engine
        });
        let extra_engines: Vec<_> = extra_engines.collect();
        spec.engines.extend(extra_engines);
        let cluster = start_cluster(&spec).await;
        let unrelated: Vec<_> = (0..12)
            .map(|i| {
                let client = client_for(&cluster, ["entry-east", "entry-west"][i % 2]);
                let request = completion_request("roster", &format!("innocent {i}"), 60, true);
                tokio::spawn(async move { client.complete(&request).await })
            })
            .collect();
        // The same request through both entries concurrently, three times.
        for round in 0..3 {
            let requests = ["entry-east", "entry-west"].map(|entry| {
                let client = client_for(&cluster, entry);
                async move {
                    client.complete(&completion_request("roster", CRASHING_PROMPT, 4, false)).await
                }
            });
            for result in join_all(requests).await {
                assert!(!result.complete, "round {round}: {result:?}");
                assert_eq!(result.code, Code::Quarantined.number(), "round {round}: {result:?}");
            }
        }
        let crashed: Vec<_> =
            cluster.engines.iter().filter(|(_, e)| e.crashes() != 0).map(|(n, _)| n).collect();
        assert!(crashed.len() <= 2, "engines {crashed:?} crashed");
        for task in unrelated {
            let result = task.await.unwrap();
            assert!(result.complete, "{result:?}");
        }
        cluster.shutdown().await;
    });
}

/// The caller leaves before the engine crashes, each time.
#[test]
fn crash_after_the_caller_has_left_is_counted() {
    run(async {
        let mut spec = cluster_spec();
        for engine in &mut spec.engines {
            engine.profile.first_token = Duration::from_millis(60);
        }
        let cluster = start_cluster(&spec).await;
        for round in 0..8 {
            let client = client_for(&cluster, ["entry-east", "entry-west"][round % 2]);
            let request = completion_request("roster", CRASHING_PROMPT, 4, true);
            // Dropping the request closes its connection.
            let _ = time::timeout(Duration::from_millis(30), client.complete(&request)).await;
            time::sleep(Duration::from_millis(100)).await;
            assert!(cluster.wait_until_loaded(Duration::from_secs(20)).await);
        }
        let crashes: u64 = cluster.engines.values().map(|e| e.crashes()).sum();
        assert!(crashes <= 2, "{crashes} crashes");
        cluster.shutdown().await;
    });
}

/// A crash that no request causes loses no request and quarantines none.
#[test]
fn engine_crash_loses_no_request() {
    run(async {
        let cluster = start_cluster(&cluster_spec()).await;
        let tasks: Vec<_> = (0..10)
            .map(|i| {
                let client = client_for(&cluster, "entry-east");
                let request = completion_request("snow", &format!("during {i}"), 80, true);
                tokio::spawn(async move { client.complete(&request).await })
            })
            .collect();
        time::sleep(Duration::from_millis(60)).await;
        cluster.engines["engine-0"].crash();
        for task in tasks {
            let result = task.await.unwrap();
            assert!(result.complete, "{result:?}");
        }
        let again = client_for(&cluster, "entry-west")
            .complete(&completion_request("snow", "during 1", 8, false))
            .await;
        assert!(again.complete, "{again:?}");
        cluster.shutdown().await;
    });
}

//! Requests that crash engines, and their neighbours.

use futures_util::future::join_all;
use goldcrestpitch::errors::Code;

use crate::{ask, caller, run, shape, start_with};

const POISON: &str = "CRASH-ENGINE now";

#[test]
fn poison_takes_at_most_two_engines_and_neighbours_complete() {
    run(async {
        let mut shape = shape();
        let more = (3..6).map(|i| {
            let mut spec = shape.engines[i % 3].clone();
            spec.name = format!("engine-{i}");
            spec
        });
        let more: Vec<_> = more.collect();
        shape.engines.extend(more);
        let bed = start_with(&shape).await;
        let innocent: Vec<_> = (0..12)
            .map(|i| {
                let caller = caller(&bed, ["entry-east", "entry-west"][i % 2]);
                let ask = ask("roster", &format!("innocent {i}"), 60, true);
                tokio::spawn(async move { caller.complete(&ask).await })
            })
            .collect();
        // The same request through both entries at once, and again.
        for round in 0..3 {
            let calls = ["entry-east", "entry-west"].map(|entry| {
                let caller = caller(&bed, entry);
                async move { caller.complete(&ask("roster", POISON, 4, false)).await }
            });
            for result in join_all(calls).await {
                assert!(!result.complete, "round {round}: {result:?}");
                assert_eq!(result.code, Code::Quarantined.number(), "round {round}: {result:?}");
            }
        }
        let lost: Vec<_> =
            bed.engines.iter().filter(|(_, e)| e.crashes() != 0).map(|(n, _)| n).collect();
        assert!(lost.len() <= 2, "engines {lost:?} were lost");
        for call in innocent {
            let result = call.await.unwrap();
            assert!(result.complete, "{result:?}");
        }
        bed.shutdown().await;
    });
}

/// A crash by itself loses no request and leaves no mark.
#[test]
fn crash_of_an_engine_loses_no_request() {
    run(async {
        let bed = start_with(&shape()).await;
        let calls: Vec<_> = (0..10)
            .map(|i| {
                let caller = caller(&bed, "entry-east");
                let ask = ask("snow", &format!("during {i}"), 80, true);
                tokio::spawn(async move { caller.complete(&ask).await })
            })
            .collect();
        tokio::time::sleep(std::time::Duration::from_millis(60)).await;
        bed.engines["engine-0"].crash();
        for call in calls {
            let result = call.await.unwrap();
            assert!(result.complete, "{result:?}");
        }
        let again = caller(&bed, "entry-west").complete(&ask("snow", "during 1", 8, false)).await;
        assert!(again.complete, "{again:?}");
        bed.shutdown().await;
    });
}

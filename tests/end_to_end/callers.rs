//! Bad input, limits and callers that go away.

use std::time::Duration;

use goldcrestpitch::{core::config::Action, demo::ApiClient, errors::Code, http::Client};
use hyper::{HeaderMap, Method};
use serde_json::json;
use tokio::time;

use crate::{ask, caller, run, start};

#[test]
fn bad_input_has_codes_of_its_own() {
    run(async {
        let bed = start().await;
        let good = caller(&bed, "entry-east");
        let path = "/v1/completions";
        let address = bed.entries["entry-east"].address;
        let cases = [
            (good.post(path, &json!([1]), None, false).await, Code::MalformedBody),
            (good.post(path, &json!({ "prompt": "p" }), None, false).await, Code::MalformedBody),
            (
                good.post(path, &json!({ "model": "roster" }), None, false).await,
                Code::MalformedBody,
            ),
            (good.complete(&ask("nothing", "p", 1, false)).await, Code::UnknownModel),
            (good.complete(&ask("roster:none", "p", 1, true)).await, Code::UnknownModel),
            (
                good.complete(&ask("roster", &"x".repeat(1 << 21), 1, false)).await,
                Code::BodyTooLarge,
            ),
            (good.confirm("absent", "i", None).await, Code::UnknownService),
            (good.confirm("payroll", "i", Some(&"k".repeat(201))).await, Code::BadKey),
            (good.post("/v2/other", &json!({}), None, false).await, Code::UnknownPath),
            (
                ApiClient::new(address, "nobody", "standard")
                    .complete(&ask("roster", "p", 1, false))
                    .await,
                Code::UnknownTenant,
            ),
            (
                ApiClient::new(address, "acme", "gold")
                    .complete(&ask("roster", "p", 1, false))
                    .await,
                Code::UnknownClass,
            ),
        ];
        for (result, code) in cases {
            assert_eq!((result.code, result.outcome.as_str()), (code.number(), "not_run"));
            assert_eq!(result.status, code.status());
        }
        bed.shutdown().await;
    });
}

#[test]
fn rate_and_concurrency_are_limited_per_tenant() {
    run(async {
        let mut bed = start().await;
        bed.submit_change(Action::Set { key: "tenant.rate_per_s".into(), value: 1 }).await.unwrap();
        assert!(bed.wait_until_propagated(Duration::from_secs(20)).await.is_some());
        let east = caller(&bed, "entry-east");
        let mut codes = Vec::new();
        for i in 0..12 {
            codes.push(east.complete(&ask("roster", &format!("{i}"), 1, false)).await.code);
        }
        assert!(codes.contains(&Code::RateLimited.number()), "{codes:?}");
        bed.shutdown().await;
    });
}

#[test]
fn caller_that_goes_away_cancels_its_run() {
    run(async {
        let bed = start().await;
        let east = caller(&bed, "entry-east");
        let call =
            tokio::spawn(
                async move { east.complete(&ask("roster", "endless", 100_000, true)).await },
            );
        let running = |bed: &goldcrestpitch::demo::LocalCluster| -> usize {
            bed.engines.values().map(|e| e.running()).sum()
        };
        while running(&bed) == 0 {
            time::sleep(Duration::from_millis(5)).await;
        }
        call.abort();
        while running(&bed) != 0 {
            time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(bed.engines.values().map(|e| e.cancelled()).sum::<u64>(), 1);
        bed.shutdown().await;
    });
}

#[test]
fn models_and_readiness_are_listed() {
    run(async {
        let bed = start().await;
        let client = Client::new(bed.entries["entry-west"].address);
        let models: serde_json::Value =
            client.get_json("/v1/models", Duration::from_secs(5)).await.unwrap();
        assert_eq!(models["data"][0]["id"], "roster");
        let limit = Duration::from_secs(5);
        let ready = client.call(Method::GET, "/readyz", HeaderMap::new(), "".into(), limit).await;
        assert_eq!(ready.as_deref().ok(), Some(&b"ready\n"[..]));
        bed.shutdown().await;
    });
}

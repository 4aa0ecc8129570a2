//! Invalid requests, limits and clients that disconnect.

use std::time::Duration;

use goldcrestpitch::{core::config::Action, demo::ApiClient, errors::Code, http::Client};
use hyper::{HeaderMap, Method};
use serde_json::json;
use tokio::time;

use crate::{client_for, completion_request, run, start_default};

#[test]
fn invalid_requests_have_distinct_error_codes() {
    run(async {
        let cluster = start_default().await;
        let client = client_for(&cluster, "entry-east");
        let path = "/v1/completions";
        let address = cluster.entries["entry-east"].address;
        let cases = [
            (client.post(path, &json!([1]), None, false).await, Code::MalformedBody),
            (client.post(path, &json!({ "prompt": "p" }), None, false).await, Code::MalformedBody),
            (
                client.post(path, &json!({ "model": "roster" }), None, false).await,
                Code::MalformedBody,
            ),
            (
                client.complete(&completion_request("nothing", "p", 1, false)).await,
                Code::UnknownModel,
            ),
            (
                client.complete(&completion_request("roster:none", "p", 1, true)).await,
                Code::UnknownModel,
            ),
            (
                client
                    .complete(&completion_request("roster", &"x".repeat(1 << 21), 1, false))
                    .await,
                Code::BodyTooLarge,
            ),
            (client.confirm("absent", "i", None).await, Code::UnknownService),
            (client.confirm("payroll", "i", Some(&"k".repeat(201))).await, Code::BadKey),
            (client.post("/v2/other", &json!({}), None, false).await, Code::UnknownPath),
            (
                ApiClient::new(address, "nobody", "standard")
                    .complete(&completion_request("roster", "p", 1, false))
                    .await,
                Code::UnknownTenant,
            ),
            (
                ApiClient::new(address, "acme", "gold")
                    .complete(&completion_request("roster", "p", 1, false))
                    .await,
                Code::UnknownClass,
            ),
        ];
        for (result, code) in cases {
            assert_eq!((result.code, result.outcome.as_str()), (code.number(), "not_run"));
            assert_eq!(result.status, code.status());
        }
        cluster.shutdown().await;
    });
}

#[test]
fn rate_and_concurrency_are_limited_per_tenant() {
    run(async {
        let mut cluster = start_default().await;
        cluster
            .submit_change(Action::Set { key: "tenant.rate_per_s".into(), value: 1 })
            .await
            .unwrap();
        assert!(cluster.wait_until_propagated(Duration::from_secs(20)).await.is_some());
        let east = client_for(&cluster, "entry-east");
        let mut codes = Vec::new();
        for i in 0..12 {
            codes.push(
                east.complete(&completion_request("roster", &format!("{i}"), 1, false)).await.code,
            );
        }
        assert!(codes.contains(&Code::RateLimited.number()), "{codes:?}");
        cluster.shutdown().await;
    });
}

#[test]
fn client_disconnect_cancels_the_run() {
    run(async {
        let cluster = start_default().await;
        let east = client_for(&cluster, "entry-east");
        let task = tokio::spawn(async move {
            east.complete(&completion_request("roster", "endless", 100_000, true)).await
        });
        let running = |cluster: &goldcrestpitch::demo::LocalCluster| -> usize {
            cluster.engines.values().map(|e| e.running()).sum()
        };
        while running(&cluster) == 0 {
            time::sleep(Duration::from_millis(5)).await;
        }
        task.abort();
        while running(&cluster) != 0 {
            time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(cluster.engines.values().map(|e| e.cancelled()).sum::<u64>(), 1);
        cluster.shutdown().await;
    });
}

#[test]
fn models_and_readiness_are_served() {
    run(async {
        let cluster = start_default().await;
        let client = Client::new(cluster.entries["entry-west"].address);
        let models: serde_json::Value =
            client.get_json("/v1/models", Duration::from_secs(5)).await.unwrap();
        assert_eq!(models["data"][0]["id"], "roster");
        let timeout = Duration::from_secs(5);
        let ready = client.call(Method::GET, "/readyz", HeaderMap::new(), "".into(), timeout).await;
        assert_eq!(ready.as_deref().ok(), Some(&b"ready\n"[..]));
        cluster.shutdown().await;
    });
}

//! Client accounts: keys, the headers that endpoints get, and priorities.

use std::{sync::Arc, time::Duration};

use goldcrestpitch::{
    fakes::{FakeLog, LogFaults},
    gateway::AccountSettings,
    platform::CONFIGURATION,
};
use serde_json::{Value, json};
use tokio::{io::AsyncWriteExt, sync::Notify, time};

use crate::{
    run,
    scripted_endpoint::{
        ScriptedEndpoint, Step, chunk, events, healthy_endpoint, http_response, last_chunk,
        stream_head,
    },
    test_gateway::{
        Response, TestGateway, configuration, http_request, read_response, route, routes,
    },
};

const KEY: &str = "authorization: Bearer asnm-the-key\r\n";

/// The default routes and `/open/`, which needs no key.
fn routes_with_open() -> Vec<Value> {
    let mut all = routes();
    let mut open = route("/open/", "idempotent", 2);
    open["NoAuth"] = true.into();
    all.push(open);
    all
}

async fn configure(gateway: &TestGateway, version: u64, accounts: &Value) {
    let mut text = configuration(version, &routes_with_open(), &["desk"]);
    text["Tenants"] = accounts.clone();
    let text = text.to_string();
    gateway.store.put(CONFIGURATION, "config", text.as_bytes()).await.unwrap();
    gateway.wait_for_version(version).await;
}

fn one_account(keys: &[&str]) -> Value {
    json!([{ "Name": "hule930", "ApiKeys": keys, "Priority": 3 }])
}

/// A gateway whose only account has the key of [`KEY`].
async fn start(endpoint: &ScriptedEndpoint) -> TestGateway {
    let gateway = TestGateway::start(&[endpoint]).await;
    configure(&gateway, 2, &one_account(&["asnm-the-key"])).await;
    gateway
}

fn assert_unknown_key(response: &Response) {
    assert_eq!(response.status, 401);
    assert_eq!(response.header("www-authenticate"), Some("Bearer"));
    assert!(response.text().contains("\"code\":1013"), "{}", response.text());
}

/// Fails if requests without a valid key reach an endpoint.
#[test]
fn unknown_or_missing_key_is_refused() {
    run(async {
        let endpoint = healthy_endpoint().await;
        let gateway = start(&endpoint).await;
        for headers in [
            "",
            "x-tenant: hule930\r\n",
            "authorization: Bearer other\r\n",
            "authorization: Bearer \r\n",
            "authorization: Basic asnm-the-key\r\n",
            "authorization: Bearer asnm-the-key\r\nauthorization: Bearer other\r\n",
        ] {
            assert_unknown_key(&gateway.send("GET", "/read/1", headers, "").await);
        }
        assert_eq!(endpoint.requests().len(), 0);
        assert_eq!(gateway.send("GET", "/read/1", KEY, "").await.status, 200);
        // A path without a route is unknown with or without a key.
        assert_eq!(gateway.send("GET", "/none/1", "", "").await.status, 404);
    });
}

/// Fails if a connection keeps the access that its earlier requests had.
#[test]
fn revoked_key_is_refused_on_a_kept_connection() {
    run(async {
        let endpoint = healthy_endpoint().await;
        let gateway = start(&endpoint).await;
        let mut socket = gateway.connect().await;
        let mut buf = Vec::new();
        let request = http_request("GET", "/read/1", KEY, "");
        socket.write_all(request.as_bytes()).await.unwrap();
        assert_eq!(read_response(&mut socket, &mut buf).await.status, 200);
        configure(&gateway, 3, &one_account(&["k7b2"])).await;
        socket.write_all(request.as_bytes()).await.unwrap();
        assert_unknown_key(&read_response(&mut socket, &mut buf).await);
        let new_key = "authorization: Bearer k7b2\r\n";
        let request = http_request("GET", "/read/1", new_key, "");
        socket.write_all(request.as_bytes()).await.unwrap();
        assert_eq!(read_response(&mut socket, &mut buf).await.status, 200);
        assert_eq!(endpoint.requests().len(), 2);
    });
}

/// Fails if a slow body lets a request pass whose key was revoked meanwhile.
#[test]
fn key_revoked_while_the_body_arrives_is_refused() {
    run(async {
        let endpoint = healthy_endpoint().await;
        let gateway = start(&endpoint).await;
        let request = http_request("POST", "/book/1", KEY, "body");
        let (begin, end) = request.split_at(request.len() - 2);
        let mut socket = gateway.connect().await;
        socket.write_all(begin.as_bytes()).await.unwrap();
        configure(&gateway, 3, &one_account(&[])).await;
        socket.write_all(end.as_bytes()).await.unwrap();
        assert_unknown_key(&read_response(&mut socket, &mut Vec::new()).await);
        assert_eq!(endpoint.requests().len(), 0);
    });
}

/// Fails if an endpoint learns a key or takes a name from the caller for an account.
#[test]
fn endpoints_get_the_account_and_never_the_key() {
    run(async {
        let endpoint = healthy_endpoint().await;
        let gateway = start(&endpoint).await;
        let claimed = format!("{KEY}x-tenant: root\r\nX-Tenant: other\r\n");
        let hop_by_hop = format!("{KEY}connection: x-tenant, authorization\r\n");
        for headers in [KEY, &claimed, &hop_by_hop] {
            assert_eq!(gateway.send("GET", "/read/1", headers, "").await.status, 200);
        }
        let requests = endpoint.requests();
        assert_eq!(requests.len(), 3);
        for request in requests {
            assert_eq!(request.header("x-tenant"), Some("hule930"));
            assert_eq!(request.header("authorization"), None);
            let leaked = request.headers.values().find(|v| v.contains("asnm-the-key"));
            assert_eq!(leaked, None);
        }
    });
}

/// Fails if a caller can name an account or leak its key on a route that checks neither.
#[test]
fn route_without_a_key_strips_both_headers() {
    run(async {
        let endpoint = healthy_endpoint().await;
        let gateway = start(&endpoint).await;
        let claimed = format!("{KEY}x-tenant: hule930\r\n");
        for headers in ["", &claimed, "authorization: Bearer other\r\n"] {
            assert_eq!(gateway.send("GET", "/open/1", headers, "").await.status, 200);
        }
        for request in endpoint.requests() {
            assert_eq!(request.header("x-tenant"), None);
            assert_eq!(request.header("authorization"), None);
            assert_eq!(request.header("x-request-priority"), Some("1"));
        }
    });
}

/// Fails if the revocation of a key cuts off streams that have begun.
#[test]
fn stream_goes_on_after_its_key_is_revoked() {
    run(async {
        let revoked = Arc::new(Notify::new());
        let wait = revoked.clone();
        let endpoint = ScriptedEndpoint::start(move |request| {
            vec![
                stream_head(request.id()),
                chunk(&events(0..1)),
                Step::WaitFor(wait.clone()),
                chunk(&events(1..3)),
                last_chunk(),
            ]
        })
        .await;
        let gateway = start(&endpoint).await;
        let headers = format!("{KEY}x-deadline-ms: 30000\r\n");
        let streaming = async {
            let mut socket = gateway.connect().await;
            let request = http_request("POST", "/stream/1", &headers, "");
            socket.write_all(request.as_bytes()).await.unwrap();
            read_response(&mut socket, &mut Vec::new()).await
        };
        let revoking = async {
            endpoint.wait_for_requests(1).await;
            configure(&gateway, 3, &json!([])).await;
            assert_unknown_key(&gateway.send("POST", "/stream/2", KEY, "").await);
            revoked.notify_one();
        };
        let (response, ()) = tokio::join!(streaming, revoking);
        assert!(response.complete);
        assert_eq!(response.text(), events(0..3));
    });
}

/// Fails if deployments without accounts are served differently than before.
#[test]
fn both_headers_pass_without_accounts() {
    run(async {
        let endpoint = healthy_endpoint().await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        configure(&gateway, 2, &Value::Null).await;
        let headers = format!("{KEY}x-tenant: own\r\n");
        for path in ["/read/1", "/open/1"] {
            assert_eq!(gateway.send("GET", path, &headers, "").await.status, 200);
        }
        for request in endpoint.requests() {
            assert_eq!(request.header("x-tenant"), Some("own"));
            assert_eq!(request.header("authorization"), Some("Bearer asnm-the-key"));
            assert_eq!(request.header("x-request-priority"), Some("1"));
        }
    });
}

/// Fails if an endpoint orders requests by the route's priority although the account has one.
#[test]
fn priority_of_the_account_precedes_that_of_the_route() {
    run(async {
        let endpoint = healthy_endpoint().await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        let accounts = json!([
            { "Name": "urgent", "ApiKeys": ["k0"], "Priority": 0 },
            { "Name": "usual", "ApiKeys": ["k1"] },
            { "Name": "late", "ApiKeys": ["k2"], "Priority": 5 },
        ]);
        configure(&gateway, 2, &accounts).await;
        for key in ["k0", "k1", "k2"] {
            let headers = format!("authorization: Bearer {key}\r\nx-request-priority: 0\r\n");
            assert_eq!(gateway.send("GET", "/read/1", &headers, "").await.status, 200);
        }
        let requests = endpoint.requests();
        let seen = requests.iter().map(|r| (r.header("x-tenant"), r.header("x-request-priority")));
        let expected = [("urgent", "0"), ("usual", "1"), ("late", "5")];
        assert!(seen.eq(expected.map(|(name, priority)| (Some(name), Some(priority)))));
    });
}

/// Fails if a gateway that knows no accounts yet answers as if there were none.
#[test]
fn requests_are_refused_without_a_configuration() {
    run(async {
        let gateway = TestGateway::start_unconfigured().await;
        for headers in ["", KEY] {
            assert_eq!(gateway.send("GET", "/read/1", headers, "").await.status, 503);
        }
    });
}

/// Fails if keys stay valid for ever at a gateway that is set to fail closed, or if it refuses
/// requests that need no key.
#[test]
fn gateway_that_fails_closed_refuses_keys_it_cannot_confirm() {
    run(async {
        let endpoint = healthy_endpoint().await;
        let log = FakeLog::new(LogFaults::default(), 7);
        // Reads of an unchanged configuration take 2 s.
        let settings = AccountSettings {
            fail_closed: true,
            revoke: Duration::from_secs(4),
            ..AccountSettings::default()
        };
        let peer = "127.0.0.1:0".parse().unwrap();
        let gateway = TestGateway::start_with_accounts(log, peer, Vec::new(), settings).await;
        gateway.set_up(&[&endpoint]).await;
        configure(&gateway, 2, &one_account(&["asnm-the-key"])).await;
        let status = async || gateway.send("GET", "/read/1", KEY, "").await.status;
        while status().await != 200 {
            time::sleep(Duration::from_millis(50)).await;
        }
        gateway.log.set_faults(|f| f.outage = true);
        let refused = loop {
            let response = gateway.send("GET", "/read/1", KEY, "").await;
            if response.status != 200 {
                break response;
            }
            time::sleep(Duration::from_millis(50)).await;
        };
        assert_eq!(refused.status, 503);
        assert!(refused.text().contains("\"code\":3010"), "{}", refused.text());
        assert_eq!(gateway.send("GET", "/open/1", "", "").await.status, 200);
        gateway.log.set_faults(|f| f.outage = false);
        while status().await != 200 {
            time::sleep(Duration::from_millis(50)).await;
        }
    });
}

/// Fails if a store outage locks out callers of a gateway that is not set to fail closed.
#[test]
fn known_keys_stay_valid_during_a_store_outage() {
    run(async {
        let endpoint = healthy_endpoint().await;
        let log = FakeLog::new(LogFaults::default(), 7);
        let settings =
            AccountSettings { revoke: Duration::from_millis(1), ..AccountSettings::default() };
        let peer = "127.0.0.1:0".parse().unwrap();
        let gateway = TestGateway::start_with_accounts(log, peer, Vec::new(), settings).await;
        gateway.set_up(&[&endpoint]).await;
        configure(&gateway, 2, &one_account(&["asnm-the-key"])).await;
        gateway.log.set_faults(|f| f.outage = true);
        gateway.wait_until(|gateway| gateway.process.shared().is_store_unavailable()).await;
        assert_eq!(gateway.send("GET", "/read/1", KEY, "").await.status, 200);
        assert_unknown_key(&gateway.send("GET", "/read/1", "", "").await);
    });
}

/// Fails if requests wait by the route's priority although their account has one.
#[test]
fn waiting_requests_are_sent_by_the_priority_of_the_account() {
    run(async {
        let free = Arc::new(Notify::new());
        let wait = free.clone();
        let endpoint = ScriptedEndpoint::start(move |request| {
            let mut steps = http_response("200 OK", request.id(), "fine");
            if request.index == 0 {
                steps.insert(0, Step::WaitFor(wait.clone()));
            }
            steps
        })
        .await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        let mut patient = route("/book/", "non_idempotent", 1);
        patient["TargetLatencyMs"] = 20_000.into();
        patient["TimeoutMs"] = 60_000.into();
        let mut text = configuration(2, &[patient], &["desk"]);
        // One request at a time.
        text["Services"][0]["MaxConns"] = 1.into();
        text["Tenants"] = json!([
            { "Name": "late", "ApiKeys": ["k-late"], "Priority": 5 },
            { "Name": "usual", "ApiKeys": ["k-usual"] },
            { "Name": "urgent", "ApiKeys": ["k-urgent"], "Priority": 0 },
        ]);
        let text = text.to_string();
        gateway.store.put(CONFIGURATION, "config", text.as_bytes()).await.unwrap();
        gateway.wait_for_version(2).await;
        let send = async |name: &str, before: usize| {
            gateway
                .wait_until(|g| {
                    endpoint.requests().len() == before.min(1)
                        && g.process.shared().waiting_requests() == before.saturating_sub(1)
                })
                .await;
            let headers = format!("authorization: Bearer k-{name}\r\nx-deadline-ms: 50000\r\n");
            gateway.send("POST", "/book/1", &headers, "").await.status
        };
        let freeing = async {
            gateway.wait_until(|g| g.process.shared().waiting_requests() == 3).await;
            free.notify_one();
        };
        let (a, b, c, d, ()) = tokio::join!(
            send("usual", 0),
            send("late", 1),
            send("usual", 2),
            send("urgent", 3),
            freeing
        );
        assert_eq!([a, b, c, d], [200; 4]);
        let sent = endpoint.requests();
        let sent: Vec<&str> = sent.iter().filter_map(|r| r.header("x-tenant")).collect();
        assert_eq!(sent, ["usual", "urgent", "usual", "late"]);
    });
}

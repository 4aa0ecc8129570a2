//! Limits on retries, and quarantine of requests that crash endpoints.

use std::{net::IpAddr, time::Duration};

use goldcrestpitch::fakes::{FakeLog, LogFaults};
use tokio::time;

use crate::{
    run,
    scripted_endpoint::{ReceivedRequest, ScriptedEndpoint, Step, http_response},
    test_gateway::TestGateway,
};

async fn failing_endpoint() -> ScriptedEndpoint {
    ScriptedEndpoint::start(|request| http_response("500 No", request.id(), "")).await
}

#[test]
fn attempts_stay_within_the_route_limit() {
    run(async {
        let endpoints = [
            failing_endpoint().await,
            failing_endpoint().await,
            failing_endpoint().await,
            failing_endpoint().await,
        ];
        let gateway = TestGateway::start(&endpoints.each_ref()).await;
        let response = gateway.send("GET", "/read/1", "", "").await;
        assert_eq!((response.status, response.header("x-response-signature")), (500, Some("s-q1")));
        // The attempt limit of the route.
        assert_eq!(endpoints.iter().map(|e| e.requests().len()).sum::<usize>(), 2);
        assert!(endpoints.iter().all(|e| e.requests().len() <= 1));
    });
}

#[test]
fn retries_stay_within_the_budget() {
    run(async {
        let endpoints = [failing_endpoint().await, failing_endpoint().await];
        let gateway = TestGateway::start(&endpoints.each_ref()).await;
        let request_count = 40;
        for i in 0..request_count {
            gateway.send("GET", "/read/1", &format!("x-request-id: q{i}\r\n"), "").await;
        }
        let attempts: usize = endpoints.iter().map(|e| e.requests().len()).sum();
        // A fifth of the requests (`retry_ratio`) and the allowance of four (`retry_slack`), as
        // `TestGateway` configures them.
        assert!(attempts <= request_count + request_count / 5 + 4, "{attempts}");
        assert!(request_count < attempts, "no request was retried");
    });
}

#[test]
fn new_gateway_uses_only_its_share_of_the_retry_allowance() {
    run(async {
        let endpoints = [failing_endpoint().await, failing_endpoint().await];
        // Three configured peers that have not sent anything.
        let peers = (2..5).map(|i| IpAddr::from([127, 0, 0, i])).collect();
        let log = FakeLog::new(LogFaults::default(), 7);
        let gateway = TestGateway::start_with(log, "127.0.0.1:0".parse().unwrap(), peers).await;
        gateway.set_up(&endpoints.each_ref()).await;
        let request_count = 8;
        for i in 0..request_count {
            gateway.send("GET", "/read/1", &format!("x-request-id: q{i}\r\n"), "").await;
        }
        let attempts: usize = endpoints.iter().map(|e| e.requests().len()).sum();
        // A fifth of its requests and a quarter of the allowance of four, which four gateways
        // share.
        assert!(attempts <= request_count + request_count / 5 + 1, "{attempts}");
    });
}

#[test]
fn request_that_crashes_endpoints_is_quarantined() {
    run(async {
        let mut endpoints = Vec::new();
        for _ in 0..5 {
            endpoints.push(
                ScriptedEndpoint::start(|request| match request.body.as_slice() {
                    b"poison" => vec![Step::Crash],
                    _ => http_response("200 OK", request.id(), "fine"),
                })
                .await,
            );
        }
        let gateway = TestGateway::start(&endpoints.iter().collect::<Vec<_>>()).await;
        for i in 0..6 {
            gateway.send("POST", "/read/1", &format!("x-request-id: q{i}\r\n"), "poison").await;
            // The crash check starts after the failure.
            gateway.wait_until(|gateway| !gateway.process.shared().is_checking_for_crash()).await;
        }
        let poisoned: usize = endpoints
            .iter()
            .map(|e| e.requests().iter().filter(|s| s.body == b"poison").count())
            .sum();
        assert!(poisoned <= 3, "{poisoned} endpoints received the request");
        let response = gateway.send("POST", "/read/1", "x-request-id: r\r\n", "other").await;
        assert_eq!(response.status, 200);
    });
}

#[test]
fn failed_connection_does_not_count_as_an_attempt() {
    run(async {
        let unreachable = failing_endpoint().await;
        let address = unreachable.address;
        drop(unreachable);
        time::sleep(Duration::from_millis(20)).await;
        let healthy =
            ScriptedEndpoint::start(|request| http_response("200 OK", request.id(), "fine")).await;
        let gateway = TestGateway::start(&[&healthy]).await;
        gateway.register("i-9", address, "ready", 1).await;
        gateway.wait_for_endpoints(2).await;
        for i in 0..6 {
            let response =
                gateway.send("POST", "/book/1", &format!("x-request-id: q{i}\r\n"), "").await;
            assert_eq!(response.status, 200);
        }
    });
}

#[test]
fn request_is_retried_when_an_endpoint_does_not_respond() {
    run(async {
        let succeed = |request: &ReceivedRequest| http_response("200 OK", request.id(), "fine");
        let endpoints = ScriptedEndpoint::pair(|_| vec![Step::Hang], succeed).await;
        let gateway = TestGateway::start(&endpoints.each_ref()).await;
        assert_eq!(gateway.send("GET", "/read/1", "", "").await.status, 200);
        // The abandoned attempt is ended, so that it does not run beside the other.
        tokio::select! {
            () = endpoints[0].wait_for_disconnects(1) => {}
            () = endpoints[1].wait_for_disconnects(1) => {}
        }
    });
}

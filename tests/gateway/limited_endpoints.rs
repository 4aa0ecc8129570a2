//! Endpoints that name the rate of requests that they take.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use crate::{
    run,
    scripted_endpoint::{
        ReceivedRequest, ScriptedEndpoint, Step, chunk, events, healthy_endpoint, http_response,
        last_chunk, response_head,
    },
    test_gateway::TestGateway,
};

/// Requests that an endpoint may get within 4 s beside one and a half times its rate, by the
/// platform's rules. A rate of 0.01 adds nothing in the time of a test.
const ALLOWED: usize = 5;
const REQUESTS: usize = 30;

fn answer(request: &ReceivedRequest, limit: &str) -> Vec<Step> {
    let headers = format!("content-length: 4\r\n{limit}");
    vec![Step::Send((response_head("200 OK", request.id(), &headers) + "fine").into_bytes())]
}

async fn limited_endpoint(limit: &'static str) -> ScriptedEndpoint {
    ScriptedEndpoint::start(move |request| answer(request, limit)).await
}

/// Sends requests one after the other and returns how many were answered with 200.
async fn served(gateway: &TestGateway, path: &str) -> usize {
    let mut served = 0;
    for i in 0..REQUESTS {
        let id = format!("x-request-id: q{i}\r\n");
        let response = gateway.send("POST", path, &id, &format!("body {i}")).await;
        served += usize::from(response.status == 200);
        if response.status != 200 {
            assert_eq!(response.status, 503);
            assert!(response.header("retry-after").is_some());
        }
    }
    served
}

#[test]
fn endpoint_gets_no_more_requests_than_it_names() {
    run(async {
        let endpoint = limited_endpoint("server-limit: 0.01\r\n").await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        served(&gateway, "/read/1").await;
        assert!(endpoint.requests().len() <= ALLOWED, "{}", endpoint.requests().len());
    });
}

#[test]
fn streams_name_limits_too() {
    run(async {
        let endpoint = ScriptedEndpoint::start(|request| {
            let headers = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
                           server-limit: 0.01\r\n";
            let head = response_head("200 OK", request.id(), headers);
            vec![Step::Send(head.into_bytes()), chunk(&events(0..2)), last_chunk()]
        })
        .await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        served(&gateway, "/stream/1").await;
        assert!(endpoint.requests().len() <= ALLOWED, "{}", endpoint.requests().len());
    });
}

/// The endpoint refuses each request, and each could be retried there.
#[test]
fn refusals_name_limits_too() {
    run(async {
        let endpoint = ScriptedEndpoint::start(|request| {
            let headers = "x-not-executed: 1\r\ncontent-length: 0\r\nserver-limit: 0.01\r\n";
            let head = response_head("503 Busy", request.id(), headers);
            vec![Step::Send(head.into_bytes())]
        })
        .await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        assert_eq!(served(&gateway, "/read/1").await, 0);
        assert!(endpoint.requests().len() <= ALLOWED, "{}", endpoint.requests().len());
    });
}

#[test]
fn requests_go_to_endpoints_without_a_limit() {
    run(async {
        let limited = limited_endpoint("server-limit: 0.01\r\n").await;
        let other = healthy_endpoint().await;
        let gateway = TestGateway::start(&[&limited, &other]).await;
        assert_eq!(served(&gateway, "/read/1").await, REQUESTS);
        assert!(limited.requests().len() <= ALLOWED, "{}", limited.requests().len());
    });
}

#[test]
fn lowest_of_several_values_holds() {
    run(async {
        let endpoint = limited_endpoint("server-limit: 1000\r\nserver-limit: 0.01\r\n").await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        served(&gateway, "/read/1").await;
        assert!(endpoint.requests().len() <= ALLOWED, "{}", endpoint.requests().len());
    });
}

#[test]
fn values_that_are_no_rate_limit_nothing() {
    run(async {
        for value in ["", "nan", "-1", "inf", "-inf", "1 per second", "1e999"] {
            let limit = format!("server-limit: {value}\r\n");
            let endpoint = ScriptedEndpoint::start(move |r| answer(r, &limit)).await;
            let gateway = TestGateway::start(&[&endpoint]).await;
            assert_eq!(served(&gateway, "/read/1").await, REQUESTS, "{value:?}");
        }
    });
}

/// The endpoint names a limit until the test says otherwise.
#[test]
fn limit_ends_with_a_response_that_names_none() {
    run(async {
        let is_limited = Arc::new(AtomicBool::new(true));
        let flag = is_limited.clone();
        let endpoint = ScriptedEndpoint::start(move |r| match flag.load(Ordering::Relaxed) {
            true => answer(r, "server-limit: 1\r\n"),
            false => http_response("200 OK", r.id(), "fine"),
        })
        .await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        assert!(served(&gateway, "/read/1").await < REQUESTS);
        is_limited.store(false, Ordering::Relaxed);
        while served(&gateway, "/read/1").await < REQUESTS {}
    });
}

/// The second gateway learns of the limit from the first one, and both count the requests of
/// each other.
#[test]
fn gateways_share_the_limit() {
    run(async {
        let endpoint = limited_endpoint("server-limit: 0.01\r\n").await;
        let first = TestGateway::start(&[&endpoint]).await;
        let second = first.start_peer(2).await;
        second.wait_for_endpoints(1).await;
        assert_eq!(first.send("POST", "/read/1", "", "body").await.status, 200);
        second.wait_until(|g| g.process.shared().limited_endpoints() == 1).await;
        served(&second, "/read/1").await;
        served(&first, "/read/1").await;
        assert!(endpoint.requests().len() <= ALLOWED, "{}", endpoint.requests().len());
    });
}

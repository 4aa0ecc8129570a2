//! Who counts as the caller of a request that crashes endpoints.

use std::net::{IpAddr, Ipv4Addr};

use crate::{
    crashing_requests::{MAX_CRASHES, POISON, crashed, crashing_endpoints},
    run,
    scripted_endpoint::{ReceivedRequest, Step, http_response},
    test_gateway::TestGateway,
};

const OTHER_CALLER: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 9));

/// Another caller's request with the same path and body neither clears the count nor is
/// refused.
#[test]
fn same_request_of_another_caller_is_counted_separately() {
    run(async {
        // The request crashes endpoints for one caller only.
        let endpoints = crashing_endpoints(|request| match request.id().starts_with("other") {
            true => http_response("200 OK", request.id(), "fine"),
            false => vec![Step::Crash],
        })
        .await;
        let gateway = TestGateway::start(&endpoints.iter().collect::<Vec<_>>()).await;
        let mut ended = 0;
        for i in 0..8 {
            let id = format!("x-request-id: q{i}\r\n");
            gateway.send("POST", "/book/1", &id, POISON).await;
            gateway.wait_until(|g| !g.process.shared().is_checking_for_crash()).await;
            let other = format!("x-request-id: other-{i}\r\n");
            let response = gateway.send_from(OTHER_CALLER, "POST", "/book/1", &other, POISON).await;
            assert_eq!(response.status, 200, "round {i}");
            let is_own = |r: &ReceivedRequest| r.id().starts_with('q');
            ended = endpoints.iter().filter(|e| e.requests().iter().any(is_own)).count();
        }
        assert!(ended <= MAX_CRASHES, "{ended} endpoints crashed");
    });
}

/// Callers behind one address differ in a header only. The sound one neither clears the count
/// of the other nor is refused.
#[test]
fn sound_request_with_other_headers_clears_no_crashes() {
    run(async {
        let endpoints = crashing_endpoints(|request| match request.header("x-account") {
            Some("b") => http_response("200 OK", request.id(), "fine"),
            _ => vec![Step::Crash],
        })
        .await;
        let gateway = TestGateway::start(&endpoints.iter().collect::<Vec<_>>()).await;
        for i in 0..8 {
            let id = format!("x-request-id: q{i}\r\nx-account: a\r\n");
            gateway.send("POST", "/book/1", &id, POISON).await;
            gateway.wait_until(|g| !g.process.shared().is_checking_for_crash()).await;
            let other = format!("x-request-id: other-{i}\r\nx-account: b\r\n");
            let response = gateway.send("POST", "/book/1", &other, POISON).await;
            assert_eq!(response.status, 200, "round {i}");
        }
        let is_bad = |r: &ReceivedRequest| r.id().starts_with('q');
        let ended = endpoints.iter().filter(|e| e.requests().iter().any(is_bad)).count();
        assert!(ended <= MAX_CRASHES, "{ended} endpoints crashed");
    });
}

/// A request that comes again keeps path, caller and body, but not its other headers.
#[test]
fn repeats_with_other_headers_are_counted_together() {
    run(async {
        let endpoints = crashing_endpoints(|_| vec![Step::Crash]).await;
        let gateway = TestGateway::start(&endpoints.iter().collect::<Vec<_>>()).await;
        let mut status = 0;
        for i in 0..8 {
            let headers = format!("x-request-id: q{i}\r\nx-attempt: {i}\r\n");
            status = gateway.send("POST", "/book/1", &headers, POISON).await.status;
            gateway.wait_until(|g| !g.process.shared().is_checking_for_crash()).await;
        }
        let crashed = crashed(&endpoints);
        assert!(crashed <= MAX_CRASHES, "{crashed} endpoints crashed");
        assert_eq!(status, 503);
    });
}

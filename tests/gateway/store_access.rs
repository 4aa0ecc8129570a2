//! Gateways that the store turns away while it serves the others.

use goldcrestpitch::fakes::Access;

use crate::{
    crashing_requests::{MAX_CRASHES, POISON},
    run,
    scripted_endpoint::{ReceivedRequest, ScriptedEndpoint, Step, healthy_endpoint, http_response},
    test_gateway::{TestGateway, route, routes},
};

/// Confirms a version while the store treats one of two gateways like this, and waits until it is
/// in force there.
async fn assert_version_arrives(access: Access) {
    let endpoints = [healthy_endpoint().await];
    let fleet = TestGateway::start_fleet(2, &endpoints).await;
    fleet[1].log.set_access(access);
    let mut changed = routes();
    changed.push(route("/added/", "idempotent", 2));
    fleet[0].configure(2, &changed).await;
    fleet[1].wait_for_version(2).await;
    assert_eq!(fleet[1].send("GET", "/added/1", "", "").await.status, 200);
}

#[test]
fn version_reaches_a_gateway_that_the_store_rejects() {
    run(assert_version_arrives(Access::Rejected));
}

#[test]
fn version_reaches_a_gateway_that_the_store_does_not_answer() {
    run(assert_version_arrives(Access::Silent));
}

#[test]
#[ignore = "listed in KNOWN-RED.txt"]
fn crashes_of_an_endpoint_that_comes_back_unread_are_counted() {
    run(async {
        let script = |request: &ReceivedRequest| match request.body.as_slice() {
            body if body == POISON.as_bytes() => vec![Step::Crash],
            _ => http_response("200 OK", request.id(), "fine"),
        };
        let mut endpoint = ScriptedEndpoint::start(script).await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        gateway.log.set_access(Access::Rejected);
        let mut crashes = 0;
        for i in 0..8 {
            let id = format!("x-request-id: q{i}\r\n");
            gateway.send("POST", "/read/1", &id, POISON).await;
            gateway.wait_until(|gateway| !gateway.process.shared().is_checking_for_crash()).await;
            if !endpoint.requests().is_empty() {
                crashes += 1;
                endpoint = ScriptedEndpoint::start_at(endpoint.address, script).await;
                gateway.register("i-0", endpoint.address, "ready", 2 + i).await;
            }
        }
        assert!(crashes <= MAX_CRASHES, "the endpoint crashed {crashes} times");
    });
}

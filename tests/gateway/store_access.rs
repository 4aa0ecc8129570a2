//! Gateways that the store turns away while it serves the others.

use goldcrestpitch::fakes::Access;

use crate::{
    run,
    scripted_endpoint::healthy_endpoint,
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

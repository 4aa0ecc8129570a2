//! Configuration versions and route selection.

use crate::{
    run,
    scripted_endpoint::healthy_endpoint,
    test_gateway::{TestGateway, route, routes},
};

#[test]
fn new_version_adds_and_removes_routes() {
    run(async {
        let endpoint = healthy_endpoint().await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        assert_eq!(gateway.send("GET", "/added/1", "", "").await.status, 404);
        let mut changed = routes();
        changed.remove(0);
        changed.push(route("/added/", "idempotent", 2));
        gateway.configure(5, &changed).await;
        gateway.wait_for_version(5).await;
        assert_eq!(gateway.send("GET", "/added/1", "", "").await.status, 200);
        assert_eq!(gateway.send("GET", "/read/1", "", "").await.status, 404);
    });
}

#[test]
fn older_version_in_the_store_is_ignored() {
    run(async {
        let endpoint = healthy_endpoint().await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        gateway.configure(9, &[route("/new/", "idempotent", 2)]).await;
        gateway.wait_for_version(9).await;
        gateway.configure(4, &routes()).await;
        // After four more reads of the store, the older version has certainly been read.
        let (before, _) = gateway.log.reads();
        gateway.wait_until(|gateway| before + 4 <= gateway.log.reads().0).await;
        assert_eq!(gateway.process.shared().version(), Some(9));
        // Version 10 is read after version 4, which therefore was read and ignored.
        gateway
            .configure(10, &[route("/new/", "idempotent", 2), route("/x/", "idempotent", 1)])
            .await;
        gateway.wait_until(|gateway| gateway.process.shared().version() != Some(9)).await;
        assert_eq!(gateway.process.shared().version(), Some(10));
        assert_eq!(gateway.send("GET", "/read/1", "", "").await.status, 404);
    });
}

#[test]
fn longest_prefix_wins() {
    run(async {
        let endpoint = healthy_endpoint().await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        let mut other = route("/read/deep/", "idempotent", 2);
        other["Service"] = "other".into();
        let mut changed = routes();
        changed.push(other);
        gateway.configure(2, &changed).await;
        gateway.wait_for_version(2).await;
        assert_eq!(gateway.send("GET", "/read/1", "", "").await.status, 200);
        // The other service has no endpoint, and its requests go to no other service.
        assert_eq!(gateway.send("GET", "/read/deep/1", "", "").await.status, 503);
        assert_eq!(endpoint.requests().len(), 1);
    });
}

#[test]
fn invalid_configuration_is_ignored() {
    run(async {
        let endpoint = healthy_endpoint().await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        let topic = goldcrestpitch::platform::CONFIGURATION;
        gateway.store.put(topic, "config", b"{\"Version\":8}").await.unwrap();
        gateway.store.put(topic, "other", b"{}").await.unwrap();
        gateway.configure(3, &routes()).await;
        gateway.wait_for_version(3).await;
        assert_eq!(gateway.send("GET", "/read/1", "", "").await.status, 200);
    });
}

#[test]
fn routes_stay_active_during_a_store_outage() {
    run(async {
        let endpoint = healthy_endpoint().await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        gateway.log.set_faults(|f| f.outage = true);
        gateway.wait_until(|gateway| gateway.process.shared().is_store_unavailable()).await;
        assert!(gateway.is_ready().await);
        assert_eq!(gateway.send("GET", "/read/1", "", "").await.status, 200);
        // A change is applied once the store is available again.
        gateway.log.set_faults(|f| f.outage = false);
        gateway.configure(2, &[route("/new/", "idempotent", 2)]).await;
        gateway.wait_for_version(2).await;
        assert_eq!(gateway.send("GET", "/new/1", "", "").await.status, 200);
    });
}

#[test]
fn traffic_split_distributes_requests() {
    run(async {
        let endpoint = healthy_endpoint().await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        let mut split = route("/split/", "idempotent", 2);
        split["Service"] = serde_json::Value::Null;
        split["TrafficSplit"] = serde_json::json!([
            { "Service": "desk", "Weight": 1 }, { "Service": "other", "Weight": 1 }
        ]);
        gateway.configure(2, &[split]).await;
        gateway.wait_for_version(2).await;
        let mut to_desk = 0;
        for i in 0..40 {
            let response =
                gateway.send("GET", "/split/1", &format!("x-request-id: s{i}\r\n"), "").await;
            to_desk += usize::from(response.status == 200);
        }
        assert!(
            (8..=32).contains(&to_desk),
            "{to_desk} of 40 requests went to one of two services of equal weight"
        );
    });
}

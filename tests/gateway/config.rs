//! Versions of the configuration.

use crate::{
    bed::{Bed, route, routes},
    endpoint::good,
    run,
};

#[test]
fn a_new_version_adds_and_drops_routes() {
    run(async {
        let endpoint = good().await;
        let bed = Bed::start(&[&endpoint]).await;
        assert_eq!(bed.call("GET", "/added/1", "", "").await.status, 404);
        let mut changed = routes();
        changed.remove(0);
        changed.push(route("/added/", "idempotent", 2));
        bed.configure(5, &changed).await;
        bed.wait_version(5).await;
        assert_eq!(bed.call("GET", "/added/1", "", "").await.status, 200);
        assert_eq!(bed.call("GET", "/read/1", "", "").await.status, 404);
    });
}

#[test]
fn versions_never_go_back() {
    run(async {
        let endpoint = good().await;
        let bed = Bed::start(&[&endpoint]).await;
        bed.configure(9, &[route("/new/", "idempotent", 2)]).await;
        bed.wait_version(9).await;
        bed.configure(4, &routes()).await;
        // So many reads later it was seen for certain.
        let (before, _) = bed.log.reads();
        bed.wait(|bed| before + 4 <= bed.log.reads().0).await;
        assert_eq!(bed.gateway.shared().version(), Some(9));
        // The next version shows that the older one was read and passed over.
        bed.configure(10, &[route("/new/", "idempotent", 2), route("/x/", "idempotent", 1)]).await;
        bed.wait(|bed| bed.gateway.shared().version() != Some(9)).await;
        assert_eq!(bed.gateway.shared().version(), Some(10));
        assert_eq!(bed.call("GET", "/read/1", "", "").await.status, 404);
    });
}

#[test]
fn the_longest_prefix_decides() {
    run(async {
        let endpoint = good().await;
        let bed = Bed::start(&[&endpoint]).await;
        let mut other = route("/read/deep/", "idempotent", 2);
        other["Service"] = "other".into();
        let mut changed = routes();
        changed.push(other);
        bed.configure(2, &changed).await;
        bed.wait_version(2).await;
        assert_eq!(bed.call("GET", "/read/1", "", "").await.status, 200);
        // The other service has no endpoint: its requests run nowhere else.
        assert_eq!(bed.call("GET", "/read/deep/1", "", "").await.status, 503);
        assert_eq!(endpoint.seen().len(), 1);
    });
}

#[test]
fn an_unreadable_version_changes_nothing() {
    run(async {
        let endpoint = good().await;
        let bed = Bed::start(&[&endpoint]).await;
        let topic = goldcrestpitch::platform::CONFIGURATION;
        bed.store.put(topic, "config", b"{\"Version\":8}").await.unwrap();
        bed.store.put(topic, "other", b"{}").await.unwrap();
        bed.configure(3, &routes()).await;
        bed.wait_version(3).await;
        assert_eq!(bed.call("GET", "/read/1", "", "").await.status, 200);
    });
}

#[test]
fn routes_stay_in_force_without_the_store() {
    run(async {
        let endpoint = good().await;
        let bed = Bed::start(&[&endpoint]).await;
        bed.log.set_faults(|f| f.outage = true);
        bed.wait(|bed| bed.gateway.shared().is_store_unavailable()).await;
        assert!(bed.is_ready().await);
        assert_eq!(bed.call("GET", "/read/1", "", "").await.status, 200);
        // What was changed meanwhile holds after the return.
        bed.log.set_faults(|f| f.outage = false);
        bed.configure(2, &[route("/new/", "idempotent", 2)]).await;
        bed.wait_version(2).await;
        assert_eq!(bed.call("GET", "/new/1", "", "").await.status, 200);
    });
}

#[test]
fn a_split_route_spreads_its_requests() {
    run(async {
        let endpoint = good().await;
        let bed = Bed::start(&[&endpoint]).await;
        let mut split = route("/split/", "idempotent", 2);
        split["Service"] = serde_json::Value::Null;
        split["TrafficSplit"] = serde_json::json!([
            { "Service": "desk", "Weight": 1 }, { "Service": "other", "Weight": 1 }
        ]);
        bed.configure(2, &[split]).await;
        bed.wait_version(2).await;
        let mut here = 0;
        for i in 0..40 {
            let got = bed.call("GET", "/split/1", &format!("x-request-id: s{i}\r\n"), "").await;
            here += usize::from(got.status == 200);
        }
        assert!((8..=32).contains(&here), "{here} of 40 went to one of two equal shares");
    });
}

//! The store returns from an older copy, gives out offsets again and has lost what was written
//! since.

use goldcrestpitch::{
    fakes::Access,
    platform::{CONFIGURATION, QUARANTINE},
};

use crate::{
    crashing_requests::{MAX_CRASHES, POISON, crashed, crashing_endpoints},
    run,
    scripted_endpoint::{Step, healthy_endpoint},
    test_gateway::{TestGateway, route, routes},
};

/// Keeps the gateway from reading the log meanwhile.
async fn cut_off(gateway: &TestGateway) {
    gateway.log.set_access(Access::Rejected);
    gateway.wait_until(|gateway| gateway.process.shared().is_store_unavailable()).await;
}

#[test]
fn version_at_an_offset_that_was_read_before_is_in_force() {
    run(async {
        let endpoint = healthy_endpoint().await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        let copy = gateway.log.copy();
        gateway.configure(2, &routes()).await;
        gateway.configure(3, &routes()).await;
        gateway.wait_for_version(3).await;
        cut_off(&gateway).await;
        gateway.log.restore(copy);
        let mut changed = routes();
        changed.push(route("/added/", "idempotent", 2));
        gateway.configure(4, &changed).await;
        gateway.store.put(CONFIGURATION, "other", b"{}").await.unwrap();
        gateway.log.set_access(Access::Open);
        gateway.wait_for_version(4).await;
        assert_eq!(gateway.send("GET", "/added/1", "", "").await.status, 200);
    });
}

#[test]
fn unreadable_version_does_not_hide_the_one_before_it() {
    run(async {
        let gateway = TestGateway::start(&[&healthy_endpoint().await]).await;
        cut_off(&gateway).await;
        gateway.configure(2, &routes()).await;
        gateway.store.put(CONFIGURATION, "config", b"{\"Version\":3}").await.unwrap();
        gateway.log.set_access(Access::Open);
        gateway.wait_for_version(2).await;
    });
}

#[test]
fn crashes_that_the_store_has_lost_are_known_after_all_gateways_start_again() {
    run(async {
        let endpoints = crashing_endpoints(|_| vec![Step::Crash]).await;
        let gateway = TestGateway::start(&endpoints.iter().collect::<Vec<_>>()).await;
        let copy = gateway.log.copy();
        let mut status = 0;
        for i in 0..MAX_CRASHES + 1 {
            let id = format!("x-request-id: q{i}\r\n");
            status = gateway.send("POST", "/read/1", &id, POISON).await.status;
            gateway.wait_until(|gateway| !gateway.process.shared().is_checking_for_crash()).await;
        }
        assert_eq!(status, 503);
        gateway.wait_until(|gateway| gateway.process.shared().unsaved_reports() == 0).await;
        let ended = crashed(&endpoints);

        gateway.log.restore(copy);
        while gateway.store.newest_records(QUARANTINE).await.unwrap().records.is_empty() {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
        gateway.log.set_access(Access::Rejected);
        let log = gateway.log.clone();
        drop(gateway);
        let restarted =
            TestGateway::start_with(log, "127.0.0.1:0".parse().unwrap(), Vec::new()).await;
        restarted.wait_for_version(1).await;
        restarted.wait_until(|gateway| gateway.process.shared().knows_quarantines()).await;
        assert_eq!(restarted.send("POST", "/read/1", "", POISON).await.status, 503);
        assert_eq!(crashed(&endpoints), ended);
    });
}

//! Gateways that start while the store is unavailable.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use crate::{
    run,
    scripted_endpoint::healthy_endpoint,
    test_gateway::{TestGateway, route, routes},
};

const OTHER_VM: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 2));

#[test]
fn gateway_starts_from_a_peer_and_follows_the_store_after_the_outage() {
    run(async {
        let endpoint = healthy_endpoint().await;
        let existing = TestGateway::start(&[&endpoint]).await;
        existing.log.set_faults(|f| f.outage = true);
        let address = SocketAddr::new(OTHER_VM, existing.peer_address.port());
        let joining = TestGateway::start_with(
            existing.log.clone(),
            address,
            vec![existing.peer_address.ip()],
        )
        .await;
        joining.wait_for_version(1).await;
        assert!(joining.is_ready().await);
        assert_eq!(joining.send("GET", "/read/1", "", "").await.status, 200);

        existing.log.set_faults(|f| f.outage = false);
        let mut changed = routes();
        changed.push(route("/added/", "idempotent", 2));
        joining.configure(2, &changed).await;
        joining.wait_for_version(2).await;
        assert_eq!(joining.send("GET", "/added/1", "", "").await.status, 200);
    });
}

#[test]
fn gateway_without_configuration_is_not_ready_and_returns_503() {
    run(async {
        let unconfigured = TestGateway::start_unconfigured().await;
        unconfigured.log.set_faults(|f| f.outage = true);
        let address = SocketAddr::new(OTHER_VM, unconfigured.peer_address.port());
        // The only peer has no configuration either.
        let joining = TestGateway::start_with(
            unconfigured.log.clone(),
            address,
            vec![unconfigured.peer_address.ip()],
        )
        .await;
        joining.wait_until(|gateway| gateway.process.shared().is_store_unavailable()).await;
        for _ in 0..3 {
            assert_eq!(joining.send("GET", "/read/1", "", "").await.status, 503);
            assert!(!joining.is_ready().await);
        }
    });
}

#[test]
fn older_configuration_of_a_peer_is_ignored() {
    run(async {
        let endpoint = healthy_endpoint().await;
        let existing = TestGateway::start(&[&endpoint]).await;
        let address = SocketAddr::new(OTHER_VM, existing.peer_address.port());
        let joining = TestGateway::start_with(
            existing.log.clone(),
            address,
            vec![existing.peer_address.ip()],
        )
        .await;
        joining.configure(7, &routes()).await;
        joining.wait_for_version(7).await;
        joining.log.set_faults(|f| f.outage = true);
        joining.wait_until(|gateway| gateway.process.shared().is_store_unavailable()).await;
        assert_eq!(joining.send("GET", "/read/1", "", "").await.status, 200);
        assert_eq!(joining.process.shared().version(), Some(7));
    });
}

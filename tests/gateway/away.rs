//! Gateways that start while the store is away.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use crate::{
    bed::{Bed, route, routes},
    endpoint::good,
    run,
};

const OTHER_VM: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 2));

#[test]
fn it_serves_by_what_another_knows_and_goes_on_when_the_store_is_back() {
    run(async {
        let endpoint = good().await;
        let old = Bed::start(&[&endpoint]).await;
        old.log.set_faults(|f| f.outage = true);
        let at = SocketAddr::new(OTHER_VM, old.peer.port());
        let new = Bed::beside(old.log.clone(), at, vec![old.peer.ip()]).await;
        new.wait_version(1).await;
        assert!(new.is_ready().await);
        assert_eq!(new.call("GET", "/read/1", "", "").await.status, 200);

        old.log.set_faults(|f| f.outage = false);
        let mut changed = routes();
        changed.push(route("/added/", "idempotent", 2));
        new.configure(2, &changed).await;
        new.wait_version(2).await;
        assert_eq!(new.call("GET", "/added/1", "", "").await.status, 200);
    });
}

#[test]
fn without_anyone_who_knows_it_is_not_ready_and_promises_that_nothing_ran() {
    run(async {
        let alone = Bed::empty().await;
        alone.log.set_faults(|f| f.outage = true);
        let at = SocketAddr::new(OTHER_VM, alone.peer.port());
        // It asks the first, which knows nothing either.
        let new = Bed::beside(alone.log.clone(), at, vec![alone.peer.ip()]).await;
        new.wait(|bed| bed.gateway.shared().is_store_unavailable()).await;
        for _ in 0..3 {
            assert_eq!(new.call("GET", "/read/1", "", "").await.status, 503);
            assert!(!new.is_ready().await);
        }
    });
}

#[test]
fn an_older_version_of_a_peer_is_not_taken() {
    run(async {
        let endpoint = good().await;
        let old = Bed::start(&[&endpoint]).await;
        let at = SocketAddr::new(OTHER_VM, old.peer.port());
        let new = Bed::beside(old.log.clone(), at, vec![old.peer.ip()]).await;
        new.configure(7, &routes()).await;
        new.wait_version(7).await;
        new.log.set_faults(|f| f.outage = true);
        new.wait(|bed| bed.gateway.shared().is_store_unavailable()).await;
        assert_eq!(new.call("GET", "/read/1", "", "").await.status, 200);
        assert_eq!(new.gateway.shared().version(), Some(7));
    });
}

//! Gateways that hear none of the others that their settings name.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use goldcrestpitch::{
    fakes::{FakeLog, LogFaults},
    platform::GATEWAYS,
};

use crate::{run, test_gateway::TestGateway};

/// Nothing listens there.
const SEED_THAT_IS_DOWN: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 200));

async fn start_lone(log: &FakeLog, count: u8) -> Vec<TestGateway> {
    let mut gateways: Vec<TestGateway> = Vec::new();
    for vm in 1..=count {
        let port = gateways.first().map_or(0, |first| first.peer_address.port());
        let own = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, vm)), port);
        gateways.push(TestGateway::start_with(log.clone(), own, vec![SEED_THAT_IS_DOWN]).await);
    }
    gateways
}

// Guards against retries beyond the shared budget: gateways whose only seed is down did not meet,
// and each used half of the allowance.
#[test]
fn gateways_whose_seed_is_down_divide_the_retry_allowance_among_all() {
    run(async {
        let log = FakeLog::new(LogFaults::default(), 7);
        let gateways = start_lone(&log, 4).await;
        for gateway in &gateways {
            // The seed that is down counts as well, since it may be about to start.
            gateway.wait_until(|gateway| gateway.process.shared().retry_processes() == 5).await;
            gateway.wait_until(|gateway| gateway.process.shared().known_gateways() == 5).await;
        }
    });
}

// Guards against a part of the allowance that is used before anything was heard of the others.
#[test]
fn gateway_that_has_heard_neither_the_store_nor_others_has_no_part_of_the_retry_allowance() {
    run(async {
        let log = FakeLog::new(LogFaults::default(), 7);
        log.set_faults(|f| f.outage = true);
        let gateways = start_lone(&log, 1).await;
        let shared = gateways[0].process.shared();
        gateways[0].wait_until(|_| shared.is_store_unavailable()).await;
        assert_eq!(shared.retry_processes(), usize::MAX);
        log.set_faults(|f| f.outage = false);
        gateways[0].wait_until(|_| shared.retry_processes() == 2).await;
    });
}

#[test]
fn gateway_is_in_the_directory_again_after_the_store_has_lost_its_record() {
    run(async {
        let log = FakeLog::new(LogFaults::default(), 7);
        let copy = log.copy();
        let gateways = start_lone(&log, 1).await;
        let records = || gateways[0].store.newest_records(GATEWAYS);
        while records().await.unwrap().records.is_empty() {
            tokio::task::yield_now().await;
        }
        log.restore(copy);
        while records().await.unwrap().records.is_empty() {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    });
}

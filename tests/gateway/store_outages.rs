//! News of the store that arrives late: reads that an outage has swallowed, and registrations
//! that another gateway has cached.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use goldcrestpitch::{
    fakes::{Access, FakeLog, LogFaults},
    gossip::{CachedRecord, CachedRecords},
};
use prost::Message;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

use crate::{
    run,
    scripted_endpoint::healthy_endpoint,
    test_gateway::{TestGateway, configuration, registration, routes},
};

// Guards against requests to an endpoint that has left, since a read that an outage swallowed
// fails seconds after it and is taken for another outage.
#[test]
fn read_that_fails_after_the_store_is_back_is_not_another_outage() {
    run(async {
        let endpoint = healthy_endpoint().await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        // The next read of the configuration begins now. It gets version 3, unless the store
        // withholds it.
        gateway.configure(2, &routes()).await;
        gateway.wait_for_version(2).await;
        gateway.log.set_access(Access::Silent);
        gateway.configure(3, &routes()).await;
        gateway.wait_until(|gateway| gateway.process.shared().is_store_unavailable()).await;
        gateway.log.set_access(Access::Open);
        gateway.wait_until(|gateway| !gateway.process.shared().is_store_unavailable()).await;
        gateway
            .wait_until(|gateway| {
                let shared = gateway.process.shared();
                assert!(!shared.is_store_unavailable(), "the registrations were read since");
                shared.version() == Some(3)
            })
            .await;
    });
}

// Guards against requests to an endpoint that has left, as another gateway still lists it.
#[test]
fn registration_that_a_peer_has_cached_is_not_added_to_those_of_the_store() {
    run(async {
        let (staying, gone) = (healthy_endpoint().await, healthy_endpoint().await);
        let peer = TcpListener::bind("127.0.0.2:0").await.unwrap();
        let peer_address = peer.local_addr().unwrap();
        let own = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, 3)), peer_address.port());
        let log = FakeLog::new(LogFaults::default(), 7);
        // The store has registrations and no configuration, so that the gateway asks its peer.
        let gateway = TestGateway::start_with(log, own, vec![peer_address.ip()]).await;
        gateway.register("i-staying", staying.address, "ready", 1).await;
        gateway.wait_for_endpoints(1).await;

        let cached = CachedRecords {
            configuration: configuration(1, &routes(), &["desk", "other"]).to_string().into(),
            registrations: vec![CachedRecord {
                key: "i-gone".to_owned(),
                value: registration(gone.address, "ready", 1).to_string().into(),
            }],
        };
        tokio::spawn(async move {
            let body = cached.encode_to_vec();
            loop {
                let (mut socket, _) = peer.accept().await.unwrap();
                let _ = socket.read(&mut [0; 4096]).await;
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
                let _ = socket.write_all(&[head.as_bytes(), &body].concat()).await;
            }
        });
        gateway.wait_for_version(1).await;
        assert!(gateway.process.shared().is_registered("i-staying"));
        assert!(!gateway.process.shared().is_registered("i-gone"));
    });
}

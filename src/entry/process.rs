//! Starts the servers and background tasks of an entry, and stops them gracefully.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use log::info;
use tokio::{net::TcpListener, task::JoinHandle, time};
use tonic::transport::{Server, server::TcpIncoming};

use crate::{
    core::{
        config::{Key, Scope},
        ids::EntryId,
        routing::Site,
    },
    entry::{claims::ClaimService, peer::PeerRpc, shared::Shared},
    fleet::{ConfigStore, Follower, Log, VmList, watch_vms},
    http::{self, Stop, StopSignal, stop_channel},
    rpc::{Channels, pb::peer_server::PeerServer},
};

/// Start parameters of an entry.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// Its name in the list of VMs.
    pub name: EntryId,
    /// Its region and availability zone.
    pub site: Site,
    /// Time between becoming unready and closing the listener, so that the load balancer stops
    /// sending requests.
    pub drain_notice: Duration,
}

/// Handle of a running entry.
pub struct EntryProcess<L> {
    shared: Arc<Shared<L>>,
    stop: StopSignal,
    address: SocketAddr,
    peer_address: SocketAddr,
    drain_notice: Duration,
    servers: Vec<JoinHandle<()>>,
}

/// Starts an entry on a listener for callers and one for other processes.
pub fn start<L: Log, V: VmList>(
    config: EntryConfig,
    callers: TcpListener,
    peers: TcpListener,
    log: L,
    vms: V,
) -> std::io::Result<EntryProcess<L>> {
    let address = callers.local_addr()?;
    let peer_address = peers.local_addr()?;
    let (signal, stop) = stop_channel();
    let store = Arc::new(ConfigStore::default());
    let channels = Channels::default();
    let vms = watch_vms(vms, stop.clone());
    let claims = ClaimService::new(config.name.clone(), log.clone(), vms.clone(), channels.clone());
    let follower =
        Follower::new(log, store.clone(), vms.clone(), channels.clone(), Some(peer_address));
    info!("event=entry_start entry={} address={address}", config.name);
    let shared = Arc::new(Shared::new(config.name, config.site, store, channels, vms, claims));
    tokio::spawn(follower.run(stop.clone()));
    tokio::spawn(shared.clone().apply_configuration_changes(stop.clone()));
    let handler_state = shared.clone();
    let handler = move |req| {
        let shared = handler_state.clone();
        async move { Ok(shared.handle(req).await) }
    };
    let rpc = PeerServer::new(PeerRpc { shared: shared.clone() });
    let mut stopped = stop.clone();
    // Nagle's algorithm would delay small messages.
    let incoming = TcpIncoming::from(peers).with_nodelay(Some(true));
    let peer_server =
        Server::builder().add_service(rpc).serve_with_incoming_shutdown(incoming, async move {
            let _ = stopped.wait_for(|s| *s).await;
        });
    let servers = vec![
        tokio::spawn(http::serve(callers, handler, stop)),
        tokio::spawn(async move {
            // The server survives the failure of single connections.
            let _ = peer_server.await;
        }),
    ];
    let drain_notice = config.drain_notice;
    Ok(EntryProcess { shared, stop: signal, address, peer_address, drain_notice, servers })
}

impl<L: Log> Shared<L> {
    /// Passes configuration changes on to the parts of the entry that hold a copy of a value.
    async fn apply_configuration_changes(self: Arc<Self>, mut stop: Stop) {
        let mut view = self.store.subscribe();
        loop {
            let state = view.borrow_and_update().state.clone();
            let crashes = state.value(Key::QuarantineCrashes, &Scope::default());
            self.attempt_registry.set_limit(crashes as u32);
            tokio::select! {
                changed = view.changed() => if changed.is_err() { return },
                _ = stop.wait_for(|s| *s) => return,
            }
        }
    }
}

impl<L: Log> EntryProcess<L> {
    /// Listen address for callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Listen address for other processes.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// The configuration store of the entry.
    pub fn store(&self) -> &Arc<ConfigStore> {
        &self.shared.store
    }

    /// Becomes unready, waits for the load balancer to notice, closes the listeners and returns
    /// when the last response is sent.
    pub async fn stop(self) {
        self.shared.draining.store(true, Ordering::Relaxed);
        info!("event=drain entry={}", self.shared.name);
        time::sleep(self.drain_notice).await;
        self.stop.send_replace(true);
        for server in self.servers {
            // An aborted server has nothing left to send.
            let _ = server.await;
        }
    }

    /// Stops at once without draining, to simulate a VM failure.
    pub fn kill(self) {
        self.stop.send_replace(true);
        for server in &self.servers {
            server.abort();
        }
    }
}

//! Starts the tasks of an agent and stops them gracefully.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use log::info;
use tokio::{net::TcpListener, task::JoinHandle};
use tonic::transport::{Server, server::TcpIncoming};

use crate::{
    agent::{
        Backend,
        rpc::AgentRpc,
        shared::{Identity, Shared},
    },
    core::ids::EndpointId,
    fleet::{ConfigStore, Follower, Log, VmList, watch_vms},
    http::{StopSignal, stop_channel},
    rpc::{Channels, pb::agent_server::AgentServer},
    timers::Timers,
};

const DISPATCH_INTERVAL: Duration = Duration::from_millis(50);

/// A running agent.
pub struct AgentProcess<B, L> {
    shared: Arc<Shared<B, L>>,
    stop: StopSignal,
    address: SocketAddr,
    server: JoinHandle<()>,
}

/// Starts an agent whose RPC server uses a bound listener.
pub fn start<B: Backend, L: Log, V: VmList>(
    endpoint: EndpointId,
    listener: TcpListener,
    backend: B,
    log: L,
    vms: V,
) -> std::io::Result<AgentProcess<B, L>> {
    let address = listener.local_addr()?;
    let (signal, stop) = stop_channel();
    let store = Arc::new(ConfigStore::default());
    let identity = Identity { endpoint, incarnation: incarnation() };
    info!("event=agent_start endpoint={} incarnation={}", identity.endpoint, identity.incarnation);
    let follower = Follower::new(
        log.clone(),
        store.clone(),
        watch_vms(vms, stop.clone()),
        Channels::default(),
        None,
    );
    let shared = Arc::new(Shared::new(identity, store, backend, log, stop.clone()));
    let timers = Timers::start();
    tokio::spawn(follower.run(stop.clone()));
    tokio::spawn(shared.clone().order_loop(timers.clone()));
    tokio::spawn(shared.clone().configuration_loop());
    tokio::spawn(shared.clone().dispatch_loop(timers));
    let rpc = AgentRpc { shared: shared.clone() };
    let mut server_stop = stop;
    // Without TCP_NODELAY small frames could wait for more data to fill a segment.
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let server = Server::builder().add_service(AgentServer::new(rpc)).serve_with_incoming_shutdown(
        incoming,
        async move {
            let _ = server_stop.wait_for(|s| *s).await;
        },
    );
    let server = tokio::spawn(async move {
        // The failure of a single connection does not end the server.
        let _ = server.await;
    });
    Ok(AgentProcess { shared, stop: signal, address, server })
}

impl<B: Backend, L: Log> AgentProcess<B, L> {
    /// Listen address of the agent's RPC server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Configuration that the agent follows.
    pub fn store(&self) -> &Arc<ConfigStore> {
        &self.shared.store
    }

    /// Refuses new attempts and waits until the running ones have ended.
    pub async fn drain(&self) {
        self.shared.drain();
        self.shared.wait_until_idle().await;
    }

    /// Stops after a graceful shutdown.
    pub async fn stop(self) {
        self.drain().await;
        self.stop.send_replace(true);
        // The server ends after its last responses are sent.
        let _ = self.server.await;
    }

    /// Stops without waiting for running attempts, like a failure of the VM.
    pub fn kill(self) {
        self.stop.send_replace(true);
        self.server.abort();
        self.shared.lock().draining = true;
    }
}

impl<B: Backend, L: Log> Shared<B, L> {
    /// Applies each new revision of the configuration until the agent stops.
    async fn configuration_loop(self: Arc<Self>) {
        let mut view = self.store.subscribe();
        let mut stop = self.stop.clone();
        loop {
            self.configure();
            self.order_wakeup.notify_one();
            self.dispatch();
            tokio::select! {
                changed = view.changed() => if changed.is_err() { return },
                _ = stop.wait_for(|s| *s) => return,
            }
        }
    }

    /// Dispatches periodically, because queued attempts can expire without another event.
    async fn dispatch_loop(self: Arc<Self>, timers: Timers) {
        let mut ticks = timers.every(DISPATCH_INTERVAL);
        let mut stop = self.stop.clone();
        loop {
            tokio::select! {
                () = ticks.next() => self.dispatch(),
                _ = stop.wait_for(|s| *s) => return,
            }
        }
    }
}

/// The wall clock in milliseconds, so that a later start has a larger incarnation. An endpoint has
/// only one agent at a time, because the agent holds its listen address. An engine that has seen a
/// larger incarnation returns it, and the controller continues above it.
fn incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}

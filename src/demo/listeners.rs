//! Listening addresses of the parts of a local cluster.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU32, Ordering},
};

use tokio::net::TcpListener;

use crate::{demo::Node, fakes::FakeEngine, http::Stop};

static CLUSTERS: AtomicU32 = AtomicU32::new(0);
// Below the ephemeral port range, so that no outgoing connection takes the port of an agent.
const AGENT_PORT: u16 = 7000;

/// Address of an agent. It is computed from the process id and the cluster number, so
/// that clusters that run on one machine at the same time use different addresses.
pub(super) fn agent_address(cluster: u32, agent: usize) -> SocketAddr {
    let process = std::process::id();
    let host =
        Ipv4Addr::new(127, 16 + (process % 200) as u8, cluster as u8, 1 + (agent % 250) as u8);
    let port = AGENT_PORT + (process / 200 % 1000) as u16 * 8 + (agent / 250) as u16;
    SocketAddr::from((host, port))
}

/// Returns a cluster number that is unique in this process.
pub(super) fn next_cluster_number() -> u32 {
    CLUSTERS.fetch_add(1, Ordering::Relaxed)
}

/// Serves an engine on a separate thread, since a real engine runs on a machine of its own
/// and does not compete with other processes for one thread. Returns its address.
pub(super) async fn serve_on_thread(engine: FakeEngine, mut stop: Stop) -> io::Result<SocketAddr> {
    let server_stop = stop.clone();
    let start = move || async move {
        let (listener, address) = listen().await?;
        let server = tokio::spawn(engine.serve(listener, server_stop));
        Ok((server, address))
    };
    let stop_server = |server: tokio::task::JoinHandle<()>| async move { server.abort() };
    let (node, address) = Node::spawn("fake", start, stop_server).await?;
    tokio::spawn(async move {
        let _ = stop.wait_for(|s| *s).await;
        node.kill().await;
    });
    Ok(address)
}

/// Binds a listener to a free loopback port and returns it with its address.
pub(super) async fn listen() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

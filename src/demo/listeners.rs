//! Where the parts of a bed listen.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU32, Ordering},
};

use tokio::net::TcpListener;

use crate::{demo::Node, fakes::FakeEngine, http::Stop};

static BEDS: AtomicU32 = AtomicU32::new(0);
// Below the ports that the system gives to outgoing connections.
const AGENT_PORT: u16 = 7000;

/// An address that no other bed of this machine uses.
pub(super) fn agent_address(bed: u32, agent: usize) -> SocketAddr {
    let process = std::process::id();
    let host = Ipv4Addr::new(127, 16 + (process % 200) as u8, bed as u8, 1 + (agent % 250) as u8);
    let port = AGENT_PORT + (process / 200 % 1000) as u16 * 8 + (agent / 250) as u16;
    SocketAddr::from((host, port))
}

/// A number that no other bed of this process has.
pub(super) fn next_bed() -> u32 {
    BEDS.fetch_add(1, Ordering::Relaxed)
}

/// Serves an engine on a thread of its own, as it would run on a machine of its own.
pub(super) async fn on_own_thread(engine: FakeEngine, mut stop: Stop) -> io::Result<SocketAddr> {
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

/// A listener on loopback and its address.
pub(super) async fn listen() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

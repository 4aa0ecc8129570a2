//! RPC connections to other processes, one per address.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tonic::transport::{Channel, Endpoint};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Pool of connections, each made when it is first used.
#[derive(Clone, Debug, Default)]
pub struct Channels {
    by_address: Arc<Mutex<HashMap<SocketAddr, Channel>>>,
}

impl Channels {
    /// Returns the connection to an address.
    pub fn to(&self, address: SocketAddr) -> Channel {
        let mut channels = self.by_address.lock().unwrap_or_else(PoisonError::into_inner);
        channels.entry(address).or_insert_with(|| connect(address)).clone()
    }

    /// Drops connections to addresses that are no longer used.
    pub fn retain(&self, used: impl Fn(&SocketAddr) -> bool) {
        let mut channels = self.by_address.lock().unwrap_or_else(PoisonError::into_inner);
        channels.retain(|address, _| used(address));
    }
}

fn connect(address: SocketAddr) -> Channel {
    let uri = format!("http://{address}");
    let endpoint =
        Endpoint::from_shared(uri).unwrap_or_else(|_| Endpoint::from_static("http://0.0.0.0:0"));
    endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(KEEPALIVE_INTERVAL)
        .keep_alive_timeout(KEEPALIVE_TIMEOUT)
        .tcp_nodelay(true)
        .connect_lazy()
}

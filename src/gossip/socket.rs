//! A socket for datagrams.

use std::{io, net::SocketAddr};

use log::warn;
use prost::Message;
use tokio::net::UdpSocket;

use crate::gossip::{Body, Datagram};

/// Largest datagram that is sent: it fits a frame of Ethernet.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// Most gateways that are named in one datagram.
const MAX_NAMED: usize = 8;

const RECEIVE_BYTES: usize = 2048;

/// Names some of the addresses, others with each number, so that all are named in time.
///
/// ```
/// use goldcrestpitch::gossip::some_names;
/// let all: Vec<_> = (1..=20).map(|i| ([10, 0, 0, i], 80).into()).collect();
/// assert_eq!(some_names(&all, 0).len(), 8);
/// assert_ne!(some_names(&all, 0), some_names(&all, 1));
/// ```
pub fn some_names(addresses: &[SocketAddr], number: usize) -> Vec<String> {
    let skipped = number % addresses.len().max(1);
    let some = addresses.iter().cycle().skip(skipped).take(addresses.len().min(MAX_NAMED));
    some.map(ToString::to_string).collect()
}

/// A socket for datagrams.
#[derive(Debug)]
pub struct Socket {
    socket: UdpSocket,
}

impl Socket {
    /// Binds an address.
    ///
    /// # Errors
    /// When the address is taken.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(Self { socket: UdpSocket::bind(address).await? })
    }

    /// The address that it is bound to.
    ///
    /// # Errors
    /// When the socket fails.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a message. What is too large or cannot be sent now is dropped: the
    /// next one says the same. Returns whether it was sent.
    pub fn send(&self, to: SocketAddr, body: Body) -> bool {
        let bytes = Datagram { body: Some(body) }.encode_to_vec();
        if MAX_DATAGRAM_BYTES < bytes.len() {
            warn!("event=datagram_too_large bytes={} to={to}", bytes.len());
            return false;
        }
        self.socket.try_send_to(&bytes, to).is_ok()
    }

    /// Receives the next message that can be read.
    ///
    /// # Errors
    /// When the socket fails.
    pub async fn receive(&self) -> io::Result<(SocketAddr, Body)> {
        let mut buf = [0; RECEIVE_BYTES];
        loop {
            let (length, from) = self.socket.recv_from(&mut buf).await?;
            let Ok(datagram) = Datagram::decode(&buf[..length]) else { continue };
            if let Some(body) = datagram.body {
                return Ok((from, body));
            }
        }
    }
}

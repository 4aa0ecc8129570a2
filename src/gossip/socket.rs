//! A socket for datagrams.

use std::{io, net::SocketAddr};

use log::warn;
use prost::Message;
use tokio::net::UdpSocket;

use crate::gossip::{Body, Datagram};

/// Largest datagram that is sent: it fits a frame of Ethernet.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

const RECEIVE_BYTES: usize = 2048;

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

//! The UDP socket for gossip datagrams.

use std::{
    io,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Instant,
};

use log::warn;
use metrics::counter;
use prost::Message;
use tokio::net::UdpSocket;

use crate::{
    gossip::{Body, Datagram, PartAssembler, PartSplitter},
    telemetry::names,
};

/// Largest datagram that is sent. It fits into one Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// Most gateway addresses in one datagram.
const MAX_ADDRESSES: usize = 8;

const RECEIVE_BUFFER_BYTES: usize = 2048;

/// Returns a few of the addresses. Each round starts at the next address, so that
/// successive rounds cover all of them.
///
/// ```
/// use goldcrestpitch::gossip::rotating_subset;
/// let all: Vec<_> = (1..=20).map(|i| ([10, 0, 0, i], 80).into()).collect();
/// assert_eq!(rotating_subset(&all, 0).len(), 8);
/// assert_ne!(rotating_subset(&all, 0), rotating_subset(&all, 1));
/// ```
pub fn rotating_subset(addresses: &[SocketAddr], round: usize) -> Vec<String> {
    let skipped = round % addresses.len().max(1);
    let subset = addresses.iter().cycle().skip(skipped).take(addresses.len().min(MAX_ADDRESSES));
    subset.map(ToString::to_string).collect()
}

/// A UDP socket that sends and receives gossip messages.
#[derive(Debug)]
pub struct Socket {
    socket: UdpSocket,
    splitter: PartSplitter,
    assembler: Mutex<PartAssembler>,
}

impl Socket {
    /// Binds the socket to an address.
    ///
    /// # Errors
    /// When the address cannot be bound, for example because it is in use.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self { socket, splitter: PartSplitter::default(), assembler: Mutex::default() })
    }

    /// The address that the socket is bound to.
    ///
    /// # Errors
    /// When the socket fails.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a message, in as many datagrams as it takes, and returns whether it was sent. One
    /// that cannot be sent without blocking is dropped: the next one repeats the state.
    pub fn send(&self, to: SocketAddr, body: Body) -> bool {
        match self.splitter.encode(body) {
            Ok(datagrams) => datagrams.iter().all(|d| self.socket.try_send_to(d, to).is_ok()),
            Err(bytes) => {
                counter!(names::DATAGRAMS_TOO_LARGE).increment(1);
                warn!("event=datagram_too_large bytes={bytes} to={to}");
                false
            }
        }
    }

    /// Receives the next whole message, skipping datagrams that cannot be decoded.
    ///
    /// # Errors
    /// When the socket fails.
    pub async fn receive(&self) -> io::Result<(SocketAddr, Body)> {
        let mut buf = [0; RECEIVE_BUFFER_BYTES];
        loop {
            let (length, from) = self.socket.recv_from(&mut buf).await?;
            let Ok(datagram) = Datagram::decode(&buf[..length]) else { continue };
            let Some(body) = datagram.body else { continue };
            let mut assembler = self.assembler.lock().unwrap_or_else(PoisonError::into_inner);
            if let Some(body) = assembler.accept(Instant::now(), from, body) {
                return Ok((from, body));
            }
        }
    }
}

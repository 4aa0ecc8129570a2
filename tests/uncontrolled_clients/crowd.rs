//! Clients that keep their connections open and don't finish what they send.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::AsyncWriteExt,
    net::{TcpSocket, TcpStream},
    task::JoinSet,
    time,
};

use crate::process::GatewayProcess;

/// Receive buffer of clients, so that the kernel doesn't hold a whole response for them.
const RECEIVE_BUFFER_BYTES: u32 = 4096;
/// Without any progress of the client for so long, the process no longer reads from it.
const STALL: Duration = Duration::from_secs(2);
/// Time between two samples of the process.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// How long the crowd stays after it has sent everything.
const STAY: Duration = Duration::from_secs(1);

/// What each client of a crowd sends.
#[derive(Clone)]
pub struct Script {
    /// Sent first, in one piece.
    pub head: Vec<u8>,
    /// Sent `repeat` times after that.
    pub piece: Vec<u8>,
    pub repeat: usize,
}

/// Opens `clients` connections that all send `script` at once and stay open until the process was
/// checked.
pub async fn assert_survives(
    process: &mut GatewayProcess,
    address: SocketAddr,
    clients: usize,
    script: Script,
) {
    let mut crowd = JoinSet::new();
    for _ in 0..clients {
        crowd.spawn(send(address, script.clone()));
    }
    let mut open = Vec::new();
    loop {
        tokio::select! {
            joined = crowd.join_next() => match joined {
                Some(socket) => open.push(socket.unwrap()),
                None => break,
            },
            () = time::sleep(SAMPLE_INTERVAL) => process.sample(),
        }
    }
    time::sleep(STAY).await;
    process.assert_unharmed().await;
    drop(open);
}

/// Returns the connection, or `None` if it was refused or closed.
async fn send(address: SocketAddr, script: Script) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    let mut socket = time::timeout(STALL, socket.connect(address)).await.ok()?.ok()?;
    for piece in std::iter::once(&script.head).chain((0..script.repeat).map(|_| &script.piece)) {
        match time::timeout(STALL, socket.write_all(piece)).await {
            Ok(Ok(())) => {}
            // Not read any more: the connection stays open.
            Err(_) => break,
            Ok(Err(_)) => return None,
        }
        tokio::task::yield_now().await;
    }
    Some(socket)
}

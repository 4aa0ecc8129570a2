//! Many connections at each address of a process whose requests never end or whose responses are
//! never read.

use hyper::{Request, client::conn::http2};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::{TcpStream, UdpSocket};

use crate::{
    crowd::{Script, assert_survives},
    process::{GatewayProcess, request_head},
    run,
};

const CLIENTS: usize = 600;
/// Most of a head of legal size.
const HEAD_BYTES: usize = 15_000;
const SLOW_READERS: usize = 100;
const DATAGRAMS: usize = 20_000;
const HTTP2_CONNECTIONS: usize = 20;
const STREAMS_PER_CONNECTION: usize = 2000;

fn unfinished_head() -> Script {
    let mut head = request_head("/read/1", "content-length: 5");
    head.truncate(head.len() - 2);
    head.extend_from_slice(format!("x-padding: {}", "x".repeat(HEAD_BYTES)).as_bytes());
    Script { head, piece: Vec::new(), repeat: 0 }
}

/// Guards against connections and their buffers without a bound.
#[test]
fn heads_that_never_end() {
    run(async {
        let mut process = GatewayProcess::start().await;
        let address = process.callers;
        assert_survives(&mut process, address, CLIENTS, unfinished_head()).await;
    });
}

/// Guards against whole responses that are held for clients that never read them.
#[test]
fn responses_that_are_never_read() {
    run(async {
        let mut process = GatewayProcess::start().await;
        let address = process.callers;
        let framing = "x-deadline-ms: 3000\r\ncontent-length: 0";
        let head = request_head("/read/large", framing);
        let script = Script { head, piece: Vec::new(), repeat: 0 };
        assert_survives(&mut process, address, SLOW_READERS, script).await;
    });
}

/// Guards against connections without a bound at the address of readiness probes.
#[test]
fn heads_that_never_end_at_the_address_of_readiness_probes() {
    run(async {
        let mut process = GatewayProcess::start().await;
        let address = process.ready;
        assert_survives(&mut process, address, CLIENTS, unfinished_head()).await;
    });
}

/// Guards against connections without a bound at the address of the metrics.
#[test]
fn heads_that_never_end_at_the_address_of_metrics() {
    run(async {
        let mut process = GatewayProcess::start().await;
        let address = process.admin;
        assert_survives(&mut process, address, CLIENTS, unfinished_head()).await;
    });
}

/// Guards against connections without a bound at the address for other gateways.
#[test]
fn heads_that_never_end_at_the_address_for_other_gateways() {
    run(async {
        let mut process = GatewayProcess::start().await;
        let address = process.peers;
        assert_survives(&mut process, address, CLIENTS, unfinished_head()).await;
    });
}

/// Guards against state that is kept for datagrams that nobody in the fleet has sent.
#[test]
fn datagrams_that_mean_nothing() {
    run(async {
        let mut process = GatewayProcess::start().await;
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        for i in 0..DATAGRAMS {
            let datagram: Vec<u8> = (0..1200).map(|_| fastrand::u8(..)).collect();
            // A full buffer of the socket only loses the datagram.
            let _ = socket.send_to(&datagram, process.peers).await;
            if i % 100 == 0 {
                process.sample();
                tokio::task::yield_now().await;
            }
        }
        process.assert_unharmed().await;
    });
}

/// Guards against HTTP/2 streams that are opened and reset at once, over and over.
#[test]
fn http2_streams_that_are_opened_and_reset() {
    run(async {
        let mut process = GatewayProcess::start().await;
        let mut connections = Vec::new();
        for _ in 0..HTTP2_CONNECTIONS {
            let socket = TcpStream::connect(process.callers).await.unwrap();
            let (sender, connection) =
                http2::handshake(TokioExecutor::new(), TokioIo::new(socket)).await.unwrap();
            tokio::spawn(connection);
            connections.push(sender);
        }
        for i in 0..STREAMS_PER_CONNECTION {
            for sender in &mut connections {
                let padding = "x".repeat(HEAD_BYTES);
                let req = Request::post("http://a.example/read/1")
                    .header("x-padding", padding)
                    .body(http_body_util::StreamBody::new(PendingBody));
                // Dropping the future resets the stream.
                let response = sender.send_request(req.unwrap());
                tokio::select! {
                    biased;
                    _ = response => {}
                    () = tokio::task::yield_now() => {}
                }
            }
            if i % 20 == 0 {
                process.sample();
            }
        }
        process.assert_unharmed().await;
    });
}

/// A body that never produces anything.
struct PendingBody;

impl futures_util::Stream for PendingBody {
    type Item = Result<hyper::body::Frame<bytes::Bytes>, std::convert::Infallible>;

    fn poll_next(
        self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        std::task::Poll::Pending
    }
}

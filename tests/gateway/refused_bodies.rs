//! Requests that are refused before their body has arrived.

use std::time::Duration;

use tokio::{io::AsyncWriteExt, net::TcpStream, time};

use crate::{
    run,
    scripted_endpoint::healthy_endpoint,
    test_gateway::{Response, TestGateway, http_request, read_response},
};

/// Larger than what a socket and the server buffer together, within the limit on bodies.
const BODY_BYTES: usize = 90_000;
const PIECES: usize = 30;

/// Sends a request whose body arrives in pieces, and then reads the response.
async fn send_slowly(socket: &mut TcpStream, path: &str) -> Response {
    let body = "x".repeat(BODY_BYTES);
    let request = http_request("POST", path, "", &body).into_bytes();
    for piece in request.chunks(request.len() / PIECES) {
        // A caller that cannot send its whole request may still read a response.
        if socket.write_all(piece).await.is_err() {
            break;
        }
        time::sleep(Duration::from_millis(10)).await;
    }
    read_response(socket, &mut Vec::new()).await
}

#[test]
fn refusal_without_a_route_reaches_a_caller_that_is_still_sending() {
    run(async {
        let endpoint = healthy_endpoint().await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        let mut socket = gateway.connect().await;
        let response = send_slowly(&mut socket, "/removed/1").await;
        assert_eq!((response.status, response.complete), (404, true));
        // The connection can be used for the next request.
        let response = send_slowly(&mut socket, "/read/1").await;
        assert_eq!((response.status, response.complete), (200, true));
    });
}

#[test]
fn refusal_without_a_configuration_reaches_a_caller_that_is_still_sending() {
    run(async {
        let gateway = TestGateway::start_unconfigured().await;
        let mut socket = gateway.connect().await;
        let response = send_slowly(&mut socket, "/read/1").await;
        assert_eq!((response.status, response.complete), (503, true));
    });
}

//! Client of a backend, against a server that sends scripted responses.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use goldcrestpitch::{
    agent::{Backend, BackendError, EngineReport, HttpBackend, TokenStream},
    core::orders::{FencingToken, Order, OrderResult},
};
use serde::Serialize;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const PATH: &str = "/v1/completions";

/// Runs a test on one thread and fails it after 60 seconds.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let result =
        runtime.block_on(async { tokio::time::timeout(Duration::from_secs(60), test).await });
    assert!(result.is_ok(), "the test did not finish within 60 seconds");
}

fn response(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

fn json_response(document: &impl Serialize) -> String {
    response("200 OK", &serde_json::to_string(document).unwrap())
}

fn completion(text: &str) -> String {
    response(
        "200 OK",
        &format!("data: {{\"choices\":[{{\"text\":\"{text}\"}}]}}\n\ndata: [DONE]\n\n"),
    )
}

fn report(boot: u64) -> EngineReport {
    EngineReport { boot, ..EngineReport::default() }
}

/// Starts a server that sends these responses, one for each request. On a connection that was used
/// before, it sends a copy of the previous response first.
async fn start_copying(responses: Vec<String>) -> HttpBackend {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    let next = Arc::new(AtomicUsize::new(0));
    tokio::spawn(async move {
        loop {
            let (socket, _) = listener.accept().await.unwrap();
            tokio::spawn(serve_copying(socket, responses.clone(), next.clone()));
        }
    });
    HttpBackend::new(address)
}

async fn serve_copying(mut socket: TcpStream, responses: Vec<String>, next: Arc<AtomicUsize>) {
    let mut previous = String::new();
    while read_request(&mut socket).await.is_some() {
        let number = next.fetch_add(1, Ordering::Relaxed);
        let bytes = previous + &responses[number];
        if socket.write_all(bytes.as_bytes()).await.is_err() {
            return;
        }
        previous = responses[number].clone();
    }
}

/// Reads one request; `None` when the client has disconnected.
async fn read_request(socket: &mut TcpStream) -> Option<()> {
    let mut buf = Vec::new();
    let head_end = loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        if socket.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&buf[..head_end]).to_ascii_lowercase();
    let length = head.lines().find_map(|l| l.strip_prefix("content-length: "));
    let length: usize = length.map_or(0, |l| l.parse().unwrap());
    while buf.len() < head_end + length {
        if socket.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    }
    Some(())
}

async fn complete(backend: &HttpBackend) -> Result<Vec<u8>, BackendError> {
    let mut tokens = backend.complete(PATH, Bytes::from_static(b"{}")).await?;
    let mut text = Vec::new();
    while let Some(token) = tokens.next().await? {
        text.extend_from_slice(&token);
    }
    Ok(text)
}

async fn send_order(backend: &HttpBackend) -> Result<OrderResult, BackendError> {
    backend.send_order(FencingToken::default(), &Order::Barrier).await
}

/// Guards against a completion that runs twice because the copy of an earlier refusal says that it
/// did not run.
#[test]
fn copy_of_a_refusal_does_not_refuse_a_completion_that_runs() {
    run(async {
        let refusal = response("503 Service Unavailable", "busy");
        let backend = start_copying(vec![refusal, completion("second")]).await;
        assert!(matches!(complete(&backend).await, Err(BackendError::Refused(_))));
        assert_eq!(complete(&backend).await, Ok(b"second".to_vec()));
    });
}

/// Guards against a response to another caller's request.
#[test]
fn copy_of_a_response_does_not_answer_the_next_call() {
    run(async {
        let responses = vec![response("200 OK", "first"), response("200 OK", "second")];
        let backend = start_copying(responses).await;
        for expected in ["first", "second"] {
            let reply = backend.call("/confirm", Bytes::from_static(b"{}")).await.unwrap();
            assert_eq!(reply.body, expected);
        }
    });
}

/// Guards against memory that is given out twice because a load or an unload counts as done that
/// was not.
#[test]
fn copy_of_an_order_result_does_not_answer_the_next_order() {
    run(async {
        let failed = OrderResult::Failed { message: "no memory".to_owned() };
        let responses = vec![json_response(&OrderResult::Done), json_response(&failed)];
        let backend = start_copying(responses).await;
        assert_eq!(send_order(&backend).await, Ok(OrderResult::Done));
        assert_eq!(send_order(&backend).await, Ok(failed));
    });
}

/// Guards against a crash that did not happen and a load of a resource that was unloaded on
/// purpose: both follow from an earlier report.
#[test]
fn copy_of_a_report_is_not_taken_for_a_later_one() {
    run(async {
        let backend =
            start_copying(vec![json_response(&report(1)), json_response(&report(2))]).await;
        assert_eq!(backend.report().await, Ok(report(1)));
        assert_eq!(backend.report().await, Ok(report(2)));
    });
}

/// Guards against a request that runs twice because it failed while it ran and counts as not run.
#[test]
fn only_statuses_that_rule_out_a_run_count_as_refusals() {
    run(async {
        let refusals =
            ["400", "401", "403", "404", "405", "413", "415", "421", "422", "429", "503"];
        let others = ["500", "502", "504", "507", "520", "302", "408", "409", "410", "424", "499"];
        for status in refusals.iter().chain(&others) {
            let response = response(&format!("{status} -"), "no");
            let backend = start_copying(vec![response.clone(), response]).await;
            let completion = complete(&backend).await.unwrap_err();
            let order = send_order(&backend).await.unwrap_err();
            for err in [completion, order] {
                let is_refused = matches!(err, BackendError::Refused(_));
                let is_interrupted = matches!(err, BackendError::Interrupted(_));
                let expected = (refusals.contains(status), others.contains(status));
                assert_eq!((is_refused, is_interrupted), expected, "{status}: {err}");
            }
        }
    });
}

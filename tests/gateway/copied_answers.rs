//! Endpoints that send a copy of an earlier answer where the next one is due.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex},
};

use tokio::io::AsyncWriteExt;

use crate::{
    run,
    scripted_endpoint::{ReceivedRequest, ScriptedEndpoint, Step, http_response, response_head},
    test_gateway::{HOST, TestGateway, read_response},
};

/// What an endpoint received and ran.
#[derive(Debug, Default)]
struct Seen {
    /// Connection and id of each request.
    received: HashSet<(usize, String)>,
    /// Number of sends of each request.
    sends: HashMap<String, u32>,
    /// Number of runs of each request.
    runs: HashMap<String, u32>,
    /// Refusals that were sent where another answer was due.
    copies: u32,
}

type Shared = Arc<Mutex<Seen>>;

fn runs(seen: &Shared, id: &str) -> u32 {
    seen.lock().unwrap().runs.get(id).copied().unwrap_or(0)
}

fn refusal(status: &str, id: &str) -> Vec<Step> {
    let extra_headers = "x-not-executed: 1\r\ncontent-length: 0\r\n";
    vec![Step::Send(response_head(status, id, extra_headers).into_bytes())]
}

/// Refuses the first send of each request. On the connection of a refusal, sends its copy again
/// before the answer to the request that it refused.
fn refuse_first(
    status: &'static str,
    seen: Shared,
) -> impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync {
    move |request| {
        let mut seen = seen.lock().unwrap();
        let id = request.id().to_owned();
        let is_repeated = !seen.received.insert((request.connection, id.clone()));
        let sends = seen.sends.entry(id.clone()).or_default();
        *sends += 1;
        if *sends == 1 {
            return refusal(status, &id);
        }
        *seen.runs.entry(id.clone()).or_default() += 1;
        let answer = http_response("200 OK", &id, "fine");
        if !is_repeated {
            return answer;
        }
        seen.copies += 1;
        [refusal(status, &id), answer].concat()
    }
}

/// Starts an endpoint that refuses the first send, registered under several ids.
async fn start(status: &'static str, ids: usize) -> (TestGateway, ScriptedEndpoint, Shared) {
    let seen = Shared::default();
    let endpoint = ScriptedEndpoint::start(refuse_first(status, seen.clone())).await;
    let gateway = TestGateway::start(&[]).await;
    for i in 0..ids {
        gateway.register(&format!("i-{i}"), endpoint.address, "ready", 1).await;
    }
    gateway.wait_for_endpoints(ids).await;
    (gateway, endpoint, seen)
}

/// The endpoint started again at its address, and its old id is still registered.
#[test]
fn copy_of_a_refusal_does_not_refuse_a_request_that_runs() {
    run(async {
        for status in ["421 Misdirected Request", "503 Busy", "429 Slow"] {
            let (gateway, _endpoint, seen) = start(status, 2).await;
            let response = gateway.send("POST", "/book/1", "", "").await;
            assert_eq!((response.status, runs(&seen, "q1")), (200, 1), "{status}");
        }
    });
}

#[test]
fn copy_of_a_refusal_does_not_run_a_request_twice() {
    run(async {
        for status in ["421 Misdirected Request", "503 Busy", "429 Slow"] {
            let (gateway, _endpoint, seen) = start(status, 3).await;
            gateway.send("POST", "/book/1", "", "").await;
            assert_eq!(runs(&seen, "q1"), 1, "{status}");
        }
    });
}

/// Callers that do not renew the id with each attempt.
#[test]
fn copy_of_a_refusal_is_not_taken_for_the_next_request_with_the_same_id() {
    run(async {
        let (gateway, _endpoint, seen) = start("503 Busy", 1).await;
        let first = gateway.send("POST", "/book/1", "", "").await;
        let second = gateway.send("POST", "/book/1", "", "").await;
        assert_eq!((first.status, second.status), (503, 200));
        assert_eq!(runs(&seen, "q1"), 1);
    });
}

/// On a connection that was used before, it may belong to an earlier request.
#[test]
fn refusal_without_an_id_does_not_run_a_request_twice() {
    run(async {
        let seen = Shared::default();
        let script = |seen: Shared| {
            move |request: &ReceivedRequest| {
                let mut seen = seen.lock().unwrap();
                let id = request.id().to_owned();
                *seen.runs.entry(id.clone()).or_default() += 1;
                let is_first = seen.received.iter().all(|(c, _)| *c != request.connection);
                seen.received.insert((request.connection, id.clone()));
                let answer = http_response("200 OK", &id, "fine");
                if is_first {
                    return answer;
                }
                seen.copies += 1;
                let head = "HTTP/1.1 503 Busy\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
                [vec![Step::Send(head.as_bytes().to_vec())], answer].concat()
            }
        };
        let endpoints = [
            ScriptedEndpoint::start(script(seen.clone())).await,
            ScriptedEndpoint::start(script(seen.clone())).await,
        ];
        let gateway = TestGateway::start(&endpoints.each_ref()).await;
        let mut seen_statuses = Vec::new();
        for i in 0..6 {
            let header = format!("x-request-id: q{i}\r\n");
            let response = gateway.send("POST", "/book/1", &header, "").await;
            seen_statuses.push((response.status, runs(&seen, &format!("q{i}"))));
        }
        assert!(0 < seen.lock().unwrap().copies);
        assert!(seen_statuses.iter().all(|(_, runs)| *runs == 1), "{seen_statuses:?}");
        let is_promise = |status: u16| matches!(status, 429 | 503);
        assert!(seen_statuses.iter().all(|(s, _)| !is_promise(*s)), "{seen_statuses:?}");
    });
}

/// A server that names no request ids serves each request on a connection of its own.
#[test]
fn endpoint_that_repeats_no_ids_serves_requests() {
    run(async {
        let endpoint = ScriptedEndpoint::start(|_| {
            let head = "HTTP/1.1 200 OK\r\nx-response-signature: s\r\nkeep-alive: timeout=5\r\n\
                        content-length: 4\r\n\r\nfine";
            vec![Step::Send(head.as_bytes().to_vec())]
        })
        .await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        for i in 0..3 {
            let header = format!("x-request-id: q{i}\r\n");
            let response = gateway.send("POST", "/book/1", &header, "").await;
            assert_eq!((response.status, response.text().as_str()), (200, "fine"));
        }
        assert_eq!(endpoint.connections(), 3);
    });
}

/// Its answer has no id either, and would not be believed on a used connection.
#[test]
fn request_without_an_id_does_not_fail_on_a_used_connection() {
    run(async {
        let endpoint = ScriptedEndpoint::start(|request| match request.id() {
            "" => {
                let head =
                    "HTTP/1.1 200 OK\r\nx-response-signature: s\r\ncontent-length: 4\r\n\r\nfine";
                vec![Step::Send(head.as_bytes().to_vec())]
            }
            id => http_response("200 OK", id, "fine"),
        })
        .await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        let mut statuses = Vec::new();
        for path in ["/book/1", "/read/1"] {
            statuses.push(gateway.send("POST", "/book/0", "", "").await.status);
            let text = format!("POST {path} HTTP/1.1\r\nhost: {HOST}\r\ncontent-length: 0\r\n\r\n");
            let mut socket = gateway.connect().await;
            socket.write_all(text.as_bytes()).await.unwrap();
            statuses.push(read_response(&mut socket, &mut Vec::new()).await.status);
        }
        assert_eq!(statuses, [200; 4]);
    });
}

/// The copy was cut short, so that its head and that of the answer look like one.
#[test]
fn cut_copy_of_a_refusal_does_not_run_a_request_twice() {
    run(async {
        for cut in [
            "HTTP/1.1 421 Misdir",
            "HTTP/1.1 503 Busy\r\nx-not-executed: 1",
            "HTTP/1.1 503 Busy\r\nx-not-executed: 1\r\nretry-after: 1",
            "HTTP/1.1 503 Busy\r\nx-not-executed: 1\r\nx-request-id: q1\r\nserver: ",
        ] {
            let seen = Shared::default();
            let script = |seen: Shared| {
                move |request: &ReceivedRequest| {
                    let id = request.id().to_owned();
                    let mut seen = seen.lock().unwrap();
                    *seen.runs.entry(id.clone()).or_default() += 1;
                    let answer = http_response("200 OK", &id, "fine");
                    match id.as_str() {
                        "q1" => answer,
                        _ => [vec![Step::Send(cut.as_bytes().to_vec())], answer].concat(),
                    }
                }
            };
            let endpoints = [
                ScriptedEndpoint::start(script(seen.clone())).await,
                ScriptedEndpoint::start(script(seen.clone())).await,
            ];
            let gateway = TestGateway::start(&endpoints.each_ref()).await;
            gateway.send("POST", "/book/1", "", "").await;
            let response = gateway.send("POST", "/book/1", "x-request-id: q2\r\n", "").await;
            assert_eq!((response.status, runs(&seen, "q2")), (502, 1), "{cut:?}");
        }
    });
}

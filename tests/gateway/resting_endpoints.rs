//! Endpoints that turn requests away and ask for rest, and endpoints that say that they leave.

use std::{sync::Arc, time::Duration};

use tokio::{sync::Notify, time};

use crate::{
    run,
    scripted_endpoint::{
        ReceivedRequest, ScriptedEndpoint, Step, chunk, events, healthy_endpoint, http_response,
        last_chunk, response_head,
    },
    test_gateway::{Response, TestGateway},
};

/// Requests that may reach an endpoint in a rest, by the platform's rules.
const ALLOWED: usize = 2;
const REQUESTS: usize = 24;
/// From this time after an answer on, the rest has to be kept.
const GRACE: Duration = Duration::from_millis(500);

fn busy(request: &ReceivedRequest, headers: &str) -> Vec<Step> {
    let headers = format!("content-length: 0\r\n{headers}");
    vec![Step::Send(response_head("503 Busy", request.id(), &headers).into_bytes())]
}

async fn resting(headers: &'static str) -> ScriptedEndpoint {
    ScriptedEndpoint::start(move |request| busy(request, headers)).await
}

async fn send(gateway: &TestGateway, path: &str, id: usize) -> Response {
    gateway.send("POST", path, &format!("x-request-id: q{id}\r\n"), &format!("body {id}")).await
}

/// Sends one request, and others once the rest has to be kept. Returns their answers.
async fn send_in_rest(gateway: &TestGateway, path: &str) -> Vec<Response> {
    send(gateway, path, 0).await;
    time::sleep(GRACE).await;
    let mut responses = Vec::new();
    for i in 1..=REQUESTS {
        responses.push(send(gateway, path, i).await);
    }
    responses
}

#[test]
fn endpoint_gets_no_requests_in_its_rest() {
    run(async {
        for path in ["/read/1", "/book/1", "/stream/1"] {
            let endpoint = resting("x-not-executed: 1\r\nretry-after: 30\r\n").await;
            let gateway = TestGateway::start(&[&endpoint]).await;
            let responses = send_in_rest(&gateway, path).await;
            assert!(
                endpoint.requests().len() <= 1 + ALLOWED,
                "{path} {}",
                endpoint.requests().len()
            );
            assert!(responses.iter().all(|r| r.status == 503 && r.header("retry-after").is_some()));
        }
    });
}

/// It does not say that it has not run the request.
#[test]
fn refusal_without_proof_asks_for_rest_too() {
    run(async {
        let endpoint = resting("retry-after: 30\r\n").await;
        let others = [healthy_endpoint().await, healthy_endpoint().await];
        let gateway = TestGateway::start(&[&endpoint, &others[0], &others[1]]).await;
        let responses = send_in_rest(&gateway, "/read/1").await;
        assert!(endpoint.requests().len() <= 1 + ALLOWED, "{}", endpoint.requests().len());
        assert!(responses.iter().all(|r| r.status == 200));
    });
}

#[test]
fn longest_rest_holds_when_a_shorter_one_follows() {
    run(async {
        let endpoint = ScriptedEndpoint::start(|request| match request.index {
            0 => busy(request, "x-not-executed: 1\r\nretry-after: 30\r\n"),
            _ => busy(request, "x-not-executed: 1\r\nretry-after: 0.1\r\n"),
        })
        .await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        let first = tokio::join!(send(&gateway, "/book/1", 100), send(&gateway, "/book/1", 101));
        assert_eq!((first.0.status, first.1.status), (503, 503));
        time::sleep(GRACE).await;
        let before = endpoint.requests().len();
        send_in_rest(&gateway, "/book/1").await;
        assert!(endpoint.requests().len() <= before + ALLOWED);
    });
}

#[test]
fn values_that_are_no_seconds_ask_for_no_rest() {
    run(async {
        for value in ["-1", "nan", "inf", "", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "0"] {
            let header = format!("x-not-executed: 1\r\nretry-after: {value}\r\n");
            let endpoint = ScriptedEndpoint::start(move |request| match request.index {
                0 => busy(request, &header),
                _ => http_response("200 OK", request.id(), "fine"),
            })
            .await;
            let gateway = TestGateway::start(&[&endpoint]).await;
            send(&gateway, "/book/1", 0).await;
            let response = send(&gateway, "/book/1", 1).await;
            assert_eq!(response.status, 200, "{value:?}");
        }
    });
}

#[test]
fn endpoint_serves_again_after_its_rest() {
    run(async {
        let endpoint = ScriptedEndpoint::start(|request| match request.index {
            0 => busy(request, "x-not-executed: 1\r\nretry-after: 0.4\r\n"),
            _ => http_response("200 OK", request.id(), "fine"),
        })
        .await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        send(&gateway, "/book/1", 0).await;
        // It waits for the end of the rest.
        assert_eq!(send(&gateway, "/book/1", 1).await.status, 200);
    });
}

#[test]
fn rest_ends_with_the_start_of_the_endpoint() {
    run(async {
        let endpoint = ScriptedEndpoint::start(|request| match request.index {
            0 => busy(request, "x-not-executed: 1\r\nretry-after: 30\r\n"),
            _ => http_response("200 OK", request.id(), "fine"),
        })
        .await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        send(&gateway, "/book/1", 0).await;
        assert_eq!(send(&gateway, "/book/1", 1).await.status, 503);
        gateway.register("i-0", endpoint.address, "ready", 2).await;
        gateway.wait_until(|g| g.process.shared().resting_endpoints() == 0).await;
        assert_eq!(send(&gateway, "/book/1", 2).await.status, 200);
    });
}

async fn assert_left_alone(leaving: ScriptedEndpoint, path: &str) {
    let other = ScriptedEndpoint::start(|request| match request.path.starts_with("/read") {
        true => http_response("200 OK", request.id(), "fine"),
        false => {
            let headers = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
            let head = Step::Send(response_head("200 OK", request.id(), headers).into_bytes());
            vec![head, chunk(&events(0..2)), last_chunk()]
        }
    })
    .await;
    let gateway = TestGateway::start(&[&leaving]).await;
    send(&gateway, path, 0).await;
    gateway.register("i-9", other.address, "ready", 1).await;
    // The store still says ready, also in a later record.
    gateway.register("i-0", leaving.address, "ready", 1).await;
    gateway.wait_until(|g| g.process.shared().is_registered("i-9")).await;
    let before = leaving.requests().len();
    for i in 1..=REQUESTS {
        assert_eq!(send(&gateway, path, i).await.status, 200);
    }
    assert_eq!(leaving.requests().len(), before, "{path}");
}

#[test]
fn endpoint_that_says_that_it_leaves_gets_no_new_requests() {
    run(async {
        let whole = ScriptedEndpoint::start(|request| {
            let headers = "content-length: 4\r\nserver-leaving: 1\r\n";
            let head = response_head("200 OK", request.id(), headers);
            vec![Step::Send((head + "fine").into_bytes())]
        })
        .await;
        assert_left_alone(whole, "/read/1").await;
        let stream = ScriptedEndpoint::start(|request| {
            let headers = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
                           server-leaving: 1\r\n";
            let head = Step::Send(response_head("200 OK", request.id(), headers).into_bytes());
            vec![head, chunk(&events(0..2)), last_chunk()]
        })
        .await;
        assert_left_alone(stream, "/stream/1").await;
        let refusal = ScriptedEndpoint::start(|request| {
            busy(request, "x-not-executed: 1\r\nserver-leaving: 1\r\n")
        })
        .await;
        assert_left_alone(refusal, "/read/1").await;
    });
}

/// The registration is gone and comes back from an older copy of the store.
#[test]
fn leaving_endpoint_is_left_alone_when_its_registration_comes_back() {
    run(async {
        let leaving = ScriptedEndpoint::start(|request| {
            let headers = "content-length: 4\r\nserver-leaving: 1\r\n";
            let head = response_head("200 OK", request.id(), headers);
            vec![Step::Send((head + "fine").into_bytes())]
        })
        .await;
        let gateway = TestGateway::start(&[&leaving]).await;
        send(&gateway, "/read/1", 0).await;
        gateway.unregister("i-0").await;
        gateway.wait_until(|g| !g.process.shared().is_registered("i-0")).await;
        gateway.register("i-0", leaving.address, "ready", 1).await;
        gateway.wait_until(|g| g.process.shared().is_registered("i-0")).await;
        assert_eq!(send(&gateway, "/read/1", 1).await.status, 503);
        assert_eq!(leaving.requests().len(), 1);
        // Another start of it does not leave.
        gateway.register("i-0", leaving.address, "ready", 2).await;
        gateway.wait_for_endpoints(1).await;
        assert_eq!(send(&gateway, "/read/1", 2).await.status, 200);
    });
}

/// A stream that runs there goes on to its end.
#[test]
fn stream_at_a_leaving_endpoint_is_completed() {
    run(async {
        let rest = Arc::new(Notify::new());
        let end = rest.clone();
        let leaving = ScriptedEndpoint::start(move |request| {
            let headers = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
                           server-leaving: 1\r\n";
            let head = Step::Send(response_head("200 OK", request.id(), headers).into_bytes());
            vec![
                head,
                chunk(&events(0..2)),
                Step::WaitFor(end.clone()),
                chunk(&events(2..4)),
                last_chunk(),
            ]
        })
        .await;
        let gateway = TestGateway::start(&[&leaving]).await;
        let (response, ()) = tokio::join!(send(&gateway, "/stream/1", 0), async {
            gateway.wait_for_endpoints(0).await;
            rest.notify_one();
        });
        assert_eq!((response.text(), response.complete), (events(0..4), true));
    });
}

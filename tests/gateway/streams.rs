//! Streams: every event arrives once and in order, or the stream is visibly truncated.

use std::{sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    sync::Notify,
};

use crate::{
    run,
    scripted_endpoint::{
        ReceivedRequest, ScriptedEndpoint, Step, chunk, events, last_chunk, not_executed,
        stream_head,
    },
    test_gateway::{TestGateway, http_request, read_response, route},
};

fn next_event(request: &ReceivedRequest) -> u32 {
    request.header("last-event-id").map_or(0, |l| l.parse::<u32>().unwrap() + 1)
}

/// Starts an endpoint that resumes after `last-event-id`.
async fn resuming_endpoint() -> ScriptedEndpoint {
    ScriptedEndpoint::start(|request| {
        vec![stream_head(request.id()), chunk(&events(next_event(request)..6)), last_chunk()]
    })
    .await
}

/// Starts an endpoint that fails in the middle of the fourth event.
async fn truncating_endpoint(failure: Step) -> ScriptedEndpoint {
    ScriptedEndpoint::start(move |request| {
        let partial_event = "id: 3\ndata";
        let pause = Step::Pause(Duration::from_millis(30));
        vec![
            stream_head(request.id()),
            chunk(&(events(0..3) + partial_event)),
            pause,
            failure.clone(),
        ]
    })
    .await
}

#[test]
fn complete_stream_keeps_the_connection_open() {
    run(async {
        let endpoint = resuming_endpoint().await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        for id in ["a", "b"] {
            let extra_headers = format!("x-request-id: {id}\r\n");
            let response = gateway.send("POST", "/stream/1", &extra_headers, "").await;
            assert_eq!(
                (response.status, response.text(), response.complete),
                (200, events(0..6), true)
            );
            assert_eq!(response.header("x-response-signature"), Some(format!("s-{id}").as_str()));
        }
        assert_eq!(endpoint.connections(), 1);
    });
}

#[test]
fn events_are_forwarded_immediately() {
    run(async {
        let endpoint = ScriptedEndpoint::start(|request| {
            vec![stream_head(request.id()), chunk(&events(0..1)), Step::Hang]
        })
        .await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        let mut socket = gateway.connect().await;
        socket.write_all(http_request("POST", "/stream/1", "", "").as_bytes()).await.unwrap();
        let mut received = Vec::new();
        while !String::from_utf8_lossy(&received).contains("data: t0\n\n") {
            assert_ne!(socket.read_buf(&mut received).await.unwrap(), 0);
        }
        drop(socket);
        endpoint.wait_for_disconnects(1).await;
    });
}

/// Starts an endpoint that fails in the middle of the fourth event when notified and
/// resumes streams.
async fn truncating_when_notified(failure: Step, notify: Arc<Notify>) -> ScriptedEndpoint {
    ScriptedEndpoint::start(move |request| match request.header("last-event-id") {
        None => vec![
            stream_head(request.id()),
            chunk(&(events(0..3) + "id: 3\ndata")),
            Step::WaitFor(notify.clone()),
            failure.clone(),
        ],
        Some(_) => {
            vec![stream_head(request.id()), chunk(&events(next_event(request)..6)), last_chunk()]
        }
    })
    .await
}

#[test]
fn interrupted_stream_resumes_on_another_endpoint() {
    run(async {
        for failure in [Step::Close, Step::Reset] {
            let notify = Arc::new(Notify::new());
            let first = truncating_when_notified(failure.clone(), notify.clone()).await;
            let second = truncating_when_notified(failure.clone(), notify.clone()).await;
            let gateway = TestGateway::start(&[&first, &second]).await;
            let mut socket = gateway.connect().await;
            socket.write_all(http_request("POST", "/resume/1", "", "").as_bytes()).await.unwrap();
            // The client has the first three events before the stream is interrupted.
            let mut buf = Vec::new();
            while !String::from_utf8_lossy(&buf).contains("data: t2\n\n") {
                assert_ne!(socket.read_buf(&mut buf).await.unwrap(), 0);
            }
            notify.notify_one();
            let response = read_response(&mut socket, &mut buf).await;
            assert_eq!(
                (response.status, response.text(), response.complete),
                (200, events(0..6), true),
                "{failure:?}"
            );
            // The head and the signature are those of the first endpoint.
            assert_eq!(response.header("x-response-signature"), Some("s-q1"));
            let requests = [first.requests(), second.requests()].concat();
            let last_event_ids: Vec<_> =
                requests.iter().filter_map(|s| s.header("last-event-id")).collect();
            assert_eq!((requests.len(), last_event_ids), (2, vec!["2"]), "{failure:?}");
        }
    });
}

#[test]
fn interrupted_stream_that_is_not_resumable_is_closed() {
    run(async {
        for failure in [Step::Close, Step::Reset, last_chunk()] {
            let first = truncating_endpoint(failure.clone()).await;
            let second = truncating_endpoint(failure.clone()).await;
            let gateway = TestGateway::start(&[&first, &second]).await;
            let response = gateway.send("POST", "/stream/1", "", "").await;
            assert!(!response.complete, "{failure:?}");
            // Only complete events are forwarded.
            assert!(events(0..3).starts_with(&response.text()), "{failure:?}: {}", response.text());
            assert_eq!(first.requests().len() + second.requests().len(), 1);
        }
    });
}

#[test]
fn repeated_or_skipped_events_are_not_forwarded() {
    run(async {
        // The second attempt does not resume after the requested event.
        for start in [1, 5] {
            let first =
                ScriptedEndpoint::start(move |request| match request.header("last-event-id") {
                    None => vec![stream_head(request.id()), chunk(&events(0..3)), Step::Reset],
                    Some(_) => {
                        vec![stream_head(request.id()), chunk(&events(start..6)), last_chunk()]
                    }
                })
                .await;
            let second =
                ScriptedEndpoint::start(move |request| match request.header("last-event-id") {
                    None => vec![stream_head(request.id()), chunk(&events(0..3)), Step::Reset],
                    Some(_) => {
                        vec![stream_head(request.id()), chunk(&events(start..6)), last_chunk()]
                    }
                })
                .await;
            let gateway = TestGateway::start(&[&first, &second]).await;
            let response = gateway.send("POST", "/resume/1", "", "").await;
            assert!(!response.complete, "from {start}");
            assert!(
                events(0..3).starts_with(&response.text()),
                "from {start}: {}",
                response.text()
            );
        }
    });
}

#[test]
fn last_event_id_of_the_client_is_forwarded() {
    run(async {
        let endpoint = resuming_endpoint().await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        let response = gateway.send("POST", "/resume/1", "last-event-id: 3\r\n", "").await;
        assert_eq!((response.text(), response.complete), (events(4..6), true));
    });
}

fn resumed_stream(request: &ReceivedRequest) -> Vec<Step> {
    vec![stream_head(request.id()), chunk(&events(next_event(request)..6)), last_chunk()]
}

#[test]
fn previous_attempt_is_closed_when_a_stream_resumes() {
    run(async {
        let stall = |request: &ReceivedRequest| {
            vec![stream_head(request.id()), chunk(&events(0..2)), Step::Hang]
        };
        let endpoints = ScriptedEndpoint::pair(stall, resumed_stream).await;
        let gateway = TestGateway::start(&endpoints.each_ref()).await;
        let mut long_route = route("/resume/", "streaming", 2);
        long_route["TimeoutMs"] = 20_000.into();
        gateway.configure(2, &[long_route]).await;
        gateway.wait_for_version(2).await;
        let response = gateway.send("POST", "/resume/1", "x-deadline-ms: 20000\r\n", "").await;
        assert_eq!((response.text(), response.complete), (events(0..6), true));
        tokio::select! {
            () = endpoints[0].wait_for_disconnects(1) => {}
            () = endpoints[1].wait_for_disconnects(1) => {}
        }
    });
}

#[test]
fn unexecuted_stream_is_sent_to_another_endpoint() {
    run(async {
        let endpoints =
            ScriptedEndpoint::pair(|request| not_executed(request.id()), resumed_stream).await;
        let gateway = TestGateway::start(&endpoints.each_ref()).await;
        let response = gateway.send("POST", "/stream/1", "", "").await;
        assert_eq!(
            (response.status, response.text(), response.complete),
            (200, events(0..6), true)
        );
        assert!(endpoints.iter().all(|e| e.requests().len() == 1));
    });
}

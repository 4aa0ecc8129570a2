//! Streams that run at an endpoint while a segment of another request's prompt crashes it.

use std::{ops::Range, sync::Arc, time::Duration};

use futures_util::future::join_all;
use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::{
    crashing_segments::{
        FIRST, MAX_CRASHES, headers, is_crashing, reached, send_crashing, send_prompt, sound_answer,
    },
    run,
    scripted_endpoint::{
        ReceivedRequest, ScriptedEndpoint, Step, chunk, events, last_chunk, stream_head,
    },
    test_gateway::{TestGateway, routes},
};

/// The default routes with time for a stream that is interrupted twice.
fn patient_routes() -> Vec<Value> {
    let mut routes = routes();
    for route in &mut routes {
        route["TimeoutMs"] = json!(30_000);
        if route["Name"] == "/resume/" {
            route["MaxAttempts"] = json!(3);
        }
    }
    routes
}

/// A stream that has no event until the test allows it.
fn late_stream(request: &ReceivedRequest, proceed: &Arc<Notify>) -> Vec<Step> {
    let proceed = Step::WaitFor(proceed.clone());
    vec![stream_head(request.id()), proceed, chunk(&events(0..4)), last_chunk()]
}

/// Makes these endpoints the only ones that are registered.
async fn register_only(
    gateway: &TestGateway,
    endpoints: &[ScriptedEndpoint],
    wanted: Range<usize>,
) {
    let id = |i: usize| format!("i-{i}");
    for (i, endpoint) in endpoints.iter().enumerate() {
        match wanted.contains(&i) {
            true => gateway.register(&id(i), endpoint.address, "ready", 1).await,
            false => gateway.unregister(&id(i)).await,
        }
    }
    let is_done = |g: &TestGateway| {
        let is_right = |i| g.process.shared().is_registered(&id(i)) == wanted.contains(&i);
        (0..endpoints.len()).all(is_right)
    };
    gateway.wait_until(is_done).await;
}

/// Waits until this number of streams runs at endpoints that have not crashed.
async fn wait_for_streams(gateway: &TestGateway, endpoints: &[ScriptedEndpoint], count: usize) {
    let streams = || {
        let alive = endpoints.iter().filter(|e| !e.has_crashed());
        alive.flat_map(|e| e.requests()).filter(|r| r.path.starts_with("/resume/")).count()
    };
    gateway.wait_until(|_| streams() == count).await;
}

/// Sends so many sound requests that all streams may be sent again: the number of requests
/// within some seconds limits that of the repeated ones.
async fn send_many_sound(gateway: &TestGateway, round: usize) {
    for i in 0..40 {
        let path = format!("/read/{round}-");
        let response = send_prompt(gateway, &path, i, FIRST, &format!("b{i}")).await;
        assert_eq!(response.status, 200);
    }
}

/// Streams that run beside two crashes are sent to another endpoint each time, although all
/// of them still wait for their first event there, and none is taken for the cause.
#[test]
fn streams_beside_a_crashing_segment_are_resumed_at_once() {
    // An endpoint has room for the crashing request beside them.
    const STREAMS: usize = 4;
    // Crashes before the streams begin.
    const BEFORE: usize = MAX_CRASHES - 2;
    run(async {
        let (crash, proceed) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
        let endpoints = join_all((0..=MAX_CRASHES).map(|n| {
            let (crash, proceed) = (crash.clone(), proceed.clone());
            ScriptedEndpoint::start(move |request| match request.path.starts_with("/resume/") {
                _ if is_crashing(request) && n < BEFORE => vec![Step::CrashAll],
                _ if is_crashing(request) => vec![Step::WaitFor(crash.clone()), Step::CrashAll],
                true => late_stream(request, &proceed),
                false => sound_answer(request),
            })
        }))
        .await;
        let gateway = TestGateway::start_unconfigured().await;
        gateway.configure(1, &patient_routes()).await;
        gateway.wait_for_version(1).await;
        for i in 0..BEFORE {
            register_only(&gateway, &endpoints, i..i + 1).await;
            send_crashing(&gateway, "/stream/", i).await;
        }
        register_only(&gateway, &endpoints, BEFORE..BEFORE + 1).await;
        let streams = (0..STREAMS).map(|i| {
            let prompt = headers(&format!("stream-{i}"), FIRST, &format!("d{i}"));
            let (gateway, headers) = (&gateway, prompt + "x-deadline-ms: 30000\r\n");
            async move { gateway.send("POST", &format!("/resume/{i}"), &headers, "").await }
        });
        let crashes = async {
            for i in BEFORE..MAX_CRASHES {
                send_many_sound(&gateway, i).await;
                wait_for_streams(&gateway, &endpoints, STREAMS).await;
                let crash_endpoint = async {
                    gateway.wait_until(|_| i < reached(&endpoints)).await;
                    // The next endpoint joins, so that the streams can be resumed there.
                    register_only(&gateway, &endpoints, i..i + 2).await;
                    crash.notify_one();
                };
                tokio::join!(send_crashing(&gateway, "/stream/", i), crash_endpoint);
                register_only(&gateway, &endpoints, i + 1..i + 2).await;
            }
            wait_for_streams(&gateway, &endpoints, STREAMS).await;
            assert_eq!(send_crashing(&gateway, "/stream/", MAX_CRASHES).await.status, 503);
            loop {
                proceed.notify_waiters();
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        let responses = tokio::select! {
            responses = join_all(streams) => responses,
            () = crashes => unreachable!("the loop ends with the streams"),
        };
        for response in responses {
            assert_eq!((response.status, response.complete), (200, true));
            assert_eq!(response.text(), events(0..4));
        }
        assert_eq!(reached(&endpoints), MAX_CRASHES);
    });
}

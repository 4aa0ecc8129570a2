//! Requests that crash the endpoints that run them, and the requests beside them.
//!
//! A request may crash [`MAX_CRASHES`] endpoints. Each further one must be explained by
//! copies of it that were already sent when the last of these crashes became known.

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;
use goldcrestpitch::fakes::{FakeLog, LogFaults};
use tokio::{io::AsyncWriteExt, sync::Notify};

use crate::{
    run,
    scripted_endpoint::{
        ReceivedRequest, ScriptedEndpoint, Step, chunk, events, http_response, last_chunk,
        response_head, stream_head, unframed_stream_head,
    },
    test_gateway::{TestGateway, http_request, read_response},
};

/// Crashes after which a request must no longer be run, by the platform's rules.
pub const MAX_CRASHES: usize = 3;
pub const POISON: &str = "poison";
pub const ENDPOINTS: usize = 12;

/// Starts endpoints that run `crash` for the crashing request and answer all others.
pub async fn crashing_endpoints(
    crash: impl Fn(&ReceivedRequest) -> Vec<Step> + Clone + Send + Sync + 'static,
) -> Vec<ScriptedEndpoint> {
    let start = |_| {
        let crash = crash.clone();
        ScriptedEndpoint::start(move |request| match request.body.as_slice() {
            body if body == POISON.as_bytes() => crash(request),
            _ => http_response("200 OK", request.id(), "fine"),
        })
    };
    join_all((0..ENDPOINTS).map(start)).await
}

/// Number of endpoints that received the crashing request.
pub fn crashed(endpoints: &[ScriptedEndpoint]) -> usize {
    let received = |e: &&ScriptedEndpoint| e.requests().iter().any(|r| r.body == POISON.as_bytes());
    endpoints.iter().filter(received).count()
}

/// Sends the crashing request again and again, each time after the gateway has learned the
/// result of the last one; returns the last status.
async fn send_repeatedly(gateway: &TestGateway, path: &str) -> u16 {
    let mut status = 0;
    for i in 0..8 {
        let id = format!("x-request-id: q{i}\r\n");
        status = gateway.send("POST", path, &id, POISON).await.status;
        gateway.wait_until(|gateway| !gateway.process.shared().is_checking_for_crash()).await;
    }
    status
}

async fn assert_quarantined(
    path: &str,
    crash: impl Fn(&ReceivedRequest) -> Vec<Step> + Clone + Send + Sync + 'static,
) {
    let endpoints = crashing_endpoints(crash).await;
    let gateway = TestGateway::start(&endpoints.iter().collect::<Vec<_>>()).await;
    let status = send_repeatedly(&gateway, path).await;
    let crashed = crashed(&endpoints);
    assert!(crashed <= MAX_CRASHES, "{crashed} endpoints crashed");
    assert_eq!(status, 503);
    assert_eq!(gateway.send("POST", path, "", "other").await.status, 200);
}

#[test]
fn crash_before_the_response_head_is_counted() {
    run(assert_quarantined("/read/1", |_| vec![Step::Crash]));
}

#[test]
fn crash_within_the_response_head_is_counted() {
    run(assert_quarantined("/read/1", |_| {
        vec![Step::Send(b"HTTP/1.1 200 OK\r\nx-req".to_vec()), Step::Crash]
    }));
}

#[test]
fn crash_within_a_buffered_body_is_counted() {
    run(assert_quarantined("/read/1", |request| {
        let head = response_head("200 OK", request.id(), "content-length: 10\r\n");
        vec![Step::Send((head + "half").into_bytes()), Step::Crash]
    }));
}

#[test]
fn crash_of_a_request_that_runs_once_is_counted() {
    run(assert_quarantined("/book/1", |_| vec![Step::Crash]));
}

#[test]
fn crash_after_the_head_of_a_stream_is_counted() {
    run(assert_quarantined("/stream/1", |request| vec![stream_head(request.id()), Step::Crash]));
}

#[test]
fn crash_within_an_event_is_counted() {
    run(assert_quarantined("/stream/1", |request| {
        vec![stream_head(request.id()), chunk("id: 0\nda"), Step::Crash]
    }));
}

#[test]
fn crash_between_events_is_counted() {
    run(assert_quarantined("/stream/1", |request| {
        vec![stream_head(request.id()), chunk(&events(0..2)), Step::Crash]
    }));
}

#[test]
fn crash_of_a_resumed_stream_is_counted() {
    run(assert_quarantined("/resume/1", |request| {
        let next = request.header("last-event-id").map_or(0, |l| l.parse::<u32>().unwrap() + 1);
        vec![stream_head(request.id()), chunk(&events(next..next + 2)), Step::Crash]
    }));
}

/// The end of the connection looks like the end of the response.
#[test]
fn crash_in_a_response_without_length_is_counted() {
    run(assert_quarantined("/book/1", |request| {
        let head = response_head("200 OK", request.id(), "");
        vec![Step::Send((head + "half").into_bytes()), Step::Exit]
    }));
}

/// The end of the connection looks like the end of the stream.
#[test]
fn crash_in_a_stream_without_length_is_counted() {
    run(assert_quarantined("/stream/1", |request| {
        vec![unframed_stream_head(request.id()), Step::Send(events(0..2).into_bytes()), Step::Exit]
    }));
}

#[test]
fn crash_without_closing_the_connection_is_counted() {
    run(assert_quarantined("/book/1", |_| vec![Step::Vanish]));
}

#[test]
fn crash_of_a_stream_without_closing_the_connection_is_counted() {
    run(assert_quarantined("/stream/1", |request| {
        vec![stream_head(request.id()), chunk(&events(0..2)), Step::Vanish]
    }));
}

/// The caller leaves while the request runs, and the endpoint crashes right after.
#[test]
fn crash_after_the_caller_has_left_is_counted() {
    run(async {
        let endpoints = crashing_endpoints(|_| vec![Step::CrashAfterDisconnect]).await;
        let gateway = TestGateway::start(&endpoints.iter().collect::<Vec<_>>()).await;
        for sent in 1..=8 {
            let mut socket = gateway.connect().await;
            let id = format!("x-request-id: q{sent}\r\n");
            let request = http_request("POST", "/stream/1", &id, POISON);
            socket.write_all(request.as_bytes()).await.unwrap();
            let mut buf = Vec::new();
            tokio::select! {
                () = ScriptedEndpoint::wait_for_total(&endpoints, sent) => {}
                response = read_response(&mut socket, &mut buf) => {
                    assert_eq!(response.status, 503, "refused before it was sent");
                }
            }
            drop(socket);
            gateway.wait_until(|g| !g.process.shared().is_checking_for_crash()).await;
            // Another request at the crashed endpoint shows that it no longer listens.
            for i in 0..ENDPOINTS {
                let id = format!("x-request-id: other-{sent}-{i}\r\n");
                gateway.send("POST", "/read/1", &id, "other").await;
            }
            gateway.wait_until(|g| !g.process.shared().is_checking_for_crash()).await;
        }
        let crashed = crashed(&endpoints);
        assert!(crashed <= MAX_CRASHES, "{crashed} endpoints crashed");
    });
}

/// All copies run before the first crash, and each could be retried once.
#[test]
fn retries_of_copies_that_run_at_the_first_crash_are_not_sent() {
    const COPIES: usize = 6;
    run(async {
        let crash = Arc::new(Notify::new());
        let on_crash = crash.clone();
        let endpoints =
            crashing_endpoints(move |_| vec![Step::WaitFor(on_crash.clone()), Step::Crash]).await;
        let gateway = TestGateway::start(&endpoints.iter().collect::<Vec<_>>()).await;
        let ids: Vec<String> = (0..COPIES).map(|i| format!("x-request-id: q{i}\r\n")).collect();
        let copies = join_all(ids.iter().map(|id| gateway.send("POST", "/read/1", id, POISON)));
        let crash_all = async {
            ScriptedEndpoint::wait_for_total(&endpoints, COPIES).await;
            loop {
                crash.notify_waiters();
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        tokio::select! {
            _ = copies => {}
            () = crash_all => {}
        }
        gateway.wait_until(|g| !g.process.shared().is_checking_for_crash()).await;
        let received: usize = endpoints.iter().map(|e| e.requests().len()).sum();
        assert_eq!(received, COPIES, "a copy was sent again");
    });
}

/// The memory of all gateways is lost at once; only the store remembers.
#[test]
fn quarantine_survives_a_restart_of_all_gateways() {
    run(async {
        let endpoints = crashing_endpoints(|_| vec![Step::Crash]).await;
        let log = FakeLog::new(LogFaults::default(), 7);
        let any = "127.0.0.1:0".parse().unwrap();
        let gateway = TestGateway::start_with(log.clone(), any, Vec::new()).await;
        gateway.set_up(&endpoints.iter().collect::<Vec<_>>()).await;
        send_repeatedly(&gateway, "/read/1").await;
        assert!(crashed(&endpoints) <= MAX_CRASHES);
        gateway.wait_until(|g| g.process.shared().unsaved_reports() == 0).await;
        drop(gateway);
        let before = crashed(&endpoints);
        let restarted = TestGateway::start_with(log, any, Vec::new()).await;
        restarted.wait_for_version(1).await;
        restarted.wait_until(|g| g.process.shared().usable_endpoints() == ENDPOINTS).await;
        restarted.wait_until(|g| g.process.shared().knows_quarantines()).await;
        assert_eq!(restarted.send("POST", "/read/1", "", POISON).await.status, 503);
        assert_eq!(crashed(&endpoints), before);
    });
}

/// A gateway that starts after the crashes learns of them from its peer while the store
/// is unavailable.
#[test]
fn gateway_that_starts_later_learns_of_the_quarantine() {
    run(async {
        let endpoints = crashing_endpoints(|_| vec![Step::Crash]).await;
        let existing = TestGateway::start(&endpoints.iter().collect::<Vec<_>>()).await;
        send_repeatedly(&existing, "/read/1").await;
        let before = crashed(&endpoints);
        existing.log.set_faults(|f| f.outage = true);
        let joining = existing.start_peer(2).await;
        joining.wait_until(|g| 0 < g.process.shared().quarantined_suspects()).await;
        assert_eq!(joining.send("POST", "/read/1", "", POISON).await.status, 503);
        assert_eq!(crashed(&endpoints), before);
    });
}

/// The request goes to another gateway each time, and every crash is seen by one only.
#[test]
fn crashes_that_different_gateways_saw_add_up() {
    run(async {
        let endpoints = crashing_endpoints(|_| vec![Step::Crash]).await;
        let gateways = TestGateway::start_fleet(4, &endpoints).await;
        let mut last = Vec::new();
        for i in 0..8 {
            let gateway = &gateways[i % gateways.len()];
            let id = format!("x-request-id: q{i}\r\n");
            last.push(gateway.send("POST", "/book/1", &id, POISON).await.status);
            gateway.wait_until(|g| !g.process.shared().is_checking_for_crash()).await;
            let known = gateway.process.shared().counted_crashes();
            for other in &gateways {
                other.wait_until(|g| g.process.shared().counted_crashes() == known).await;
            }
        }
        assert_eq!(last[MAX_CRASHES..], [503; 8 - MAX_CRASHES]);
        assert_eq!(crashed(&endpoints), MAX_CRASHES);
    });
}

/// Requests that run beside the crashing one are resumed and not refused, although they
/// meet it again.
#[test]
fn requests_beside_the_crashing_one_are_served() {
    const OTHERS: usize = 5;
    run(async {
        let crash = Arc::new(Notify::new());
        let crashing = crash.clone();
        let endpoints = join_all((0..ENDPOINTS).map(|_| {
            let crash = crashing.clone();
            ScriptedEndpoint::start(move |request| {
                let resumed = request.header("last-event-id").is_some();
                match request.body.as_slice() {
                    body if body == POISON.as_bytes() => vec![Step::Crash],
                    _ if resumed => {
                        vec![stream_head(request.id()), chunk(&events(2..4)), last_chunk()]
                    }
                    _ => vec![
                        stream_head(request.id()),
                        chunk(&events(0..2)),
                        Step::WaitFor(crash.clone()),
                        chunk(&events(2..4)),
                        last_chunk(),
                    ],
                }
            })
        }))
        .await;
        let gateway = TestGateway::start(&endpoints.iter().collect::<Vec<_>>()).await;
        for round in 0..3 {
            let ids: Vec<String> =
                (0..OTHERS).map(|i| format!("x-request-id: r{round}-{i}\r\n")).collect();
            let bodies: Vec<String> = (0..OTHERS).map(|i| format!("other {i}")).collect();
            let others = join_all(
                ids.iter().zip(&bodies).map(|(id, b)| gateway.send("POST", "/resume/1", id, b)),
            );
            let poison = async {
                let sent = endpoints.iter().map(|e| e.requests().len()).sum::<usize>();
                ScriptedEndpoint::wait_for_total(&endpoints, sent + OTHERS).await;
                let id = format!("x-request-id: p{round}\r\n");
                gateway.send("POST", "/stream/1", &id, POISON).await;
                gateway.wait_until(|g| !g.process.shared().is_checking_for_crash()).await;
                crash.notify_waiters();
            };
            let (responses, ()) = tokio::join!(others, poison);
            for response in responses {
                assert_eq!((response.status, response.complete), (200, true), "round {round}");
                assert_eq!(response.text(), events(0..4));
            }
        }
    });
}

#[test]
fn endpoint_that_still_listens_is_not_counted_as_crashed() {
    run(async {
        let endpoints = join_all((0..3).map(|_| {
            ScriptedEndpoint::start(|request| match request.id().starts_with('q') {
                true => vec![stream_head(request.id()), chunk(&events(0..1)), Step::Reset],
                false => http_response("200 OK", request.id(), "fine"),
            })
        }))
        .await;
        let gateway = TestGateway::start(&endpoints.iter().collect::<Vec<_>>()).await;
        send_repeatedly(&gateway, "/stream/1").await;
        let received: usize = endpoints.iter().map(|e| e.requests().len()).sum();
        assert_eq!(received, 8);
    });
}

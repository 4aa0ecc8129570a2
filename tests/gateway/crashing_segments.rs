//! Requests that are all different and share a segment of their prompts that crashes the
//! endpoints that run them, and the sound requests beside them.
//!
//! A segment may crash [`MAX_CRASHES`] endpoints. Each further send must have begun before
//! the last of these crashes was known.

use std::collections::HashSet;

use futures_util::future::join_all;
use goldcrestpitch::fakes::{FakeLog, LogFaults};

use crate::{
    run,
    scripted_endpoint::{
        ReceivedRequest, ScriptedEndpoint, Step, chunk, events, http_response, last_chunk,
        response_head, stream_head, unframed_stream_head,
    },
    test_gateway::{Response, TestGateway},
};

/// Crashes after which requests with a segment must no longer be run, by the platform's
/// rules.
pub const MAX_CRASHES: usize = 5;
/// Requests with the crashing segment that are sent in a test.
pub const SENT: usize = 12;
/// Each of them could crash two endpoints.
const ENDPOINTS: usize = 2 * SENT;
pub const CRASHING: &str = "bad";
/// First segment of the sound requests and of most crashing ones.
pub const FIRST: &str = "a1";

/// The headers of a request whose prompt begins with the two segments and has a third one
/// of its own.
pub fn headers(id: &str, first: &str, second: &str) -> String {
    format!("x-request-id: {id}\r\nx-prompt-prefix: {first}:100,{second}:50,ffff:10\r\n")
}

/// Whether the prompt contains the crashing segment, other than as the last.
pub fn is_crashing(request: &ReceivedRequest) -> bool {
    let segments = request.header("x-prompt-prefix").unwrap_or_default().rsplit(',').skip(1);
    segments.filter_map(|s| s.split_once(':')).any(|(id, _)| id == CRASHING)
}

pub fn sound_answer(request: &ReceivedRequest) -> Vec<Step> {
    match request.path.starts_with("/stream/") || request.path.starts_with("/resume/") {
        true => vec![stream_head(request.id()), chunk(&events(0..3)), last_chunk()],
        false => http_response("200 OK", request.id(), "fine"),
    }
}

/// Starts endpoints that run `crash` for the crashing requests and answer all others.
async fn crashing_endpoints(
    crash: impl Fn(&ReceivedRequest) -> Vec<Step> + Clone + Send + Sync + 'static,
) -> Vec<ScriptedEndpoint> {
    let start = |_| {
        let crash = crash.clone();
        ScriptedEndpoint::start(move |request| match is_crashing(request) {
            true => crash(request),
            false => sound_answer(request),
        })
    };
    join_all((0..ENDPOINTS).map(start)).await
}

/// Number of crashing requests that reached endpoints.
pub fn reached(endpoints: &[ScriptedEndpoint]) -> usize {
    endpoints.iter().flat_map(|e| e.requests()).filter(is_crashing).count()
}

/// Sends a request whose prompt contains the crashing segment and waits for the result of
/// the check.
pub async fn send_crashing(gateway: &TestGateway, path: &str, i: usize) -> Response {
    send_prompt(gateway, path, i, FIRST, CRASHING).await
}

pub async fn send_prompt(
    gateway: &TestGateway,
    path: &str,
    i: usize,
    first: &str,
    second: &str,
) -> Response {
    let headers = headers(&format!("bad-{i}"), first, second);
    let (path, body) = (format!("{path}{i}"), format!("body {i}"));
    let response = gateway.send("POST", &path, &headers, &body).await;
    gateway.wait_until(|g| !g.process.shared().is_checking_for_crash()).await;
    response
}

/// Sends one sound request of each kind, all with the same first segment.
async fn assert_sound_served(gateway: &TestGateway, i: usize) {
    for (n, path) in ["/book/", "/read/", "/stream/", "/resume/"].into_iter().enumerate() {
        let headers = headers(&format!("sound-{i}-{n}"), FIRST, &format!("b{i}{n}"));
        let path = format!("{path}sound-{i}");
        let response = gateway.send("POST", &path, &headers, &format!("sound {i}")).await;
        assert_eq!((response.status, response.complete), (200, true), "{path}");
    }
}

/// Sends crashing requests with sound ones between them. `repeats` is the number of sends
/// that may begin before the last crash is known: a route that allows retries sends the
/// request again while the endpoint is being checked.
async fn assert_limited(
    path: &str,
    repeats: usize,
    crash: impl Fn(&ReceivedRequest) -> Vec<Step> + Clone + Send + Sync + 'static,
) {
    let endpoints = crashing_endpoints(crash).await;
    let gateway = TestGateway::start(&endpoints.iter().collect::<Vec<_>>()).await;
    let mut last = 0;
    for i in 0..SENT {
        assert_sound_served(&gateway, i).await;
        last = send_crashing(&gateway, path, i).await.status;
    }
    let reached = reached(&endpoints);
    assert!(reached <= MAX_CRASHES + repeats, "{reached} crashing requests reached endpoints");
    assert_eq!(last, 503);
    assert_sound_served(&gateway, SENT).await;
}

#[test]
fn segment_that_crashes_before_the_response_head_is_limited() {
    run(assert_limited("/book/", 0, |_| vec![Step::Crash]));
}

#[test]
fn segment_of_requests_that_are_sent_again_is_limited() {
    run(assert_limited("/read/", 1, |_| vec![Step::Crash]));
}

#[test]
fn segment_that_crashes_after_the_head_of_a_stream_is_limited() {
    run(assert_limited("/stream/", 0, |request| vec![stream_head(request.id()), Step::Crash]));
}

#[test]
fn segment_that_crashes_within_an_event_is_limited() {
    run(assert_limited("/stream/", 0, |request| {
        vec![stream_head(request.id()), chunk("id: 0\nda"), Step::Crash]
    }));
}

#[test]
fn segment_of_resumed_streams_is_limited() {
    run(assert_limited("/resume/", 1, |request| {
        let next = request.header("last-event-id").map_or(0, |l| l.parse::<u32>().unwrap() + 1);
        vec![stream_head(request.id()), chunk(&events(next..next + 1)), Step::Crash]
    }));
}

/// The end of the connection looks like the end of the stream.
#[test]
fn segment_that_crashes_in_a_stream_without_length_is_limited() {
    run(assert_limited("/stream/", 0, |request| {
        vec![unframed_stream_head(request.id()), Step::Send(events(0..2).into_bytes()), Step::Exit]
    }));
}

/// The end of the connection looks like the end of the response.
#[test]
fn segment_that_crashes_in_a_response_without_length_is_limited() {
    run(assert_limited("/book/", 0, |request| {
        let head = response_head("200 OK", request.id(), "");
        vec![Step::Send((head + "half").into_bytes()), Step::Exit]
    }));
}

/// Every other crash ends a stream without length between two events.
#[test]
fn stream_that_ends_by_a_crash_clears_no_evidence() {
    run(assert_limited("/stream/", 0, |request| {
        let number = request.path.trim_start_matches("/stream/").parse::<usize>().unwrap();
        match number % 2 {
            0 => vec![Step::Crash],
            _ => vec![
                unframed_stream_head(request.id()),
                Step::Send(events(0..2).into_bytes()),
                Step::Exit,
            ],
        }
    }));
}

/// Streams without length of endpoints that go on are complete.
#[test]
fn sound_streams_without_length_are_served() {
    run(async {
        let endpoint = ScriptedEndpoint::start(|request| {
            let body = Step::Send(events(0..2).into_bytes());
            vec![unframed_stream_head(request.id()), body, Step::Close]
        })
        .await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        for i in 0..SENT {
            let response = send_crashing(&gateway, "/stream/", i).await;
            assert_eq!((response.status, response.complete), (200, true));
            assert_eq!(response.text(), events(0..2));
        }
        let requests = endpoint.requests();
        assert_eq!(requests.len(), SENT);
        let connections: HashSet<usize> = requests.iter().map(|r| r.connection).collect();
        assert_eq!(connections.len(), SENT, "a connection was used again");
    });
}

#[test]
fn first_segment_that_crashes_is_limited() {
    run(async {
        let endpoints = crashing_endpoints(|_| vec![Step::Crash]).await;
        let gateway = TestGateway::start(&endpoints.iter().collect::<Vec<_>>()).await;
        for i in 0..SENT {
            assert_sound_served(&gateway, i).await;
            send_prompt(&gateway, "/book/", i, CRASHING, &format!("c{i}")).await;
        }
        let reached = reached(&endpoints);
        assert!(reached <= MAX_CRASHES, "{reached} crashing requests reached endpoints");
        assert_sound_served(&gateway, SENT).await;
    });
}

/// Waits until all gateways count the same number of crashes.
async fn wait_until_in_agreement(gateways: &[TestGateway]) {
    let counted = |g: &TestGateway| g.process.shared().counted_crashes();
    gateways[0].wait_until(|first| gateways.iter().all(|g| counted(g) == counted(first))).await;
}

/// The requests go to another gateway each time, and every crash is seen by one only.
#[test]
fn crashes_by_a_segment_that_different_gateways_saw_add_up() {
    run(async {
        let endpoints = crashing_endpoints(|_| vec![Step::Crash]).await;
        let gateways = TestGateway::start_fleet(4, &endpoints).await;
        for i in 0..SENT {
            let gateway = &gateways[i % gateways.len()];
            assert_sound_served(gateway, i).await;
            send_crashing(gateway, "/book/", i).await;
            wait_until_in_agreement(&gateways).await;
        }
        let reached = reached(&endpoints);
        assert!(reached <= MAX_CRASHES, "{reached} crashing requests reached endpoints");
        for (i, gateway) in gateways.iter().enumerate() {
            assert_eq!(send_crashing(gateway, "/book/", SENT + i).await.status, 503);
            assert_sound_served(gateway, SENT + i).await;
        }
    });
}

/// The memory of all gateways is lost at once; only the store remembers.
#[test]
fn quarantine_of_a_segment_survives_a_restart_of_all_gateways() {
    run(async {
        let endpoints = crashing_endpoints(|_| vec![Step::Crash]).await;
        let log = FakeLog::new(LogFaults::default(), 7);
        let any = "127.0.0.1:0".parse().unwrap();
        let gateway = TestGateway::start_with(log.clone(), any, Vec::new()).await;
        gateway.set_up(&endpoints.iter().collect::<Vec<_>>()).await;
        for i in 0..MAX_CRASHES {
            assert_sound_served(&gateway, i).await;
            send_crashing(&gateway, "/book/", i).await;
        }
        gateway.wait_until(|g| g.process.shared().unsaved_reports() == 0).await;
        drop(gateway);
        let restarted = TestGateway::start_with(log, any, Vec::new()).await;
        restarted.wait_for_version(1).await;
        restarted.wait_for_endpoints(ENDPOINTS).await;
        restarted.wait_until(|g| g.process.shared().knows_quarantines()).await;
        assert_eq!(send_crashing(&restarted, "/book/", SENT).await.status, 503);
        assert_eq!(reached(&endpoints), MAX_CRASHES);
        assert_sound_served(&restarted, SENT).await;
    });
}

/// A gateway that starts after the crashes learns of them from its peer while the store
/// is unavailable.
#[test]
fn gateway_that_starts_later_learns_of_the_segment() {
    run(async {
        let endpoints = crashing_endpoints(|_| vec![Step::Crash]).await;
        let existing = TestGateway::start(&endpoints.iter().collect::<Vec<_>>()).await;
        for i in 0..MAX_CRASHES {
            assert_sound_served(&existing, i).await;
            send_crashing(&existing, "/book/", i).await;
        }
        existing.log.set_faults(|f| f.outage = true);
        let joining = existing.start_peer(2).await;
        let gateways = [existing, joining];
        wait_until_in_agreement(&gateways).await;
        assert_eq!(send_crashing(&gateways[1], "/book/", SENT).await.status, 503);
        assert_eq!(reached(&endpoints), MAX_CRASHES);
        assert_sound_served(&gateways[1], SENT).await;
    });
}

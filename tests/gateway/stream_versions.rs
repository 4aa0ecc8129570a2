//! Endpoints of several software versions in one service: a stream goes on only at the
//! version that began it.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use goldcrestpitch::platform::{CONFIGURATION, REGISTRATIONS};
use serde_json::json;
use tokio::io::AsyncWriteExt;

use crate::{
    run,
    scripted_endpoint::{
        ReceivedRequest, ScriptedEndpoint, Step, chunk, http_response, last_chunk, stream_head,
    },
    test_gateway::{
        Response, TestGateway, configuration, http_request, read_response, registration, route,
    },
};

/// Streams in each test, as many as the retry budget lets go on.
const STREAMS: usize = 4;
/// Time for events to arrive before the connection ends.
const PAUSE: Duration = Duration::from_millis(20);
const DEADLINE: &str = "x-deadline-ms: 8000\r\n";

/// A whole stream, or the rest of it, whose data name the version that wrote it.
fn stream_of(version: &str, request: &ReceivedRequest, until: u32) -> Vec<Step> {
    let first = request.header("last-event-id").map_or(0, |l| l.parse::<u32>().unwrap() + 1);
    let events: String = (first..until).map(|i| format!("id: {i}\ndata: {version}\n\n")).collect();
    vec![stream_head(request.id()), chunk(&events)]
}

/// An endpoint that breaks off new streams after three events and completes others.
async fn breaking(version: &'static str) -> ScriptedEndpoint {
    ScriptedEndpoint::start(move |request| match request.header("last-event-id") {
        None => [
            stream_of(version, request, 3),
            vec![Step::Pause(Duration::from_millis(20)), Step::Reset],
        ]
        .concat(),
        Some(_) => [stream_of(version, request, 6), vec![last_chunk()]].concat(),
    })
    .await
}

/// An endpoint that is silent after three events of new streams and completes others.
async fn silent(version: &'static str) -> ScriptedEndpoint {
    ScriptedEndpoint::start(move |request| match request.header("last-event-id") {
        None => [stream_of(version, request, 3), vec![Step::Hang]].concat(),
        Some(_) => [stream_of(version, request, 6), vec![last_chunk()]].concat(),
    })
    .await
}

/// Registers two endpoints of `v1`, unless there are fewer.
async fn register_first(gateway: &TestGateway, endpoints: &[ScriptedEndpoint]) {
    let mut long = route("/resume/", "streaming", 3);
    long["TimeoutMs"] = 20_000.into();
    gateway.configure(1, &[long]).await;
    for (i, endpoint) in endpoints.iter().take(2).enumerate() {
        gateway.register_version(&format!("i-{i}"), endpoint.address, "v1", 1).await;
    }
    gateway.wait_for_version(1).await;
    gateway.wait_for_endpoints(endpoints.len().min(2)).await;
}

/// Registers the others as `v2`. The id of the first one comes before all others, so that it
/// is selected before them.
async fn register_others(gateway: &TestGateway, endpoints: &[ScriptedEndpoint]) {
    for (id, endpoint) in ["h-0", "j-0", "j-1", "j-2"].iter().zip(endpoints.iter().skip(2)) {
        gateway.register_version(id, endpoint.address, "v2", 1).await;
    }
    gateway.wait_for_endpoints(endpoints.len()).await;
}

async fn register(gateway: &TestGateway, endpoints: &[ScriptedEndpoint]) {
    register_first(gateway, endpoints).await;
    register_others(gateway, endpoints).await;
}

fn versions(response: &Response) -> Vec<String> {
    let text = response.text();
    let mut versions: Vec<String> =
        text.lines().filter_map(|l| l.strip_prefix("data: ")).map(str::to_owned).collect();
    versions.dedup();
    versions
}

async fn attempt(gateway: &TestGateway, id: &str, headers: &str) -> Response {
    let headers = format!("x-request-id: {id}\r\n{DEADLINE}{headers}");
    gateway.send("POST", "/resume/1", &headers, id).await
}

/// Resumes a stream of which three events were received.
async fn resume(gateway: &TestGateway, id: &str, first: &str) -> Response {
    attempt(gateway, id, &format!("resumes: {first}\r\nlast-event-id: 2\r\n")).await
}

async fn start_six(
    script: impl AsyncFn(&'static str) -> ScriptedEndpoint,
) -> Vec<ScriptedEndpoint> {
    let mut endpoints = Vec::new();
    for version in ["v1", "v1", "v2", "v2", "v2", "v2"] {
        endpoints.push(script(version).await);
    }
    endpoints
}

#[test]
fn broken_stream_goes_on_at_its_version() {
    run(async {
        let endpoints = start_six(breaking).await;
        let gateway = TestGateway::start_unconfigured().await;
        register(&gateway, &endpoints).await;
        for i in 0..STREAMS {
            let response = attempt(&gateway, &format!("q{i}"), "").await;
            assert_eq!(versions(&response).len(), 1, "{}", response.text());
            assert!(response.complete);
        }
    });
}

#[test]
fn stream_of_a_silent_endpoint_goes_on_at_its_version() {
    run(async {
        let endpoints = start_six(silent).await;
        let gateway = TestGateway::start_unconfigured().await;
        register(&gateway, &endpoints).await;
        let (ids, mut streams) = ((0..STREAMS).map(|i| format!("q{i}")), Vec::new());
        for id in ids.collect::<Vec<_>>() {
            let head = format!("x-request-id: {id}\r\n{DEADLINE}");
            let mut socket = gateway.connect().await;
            let req = http_request("POST", "/resume/1", &head, &id);
            socket.write_all(req.as_bytes()).await.unwrap();
            streams.push(socket);
        }
        for mut socket in streams {
            let response = read_response(&mut socket, &mut Vec::new()).await;
            assert_eq!(versions(&response).len(), 1, "{}", response.text());
            assert!(response.complete);
        }
    });
}

/// Breaks off streams, also those that are resumed within one response, and completes those
/// that callers resume.
async fn breaking_twice(version: &'static str) -> ScriptedEndpoint {
    ScriptedEndpoint::start(move |request| {
        if request.header("resumes").is_some() {
            return [stream_of(version, request, 6), vec![last_chunk()]].concat();
        }
        if request.header("last-event-id").is_some() {
            return vec![Step::Reset];
        }
        let pause = Step::Pause(Duration::from_millis(20));
        [stream_of(version, request, 3), vec![pause, Step::Reset]].concat()
    })
    .await
}

/// Begins streams at endpoints of `v1`, before there are others.
async fn begin(gateway: &TestGateway) {
    for i in 0..STREAMS {
        let first = attempt(gateway, &format!("q{i}"), "").await;
        assert_eq!((versions(&first), first.complete), (vec!["v1".to_owned()], false));
    }
}

async fn assert_resumed_at_the_first_version(gateway: &TestGateway) {
    for i in 0..STREAMS {
        let rest = resume(gateway, &format!("r{i}"), &format!("q{i}")).await;
        assert_eq!((versions(&rest), rest.complete), (vec!["v1".to_owned()], true));
    }
}

#[test]
fn caller_resumes_at_the_version_that_began_the_stream() {
    run(async {
        let endpoints = start_six(breaking_twice).await;
        let gateway = TestGateway::start_unconfigured().await;
        register_first(&gateway, &endpoints).await;
        begin(&gateway).await;
        register_others(&gateway, &endpoints).await;
        assert_resumed_at_the_first_version(&gateway).await;
    });
}

#[test]
fn caller_resumes_at_another_gateway() {
    run(async {
        let endpoints = start_six(breaking_twice).await;
        let first = TestGateway::start_unconfigured().await;
        register_first(&first, &endpoints).await;
        let second = first.start_peer(2).await;
        second.wait_for_endpoints(2).await;
        begin(&first).await;
        register_others(&first, &endpoints).await;
        second.wait_for_endpoints(6).await;
        assert_resumed_at_the_first_version(&second).await;
    });
}

#[test]
fn caller_resumes_after_the_first_gateway_has_stopped() {
    run(async {
        let endpoints = start_six(breaking_twice).await;
        let other = TestGateway::start_unconfigured().await;
        register_first(&other, &endpoints).await;
        let first = other.start_peer(2).await;
        first.wait_for_endpoints(2).await;
        begin(&first).await;
        register_others(&other, &endpoints).await;
        first.process.stop().await;
        assert_resumed_at_the_first_version(&other).await;
    });
}

#[test]
fn stream_whose_version_is_gone_is_refused_at_once() {
    run(async {
        let endpoints = start_six(breaking_twice).await;
        let gateway = TestGateway::start_unconfigured().await;
        register(&gateway, &endpoints).await;
        for i in 0..STREAMS {
            attempt(&gateway, &format!("q{i}"), "").await;
        }
        for id in ["i-0", "i-1", "h-0", "j-0", "j-1", "j-2"] {
            gateway.unregister(id).await;
        }
        let other = breaking_twice("v3").await;
        gateway.register_version("i-9", other.address, "v3", 1).await;
        gateway.wait_for_endpoints(1).await;
        for i in 0..STREAMS {
            let rest = resume(&gateway, &format!("r{i}"), &format!("q{i}")).await;
            assert_eq!((rest.status, rest.header("retry-after")), (503, None));
            assert!(rest.text().contains("3008"), "{}", rest.text());
        }
        assert!(other.requests().is_empty());
    });
}

#[test]
fn resumption_of_an_unknown_stream_is_not_sent_to_a_guess() {
    run(async {
        let endpoints = start_six(breaking_twice).await;
        let gateway = TestGateway::start_unconfigured().await;
        register(&gateway, &endpoints).await;
        for i in 0..STREAMS {
            let rest = resume(&gateway, &format!("r{i}"), &format!("q{i}")).await;
            assert_eq!(rest.status, 503);
        }
        assert!(endpoints.iter().all(|e| e.requests().is_empty()));
    });
}

/// The endpoint crashes, starts again under its id with another version, and registers.
#[test]
fn stream_does_not_go_on_at_a_restarted_endpoint_of_another_version() {
    run(async {
        let crashing = ScriptedEndpoint::start(|request| {
            [stream_of("v1", request, 3), vec![Step::Pause(Duration::from_millis(20)), Step::Crash]]
                .concat()
        })
        .await;
        let gateway = TestGateway::start_unconfigured().await;
        register(&gateway, std::slice::from_ref(&crashing)).await;
        let first = attempt(&gateway, "q1", "").await;
        assert_eq!((versions(&first), first.complete), (vec!["v1".to_owned()], false));
        let restarted = breaking_twice("v2").await;
        gateway.register_version("i-0", restarted.address, "v2", 2).await;
        let address = restarted.address;
        gateway.wait_until(|g| g.process.shared().address_of("i-0") == Some(address)).await;
        let rest = resume(&gateway, "r1", "q1").await;
        assert_eq!(rest.status, 503);
        assert!(restarted.requests().is_empty());
    });
}

/// As above, but its registration has yet to come: the address and the id are the old ones.
#[test]
fn stream_does_not_go_on_at_an_endpoint_whose_restart_is_not_known() {
    run(async {
        let crashing = ScriptedEndpoint::start(|request| {
            let pause = Step::Pause(Duration::from_millis(20));
            [stream_of("v1", request, 3), vec![pause, Step::Crash]].concat()
        })
        .await;
        let gateway = TestGateway::start_unconfigured().await;
        register(&gateway, std::slice::from_ref(&crashing)).await;
        let first = attempt(&gateway, "q1", "").await;
        assert_eq!((versions(&first), first.complete), (vec!["v1".to_owned()], false));
        gateway.wait_until(|g| g.process.shared().may_have_restarted("i-0")).await;
        let restarted = ScriptedEndpoint::start_at(crashing.address, |request| {
            [stream_of("v2", request, 6), vec![last_chunk()]].concat()
        })
        .await;
        let rest = resume(&gateway, "r1", "q1").await;
        assert_eq!(rest.status, 503);
        assert!(restarted.requests().is_empty());
        gateway.register_version("i-0", restarted.address, "v1", 2).await;
        gateway.wait_until(|g| !g.process.shared().may_have_restarted("i-0")).await;
        assert!(resume(&gateway, "r2", "q1").await.complete);
    });
}

/// Before the first event a stream may go on at any version.
#[test]
fn stream_without_an_event_goes_on_at_any_version() {
    run(async {
        let empty = ScriptedEndpoint::start(|request| {
            vec![stream_head(request.id()), chunk("id: 0\nda"), Step::Reset]
        })
        .await;
        let whole = ScriptedEndpoint::start(|request| {
            [stream_of("v2", request, 6), vec![last_chunk()]].concat()
        })
        .await;
        let gateway = TestGateway::start_unconfigured().await;
        let mut long = route("/resume/", "streaming", 3);
        long["TimeoutMs"] = 20_000.into();
        gateway.configure(1, &[long]).await;
        gateway.register_version("i-0", empty.address, "v1", 1).await;
        gateway.register_version("i-1", whole.address, "v2", 1).await;
        gateway.wait_for_version(1).await;
        gateway.wait_for_endpoints(2).await;
        for i in 0..STREAMS {
            let response = attempt(&gateway, &format!("q{i}"), "").await;
            assert_eq!((versions(&response), response.complete), (vec!["v2".to_owned()], true));
        }
    });
}

/// The second run sends events before it is known whether its endpoint was started again, and
/// the report that would tell does not come.
#[test]
fn events_of_a_run_that_is_given_up_are_not_skipped() {
    run(async {
        let reports = Arc::new(AtomicUsize::new(0));
        let mut endpoints = Vec::new();
        for _ in 0..3 {
            let reports = reports.clone();
            let endpoint = ScriptedEndpoint::start(move |request| {
                if request.path == "/-/report" {
                    return match reports.fetch_add(1, Ordering::Relaxed) {
                        0 => vec![Step::Hang],
                        _ => http_response("200 OK", "", "{\"born\":1}"),
                    };
                }
                match request.header("last-event-id") {
                    None => [stream_of("v1", request, 3), vec![Step::Pause(PAUSE), Step::Reset]]
                        .concat(),
                    Some(_) => [stream_of("v1", request, 6), vec![last_chunk()]].concat(),
                }
            });
            endpoints.push(endpoint.await);
        }
        let gateway = TestGateway::start_unconfigured().await;
        let mut long = route("/resume/", "streaming", 3);
        long["TimeoutMs"] = 20_000.into();
        let mut text = configuration(1, &[long], &["desk"]);
        text["Services"][0]["Engine"] = json!({
            "Slots": 100, "KvCapacity": 10_000_000, "WeightsMb": 1000, "AdapterSlots": 1,
            "LoadsPerS": 1, "Models": [{ "Name": "m", "WeightsMb": 10, "LoadS": 1 }],
        });
        gateway.store.put(CONFIGURATION, "config", text.to_string().as_bytes()).await.unwrap();
        for (i, endpoint) in endpoints.iter().enumerate() {
            let mut text = registration(endpoint.address, "ready", 1);
            text["Models"] = json!([{ "Name": "m", "Version": 1, "Adapters": [] }]);
            let text = text.to_string();
            gateway.store.put(REGISTRATIONS, &format!("i-{i}"), text.as_bytes()).await.unwrap();
        }
        gateway.wait_for_version(1).await;
        gateway.wait_for_endpoints(3).await;
        let response = attempt(&gateway, "q1", "x-model: m\r\n").await;
        let ids: Vec<String> = response
            .text()
            .lines()
            .filter_map(|l| l.strip_prefix("id: "))
            .map(str::to_owned)
            .collect();
        assert_eq!((ids.join(" ").as_str(), response.complete), ("0 1 2 3 4 5", true));
    });
}

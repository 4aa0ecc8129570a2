//! Checks the log lines in docs/OPERATIONS.md against those that the gateway writes.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::Path,
    sync::{Mutex, Once},
    time::Duration,
};

use goldcrestpitch::platform::CONFIGURATION;
use tokio::time;

use crate::{
    run,
    scripted_endpoint::{
        ReceivedRequest, ScriptedEndpoint, Step, chunk, events, http_response, last_chunk,
        response_head, stream_head,
    },
    test_gateway::{TestGateway, configuration},
};

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());
static START: Once = Once::new();

struct CaptureLogger;

impl log::Log for CaptureLogger {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        if record.target().starts_with("goldcrestpitch::gateway") {
            LINES.lock().unwrap().push(record.args().to_string());
        }
    }

    fn flush(&self) {}
}

/// Keeps the log lines of all gateways of this process.
pub fn install_capture_logger() {
    START.call_once(|| {
        log::set_logger(&CaptureLogger).unwrap();
        log::set_max_level(log::LevelFilter::Info);
    });
}

/// The event name of a log line and the keys of its fields.
fn event_and_fields(line: &str) -> Option<(String, BTreeSet<String>)> {
    let start = line.find("event=")?;
    let event = line[start + 6..].split_whitespace().next()?.to_owned();
    // Quoted values may contain spaces and equals signs.
    let outside: String = line[start..].split('"').step_by(2).collect();
    let pairs = outside.split_whitespace().filter_map(|word| word.split_once('='));
    let keys = pairs.map(|(key, _)| key.to_owned()).collect();
    Some((event, keys))
}

/// The log lines of the request with the id `id`.
pub fn lines_for_request(id: &str) -> Vec<String> {
    let wanted = format!(" id={id} ");
    LINES.lock().unwrap().iter().filter(|l| l.contains(&wanted)).cloned().collect()
}

fn events_for_request(id: &str) -> Vec<String> {
    lines_for_request(id)
        .iter()
        .filter_map(|l| event_and_fields(l))
        .map(|(event, _)| event)
        .collect()
}

async fn refuse_without_endpoint() {
    let gateway = TestGateway::start_unconfigured().await;
    gateway.configure(1, &crate::test_gateway::routes()).await;
    gateway.wait_for_version(1).await;
    assert_eq!(gateway.send("GET", "/read/1", "x-request-id: refused-1\r\n", "").await.status, 503);
}

/// A caller shows a key that no client account has.
async fn refuse_an_unknown_key() {
    let endpoint = ScriptedEndpoint::start(|r| http_response("200 OK", r.id(), "fine")).await;
    let gateway = TestGateway::start(&[&endpoint]).await;
    let mut text = configuration(2, &crate::test_gateway::routes(), &["desk"]);
    text["Tenants"] = serde_json::json!([{ "Name": "hule930", "ApiKeys": ["secret-known"] }]);
    let text = text.to_string();
    gateway.store.put(CONFIGURATION, "config", text.as_bytes()).await.unwrap();
    gateway.wait_for_version(2).await;
    for (id, key, status) in
        [("account-1", "secret-other", 401), ("account-2", "secret-known", 200)]
    {
        let headers = format!("x-request-id: {id}\r\nauthorization: Bearer {key}\r\n");
        assert_eq!(gateway.send("GET", "/read/1", &headers, "").await.status, status);
    }
}

async fn fail_non_idempotent_request() {
    let endpoint = ScriptedEndpoint::start(|_| vec![Step::Reset]).await;
    let gateway = TestGateway::start(&[&endpoint]).await;
    assert_eq!(gateway.send("POST", "/book/1", "x-request-id: failed-1\r\n", "").await.status, 502);
}

async fn truncate_stream() {
    let endpoint = ScriptedEndpoint::start(|request| {
        vec![stream_head(request.id()), chunk(&events(0..2)), Step::Close]
    })
    .await;
    let gateway = TestGateway::start(&[&endpoint]).await;
    let response = gateway.send("POST", "/stream/1", "x-request-id: broken-1\r\n", "").await;
    assert!(!response.complete);
    gateway
        .wait_until(|_| events_for_request("broken-1").contains(&"request_end".to_owned()))
        .await;
}

async fn crash_endpoints() {
    let mut endpoints = Vec::new();
    for _ in 0..4 {
        endpoints.push(ScriptedEndpoint::start(|_| vec![Step::Crash]).await);
    }
    let gateway = TestGateway::start(&endpoints.iter().collect::<Vec<_>>()).await;
    for i in 0..10 {
        let id = format!("x-request-id: crashing-{i}\r\n");
        gateway.send("POST", "/book/1", &id, "").await;
        gateway.wait_until(|g| !g.process.shared().is_checking_for_crash()).await;
    }
}

async fn crash_endpoints_by_a_segment() {
    let mut endpoints = Vec::new();
    for _ in 0..8 {
        endpoints.push(ScriptedEndpoint::start(|_| vec![Step::Crash]).await);
    }
    let gateway = TestGateway::start(&endpoints.iter().collect::<Vec<_>>()).await;
    for i in 0..10 {
        let headers = format!("x-request-id: shared-{i}\r\nx-prompt-prefix: bad:9,{i}:9\r\n");
        gateway.send("POST", "/book/1", &headers, &format!("body {i}")).await;
        gateway.wait_until(|g| !g.process.shared().is_checking_for_crash()).await;
    }
}

/// A request runs at an endpoint that crashes, and is complete when it is sent again.
async fn clear_a_suspect() {
    let answer = |r: &ReceivedRequest| http_response("200 OK", r.id(), "fine");
    let endpoints = ScriptedEndpoint::pair(|_| vec![Step::Crash], answer).await;
    let gateway = TestGateway::start(&[&endpoints[0], &endpoints[1]]).await;
    for i in 0..2 {
        let id = format!("x-request-id: cleared-{i}\r\n");
        gateway.send("POST", "/book/1", &id, "").await;
        gateway.wait_until(|g| !g.process.shared().is_checking_for_crash()).await;
    }
}

/// An endpoint names a limit in its first response, which another gateway learns, and none in
/// the next one.
async fn name_and_end_a_limit() {
    let endpoint = ScriptedEndpoint::start(|request| {
        let limit = if request.index == 0 { "server-limit: 4\r\n" } else { "" };
        let headers = format!("content-length: 4\r\n{limit}");
        vec![Step::Send((response_head("200 OK", request.id(), &headers) + "fine").into_bytes())]
    })
    .await;
    let first = TestGateway::start(&[&endpoint]).await;
    let second = first.start_peer(2).await;
    second.wait_for_endpoints(1).await;
    first.send("POST", "/read/1", "x-request-id: limited-0\r\n", "").await;
    second.wait_until(|g| g.process.shared().limited_endpoints() == 1).await;
    first.send("POST", "/read/1", "x-request-id: limited-1\r\n", "").await;
    first.wait_until(|g| g.process.shared().limited_endpoints() == 0).await;
}

/// A caller resumes a stream while the service has endpoints of two versions.
async fn resume_a_stream() {
    let endpoint = || {
        ScriptedEndpoint::start(|request| {
            vec![stream_head(request.id()), chunk(&events(0..2)), last_chunk()]
        })
    };
    let endpoints = [endpoint().await, endpoint().await];
    let gateway = TestGateway::start(&[&endpoints[0]]).await;
    gateway.register_version("i-1", endpoints[1].address, "v2", 1).await;
    gateway.wait_for_endpoints(2).await;
    gateway.send("POST", "/resume/1", "x-request-id: begun-1\r\n", "").await;
    let headers = "x-request-id: resumed-1\r\nresumes: begun-1\r\nlast-event-id: 1\r\n";
    gateway.send("POST", "/resume/1", headers, "").await;
}

/// An endpoint asks for a short rest and then says that it leaves.
async fn rest_and_leave() {
    let endpoint = ScriptedEndpoint::start(|request| {
        let headers = match request.index {
            0 => "x-not-executed: 1\r\nretry-after: 0.3\r\ncontent-length: 0\r\n",
            _ => "server-leaving: 1\r\ncontent-length: 0\r\n",
        };
        let status = if request.index == 0 { "503 Busy" } else { "200 OK" };
        vec![Step::Send(response_head(status, request.id(), headers).into_bytes())]
    })
    .await;
    let gateway = TestGateway::start(&[&endpoint]).await;
    gateway.send("POST", "/book/1", "x-request-id: rest-1\r\n", "").await;
    gateway.send("POST", "/book/1", "x-request-id: rest-2\r\n", "").await;
    gateway.wait_for_endpoints(0).await;
    while !LINES.lock().unwrap().iter().any(|l| l.contains("event=rest_ended")) {
        time::sleep(Duration::from_millis(5)).await;
    }
}

#[test]
fn operations_page_matches_logged_fields() {
    install_capture_logger();
    run(async {
        refuse_without_endpoint().await;
        refuse_an_unknown_key().await;
        fail_non_idempotent_request().await;
        truncate_stream().await;
        crash_endpoints().await;
        crash_endpoints_by_a_segment().await;
        clear_a_suspect().await;
        name_and_end_a_limit().await;
        resume_a_stream().await;
        rest_and_leave().await;
    });
    assert_eq!(events_for_request("refused-1"), ["refused", "request_end"]);
    assert_eq!(events_for_request("account-1"), ["account_refused"]);
    assert_eq!(events_for_request("account-2"), ["sent", "response", "request_end"]);
    assert!(lines_for_request("account-2")[2].contains(" account=hule930 "));
    let with_key = LINES.lock().unwrap().iter().find(|l| l.contains("secret-")).cloned();
    assert_eq!(with_key, None, "keys must not be logged");
    assert_eq!(
        events_for_request("failed-1"),
        ["sent", "no_response", "broken", "refused", "request_end"]
    );
    assert_eq!(events_for_request("crashing-9"), ["refused", "request_end"]);
    assert_eq!(events_for_request("shared-9"), ["refused", "request_end"]);
    let refusal = &lines_for_request("shared-9")[0];
    assert!(refusal.contains(" suspect=segment:0000000000000bad crashes=5 "), "{refusal}");
    let sent = &lines_for_request("shared-4")[0];
    assert!(sent.contains(" suspect=segment:0000000000000bad crashes=4 "), "{sent}");
    assert_eq!(
        events_for_request("broken-1"),
        ["sent", "response", "stream_broken", "request_end"]
    );
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/OPERATIONS.md");
    let page = std::fs::read_to_string(page).unwrap();
    let mut documented = 0;
    let logged: BTreeMap<String, BTreeSet<String>> =
        LINES.lock().unwrap().iter().filter_map(|l| event_and_fields(l)).collect();
    let documented_lines =
        page.lines().filter(|l| l.trim_start().starts_with("event=") && !l.contains("..."));
    for (event, keys) in documented_lines.filter_map(event_and_fields) {
        assert_eq!(
            logged.get(&event),
            Some(&keys),
            "the fields of {event} on the page differ from the logged ones"
        );
        documented += 1;
    }
    assert!(12 <= documented, "the page must show the log lines of four failures");
    for name in [
        goldcrestpitch::telemetry::names::REFUSALS,
        goldcrestpitch::telemetry::names::ACCOUNT_REFUSALS,
        goldcrestpitch::telemetry::names::ACCOUNTS_AGE,
        goldcrestpitch::telemetry::names::RETRIES,
        goldcrestpitch::telemetry::names::RESPONSES,
        goldcrestpitch::telemetry::names::UNANSWERED,
        goldcrestpitch::telemetry::names::SUSPECTED_CRASHES,
        goldcrestpitch::telemetry::names::WAITING,
        goldcrestpitch::telemetry::names::LIMITED_SENDS,
        goldcrestpitch::telemetry::names::STORE_FAILURES,
        goldcrestpitch::telemetry::names::LOG_LINES_LEFT_OUT,
    ] {
        assert!(page.contains(name), "{name} is missing on the page");
    }
}

//! Holds docs/OPERATIONS.md to the lines that failures really leave.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::Path,
    sync::{Mutex, Once},
};

use crate::{
    bed::Bed,
    endpoint::{Endpoint, Step, chunk, events, stream_head},
    run,
};

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());
static START: Once = Once::new();

struct Capture;

impl log::Log for Capture {
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

fn capture() {
    START.call_once(|| {
        log::set_logger(&Capture).unwrap();
        log::set_max_level(log::LevelFilter::Info);
    });
}

/// The kind of a line and its keys.
fn keys(line: &str) -> Option<(String, BTreeSet<String>)> {
    let start = line.find("event=")?;
    let event = line[start + 6..].split_whitespace().next()?.to_owned();
    // Texts in quotes may hold anything.
    let outside: String = line[start..].split('"').step_by(2).collect();
    let pairs = outside.split_whitespace().filter_map(|word| word.split_once('='));
    let keys = pairs.map(|(key, _)| key.to_owned()).collect();
    Some((event, keys))
}

/// The lines with the id of a request.
fn lines_of(id: &str) -> Vec<String> {
    let wanted = format!(" id={id} ");
    LINES.lock().unwrap().iter().filter(|l| l.contains(&wanted)).cloned().collect()
}

fn events_of(id: &str) -> Vec<String> {
    lines_of(id).iter().filter_map(|l| keys(l)).map(|(event, _)| event).collect()
}

async fn refused_under_load() {
    let bed = Bed::empty().await;
    bed.configure(1, &crate::bed::routes()).await;
    bed.wait_version(1).await;
    assert_eq!(bed.call("GET", "/read/1", "x-request-id: refused-1\r\n", "").await.status, 503);
}

async fn may_have_run() {
    let endpoint = Endpoint::start(|_| vec![Step::Reset]).await;
    let bed = Bed::start(&[&endpoint]).await;
    assert_eq!(bed.call("POST", "/book/1", "x-request-id: failed-1\r\n", "").await.status, 502);
}

async fn broken_stream() {
    let endpoint =
        Endpoint::start(|seen| vec![stream_head(seen.id()), chunk(&events(0..2)), Step::Close])
            .await;
    let bed = Bed::start(&[&endpoint]).await;
    let got = bed.call("POST", "/stream/1", "x-request-id: broken-1\r\n", "").await;
    assert!(!got.whole);
    bed.wait(|_| events_of("broken-1").contains(&"request_end".to_owned())).await;
}

#[test]
fn the_operations_page_shows_the_lines_as_they_are() {
    capture();
    run(async {
        refused_under_load().await;
        may_have_run().await;
        broken_stream().await;
    });
    assert_eq!(events_of("refused-1"), ["refused", "request_end"]);
    assert_eq!(events_of("failed-1"), ["sent", "broken", "refused", "request_end"]);
    assert_eq!(events_of("broken-1"), ["sent", "stream_broken", "request_end"]);
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/OPERATIONS.md");
    let page = std::fs::read_to_string(page).unwrap();
    let mut shown = 0;
    let real: BTreeMap<String, BTreeSet<String>> =
        LINES.lock().unwrap().iter().filter_map(|l| keys(l)).collect();
    let with_id =
        page.lines().filter(|l| l.trim_start().starts_with("event=") && l.contains(" id="));
    for (event, keys) in with_id.filter_map(keys) {
        assert_eq!(real.get(&event), Some(&keys), "the page shows {event} with other fields");
        shown += 1;
    }
    assert!(9 <= shown, "the page shows the way of three failures");
    for name in [
        goldcrestpitch::telemetry::names::REFUSALS,
        goldcrestpitch::telemetry::names::RETRIES,
        goldcrestpitch::telemetry::names::WAITING,
        goldcrestpitch::telemetry::names::STORE_FAILURES,
        goldcrestpitch::telemetry::names::LOG_LINES_LEFT_OUT,
    ] {
        assert!(page.contains(name), "{name} is missing on the page");
    }
}

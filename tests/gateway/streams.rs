//! Streams: every event once and in order, or a visible break.

use std::{sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    sync::Notify,
};

use crate::{
    bed::{Bed, read_answer, request, route},
    endpoint::{Endpoint, Seen, Step, chunk, end, events, not_run, stream_head},
    run,
};

fn from(seen: &Seen) -> u32 {
    seen.header("last-event-id").map_or(0, |l| l.parse::<u32>().unwrap() + 1)
}

/// Goes on after the last event that it is told of.
async fn whole() -> Endpoint {
    Endpoint::start(|seen| vec![stream_head(seen.id()), chunk(&events(from(seen)..6)), end()]).await
}

/// Breaks off after three events, the fourth cut in two.
async fn breaking(how: Step) -> Endpoint {
    Endpoint::start(move |seen| {
        let half = "id: 3\ndata";
        let pause = Step::Pause(Duration::from_millis(30));
        vec![stream_head(seen.id()), chunk(&(events(0..3) + half)), pause, how.clone()]
    })
    .await
}

#[test]
fn a_stream_passes_whole_and_keeps_its_connection() {
    run(async {
        let endpoint = whole().await;
        let bed = Bed::start(&[&endpoint]).await;
        for id in ["a", "b"] {
            let more = format!("x-request-id: {id}\r\n");
            let got = bed.call("POST", "/stream/1", &more, "").await;
            assert_eq!((got.status, got.text(), got.whole), (200, events(0..6), true));
            assert_eq!(got.header("x-response-signature"), Some(format!("s-{id}").as_str()));
        }
        assert_eq!(endpoint.connections(), 1);
    });
}

#[test]
fn events_pass_as_they_come() {
    run(async {
        let endpoint =
            Endpoint::start(|seen| vec![stream_head(seen.id()), chunk(&events(0..1)), Step::Hang])
                .await;
        let bed = Bed::start(&[&endpoint]).await;
        let mut socket = bed.connect().await;
        socket.write_all(request("POST", "/stream/1", "", "").as_bytes()).await.unwrap();
        let mut got = Vec::new();
        while !String::from_utf8_lossy(&got).contains("data: t0\n\n") {
            assert_ne!(socket.read_buf(&mut got).await.unwrap(), 0);
        }
        drop(socket);
        endpoint.wait_left(1).await;
    });
}

/// Sends three events, and breaks off in the fourth when it is told to.
async fn breaking_when_told(how: Step, told: Arc<Notify>) -> Endpoint {
    Endpoint::start(move |seen| match seen.header("last-event-id") {
        None => vec![
            stream_head(seen.id()),
            chunk(&(events(0..3) + "id: 3\ndata")),
            Step::Until(told.clone()),
            how.clone(),
        ],
        Some(_) => vec![stream_head(seen.id()), chunk(&events(from(seen)..6)), end()],
    })
    .await
}

#[test]
fn a_broken_stream_goes_on_elsewhere() {
    run(async {
        for how in [Step::Close, Step::Reset] {
            let told = Arc::new(Notify::new());
            let first = breaking_when_told(how.clone(), told.clone()).await;
            let second = breaking_when_told(how.clone(), told.clone()).await;
            let bed = Bed::start(&[&first, &second]).await;
            let mut socket = bed.connect().await;
            socket.write_all(request("POST", "/resume/1", "", "").as_bytes()).await.unwrap();
            // The caller has the first three events before the stream breaks.
            let mut buf = Vec::new();
            while !String::from_utf8_lossy(&buf).contains("data: t2\n\n") {
                assert_ne!(socket.read_buf(&mut buf).await.unwrap(), 0);
            }
            told.notify_one();
            let got = read_answer(&mut socket, &mut buf).await;
            assert_eq!((got.status, got.text(), got.whole), (200, events(0..6), true), "{how:?}");
            // Head and signature stay those of the first endpoint.
            assert_eq!(got.header("x-response-signature"), Some("s-q1"));
            let all = [first.seen(), second.seen()].concat();
            let last: Vec<_> = all.iter().filter_map(|s| s.header("last-event-id")).collect();
            assert_eq!((all.len(), last), (2, vec!["2"]), "{how:?}");
        }
    });
}

#[test]
fn a_broken_stream_that_may_not_go_on_is_broken_off() {
    run(async {
        for how in [Step::Close, Step::Reset, end()] {
            let bad = breaking(how.clone()).await;
            let other = breaking(how.clone()).await;
            let bed = Bed::start(&[&bad, &other]).await;
            let got = bed.call("POST", "/stream/1", "", "").await;
            assert!(!got.whole, "{how:?}");
            // Whole events only.
            assert!(events(0..3).starts_with(&got.text()), "{how:?}: {}", got.text());
            assert_eq!(bad.seen().len() + other.seen().len(), 1);
        }
    });
}

#[test]
fn an_endpoint_that_repeats_or_skips_events_is_not_passed_on() {
    run(async {
        // The second run does not go on where it was asked to.
        for start in [1, 5] {
            let bad = Endpoint::start(move |seen| match seen.header("last-event-id") {
                None => vec![stream_head(seen.id()), chunk(&events(0..3)), Step::Reset],
                Some(_) => vec![stream_head(seen.id()), chunk(&events(start..6)), end()],
            })
            .await;
            let twin = Endpoint::start(move |seen| match seen.header("last-event-id") {
                None => vec![stream_head(seen.id()), chunk(&events(0..3)), Step::Reset],
                Some(_) => vec![stream_head(seen.id()), chunk(&events(start..6)), end()],
            })
            .await;
            let bed = Bed::start(&[&bad, &twin]).await;
            let got = bed.call("POST", "/resume/1", "", "").await;
            assert!(!got.whole, "from {start}");
            assert!(events(0..3).starts_with(&got.text()), "from {start}: {}", got.text());
        }
    });
}

#[test]
fn a_callers_own_resumption_passes() {
    run(async {
        let endpoint = whole().await;
        let bed = Bed::start(&[&endpoint]).await;
        let got = bed.call("POST", "/resume/1", "last-event-id: 3\r\n", "").await;
        assert_eq!((got.text(), got.whole), (events(4..6), true));
    });
}

fn rest(seen: &Seen) -> Vec<Step> {
    vec![stream_head(seen.id()), chunk(&events(from(seen)..6)), end()]
}

#[test]
fn the_run_before_has_ended_when_a_stream_goes_on() {
    run(async {
        let silent = |seen: &Seen| vec![stream_head(seen.id()), chunk(&events(0..2)), Step::Hang];
        let both = Endpoint::pair(silent, rest).await;
        let bed = Bed::start(&both.each_ref()).await;
        let mut long = route("/resume/", "streaming", 2);
        long["TimeoutMs"] = 20_000.into();
        bed.configure(2, &[long]).await;
        bed.wait_version(2).await;
        let got = bed.call("POST", "/resume/1", "x-deadline-ms: 20000\r\n", "").await;
        assert_eq!((got.text(), got.whole), (events(0..6), true));
        tokio::select! {
            () = both[0].wait_left(1) => {}
            () = both[1].wait_left(1) => {}
        }
    });
}

#[test]
fn a_stream_that_has_not_run_goes_to_another_endpoint() {
    run(async {
        let both = Endpoint::pair(|seen| not_run(seen.id()), rest).await;
        let bed = Bed::start(&both.each_ref()).await;
        let got = bed.call("POST", "/stream/1", "", "").await;
        assert_eq!((got.status, got.text(), got.whole), (200, events(0..6), true));
        assert!(both.iter().all(|e| e.seen().len() == 1));
    });
}

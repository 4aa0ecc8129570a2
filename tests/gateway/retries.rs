//! How often a request is sent, and for whom.

use std::{net::IpAddr, time::Duration};

use goldcrestpitch::fakes::{FakeLog, LogFaults};
use tokio::time;

use crate::{
    bed::Bed,
    endpoint::{Endpoint, Seen, Step, answer},
    run,
};

async fn failing() -> Endpoint {
    Endpoint::start(|seen| answer("500 No", seen.id(), "")).await
}

#[test]
fn a_request_runs_on_so_many_endpoints_at_most() {
    run(async {
        let all = [failing().await, failing().await, failing().await, failing().await];
        let bed = Bed::start(&all.each_ref()).await;
        let got = bed.call("GET", "/read/1", "", "").await;
        assert_eq!((got.status, got.header("x-response-signature")), (500, Some("s-q1")));
        // The route's own bound.
        assert_eq!(all.iter().map(|e| e.seen().len()).sum::<usize>(), 2);
        assert!(all.iter().all(|e| e.seen().len() <= 1));
    });
}

#[test]
fn sends_beyond_the_first_stay_within_the_budget() {
    run(async {
        let all = [failing().await, failing().await];
        let bed = Bed::start(&all.each_ref()).await;
        let requests = 40;
        for i in 0..requests {
            bed.call("GET", "/read/1", &format!("x-request-id: q{i}\r\n"), "").await;
        }
        let arrivals: usize = all.iter().map(|e| e.seen().len()).sum();
        // A fifth of the requests and the allowance of four, as the bed sets them.
        assert!(arrivals <= requests + requests / 5 + 4, "{arrivals}");
        assert!(requests < arrivals, "nothing was sent twice");
    });
}

#[test]
fn a_gateway_that_has_just_started_takes_its_part_of_the_allowance_only() {
    run(async {
        let all = [failing().await, failing().await];
        // Three others that it is told of and has not heard.
        let others = (2..5).map(|i| IpAddr::from([127, 0, 0, i])).collect();
        let log = FakeLog::new(LogFaults::default(), 7);
        let bed = Bed::beside(log, "127.0.0.1:0".parse().unwrap(), others).await;
        bed.serve(&all.each_ref()).await;
        let requests = 8;
        for i in 0..requests {
            bed.call("GET", "/read/1", &format!("x-request-id: q{i}\r\n"), "").await;
        }
        let arrivals: usize = all.iter().map(|e| e.seen().len()).sum();
        // A fifth of its requests and a quarter of the allowance of four.
        assert!(arrivals <= requests + requests / 5 + 1, "{arrivals}");
    });
}

#[test]
fn a_request_that_crashes_endpoints_is_run_no_more() {
    run(async {
        let mut all = Vec::new();
        for _ in 0..5 {
            all.push(
                Endpoint::start(|seen| match seen.body.as_slice() {
                    b"poison" => vec![Step::Crash],
                    _ => answer("200 OK", seen.id(), "fine"),
                })
                .await,
            );
        }
        let bed = Bed::start(&all.iter().collect::<Vec<_>>()).await;
        for i in 0..6 {
            bed.call("POST", "/read/1", &format!("x-request-id: q{i}\r\n"), "poison").await;
            // The look at the endpoint follows the failure.
            bed.wait(|bed| !bed.gateway.shared().is_checking_for_crash()).await;
        }
        let poisoned: usize =
            all.iter().map(|e| e.seen().iter().filter(|s| s.body == b"poison").count()).sum();
        assert!(poisoned <= 3, "{poisoned} endpoints ran it");
        let fine = bed.call("POST", "/read/1", "x-request-id: r\r\n", "other").await;
        assert_eq!(fine.status, 200);
    });
}

#[test]
fn an_endpoint_that_cannot_be_reached_costs_no_attempt() {
    run(async {
        let dead = failing().await;
        let address = dead.address;
        drop(dead);
        time::sleep(Duration::from_millis(20)).await;
        let good = Endpoint::start(|seen| answer("200 OK", seen.id(), "fine")).await;
        let bed = Bed::start(&[&good]).await;
        bed.register("i-9", address, "ready", 1).await;
        bed.wait_endpoints(2).await;
        for i in 0..6 {
            let got = bed.call("POST", "/book/1", &format!("x-request-id: q{i}\r\n"), "").await;
            assert_eq!(got.status, 200);
        }
    });
}

#[test]
fn a_silent_endpoint_is_left_for_another_in_time() {
    run(async {
        let fine = |seen: &Seen| answer("200 OK", seen.id(), "fine");
        let both = Endpoint::pair(|_| vec![Step::Hang], fine).await;
        let bed = Bed::start(&both.each_ref()).await;
        assert_eq!(bed.call("GET", "/read/1", "", "").await.status, 200);
        // The run that was left is ended, so that it does not go on beside the other.
        tokio::select! {
            () = both[0].wait_left(1) => {}
            () = both[1].wait_left(1) => {}
        }
    });
}

//! Endpoints that leave, and a gateway that stops.

use std::time::Duration;

use tokio::{io::AsyncWriteExt, net::TcpStream, time};

use crate::{
    bed::{Bed, read_answer, request},
    endpoint::{Endpoint, Step, answer, good},
    run,
};

async fn call_some(bed: &Bed) {
    for i in 0..6 {
        let got = bed.call("GET", "/read/1", &format!("x-request-id: q{i}\r\n"), "").await;
        assert_eq!(got.status, 200);
    }
}

#[test]
fn an_endpoint_that_drains_gets_no_new_request() {
    run(async {
        let (leaving, staying) = (good().await, good().await);
        let bed = Bed::start(&[&leaving, &staying]).await;
        bed.register("i-0", leaving.address, "draining", 1).await;
        bed.wait_endpoints(1).await;
        let before = leaving.seen().len();
        call_some(&bed).await;
        assert_eq!(leaving.seen().len(), before);
    });
}

#[test]
fn an_endpoint_that_is_gone_gets_no_new_request() {
    run(async {
        let (gone, staying) = (good().await, good().await);
        let bed = Bed::start(&[&gone, &staying]).await;
        bed.unregister("i-0").await;
        bed.wait_endpoints(1).await;
        let before = gone.seen().len();
        call_some(&bed).await;
        assert_eq!(gone.seen().len(), before);
    });
}

#[test]
fn an_old_record_does_not_bring_a_leaving_endpoint_back() {
    run(async {
        let (leaving, other) = (good().await, good().await);
        let bed = Bed::start(&[&leaving]).await;
        bed.register("i-0", leaving.address, "draining", 1).await;
        bed.wait_endpoints(0).await;
        bed.register("i-0", leaving.address, "ready", 1).await;
        // A later record of another endpoint shows that the old one was read.
        bed.register("i-1", other.address, "ready", 1).await;
        bed.wait(|bed| bed.gateway.shared().usable_endpoints() != 0).await;
        assert_eq!(bed.gateway.shared().usable_endpoints(), 1);
        // The same id, born again, is another endpoint.
        bed.register("i-0", leaving.address, "ready", 2).await;
        bed.wait_endpoints(2).await;
    });
}

#[test]
fn records_of_another_writer_name_no_endpoint() {
    run(async {
        let endpoint = good().await;
        let bed = Bed::start(&[&endpoint]).await;
        let bad = [
            "{\"Service\":7}",
            "not json",
            "{\"Service\":\"desk\",\"Address\":\"here\",\"Zone\":\"east\",\"Slots\":6,\
             \"State\":\"ready\",\"Seq\":0,\"born\":1}",
            "{\"Service\":\"desk\",\"Address\":\"127.0.0.1:1\",\"Zone\":\"east\",\"Slots\":6,\
             \"State\":\"resting\",\"Seq\":0,\"born\":1}",
            "\u{1}\u{2}",
        ];
        for (i, text) in bad.iter().enumerate() {
            let topic = goldcrestpitch::platform::REGISTRATIONS;
            bed.store.put(topic, &format!("bad-{i}"), text.as_bytes()).await.unwrap();
        }
        let other = good().await;
        bed.register("i-1", other.address, "ready", 1).await;
        bed.wait_endpoints(2).await;
        call_some(&bed).await;
    });
}

#[test]
fn a_registration_that_lapsed_in_an_outage_is_given_its_time() {
    run(async {
        let endpoint = good().await;
        let bed = Bed::start(&[&endpoint]).await;
        bed.log.set_faults(|f| f.outage = true);
        bed.wait(|bed| bed.gateway.shared().is_store_unavailable()).await;
        // Known endpoints keep serving without the store.
        call_some(&bed).await;
        bed.log.set_faults(|f| f.outage = false);
        bed.unregister("i-0").await;
        bed.wait(|bed| !bed.gateway.shared().is_store_unavailable()).await;
        call_some(&bed).await;
        // It did not come back: it is gone.
        bed.wait_endpoints(0).await;
    });
}

#[test]
fn a_gap_in_the_history_is_read_over() {
    run(async {
        let (old, new) = (good().await, good().await);
        let bed = Bed::start(&[&old]).await;
        bed.register("i-1", new.address, "ready", 1).await;
        bed.unregister("i-0").await;
        bed.log.compact(goldcrestpitch::platform::REGISTRATIONS);
        // What the store keeps of each key is newer than what was read before.
        bed.register("i-1", new.address, "ready", 1).await;
        bed.wait(|bed| {
            bed.gateway.shared().is_registered("i-1") && !bed.gateway.shared().is_registered("i-0")
        })
        .await;
    });
}

#[test]
fn a_planned_stop_finishes_what_runs() {
    run(async {
        let endpoint = Endpoint::start(|seen| {
            let pause = Step::Pause(Duration::from_millis(400));
            [vec![pause], answer("200 OK", seen.id(), "fine")].concat()
        })
        .await;
        let bed = Bed::start(&[&endpoint]).await;
        let mut running = bed.connect().await;
        running.write_all(request("POST", "/book/1", "", "").as_bytes()).await.unwrap();
        endpoint.wait_seen(1).await;
        let (ready, callers) = (bed.ready, bed.callers);
        let shared = bed.gateway.shared().clone();
        let stopped = tokio::spawn(bed.gateway.stop());
        while !shared.is_shutting_down() {
            time::sleep(Duration::from_millis(1)).await;
        }
        // Unready at once, while new connections are still served.
        let mut asked = TcpStream::connect(ready).await.unwrap();
        asked.write_all(b"GET /-/ready HTTP/1.1\r\nhost: r\r\n\r\n").await.unwrap();
        assert_eq!(read_answer(&mut asked, &mut Vec::new()).await.status, 503);
        let mut late = TcpStream::connect(callers).await.unwrap();
        let text = request("POST", "/book/1", "x-request-id: q2\r\n", "");
        late.write_all(text.as_bytes()).await.unwrap();
        for socket in [&mut running, &mut late] {
            let got = read_answer(socket, &mut Vec::new()).await;
            assert_eq!((got.status, got.whole), (200, true));
            assert_eq!(got.header("connection"), Some("close"));
        }
        stopped.await.unwrap();
    });
}

#[test]
fn a_planned_stop_answers_what_waits_and_what_is_not_done() {
    run(async {
        let silent = Endpoint::start(|_| vec![Step::Hang]).await;
        let bed = Bed::start(&[&silent]).await;
        let mut long = crate::bed::routes();
        for route in &mut long {
            route["TimeoutMs"] = 20_000.into();
            route["TargetLatencyMs"] = 20_000.into();
        }
        let mut nowhere = crate::bed::route("/nowhere/", "non_idempotent", 1);
        nowhere["Service"] = "other".into();
        nowhere["TimeoutMs"] = 20_000.into();
        nowhere["TargetLatencyMs"] = 20_000.into();
        long.push(nowhere);
        bed.configure(2, &long).await;
        bed.wait_version(2).await;
        let send = async |path: &str| {
            let mut socket = bed.connect().await;
            let text = request("POST", path, "x-deadline-ms: 20000\r\n", "");
            socket.write_all(text.as_bytes()).await.unwrap();
            socket
        };
        let mut running = send("/book/1").await;
        let mut waiting = send("/nowhere/1").await;
        silent.wait_seen(1).await;
        bed.wait(|bed| bed.gateway.shared().waiting_requests() == 1).await;
        let stopped = tokio::spawn(bed.gateway.stop());
        // One has not run, the other may have.
        let got = read_answer(&mut waiting, &mut Vec::new()).await;
        assert_eq!((got.status, got.whole), (503, true));
        let got = read_answer(&mut running, &mut Vec::new()).await;
        assert_eq!((got.status, got.whole), (504, true));
        stopped.await.unwrap();
    });
}

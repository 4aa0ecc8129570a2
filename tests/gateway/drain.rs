//! Endpoints that drain or unregister, and graceful shutdown of a gateway.

use std::time::Duration;

use goldcrestpitch::gateway::ShutdownPlan;
use tokio::{io::AsyncWriteExt, net::TcpStream, time};

use crate::{
    run,
    scripted_endpoint::{
        ScriptedEndpoint, Step, chunk, events, healthy_endpoint, http_response, stream_head,
    },
    test_gateway::{TestGateway, http_request, read_response},
};

async fn assert_requests_succeed(gateway: &TestGateway) {
    for i in 0..6 {
        let response = gateway.send("GET", "/read/1", &format!("x-request-id: q{i}\r\n"), "").await;
        assert_eq!(response.status, 200);
    }
}

#[test]
fn draining_endpoint_receives_no_new_requests() {
    run(async {
        let (leaving, staying) = (healthy_endpoint().await, healthy_endpoint().await);
        let gateway = TestGateway::start(&[&leaving, &staying]).await;
        gateway.register("i-0", leaving.address, "draining", 1).await;
        gateway.wait_for_endpoints(1).await;
        let before = leaving.requests().len();
        assert_requests_succeed(&gateway).await;
        assert_eq!(leaving.requests().len(), before);
    });
}

#[test]
fn unregistered_endpoint_receives_no_new_requests() {
    run(async {
        let (removed, staying) = (healthy_endpoint().await, healthy_endpoint().await);
        let gateway = TestGateway::start(&[&removed, &staying]).await;
        gateway.unregister("i-0").await;
        gateway.wait_for_endpoints(1).await;
        let before = removed.requests().len();
        assert_requests_succeed(&gateway).await;
        assert_eq!(removed.requests().len(), before);
    });
}

#[test]
fn stale_record_does_not_restore_a_draining_endpoint() {
    run(async {
        let (leaving, other) = (healthy_endpoint().await, healthy_endpoint().await);
        let gateway = TestGateway::start(&[&leaving]).await;
        gateway.register("i-0", leaving.address, "draining", 1).await;
        gateway.wait_for_endpoints(0).await;
        gateway.register("i-0", leaving.address, "ready", 1).await;
        // The stale record was read before this later record of another endpoint.
        gateway.register("i-1", other.address, "ready", 1).await;
        gateway.wait_until(|gateway| gateway.process.shared().usable_endpoints() != 0).await;
        assert_eq!(gateway.process.shared().usable_endpoints(), 1);
        // The same id with a higher `born` is a new registration.
        gateway.register("i-0", leaving.address, "ready", 2).await;
        gateway.wait_for_endpoints(2).await;
    });
}

#[test]
fn malformed_registrations_are_ignored() {
    run(async {
        let endpoint = healthy_endpoint().await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        let malformed = [
            "{\"Service\":7}",
            "not json",
            "{\"Service\":\"desk\",\"Address\":\"here\",\"Zone\":\"east\",\"Slots\":6,\
             \"State\":\"ready\",\"Seq\":0,\"born\":1}",
            "{\"Service\":\"desk\",\"Address\":\"127.0.0.1:1\",\"Zone\":\"east\",\"Slots\":6,\
             \"State\":\"resting\",\"Seq\":0,\"born\":1}",
            "\u{1}\u{2}",
        ];
        for (i, text) in malformed.iter().enumerate() {
            let topic = goldcrestpitch::platform::REGISTRATIONS;
            gateway.store.put(topic, &format!("bad-{i}"), text.as_bytes()).await.unwrap();
        }
        let other = healthy_endpoint().await;
        gateway.register("i-1", other.address, "ready", 1).await;
        gateway.wait_for_endpoints(2).await;
        assert_requests_succeed(&gateway).await;
    });
}

#[test]
fn registration_removed_after_an_outage_has_a_grace_period() {
    run(async {
        let endpoint = healthy_endpoint().await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        gateway.log.set_faults(|f| f.outage = true);
        gateway.wait_until(|gateway| gateway.process.shared().is_store_unavailable()).await;
        // Known endpoints still receive requests during the outage.
        assert_requests_succeed(&gateway).await;
        gateway.log.set_faults(|f| f.outage = false);
        gateway.unregister("i-0").await;
        gateway.wait_until(|gateway| !gateway.process.shared().is_store_unavailable()).await;
        assert_requests_succeed(&gateway).await;
        // It did not register again and is removed after the grace period.
        gateway.wait_for_endpoints(0).await;
    });
}

#[test]
fn compacted_registrations_are_recovered() {
    run(async {
        let (removed, added) = (healthy_endpoint().await, healthy_endpoint().await);
        let gateway = TestGateway::start(&[&removed]).await;
        gateway.register("i-1", added.address, "ready", 1).await;
        gateway.unregister("i-0").await;
        gateway.log.compact(goldcrestpitch::platform::REGISTRATIONS);
        // After compaction the store keeps only the latest record of each key, which is newer
        // than what the gateway has read.
        gateway.register("i-1", added.address, "ready", 1).await;
        gateway
            .wait_until(|gateway| {
                gateway.process.shared().is_registered("i-1")
                    && !gateway.process.shared().is_registered("i-0")
            })
            .await;
    });
}

#[test]
fn shutdown_completes_running_requests() {
    run(async {
        let endpoint = ScriptedEndpoint::start(|request| {
            let pause = Step::Pause(Duration::from_millis(400));
            [vec![pause], http_response("200 OK", request.id(), "fine")].concat()
        })
        .await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        let mut running = gateway.connect().await;
        running.write_all(http_request("POST", "/book/1", "", "").as_bytes()).await.unwrap();
        endpoint.wait_for_requests(1).await;
        let (ready_address, client_address) = (gateway.ready_address, gateway.client_address);
        let shared = gateway.process.shared().clone();
        let shutdown = tokio::spawn(gateway.process.stop());
        while !shared.is_shutting_down() {
            time::sleep(Duration::from_millis(1)).await;
        }
        // The gateway is unready at once but still serves new connections.
        let mut probe = TcpStream::connect(ready_address).await.unwrap();
        probe.write_all(b"GET /-/ready HTTP/1.1\r\nhost: r\r\n\r\n").await.unwrap();
        assert_eq!(read_response(&mut probe, &mut Vec::new()).await.status, 503);
        let mut second = TcpStream::connect(client_address).await.unwrap();
        let text = http_request("POST", "/book/1", "x-request-id: q2\r\n", "");
        second.write_all(text.as_bytes()).await.unwrap();
        for socket in [&mut running, &mut second] {
            let response = read_response(socket, &mut Vec::new()).await;
            assert_eq!((response.status, response.complete), (200, true));
            assert_eq!(response.header("connection"), Some("close"));
        }
        shutdown.await.unwrap();
    });
}

#[test]
fn shutdown_answers_queued_and_unfinished_requests() {
    run(async {
        let silent = ScriptedEndpoint::start(|_| vec![Step::Hang]).await;
        let gateway = TestGateway::start(&[&silent]).await;
        let mut routes = crate::test_gateway::routes();
        for route in &mut routes {
            route["TimeoutMs"] = 20_000.into();
            route["TargetLatencyMs"] = 20_000.into();
        }
        let mut without_endpoint = crate::test_gateway::route("/nowhere/", "non_idempotent", 1);
        without_endpoint["Service"] = "other".into();
        without_endpoint["TimeoutMs"] = 20_000.into();
        without_endpoint["TargetLatencyMs"] = 20_000.into();
        routes.push(without_endpoint);
        gateway.configure(2, &routes).await;
        gateway.wait_for_version(2).await;
        let open_request = async |path: &str| {
            let mut socket = gateway.connect().await;
            let text = http_request("POST", path, "x-deadline-ms: 20000\r\n", "");
            socket.write_all(text.as_bytes()).await.unwrap();
            socket
        };
        let mut running = open_request("/book/1").await;
        let mut queued = open_request("/nowhere/1").await;
        silent.wait_for_requests(1).await;
        gateway.wait_until(|gateway| gateway.process.shared().waiting_requests() == 1).await;
        let shutdown = tokio::spawn(gateway.process.stop());
        // The queued request has not run; the other may have.
        let response = read_response(&mut queued, &mut Vec::new()).await;
        assert_eq!((response.status, response.complete), (503, true));
        let response = read_response(&mut running, &mut Vec::new()).await;
        assert_eq!((response.status, response.complete), (504, true));
        shutdown.await.unwrap();
    });
}

/// Callers connect and send while a gateway stops under load: connections that the system had
/// accepted were reset, and new ones closed before their first request was read.
#[test]
fn shutdown_answers_requests_on_connections_opened_before_it_stops_to_listen() {
    run(async {
        let endpoint = healthy_endpoint().await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        let client_address = gateway.client_address;
        let stopping = tokio::spawn(gateway.process.stop());
        let mut callers = Vec::new();
        // Half of the grace period of 4 s passes before the gateway closes its listener.
        loop {
            let Ok(mut socket) = TcpStream::connect(client_address).await else { break };
            callers.push(tokio::spawn(async move {
                // The request comes a moment after the connection.
                time::sleep(Duration::from_millis(40)).await;
                let request = http_request("GET", "/read/1", "x-request-id: q1\r\n", "");
                if socket.write_all(request.as_bytes()).await.is_err() {
                    return 0;
                }
                read_response(&mut socket, &mut Vec::new()).await.status
            }));
            time::sleep(Duration::from_millis(5)).await;
        }
        let mut statuses = Vec::new();
        for caller in callers {
            statuses.push(caller.await.unwrap());
        }
        assert!(10 < statuses.len(), "{}", statuses.len());
        let unanswered = statuses.iter().filter(|status| **status != 200).count();
        assert_eq!(unanswered, 0, "of {}: {statuses:?}", statuses.len());
        stopping.await.unwrap();
    });
}

/// The first request of a connection came after new connections had gone elsewhere: its stream was
/// passed on and cut off at the end of the grace period.
#[test]
fn stream_that_the_end_of_a_shutdown_may_cut_off_is_refused() {
    run(async {
        let endpoint = ScriptedEndpoint::start(|request| match request.path.as_str() {
            "/stream/1" => vec![stream_head(request.id()), chunk(&events(0..1)), Step::Hang],
            _ => http_response("200 OK", request.id(), "fine"),
        })
        .await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        let mut streaming = gateway.connect().await;
        let mut reading = gateway.connect().await;
        let plan = ShutdownPlan {
            max_wait: Duration::from_secs(60),
            accepts_until: Duration::ZERO,
            ends_at: Duration::from_secs(1),
        };
        gateway.process.shared().begin_shutdown(plan);
        // The route allows 1.5 s.
        streaming.write_all(http_request("POST", "/stream/1", "", "").as_bytes()).await.unwrap();
        let refused = read_response(&mut streaming, &mut Vec::new()).await;
        assert_eq!((refused.status, refused.complete), (503, true));
        assert_eq!(refused.header("connection"), Some("close"));
        assert_eq!(refused.header("retry-after"), Some("0.00"));
        // It gets an error response at the end at the latest.
        let read = http_request("GET", "/read/1", "x-request-id: q1\r\n", "");
        reading.write_all(read.as_bytes()).await.unwrap();
        assert_eq!(read_response(&mut reading, &mut Vec::new()).await.status, 200);
        assert!(endpoint.requests().iter().all(|r| r.path == "/read/1"));
    });
}

/// A planned stop gives up no stream that ends before the process does.
#[test]
fn stream_from_before_a_shutdown_is_not_refused() {
    run(async {
        let endpoint = ScriptedEndpoint::start(|request| {
            vec![stream_head(request.id()), chunk(&events(0..1)), Step::Hang]
        })
        .await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        let plan = ShutdownPlan {
            max_wait: Duration::from_secs(60),
            accepts_until: Duration::from_secs(60),
            ends_at: Duration::from_secs(1),
        };
        gateway.process.shared().begin_shutdown(plan);
        let mut socket = gateway.connect().await;
        socket.write_all(http_request("POST", "/stream/1", "", "").as_bytes()).await.unwrap();
        endpoint.wait_for_requests(1).await;
    });
}

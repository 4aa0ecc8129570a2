//! Endpoints that are silent for a while and then go on: their responses are not given up
//! for that reason.

use std::{pin::pin, time::Duration};

use tokio::time;

use crate::{
    run,
    scripted_endpoint::{
        ReceivedRequest, ScriptedEndpoint, Step, chunk, events, http_response, last_chunk,
        not_executed, stream_head,
    },
    test_gateway::{Response, TestGateway, route},
};

/// Longer than any timeout after which a request is sent to a second endpoint.
const SILENCE: Step = Step::Pause(Duration::from_millis(2500));
const DEADLINE: &str = "x-deadline-ms: 6000\r\n";

fn silent_stream(request: &ReceivedRequest) -> Vec<Step> {
    let head = vec![stream_head(request.id()), chunk(&events(0..2))];
    [head, vec![SILENCE, chunk(&events(2..4)), last_chunk()]].concat()
}

fn silent_response(request: &ReceivedRequest) -> Vec<Step> {
    [vec![SILENCE], http_response("200 OK", request.id(), "fine")].concat()
}

/// Sets routes on which a second attempt is made during the silence.
async fn set_long_timeouts(gateway: &TestGateway, version: u64) {
    let mut routes = [route("/read/", "idempotent", 2), route("/resume/", "streaming", 2)];
    for route in &mut routes {
        route["TimeoutMs"] = 20_000.into();
    }
    gateway.configure(version, &routes).await;
    gateway.wait_for_version(version).await;
}

async fn start(endpoints: &[&ScriptedEndpoint]) -> TestGateway {
    let gateway = TestGateway::start(endpoints).await;
    set_long_timeouts(&gateway, 2).await;
    gateway
}

#[track_caller]
fn assert_whole_stream(response: &Response) {
    let whole = (200, events(0..4), true);
    assert_eq!((response.status, response.text(), response.complete), whole);
}

#[test]
fn stream_of_a_silent_endpoint_is_not_cut() {
    run(async {
        let endpoint = ScriptedEndpoint::start(silent_stream).await;
        let gateway = start(&[&endpoint]).await;
        assert_whole_stream(&gateway.send("POST", "/resume/1", DEADLINE, "").await);
        assert_eq!(endpoint.requests().len(), 1);
    });
}

#[test]
fn stream_of_a_silent_endpoint_is_not_cut_when_others_refuse_it() {
    run(async {
        let endpoints =
            ScriptedEndpoint::pair(silent_stream, |request| not_executed(request.id())).await;
        let gateway = start(&endpoints.each_ref()).await;
        assert_whole_stream(&gateway.send("POST", "/resume/1", DEADLINE, "").await);
    });
}

#[test]
fn stream_of_a_silent_endpoint_is_not_cut_when_another_breaks_off() {
    run(async {
        let endpoints = ScriptedEndpoint::pair(silent_stream, |_| vec![Step::Reset]).await;
        let gateway = start(&endpoints.each_ref()).await;
        assert_whole_stream(&gateway.send("POST", "/resume/1", DEADLINE, "").await);
    });
}

/// The new configuration has another service on the route and not the one that runs it.
#[test]
fn stream_of_a_silent_endpoint_is_not_cut_beside_a_new_configuration() {
    run(async {
        let endpoints = [
            ScriptedEndpoint::start(silent_stream).await,
            ScriptedEndpoint::start(silent_stream).await,
        ];
        let gateway = start(&endpoints.each_ref()).await;
        let change = async {
            ScriptedEndpoint::wait_for_total(&endpoints, 1).await;
            let mut moved = route("/resume/", "streaming", 2);
            moved["Service"] = "other".into();
            gateway.configure_services(3, &[moved], &["other"]).await;
            gateway.wait_for_version(3).await;
        };
        let (response, ()) = tokio::join!(gateway.send("POST", "/resume/1", DEADLINE, ""), change);
        assert_whole_stream(&response);
    });
}

/// Both endpoints are silent, and the first one goes on before the second.
#[test]
fn stream_goes_on_at_the_endpoint_that_responds_first() {
    run(async {
        let endpoints = ScriptedEndpoint::pair(silent_stream, |_| vec![Step::Hang]).await;
        let gateway = start(&endpoints.each_ref()).await;
        assert_whole_stream(&gateway.send("POST", "/resume/1", DEADLINE, "").await);
        // The second attempt was made and has ended.
        tokio::select! {
            () = endpoints[0].wait_for_disconnects(1) => {}
            () = endpoints[1].wait_for_disconnects(1) => {}
        }
    });
}

#[test]
fn response_of_a_silent_endpoint_is_awaited() {
    run(async {
        let endpoint = ScriptedEndpoint::start(silent_response).await;
        let gateway = start(&[&endpoint]).await;
        let response = gateway.send("GET", "/read/1", DEADLINE, "").await;
        assert_eq!((response.status, response.text().as_str()), (200, "fine"));
        assert_eq!(endpoint.requests().len(), 1);
    });
}

#[test]
fn response_of_a_silent_endpoint_is_awaited_when_others_refuse_it() {
    run(async {
        let endpoints =
            ScriptedEndpoint::pair(silent_response, |request| not_executed(request.id())).await;
        let gateway = start(&endpoints.each_ref()).await;
        let response = gateway.send("GET", "/read/1", DEADLINE, "").await;
        assert_eq!((response.status, response.text().as_str()), (200, "fine"));
    });
}

#[test]
fn response_comes_from_the_endpoint_that_responds_first() {
    run(async {
        let endpoints = ScriptedEndpoint::pair(silent_response, |_| vec![Step::Hang]).await;
        let gateway = start(&endpoints.each_ref()).await;
        let response = gateway.send("GET", "/read/1", DEADLINE, "").await;
        assert_eq!((response.status, response.text().as_str()), (200, "fine"));
        tokio::select! {
            () = endpoints[0].wait_for_disconnects(1) => {}
            () = endpoints[1].wait_for_disconnects(1) => {}
        }
    });
}

/// An endpoint is paused. Callers left while requests waited there, and it read those when it went on.
#[test]
fn stream_of_an_endpoint_that_stays_silent_is_answered_before_its_caller_leaves() {
    run(async {
        let endpoint = ScriptedEndpoint::start(|request| {
            let pause = Step::Pause(Duration::from_secs(5));
            let stream = [stream_head(request.id()), chunk(&events(0..4)), last_chunk()];
            [vec![pause], stream.into()].concat()
        })
        .await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        let mut once = route("/stream/", "streaming", 1);
        once["TimeoutMs"] = 20_000.into();
        gateway.configure(2, &[once]).await;
        gateway.wait_for_version(2).await;
        let response = gateway.send("POST", "/stream/1", "x-deadline-ms: 15000\r\n", "").await;
        assert_eq!((response.status, response.complete), (504, true));
        assert_eq!(endpoint.requests().len(), 1);
    });
}

/// An endpoint that answers others is slow, but not silent.
#[test]
fn stream_of_a_slow_endpoint_that_answers_others_is_not_given_up() {
    run(async {
        let endpoint = ScriptedEndpoint::start(|request| {
            let pause = if request.path == "/stream/slow" { 3_000 } else { 0 };
            let pause = Step::Pause(Duration::from_millis(pause));
            let stream = [stream_head(request.id()), chunk(&events(0..4)), last_chunk()];
            [vec![pause], stream.into()].concat()
        })
        .await;
        let gateway = TestGateway::start(&[&endpoint]).await;
        let mut once = route("/stream/", "streaming", 1);
        once["TimeoutMs"] = 20_000.into();
        gateway.configure(2, &[once]).await;
        gateway.wait_for_version(2).await;
        let mut slow = pin!(gateway.send("POST", "/stream/slow", "x-deadline-ms: 15000\r\n", ""));
        let response = loop {
            let pause = time::sleep(Duration::from_millis(100));
            tokio::select! {
                response = &mut slow => break response,
                () = pause => {}
            }
            let headers = "x-request-id: q2\r\nx-deadline-ms: 15000\r\n";
            tokio::select! {
                response = &mut slow => break response,
                other = gateway.send("POST", "/stream/fast", headers, "") => {
                    assert_eq!(other.status, 200);
                }
            }
        };
        assert_whole_stream(&response);
    });
}

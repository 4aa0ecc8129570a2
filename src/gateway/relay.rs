//! Relays event streams: complete events are forwarded as they arrive, and an interrupted
//! stream is resumed at another endpoint where the route allows it.

use std::{
    pin::pin,
    time::{Duration, Instant},
};

use bytes::Buf;
use hyper::{Response, StatusCode};
use log::{info, warn};
use metrics::counter;
use tokio::time;

use crate::{
    core::{forwarding::EventSplitter, ids::EndpointId, quarantine::RunEnd},
    gateway::{
        attempt::{EndpointResponse, Race, SECOND_ATTEMPT_PAUSE},
        request::ProxiedRequest,
        response_body::{FrameResult, ResponseBody},
        run::RunGuard,
        shared::RequestGuard,
    },
    http::{BodySender, Reply, ReplyAborted, ReplyBody},
    platform,
    telemetry::names,
};

/// How long a started stream may be silent before a second attempt to resume it. Callers
/// disconnect after two seconds at the earliest.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1500);

/// How the stream of one attempt ended.
enum StreamEnd {
    Complete,
    CallerGone,
    Interrupted(String),
    /// It was silent, and another endpoint has resumed it.
    Resumed(Box<EndpointResponse>),
    DeadlineExceeded,
}

/// What happens next in the stream of one attempt.
enum Next {
    Frame(FrameResult),
    CallerGone,
    Resumed(Box<EndpointResponse>),
    /// Nothing, within the time to wait or beside a second attempt that no endpoint took.
    Silent,
}

/// Returns the response head and relays the stream in a background task.
pub(super) async fn start(request: ProxiedRequest, received: EndpointResponse) -> Reply {
    let mut head = Response::new(());
    *head.status_mut() = received.parts.status;
    *head.headers_mut() = platform::response_headers(&received.parts.headers);
    let (tx, body) = ReplyBody::stream();
    tokio::spawn(relay_until_exit(request, received, tx));
    head.map(|()| body)
}

/// Relays the stream until it has ended or the process is about to end.
async fn relay_until_exit(request: ProxiedRequest, received: EndpointResponse, tx: BodySender) {
    let (shared, id) = (request.shared.clone(), request.id().into_owned());
    let received_at = request.limit.received_at();
    tokio::select! {
        biased;
        () = relay(request, received, tx.clone()) => {}
        () = shared.process_ends() => {
            log_cut_off(&id, received_at, shared.stopped_at().unwrap_or(received_at));
            // The caller may have disconnected.
            let _ = tx.send(Err(ReplyAborted)).await;
        }
    }
}

/// Relays the stream, resuming it at other endpoints, until it is complete or fails.
async fn relay(mut request: ProxiedRequest, mut received: EndpointResponse, tx: BodySender) {
    let mut events = EventSplitter::resuming_after(request.last_event().as_deref());
    loop {
        let endpoint = received.endpoint.clone();
        events.start_next_run();
        received = match relay_attempt(&mut request, received, &tx, &mut events).await {
            StreamEnd::Complete => {
                request.log_end(StatusCode::OK, "streamed", Some(&endpoint));
                return;
            }
            StreamEnd::CallerGone => {
                request.log_end(StatusCode::OK, "caller_gone", Some(&endpoint));
                return;
            }
            StreamEnd::DeadlineExceeded => return abort(&request, &tx, "time_up", &endpoint).await,
            StreamEnd::Resumed(next) => *next,
            StreamEnd::Interrupted(text) => {
                log_broken(&request, &endpoint, &events, &text);
                request.record_tried(&endpoint);
                let next = tokio::select! {
                    next = resume(&mut request, &events) => next,
                    () = tx.closed() => None,
                };
                if tx.is_closed() {
                    request.log_end(StatusCode::OK, "caller_gone", Some(&endpoint));
                    return;
                }
                let Some(next) = next else {
                    return abort(&request, &tx, "broken", &endpoint).await;
                };
                next
            }
        };
        if !received.parts.status.is_success() {
            return abort(&request, &tx, "broken", &endpoint).await;
        }
        info!(
            "event=stream_resumed id={} endpoint={} software={} before={} after={:?}",
            request.id(),
            received.endpoint,
            request.software(&received.endpoint),
            request.software(&endpoint),
            events.last_id()
        );
    }
}

/// Resumes an interrupted stream at another endpoint.
async fn resume(request: &mut ProxiedRequest, events: &EventSplitter) -> Option<EndpointResponse> {
    let may_go_on = request.can_run_again() && request.may_go_on_elsewhere();
    if !may_go_on || request.limit.deadline() <= Instant::now() {
        return None;
    }
    let next = request.next_response(events.last_id()).await;
    next.inspect_err(|refusal| request.log_no_attempt(refusal)).ok()
}

fn log_broken(request: &ProxiedRequest, endpoint: &str, events: &EventSplitter, error: &str) {
    let (id, last) = (request.id(), events.last_id());
    warn!("event=stream_broken id={id} endpoint={endpoint} last={last:?} error=\"{error}\"");
}

/// Logs that the end of the process cuts off a stream. `received_ms` counts from the beginning of
/// the shutdown and is negative for requests from before it.
fn log_cut_off(id: &str, received_at: Instant, stopped_at: Instant) {
    let since_stop = stopped_at.elapsed().as_millis() as i64;
    let received_ms = since_stop - received_at.elapsed().as_millis() as i64;
    warn!("event=cut_off id={id} received_ms={received_ms} since_stop_ms={since_stop}");
    counter!(names::CUT_OFF).increment(1);
}

/// Logs a failed stream and aborts the response to the caller.
async fn abort(request: &ProxiedRequest, tx: &BodySender, how: &str, endpoint: &EndpointId) {
    request.log_end(StatusCode::BAD_GATEWAY, how, Some(endpoint));
    // The caller may have disconnected.
    let _ = tx.send(Err(ReplyAborted)).await;
}

/// Relays the events of one attempt and records how its run ended.
async fn relay_attempt(
    request: &mut ProxiedRequest,
    received: EndpointResponse,
    tx: &BodySender,
    events: &mut EventSplitter,
) -> StreamEnd {
    let EndpointResponse { body, head, connection, guard, run, endpoint, .. } = received;
    let mut stream = Stream {
        body,
        endpoint,
        guard,
        run,
        last_event_at: Instant::now(),
        wait: EVENT_TIMEOUT,
        pause: SECOND_ATTEMPT_PAUSE,
    };
    let end = stream.relay(request, tx, events).await;
    stream.run.record_end(match end {
        StreamEnd::Complete if head.ends_with_connection => RunEnd::Unconfirmed,
        StreamEnd::Complete => RunEnd::Completed,
        StreamEnd::CallerGone => RunEnd::Abandoned,
        StreamEnd::Interrupted(_) | StreamEnd::Resumed(_) | StreamEnd::DeadlineExceeded => {
            RunEnd::Interrupted
        }
    });
    drop(stream);
    if matches!(end, StreamEnd::Complete) && head.allows_reuse() {
        request.shared.pool.release(connection, head.keep_alive);
    }
    end
}

/// The stream of one attempt.
struct Stream {
    body: ResponseBody,
    endpoint: EndpointId,
    guard: RequestGuard,
    run: RunGuard,
    last_event_at: Instant,
    // How long it may be silent before the next second attempt.
    wait: Duration,
    // The same after that one, if no endpoint takes it.
    pause: Duration,
}

impl Stream {
    async fn relay(
        &mut self,
        request: &mut ProxiedRequest,
        tx: &BodySender,
        events: &mut EventSplitter,
    ) -> StreamEnd {
        let mut has_data = false;
        loop {
            let data = match self.next(request, tx, events, has_data).await {
                Next::Silent if request.limit.answer_by() <= Instant::now() => {
                    return StreamEnd::DeadlineExceeded;
                }
                Next::Silent => continue,
                Next::CallerGone => return StreamEnd::CallerGone,
                Next::Resumed(next) => return StreamEnd::Resumed(next),
                Next::Frame(None) if events.is_at_event_boundary() => return StreamEnd::Complete,
                Next::Frame(None) => {
                    return StreamEnd::Interrupted("stream ended inside an event".to_owned());
                }
                Next::Frame(Some(Err(err))) => return StreamEnd::Interrupted(err.to_string()),
                Next::Frame(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            (self.wait, self.pause) = (EVENT_TIMEOUT, SECOND_ATTEMPT_PAUSE);
            if !has_data && data.has_remaining() {
                has_data = true;
                self.guard.record_first_response();
            }
            if data.has_remaining() {
                self.run.record_response();
            }
            // Until events of this run are admitted, it may turn out that they must not be sent.
            let unsent = (!request.is_admitted(self.run.target())).then(|| events.clone());
            match events.push(&data) {
                Ok(None) => {}
                Ok(Some(complete)) => {
                    if !request.admit_events(self.run.target()).await {
                        if let Some(unsent) = unsent {
                            *events = unsent;
                        }
                        let text = "the endpoint may be of another software version";
                        return StreamEnd::Interrupted(text.to_owned());
                    }
                    let now = Instant::now();
                    request.record_event(now - std::mem::replace(&mut self.last_event_at, now));
                    if tx.send(Ok(complete)).await.is_err() {
                        return StreamEnd::CallerGone;
                    }
                }
                Err(err) => return StreamEnd::Interrupted(format!("{err:?}")),
            }
        }
    }

    /// Waits for more of the stream, beside a second attempt once it has been silent.
    async fn next(
        &mut self,
        request: &mut ProxiedRequest,
        tx: &BodySender,
        events: &EventSplitter,
        has_data: bool,
    ) -> Next {
        let mut frame = pin!(self.body.frame());
        let may_resume = has_data && request.can_run_again() && request.may_go_on_elsewhere();
        let left = request.limit.until_answer(Instant::now());
        let wait = if may_resume { self.wait.min(left) } else { left };
        tokio::select! {
            frame = time::timeout(wait, &mut frame) => match frame {
                Ok(frame) => return Next::Frame(frame),
                Err(_) if wait == left => return Next::Silent,
                Err(_) => {}
            },
            () = tx.closed() => return Next::CallerGone,
        }
        request.record_silence(&self.endpoint);
        let run = &mut self.run;
        let is_usable = |frame: &FrameResult| {
            let usable = frame.as_ref().map_or(events.is_at_event_boundary(), Result::is_ok);
            if !usable {
                run.record_end(RunEnd::Interrupted);
            }
            usable
        };
        tokio::select! {
            race = request.race_second(frame, is_usable, events.last_id()) => match race {
                Race::First(frame) => Next::Frame(frame),
                Race::Second(next, failed) => {
                    if let Some(Some(Err(err))) = failed {
                        log_broken(request, &self.endpoint, events, &err.to_string());
                    }
                    Next::Resumed(next)
                }
                Race::Undecided => {
                    request.tried = vec![self.endpoint.clone()];
                    self.wait = self.pause;
                    self.pause *= 2;
                    Next::Silent
                }
            },
            () = tx.closed() => Next::CallerGone,
        }
    }
}

//! Relays event streams: complete events are forwarded as they arrive, and an interrupted
//! stream is resumed at another endpoint where the route allows it.

use std::time::{Duration, Instant};

use bytes::Buf;
use http_body_util::BodyExt;
use hyper::{Response, StatusCode, body::Incoming};
use log::{info, warn};
use tokio::time;

use crate::{
    core::{forwarding::EventSplitter, ids::EndpointId, quarantine::RunEnd},
    gateway::{
        attempt::{DEADLINE_SLACK, EndpointResponse},
        request::ProxiedRequest,
        run::RunGuard,
        shared::RequestGuard,
    },
    http::{BodySender, Reply, ReplyAborted, ReplyBody},
    platform,
};

/// How long a started stream may be silent before it is resumed at another endpoint.
/// Callers disconnect after two seconds at the earliest.
const EVENT_IDLE_TIMEOUT: Duration = Duration::from_millis(1500);

/// How the stream of one attempt ended.
enum StreamEnd {
    Complete,
    CallerGone,
    Interrupted(String),
    DeadlineExceeded,
}

/// Returns the response head and relays the stream in a background task.
pub(super) async fn start(mut request: ProxiedRequest, received: EndpointResponse) -> Reply {
    let mut head = Response::new(());
    *head.status_mut() = received.response.status();
    *head.headers_mut() = platform::response_headers(received.response.headers());
    request.record_run();
    let (tx, body) = ReplyBody::stream();
    tokio::spawn(relay(request, received, tx));
    head.map(|()| body)
}

/// Relays the stream, resuming it at other endpoints, until it is complete or fails.
async fn relay(mut request: ProxiedRequest, mut received: EndpointResponse, tx: BodySender) {
    let mut events = EventSplitter::resuming_after(request.last_event().as_deref());
    loop {
        let endpoint = received.endpoint.clone();
        events.start_next_run();
        match relay_attempt(&mut request, received, &tx, &mut events).await {
            StreamEnd::Complete => {
                request.log_end(StatusCode::OK, "streamed", Some(&endpoint));
                return;
            }
            StreamEnd::CallerGone => {
                request.log_end(StatusCode::OK, "caller_gone", Some(&endpoint));
                return;
            }
            StreamEnd::DeadlineExceeded => return abort(&request, &tx, "time_up", &endpoint).await,
            StreamEnd::Interrupted(text) => {
                warn!(
                    "event=stream_broken id={} endpoint={endpoint} last={:?} error=\"{text}\"",
                    request.id(),
                    events.last_id()
                );
            }
        }
        request.tried.push(endpoint.clone());
        if !request.can_run_again() || request.deadline <= Instant::now() {
            return abort(&request, &tx, "broken", &endpoint).await;
        }
        let next = tokio::select! {
            next = request.next_response(events.last_id()) => next,
            () = tx.closed() => return,
        };
        match next {
            Ok(next) if next.response.status().is_success() => {
                info!(
                    "event=stream_resumed id={} endpoint={} after={:?}",
                    request.id(),
                    next.endpoint,
                    events.last_id()
                );
                request.record_run();
                received = next;
            }
            _ => return abort(&request, &tx, "broken", &endpoint).await,
        }
    }
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
    let EndpointResponse { response, head, connection, guard, mut run, .. } = received;
    let end = relay_events(request, response, &guard, &mut run, tx, events).await;
    run.end(match end {
        StreamEnd::Complete if head.ends_with_connection => RunEnd::Unconfirmed,
        StreamEnd::Complete => RunEnd::Completed,
        StreamEnd::CallerGone => RunEnd::Abandoned,
        StreamEnd::Interrupted(_) | StreamEnd::DeadlineExceeded => RunEnd::Interrupted,
    });
    drop(guard);
    if matches!(end, StreamEnd::Complete) && head.allows_reuse() {
        request.shared.pool.release(connection, head.keep_alive);
    }
    end
}

async fn relay_events(
    request: &mut ProxiedRequest,
    response: Response<Incoming>,
    guard: &RequestGuard,
    run: &mut RunGuard,
    tx: &BodySender,
    events: &mut EventSplitter,
) -> StreamEnd {
    let mut body = response.into_body();
    let mut has_data = false;
    let mut last_event_at = Instant::now();
    loop {
        let now = Instant::now();
        let give_up_at = request.deadline + DEADLINE_SLACK;
        let wait =
            if has_data && request.can_run_again() { EVENT_IDLE_TIMEOUT } else { give_up_at - now };
        let wait = wait.min(give_up_at.saturating_duration_since(now));
        let frame = tokio::select! {
            frame = time::timeout(wait, body.frame()) => frame,
            () = tx.closed() => return StreamEnd::CallerGone,
        };
        let data = match frame {
            Err(_) if give_up_at <= Instant::now() => return StreamEnd::DeadlineExceeded,
            Err(_) => return StreamEnd::Interrupted("no data within the idle timeout".to_owned()),
            Ok(None) if events.is_at_event_boundary() => break,
            Ok(None) => return StreamEnd::Interrupted("stream ended inside an event".to_owned()),
            Ok(Some(Err(err))) => return StreamEnd::Interrupted(err.to_string()),
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
        };
        if !has_data && data.has_remaining() {
            has_data = true;
            guard.record_first_response();
        }
        if data.has_remaining() {
            run.record_response();
        }
        match events.push(&data) {
            Ok(None) => {}
            Ok(Some(complete)) => {
                let now = Instant::now();
                request.record_event(now - std::mem::replace(&mut last_event_at, now));
                if tx.send(Ok(complete)).await.is_err() {
                    return StreamEnd::CallerGone;
                }
            }
            Err(err) => return StreamEnd::Interrupted(format!("{err:?}")),
        }
    }
    StreamEnd::Complete
}

//! Streams: whole events are passed on as they come, and a stream that breaks
//! off goes on at another endpoint where that is allowed.

use std::time::{Duration, Instant};

use bytes::Buf;
use http_body_util::BodyExt;
use hyper::{Response, StatusCode};
use log::{info, warn};
use tokio::time;

use crate::{
    core::{forwarding::EventSplitter, ids::EndpointId},
    gateway::{
        attempt::{Answer, DEADLINE_SLACK},
        job::Job,
    },
    http::{Broken, Reply, ReplyBody, Sender},
    platform,
};

/// An endpoint that is silent for so long in the middle of a stream is given up.
/// Source: callers leave after two seconds at the earliest.
const SILENCE_LIMIT: Duration = Duration::from_millis(1500);

enum End {
    Whole,
    CallerGone,
    Broken(String),
    TimeUp,
}

/// Waits for the first event and then passes the stream on.
pub(super) async fn start(mut job: Job, answer: Answer) -> Reply {
    let mut head = Response::new(());
    *head.status_mut() = answer.response.status();
    *head.headers_mut() = platform::response_headers(answer.response.headers());
    job.count_run();
    let (tx, body) = ReplyBody::parts();
    tokio::spawn(pass(job, answer, tx));
    head.map(|()| body)
}

async fn pass(mut job: Job, mut answer: Answer, tx: Sender) {
    let mut events = EventSplitter::resuming_after(job.last_event().as_deref());
    loop {
        let endpoint = answer.endpoint.clone();
        events.start_next_run();
        match pass_one(&mut job, answer, &tx, &mut events).await {
            End::Whole => {
                job.completed();
                job.log_end(StatusCode::OK, "streamed", Some(&endpoint));
                return;
            }
            End::CallerGone => {
                job.log_end(StatusCode::OK, "caller_gone", Some(&endpoint));
                return;
            }
            End::TimeUp => return give_up(&job, &tx, "time_up", &endpoint).await,
            End::Broken(text) => {
                warn!(
                    "event=stream_broken id={} endpoint={endpoint} last={:?} error=\"{text}\"",
                    job.id(),
                    events.last_id()
                );
            }
        }
        job.tried.push(endpoint.clone());
        if !job.may_repeat() || job.deadline <= Instant::now() {
            return give_up(&job, &tx, "broken", &endpoint).await;
        }
        let next = tokio::select! {
            next = job.attempt(events.last_id()) => next,
            () = tx.closed() => return,
        };
        match next {
            Ok(next) if next.response.status().is_success() => {
                info!(
                    "event=stream_resumed id={} endpoint={} after={:?}",
                    job.id(),
                    next.endpoint,
                    events.last_id()
                );
                job.count_run();
                answer = next;
            }
            _ => return give_up(&job, &tx, "broken", &endpoint).await,
        }
    }
}

async fn give_up(job: &Job, tx: &Sender, how: &str, endpoint: &EndpointId) {
    job.log_end(StatusCode::BAD_GATEWAY, how, Some(endpoint));
    // The caller may be gone.
    let _ = tx.send(Err(Broken)).await;
}

async fn pass_one(job: &mut Job, answer: Answer, tx: &Sender, events: &mut EventSplitter) -> End {
    let Answer { response, state, connection, running, .. } = answer;
    let mut body = response.into_body();
    let mut begun = false;
    let mut before = Instant::now();
    loop {
        let now = Instant::now();
        let until = job.deadline + DEADLINE_SLACK;
        let wait = if begun && job.may_repeat() { SILENCE_LIMIT } else { until - now };
        let wait = wait.min(until.saturating_duration_since(now));
        let frame = tokio::select! {
            frame = time::timeout(wait, body.frame()) => frame,
            () = tx.closed() => return End::CallerGone,
        };
        let data = match frame {
            Err(_) if until <= Instant::now() => return End::TimeUp,
            Err(_) => return End::Broken("no event for too long".to_owned()),
            Ok(None) if events.is_at_event_boundary() => break,
            Ok(None) => return End::Broken("the end is within an event".to_owned()),
            Ok(Some(Err(err))) => return End::Broken(err.to_string()),
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
        };
        if !begun && data.has_remaining() {
            begun = true;
            running.answer_started();
        }
        match events.push(&data) {
            Ok(None) => {}
            Ok(Some(whole)) => {
                let now = Instant::now();
                job.event_came(now - std::mem::replace(&mut before, now));
                if tx.send(Ok(whole)).await.is_err() {
                    return End::CallerGone;
                }
            }
            Err(disorder) => return End::Broken(format!("{disorder:?}")),
        }
    }
    drop(running);
    if !state.closes_connection {
        job.shared.pool.put(connection, state.keep_alive);
    }
    End::Whole
}

//! Streams: whole events are passed on as they come, and a stream that breaks
//! off goes on at another endpoint where that is allowed.

use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{Response, StatusCode};
use log::{info, warn};
use tokio::time;

use crate::{
    core::ids::EndpointId,
    gateway::forward::{Answer, Job},
    http::{Broken, Reply, ReplyBody, Sender},
    platform,
};

/// An endpoint that is silent for so long in the middle of a stream is given up.
/// Source: callers leave after two seconds at the earliest.
const SILENCE_LIMIT: Duration = Duration::from_millis(1500);
/// What the endpoint's last event may be late by.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Whole events of a stream and the id of the last one.
#[derive(Debug, Default)]
pub(super) struct Events {
    buf: BytesMut,
    last: Option<String>,
}

impl Events {
    /// Adds bytes and returns the events that are whole now.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.buf.extend_from_slice(bytes);
        let end = last_event_end(&self.buf)?;
        let whole = self.buf.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last = Some(id);
        }
        Some(whole)
    }

    fn is_between_events(&self) -> bool {
        self.buf.is_empty()
    }
}

fn last_event_end(buf: &[u8]) -> Option<usize> {
    let lf = buf.windows(2).rposition(|w| w == b"\n\n").map(|at| at + 2);
    let crlf = buf.windows(4).rposition(|w| w == b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

fn last_id(events: &[u8]) -> Option<String> {
    let mut ids = events.split(|b| *b == b'\n').filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.next_back()?;
    Some(String::from_utf8_lossy(id).trim().to_owned())
}

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
    *head.headers_mut() = platform::answer_headers(answer.response.headers());
    job.first_event();
    let (tx, body) = ReplyBody::parts();
    tokio::spawn(pass(job, answer, tx));
    head.map(|()| body)
}

async fn pass(mut job: Job, mut answer: Answer, tx: Sender) {
    let mut last = None;
    loop {
        let endpoint = answer.endpoint.clone();
        let mut events = Events { buf: BytesMut::new(), last: last.clone() };
        let end = pass_one(&job, answer, &tx, &mut events).await;
        last = events.last;
        match end {
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
                warn!("event=stream_broken endpoint={endpoint} error=\"{text}\"");
            }
        }
        job.broke_off(&endpoint);
        if !job.may_repeat() || job.deadline <= Instant::now() {
            return give_up(&job, &tx, "broken", &endpoint).await;
        }
        let next = tokio::select! {
            next = job.attempt(last.as_deref()) => next,
            () = tx.closed() => return,
        };
        match next {
            Ok(next) if next.response.status().is_success() => {
                info!("event=stream_resumed endpoint={} after={last:?}", next.endpoint);
                job.first_event();
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

async fn pass_one(job: &Job, answer: Answer, tx: &Sender, events: &mut Events) -> End {
    let Answer { response, state, connection, running, .. } = answer;
    let mut body = response.into_body();
    let mut begun = false;
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
            Ok(None) if events.is_between_events() => break,
            Ok(None) => return End::Broken("the end is within an event".to_owned()),
            Ok(Some(Err(err))) => return End::Broken(err.to_string()),
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
        };
        if !begun && data.has_remaining() {
            begun = true;
            running.answered();
        }
        if let Some(whole) = events.push(&data)
            && tx.send(Ok(whole)).await.is_err()
        {
            return End::CallerGone;
        }
        if MAX_EVENT_BYTES < events.buf.len() {
            return End::Broken("an event is larger than 1 MiB".to_owned());
        }
    }
    drop(running);
    if !state.closes {
        job.hub.pool.put(connection, state.keep_alive);
    }
    End::Whole
}

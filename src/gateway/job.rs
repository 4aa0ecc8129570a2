//! One request: its attempts, until the caller has an answer.

use std::{
    borrow::Cow,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{HeaderMap, Method, Response, StatusCode, Uri, http::request::Parts};
use log::{info, warn};
use metrics::{counter, histogram};
use tokio::time;

use crate::{
    core::{
        forwarding::{Requirements, Route, RouteKind, ServiceName},
        hash,
        ids::EndpointId,
    },
    errors::{Code, Refusal},
    gateway::{
        answer,
        attempt::{Answer, DEADLINE_SLACK, MAX_ANSWER_BYTES},
        relay,
        shared::SharedState,
    },
    http::{Reply, ReplyBody},
    platform::{self, RequestHead},
    telemetry::names,
};

/// Time for a request when neither the caller nor the route limits it.
const MAX_DEADLINE: Duration = Duration::from_secs(60);

/// A request on its way.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) shared: Arc<SharedState>,
    pub(super) route: Arc<Route>,
    pub(super) service: ServiceName,
    pub(super) id: Vec<u8>,
    pub(super) needs: Requirements,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    arrived: Instant,
    pub(super) deadline: Instant,
    pub(super) fingerprint: u64,
    pub(super) tried: Vec<EndpointId>,
    pub(super) runs: u32,
    pub(super) sends: u32,
    // The next send is already taken out of the shared budget.
    pub(super) paid: bool,
    first: Option<Duration>,
    longest_gap: Duration,
}

impl Job {
    /// Reads the head of a request whose body is whole.
    ///
    /// # Errors
    /// The refusal that the caller gets.
    pub(super) fn new(
        shared: Arc<SharedState>,
        route: Arc<Route>,
        head: Parts,
        caller: RequestHead,
        body: Bytes,
        arrived: Instant,
    ) -> Result<Self, Refusal> {
        let Some(service) = route.service(&caller.id).cloned() else {
            return Err(Refusal::new(Code::NoEndpoint, "the route has no service"));
        };
        let limit = caller.deadline.unwrap_or(MAX_DEADLINE).min(route.timeout);
        let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
        let model = caller.requirements.model.as_deref().unwrap_or_default();
        let fingerprint = hash::stable(&[path.as_bytes(), model.as_bytes(), &body]);
        let uri = path.parse().map_err(|_| Refusal::new(Code::UnknownPath, "unusable path"))?;
        shared.record_request(&service, &caller.requirements);
        Ok(Self {
            shared,
            service,
            id: caller.id,
            needs: caller.requirements,
            method: head.method,
            uri,
            headers: head.headers,
            body,
            arrived,
            deadline: arrived + limit,
            fingerprint,
            tried: Vec::new(),
            runs: 0,
            sends: 0,
            paid: false,
            first: None,
            longest_gap: Duration::ZERO,
            route,
        })
    }

    /// Sends the request until there is an answer for the caller.
    pub(super) async fn run(mut self) -> Reply {
        if self.shared.lock().suspects.is_blocked(self.arrived, self.fingerprint) {
            return self.refuse(&Refusal::new(Code::Quarantined, "the request crashed endpoints"));
        }
        loop {
            let answer = match self.attempt(None).await {
                Ok(answer) => answer,
                Err(refusal) => return self.refuse(&refusal),
            };
            let status = answer.response.status();
            if matches!(self.route.kind, RouteKind::Streaming { .. }) && status.is_success() {
                return relay::start(self, answer).await;
            }
            match self.plain(answer).await {
                Ok(reply) => return reply,
                Err(Some(refusal)) => return self.refuse(&refusal),
                Err(None) => {}
            }
        }
    }

    /// Takes the next send out of the shared budget, once.
    pub(super) fn pay(&mut self) -> bool {
        self.paid = self.paid || self.shared.take_retry(&self.service);
        self.paid
    }

    /// Whether another run is allowed though one may have happened.
    pub(super) fn may_repeat(&self) -> bool {
        self.route.kind.may_repeat() && self.runs < self.route.max_attempts
    }

    /// Holds an answer until it is whole; nothing when another attempt may follow.
    async fn plain(&mut self, answer: Answer) -> Result<Reply, Option<Refusal>> {
        let Answer { response, state, connection, running, endpoint } = answer;
        running.answer_started();
        let (head, body) = response.into_parts();
        let left = self.deadline.saturating_duration_since(Instant::now()) + DEADLINE_SLACK;
        let read = Limited::new(body, MAX_ANSWER_BYTES).collect();
        self.count_run();
        let whole = match time::timeout(left, read).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(err)) => {
                let id = self.id();
                warn!("event=truncated id={id} endpoint={endpoint} error=\"{err}\"");
                self.tried.push(endpoint);
                return Err(if self.may_repeat() { None } else { Some(self.failed()) });
            }
            Err(_) => {
                let text = "the answer was not complete in time";
                return Err(Some(Refusal::new(Code::DeadlineExceeded, text)));
            }
        };
        if !state.closes_connection {
            self.shared.pool.put(connection, state.keep_alive);
        }
        drop(running);
        if head.status.is_server_error() {
            let id = self.id();
            let status = head.status.as_u16();
            info!("event=endpoint_error id={id} endpoint={endpoint} status={status}");
            if self.may_repeat() && self.pay() {
                self.tried.push(endpoint);
                return Err(None);
            }
        } else {
            self.shared.lock().suspects.record_success(self.fingerprint);
        }
        if promises_not_run(head.status) {
            return Err(Some(self.failed()));
        }
        let mut reply = Response::new(ReplyBody::whole(whole));
        *reply.status_mut() = head.status;
        *reply.headers_mut() = platform::response_headers(&head.headers);
        self.log_end(head.status, "answered", Some(&endpoint));
        Ok(reply)
    }

    pub(super) fn failed(&self) -> Refusal {
        Refusal::new(Code::EndpointFailed, "the endpoint failed while the request ran")
    }

    pub(super) fn given_up(&self) -> Refusal {
        if self.runs == 0 {
            let text = "no further attempt is allowed now";
            return Refusal::new(Code::QueueFull, text).retry_after(Duration::from_secs(1));
        }
        self.failed()
    }

    pub(super) fn out_of_time(&self) -> Refusal {
        if self.runs == 0 {
            return Refusal::new(Code::DeadlineTooShort, "no endpoint was free in time");
        }
        Refusal::new(Code::DeadlineExceeded, "the time was up before an endpoint answered")
    }

    fn refuse(&self, refusal: &Refusal) -> Reply {
        let mut reply = answer::reply(refusal);
        if refusal.code == Code::Quarantined {
            *reply.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        counter!(names::REFUSALS, "code" => refusal.code.name()).increment(1);
        info!(
            "event=refused id={} code={} outcome={} retry_after_ms={} version={} why=\"{}\"",
            self.id(),
            refusal.code.number(),
            refusal.outcome.as_str(),
            refusal.retry_after.map_or(0, |d| d.as_millis()),
            self.shared.version().unwrap_or(0),
            refusal.message,
        );
        self.log_end(reply.status(), refusal.code.name(), None);
        reply
    }

    /// One line for the choice of an endpoint, with what decided it.
    pub(super) fn log_sent(&self, endpoint: &EndpointId) {
        let now = Instant::now();
        let load = self.shared.lock().dispatcher.load(endpoint).clone();
        info!(
            "event=sent id={} endpoint={endpoint} attempt={} waited_ms={} left_ms={} tokens={} \
             running={} unread={} reading={:.0} report_ms={} pace={:.1}",
            self.id(),
            self.tried.len() + 1,
            self.arrived.elapsed().as_millis(),
            self.deadline.saturating_duration_since(now).as_millis(),
            self.needs.prompt_tokens,
            load.total_running(now),
            load.total_awaiting_first_token(now),
            load.prefill_tokens(now),
            load.report_age(now).map_or(-1, |age| age.as_millis() as i64),
            load.slowdown(),
        );
    }

    /// One line and one observation for the end of the request.
    pub(super) fn log_end(&self, status: StatusCode, how: &str, endpoint: Option<&EndpointId>) {
        let took = self.arrived.elapsed();
        info!(
            "event=request_end id={} route={} model={} status={} how={how} sends={} tried={} \
             endpoint={} first_ms={} gap_ms={} ms={}",
            self.id(),
            self.route.name,
            self.needs.model.as_deref().unwrap_or("-"),
            status.as_u16(),
            self.sends,
            self.tried.len(),
            endpoint.map_or("-", |e| e),
            self.first.map_or(0, |f| f.as_millis()),
            self.longest_gap.as_millis(),
            took.as_millis(),
        );
        let class = self.route.name.to_string();
        counter!(names::REQUESTS, "class" => class.clone()).increment(1);
        if !self.longest_gap.is_zero() {
            histogram!(names::TOKEN_GAP, "class" => class.clone()).record(self.longest_gap);
        }
        histogram!(names::REQUEST, "class" => class).record(took);
    }

    /// The caller's id of the request.
    pub(super) fn id(&self) -> Cow<'_, str> {
        String::from_utf8_lossy(&self.id)
    }

    /// Last event that the caller had before this request.
    pub(super) fn last_event(&self) -> Option<String> {
        platform::last_event_id(&self.headers)
    }

    /// Counts a send that has run, or may have.
    pub(super) fn count_run(&mut self) {
        self.sends += 1;
        self.runs += 1;
    }

    /// Notes an event that came so long after the one before.
    pub(super) fn event_came(&mut self, gap: Duration) {
        let class = || self.route.name.to_string();
        if self.first.is_none() {
            let took = self.arrived.elapsed();
            histogram!(names::FIRST_TOKEN, "class" => class()).record(took);
            self.first = Some(took);
            return;
        }
        self.longest_gap = self.longest_gap.max(gap);
    }

    /// The request ended well.
    pub(super) fn completed(&self) {
        self.shared.lock().suspects.record_success(self.fingerprint);
    }
}

/// Statuses by which a caller would take the request for one that has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

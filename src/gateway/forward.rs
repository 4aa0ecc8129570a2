//! One request: its attempts at endpoints, until it has an answer.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri,
    body::Incoming,
    header::{self, HeaderValue},
    http::request::Parts,
};
use log::{info, warn};
use metrics::{counter, histogram};
use tokio::time;

use crate::{
    core::{
        forwarding::{Kind, Needs, Route, RouteTable, ServiceName},
        hash,
        ids::EndpointId,
    },
    errors::{Code, Refusal},
    gateway::{
        answer,
        hub::{Hub, Placement, Running},
        relay,
        upstream::{Connection, SendError},
    },
    http::{self, Broken, Reply, ReplyBody},
    platform::{self, AnswerState, CallerHead, NotRun, Sent},
    telemetry::names,
};

/// Largest body when the operator sets no limit, bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Time for a body when the operator sets no limit.
const BODY_LIMIT: Duration = Duration::from_secs(10);
/// Largest plain answer, bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Time for a request when neither the caller nor the route limits it.
const MAX_DEADLINE: Duration = Duration::from_secs(60);
/// What the endpoint's answer may be late by: its way here.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// Share of the time left that a silent endpoint gets while another may be tried.
const SILENCE_SHARE: f64 = 0.4;
/// An endpoint that closed a connection in the middle of a request is asked so
/// much later whether it still listens.
const CRASH_CHECK_AFTER: Duration = Duration::from_millis(100);

/// A request on its way.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) hub: Arc<Hub>,
    pub(super) route: Arc<Route>,
    service: ServiceName,
    id: Vec<u8>,
    needs: Needs,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    arrived: Instant,
    pub(super) deadline: Instant,
    fingerprint: u64,
    tried: Vec<EndpointId>,
    runs: u32,
    sends: u32,
    // The next send is already taken out of the shared budget.
    paid: bool,
    first: Option<Duration>,
    longest_gap: Duration,
}

/// An answer whose head has come.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) response: Response<Incoming>,
    pub(super) state: AnswerState,
    pub(super) connection: Connection,
    pub(super) running: Running,
    pub(super) endpoint: EndpointId,
}

/// Why an attempt gave no answer.
enum Failed {
    /// It was never sent.
    NotSent(String),
    /// The endpoint did not run it.
    NotRun(NotRun),
    /// It may have run.
    MayHaveRun(String),
    /// The time is up; it may run.
    TimeUp,
}

/// Handles a request of a caller.
///
/// # Errors
/// [`Broken`] when the answer broke off after its head was sent.
pub(super) async fn handle(hub: Arc<Hub>, req: Request<Incoming>) -> Result<Reply, Broken> {
    let mut reply = handle_inner(hub.clone(), req).await;
    // The stop may have begun while the request ran.
    if hub.is_leaving() {
        reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(reply)
}

async fn handle_inner(hub: Arc<Hub>, req: Request<Incoming>) -> Reply {
    let arrived = Instant::now();
    let (head, body) = req.into_parts();
    let Some(table) = hub.table() else {
        let refusal = Refusal::new(Code::NotReady, "the routes are not known yet");
        return answer::reply(&refusal.retry_after(Duration::from_secs(1)));
    };
    let Some(route) = find(&table, &head) else {
        let refusal = Refusal::new(Code::UnknownPath, "no route has this host and path");
        info!("event=refused code=1011 path={} version={}", head.uri.path(), table.version);
        return answer::reply(&refusal);
    };
    let limits = table.limits;
    let max_body = limits.map_or(MAX_BODY_BYTES, |l| l.body_bytes);
    let body_limit = limits.map_or(BODY_LIMIT, |l| l.idle_timeout);
    let body = match http::read_body(body, max_body, body_limit).await {
        Ok(body) => body,
        Err(refusal) => return answer::reply(&refusal),
    };
    let caller = platform::read_caller(&head.headers);
    let job = match Job::new(hub.clone(), route, head, caller, body, arrived) {
        Ok(job) => job,
        Err(refusal) => return answer::reply(&refusal),
    };
    tokio::select! {
        reply = job.run() => reply,
        () = hub.last_call() => {
            let text = "the process ends before the endpoint has answered";
            answer::reply(&Refusal::new(Code::DeadlineExceeded, text))
        }
    }
}

fn find(table: &RouteTable, head: &Parts) -> Option<Arc<Route>> {
    let host = head.headers.get(header::HOST).and_then(|h| h.to_str().ok());
    let host = host.or(head.uri.host())?;
    table.find(host, head.uri.path()).cloned()
}

impl Job {
    fn new(
        hub: Arc<Hub>,
        route: Arc<Route>,
        head: Parts,
        caller: CallerHead,
        body: Bytes,
        arrived: Instant,
    ) -> Result<Self, Refusal> {
        let Some(service) = route.service(&caller.id).cloned() else {
            return Err(Refusal::new(Code::NoEndpoint, "the route has no service"));
        };
        let limit = caller.deadline.unwrap_or(MAX_DEADLINE).min(route.timeout);
        let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
        let model = caller.needs.model.as_deref().unwrap_or_default();
        let fingerprint = hash::stable(&[path.as_bytes(), model.as_bytes(), &body]);
        let uri = path.parse().map_err(|_| Refusal::new(Code::UnknownPath, "unusable path"))?;
        hub.count(&service, &caller.needs);
        Ok(Self {
            hub,
            service,
            id: caller.id,
            needs: caller.needs,
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

    async fn run(mut self) -> Reply {
        if self.hub.lock().suspects.is_barred(self.arrived, self.fingerprint) {
            return self.refuse(&Refusal::new(Code::Quarantined, "the request crashed endpoints"));
        }
        loop {
            let answer = match self.attempt(None).await {
                Ok(answer) => answer,
                Err(refusal) => return self.refuse(&refusal),
            };
            let status = answer.response.status();
            if matches!(self.route.kind, Kind::Streaming { .. }) && status.is_success() {
                return relay::start(self, answer).await;
            }
            match self.plain(answer).await {
                Ok(reply) => return reply,
                Err(Some(refusal)) => return self.refuse(&refusal),
                Err(None) => {}
            }
        }
    }

    /// Sends the request until an endpoint answers it with a head that counts.
    ///
    /// # Errors
    /// The refusal that the caller gets.
    pub(super) async fn attempt(&mut self, last_event: Option<&str>) -> Result<Answer, Refusal> {
        loop {
            let tried = self.tried.clone();
            let place =
                self.hub.place(&self.route, &self.service, &self.needs, self.deadline, &tried);
            let Ok((running, placement)) = time::timeout_at(self.deadline.into(), place).await
            else {
                return Err(self.out_of_time());
            };
            let (endpoint, address) = match placement {
                Placement::At { endpoint, address } => (endpoint, address),
                Placement::Refused(why, delay) => {
                    let refusal = answer::refused(why, delay);
                    return Err(if self.runs == 0 { refusal } else { self.failed() });
                }
            };
            if 0 < self.sends && !self.pay() {
                return Err(self.given_up());
            }
            self.paid = false;
            self.log_sent(&endpoint);
            match self.send(&endpoint, address, running, last_event).await {
                Ok(answer) => return Ok(answer),
                Err(failed) => self.after(&endpoint, address, failed)?,
            }
        }
    }

    /// Decides whether a failed attempt may be followed by another.
    fn after(
        &mut self,
        endpoint: &EndpointId,
        address: std::net::SocketAddr,
        failed: Failed,
    ) -> Result<(), Refusal> {
        let id = self.id().into_owned();
        let now = Instant::now();
        match failed {
            Failed::NotSent(text) => {
                warn!("event=not_sent id={id} endpoint={endpoint} error=\"{text}\"");
                self.hub.pool.forget(address);
                self.hub.lock().dispatcher.avoid(now, endpoint);
                self.tried.push(endpoint.clone());
                Ok(())
            }
            Failed::NotRun(why) => {
                self.sends += 1;
                info!("event=not_run id={id} endpoint={endpoint} why={why:?}");
                if why == NotRun::Refused {
                    self.hub.lock().dispatcher.avoid(now, endpoint);
                }
                self.tried.push(endpoint.clone());
                Ok(())
            }
            Failed::MayHaveRun(text) => {
                self.sends += 1;
                self.runs += 1;
                warn!("event=broken id={id} endpoint={endpoint} error=\"{text}\"");
                self.tried.push(endpoint.clone());
                self.check_crash(address);
                if self.may_repeat() { Ok(()) } else { Err(self.failed()) }
            }
            Failed::TimeUp => {
                self.sends += 1;
                self.runs += 1;
                warn!("event=silent id={id} endpoint={endpoint}");
                self.tried.push(endpoint.clone());
                self.hub.lock().dispatcher.avoid(now, endpoint);
                if now < self.deadline && self.may_repeat() {
                    Ok(())
                } else {
                    Err(Refusal::new(Code::DeadlineExceeded, "the endpoint did not answer in time"))
                }
            }
        }
    }

    /// Takes the next send out of the shared budget, once.
    fn pay(&mut self) -> bool {
        self.paid = self.paid || self.hub.may_retry(&self.service);
        self.paid
    }

    pub(super) fn may_repeat(&self) -> bool {
        self.route.kind.may_repeat() && self.runs < self.route.max_attempts
    }

    /// Counts a run that ended without its whole answer; see [`Self::may_repeat`].
    pub(super) fn broke_off(&mut self, endpoint: &EndpointId) {
        self.tried.push(endpoint.clone());
    }

    /// Looks whether the endpoint still listens: if not, the request may have crashed it.
    fn check_crash(&self, address: std::net::SocketAddr) {
        self.hub.pool.forget(address);
        let (hub, fingerprint) = (self.hub.clone(), self.fingerprint);
        hub.lock().checks += 1;
        tokio::spawn(async move {
            time::sleep(CRASH_CHECK_AFTER).await;
            let crashed = Connection::open(address).await.is_err();
            hub.lock().checks -= 1;
            if crashed {
                let now = Instant::now();
                let breaks = hub.lock().suspects.broke(now, fingerprint);
                info!("event=suspect fingerprint={fingerprint:x} breaks={breaks} at={address}");
                hub.urgent.notify_one();
            }
        });
    }

    async fn send(
        &self,
        endpoint: &EndpointId,
        address: std::net::SocketAddr,
        running: Running,
        last_event: Option<&str>,
    ) -> Result<Answer, Failed> {
        let mut connection = match self.hub.pool.take(address) {
            Some(connection) => connection,
            None => Connection::open(address).await.map_err(|e| Failed::NotSent(e.to_string()))?,
        };
        let now = Instant::now();
        let left = self.deadline.saturating_duration_since(now);
        if left.is_zero() {
            return Err(Failed::NotSent("no time is left".to_owned()));
        }
        let sent = Sent { endpoint, deadline: left, priority: self.route.priority, last_event };
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = platform::forwarded_headers(&self.headers, sent);
        let wait = match self.route.kind.may_repeat() && self.runs + 1 < self.route.max_attempts {
            true => left.mul_f64(SILENCE_SHARE).max(self.route.target),
            false => left + DEADLINE_SLACK,
        };
        let used = connection.was_used();
        let response = match time::timeout(wait, connection.send(req)).await {
            Err(_) => return Err(Failed::TimeUp),
            Ok(Err(SendError::NotSent(text))) => return Err(Failed::NotSent(text)),
            Ok(Err(SendError::Broken(text))) => {
                return Err(Failed::MayHaveRun(format!("{text} (kept connection: {used})")));
            }
            Ok(Ok(response)) => response,
        };
        let state = platform::engine_state(response.status(), response.headers(), &self.id);
        if !state.is_ours {
            return Err(Failed::MayHaveRun("an answer to another request came".to_owned()));
        }
        if let Some(why) = state.not_run {
            self.finish_refusal(response, state, connection).await;
            return Err(Failed::NotRun(why));
        }
        if !state.is_sound {
            return Err(Failed::MayHaveRun("the success has no signature".to_owned()));
        }
        let endpoint = endpoint.clone();
        Ok(Answer { response, state, connection, running, endpoint })
    }

    /// Reads the rest of an endpoint's refusal, to keep the connection.
    async fn finish_refusal(
        &self,
        response: Response<Incoming>,
        state: AnswerState,
        connection: Connection,
    ) {
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect();
        let read = time::timeout(DEADLINE_SLACK, body).await;
        if matches!(read, Ok(Ok(_))) && !state.closes {
            self.hub.pool.put(connection, state.keep_alive);
        }
    }

    /// Holds an answer until it is whole; nothing when another attempt may follow.
    async fn plain(&mut self, answer: Answer) -> Result<Reply, Option<Refusal>> {
        let Answer { response, state, connection, running, endpoint } = answer;
        running.answered();
        let (head, body) = response.into_parts();
        let left = self.deadline.saturating_duration_since(Instant::now()) + DEADLINE_SLACK;
        let read = Limited::new(body, MAX_ANSWER_BYTES).collect();
        self.sends += 1;
        self.runs += 1;
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
        if !state.closes {
            self.hub.pool.put(connection, state.keep_alive);
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
            self.hub.lock().suspects.completed(self.fingerprint);
        }
        if promises_not_run(head.status) {
            return Err(Some(self.failed()));
        }
        let mut reply = Response::new(ReplyBody::whole(whole));
        *reply.status_mut() = head.status;
        *reply.headers_mut() = platform::answer_headers(&head.headers);
        self.log_end(head.status, "answered", Some(&endpoint));
        Ok(reply)
    }

    fn failed(&self) -> Refusal {
        Refusal::new(Code::EndpointFailed, "the endpoint failed while the request ran")
    }

    fn given_up(&self) -> Refusal {
        if self.runs == 0 {
            let text = "no further attempt is allowed now";
            return Refusal::new(Code::QueueFull, text).retry_after(Duration::from_secs(1));
        }
        self.failed()
    }

    fn out_of_time(&self) -> Refusal {
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
            self.hub.version().unwrap_or(0),
            refusal.message,
        );
        self.log_end(reply.status(), refusal.code.name(), None);
        reply
    }

    /// One line for the choice of an endpoint, with what decided it.
    fn log_sent(&self, endpoint: &EndpointId) {
        let now = Instant::now();
        let load = self.hub.lock().dispatcher.load(endpoint);
        info!(
            "event=sent id={} endpoint={endpoint} attempt={} waited_ms={} left_ms={} running={} \
             unread={} report_ms={} pace={:.1}",
            self.id(),
            self.tried.len() + 1,
            self.arrived.elapsed().as_millis(),
            self.deadline.saturating_duration_since(now).as_millis(),
            load.all_running(now),
            load.all_unread(now),
            load.report_age(now).map_or(-1, |age| age.as_millis() as i64),
            load.pace(),
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
    pub(super) fn id(&self) -> std::borrow::Cow<'_, str> {
        String::from_utf8_lossy(&self.id)
    }

    /// Last event that the caller had before this request.
    pub(super) fn last_event(&self) -> Option<String> {
        platform::last_event(&self.headers)
    }

    /// Counts a run whose head has come.
    pub(super) fn head_came(&mut self) {
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
        self.hub.lock().suspects.completed(self.fingerprint);
    }
}

/// Statuses by which a caller would take the request for one that has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

//! A caller's request: attempts at endpoints until there is a response for the caller.

use std::{
    borrow::Cow,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Response, StatusCode, http::request::Parts};
use log::{info, warn};
use metrics::{counter, histogram};
use tokio::time;

use crate::{
    core::{
        accounts::Account,
        forwarding::{Requirements, Route, RouteKind, ServiceName, TimeLimit},
        hash,
        ids::{EndpointId, Fingerprint, StreamId},
        quarantine::{RequestKey, RunEnd, Trial},
        resumption::StreamVersion,
    },
    errors::{Code, Refusal},
    gateway::{
        accounts::QuotaCharge,
        attempt::EndpointResponse,
        limits::RateLabel,
        outbound::{MAX_RESPONSE_BYTES, OutboundRequest},
        refusals, relay,
        shared::SharedState,
        streams::{AdmittedRun, stream_id},
        suspects::{Label, OwnCrashes},
    },
    http::{ClientAddress, Reply, ReplyBody},
    platform::{self, RequestHead},
    telemetry::names,
};

/// How much earlier than a caller leaves it must get its answer: the time on the network to and
/// from it.
const LEAVE_MARGIN: Duration = Duration::from_millis(100);

/// The answer to a request.
enum Answer {
    /// It has been read completely.
    Whole(Reply),
    /// The first part of a stream.
    Stream(Box<EndpointResponse>),
}

/// A caller's request, with the state that its attempts share.
#[derive(Debug)]
pub(super) struct ProxiedRequest {
    pub(super) shared: Arc<SharedState>,
    pub(super) route: Arc<Route>,
    pub(super) service: ServiceName,
    pub(super) requirements: Requirements,
    pub(super) account: Option<Arc<Account>>,
    pub(super) charge: Option<QuotaCharge>,
    pub(super) outbound: Arc<OutboundRequest>,
    pub(super) limit: TimeLimit,
    pub(super) key: RequestKey,
    // The stream that the response begins or goes on with.
    pub(super) stream: StreamId,
    pub(super) version: StreamVersion,
    pub(super) admitted: Option<AdmittedRun>,
    // Endpoints of earlier attempts.
    pub(super) tried: Vec<EndpointId>,
    // Sends after which the request ran or may have run.
    pub(super) runs: u32,
    // All sends, including those that an endpoint refused.
    pub(super) sends: u32,
    // The next send is already charged to the shared retry budget.
    pub(super) retry_reserved: bool,
    // Time from receipt of the request to the first event.
    first_event: Option<Duration>,
    last_event_at: Option<Instant>,
    // Longest time between two events.
    longest_gap: Duration,
}

impl ProxiedRequest {
    /// Chooses the service and computes deadline and fingerprint of a request whose body
    /// has been read.
    ///
    /// # Errors
    /// The refusal to send to the caller.
    pub(super) fn new(
        shared: Arc<SharedState>,
        route: Arc<Route>,
        head: Parts,
        caller: RequestHead,
        body: Bytes,
        limit: TimeLimit,
        account: Option<Arc<Account>>,
    ) -> Result<Self, Refusal> {
        let Some(service) = route.service(&caller.id).cloned() else {
            return Err(Refusal::new(Code::NoEndpoint, "the route has no service"));
        };
        let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
        let fingerprint = fingerprint(&head, &service, &caller.requirements, path, &body);
        let key = RequestKey { fingerprint, headers: platform::header_hash(&head.headers) };
        let uri = path.parse().map_err(|_| Refusal::new(Code::UnknownPath, "unusable path"))?;
        let resumed = platform::resumed_attempt(&head.headers);
        let stream = stream_id(resumed.as_deref().unwrap_or(&caller.id));
        let outbound = OutboundRequest {
            shared: shared.clone(),
            id: caller.id,
            method: head.method,
            uri,
            headers: head.headers,
            body,
            priority: route.priority,
            account: account.as_ref().map(|a| a.name.clone()),
            limit,
        };
        Ok(Self {
            shared,
            service,
            requirements: caller.requirements,
            account,
            charge: None,
            outbound: Arc::new(outbound),
            limit,
            key,
            stream,
            version: StreamVersion::Open,
            admitted: None,
            tried: Vec::new(),
            runs: 0,
            sends: 0,
            retry_reserved: false,
            first_event: None,
            last_event_at: None,
            longest_gap: Duration::ZERO,
            route,
        })
    }

    /// Makes attempts until there is a response or a refusal for the caller, or its time or the
    /// grace period of a shutdown is over.
    pub(super) async fn run(mut self) -> Reply {
        if let Err(refusal) = self.admit() {
            return self.refuse(&refusal);
        }
        self.shared.record_request(&self.service, &self.requirements);
        // Other requests get an error response at the end of the grace period.
        let is_stream = matches!(self.route.kind, RouteKind::Streaming { .. });
        if is_stream && self.shared.may_cut_off(Instant::now(), &self.limit) {
            return self.refuse(&self.shuts_down_too_soon());
        }
        let answer_by = self.limit.answer_by();
        let shared = self.shared.clone();
        let responded = tokio::select! {
            responded = time::timeout_at(answer_by.into(), self.respond()) => responded,
            () = shared.grace_period_ended() => Ok(Err(self.shut_down())),
        };
        match responded {
            Ok(Ok(Answer::Whole(reply))) => reply,
            Ok(Ok(Answer::Stream(received))) => relay::start(self, *received).await,
            Ok(Err(refusal)) => self.refuse(&refusal),
            Err(_) => self.refuse(&self.deadline_exceeded()),
        }
    }

    /// Makes attempts until there is a response.
    ///
    /// # Errors
    /// The refusal to send to the caller.
    async fn respond(&mut self) -> Result<Answer, Refusal> {
        self.find_version().await?;
        loop {
            let received = self.next_response(None).await?;
            let status = received.parts.status;
            if matches!(self.route.kind, RouteKind::Streaming { .. }) && status.is_success() {
                return Ok(Answer::Stream(Box::new(received)));
            }
            match self.buffer_response(received).await {
                Ok(reply) => return Ok(Answer::Whole(reply)),
                Err(Some(refusal)) => return Err(refusal),
                Err(None) => {}
            }
        }
    }

    /// Charges the next send to the shared retry budget unless that was done before.
    /// Returns whether the send is allowed.
    pub(super) fn reserve_retry(&mut self) -> bool {
        self.retry_reserved = self.retry_reserved || self.shared.take_retry(&self.service);
        self.retry_reserved
    }

    /// Whether the shared retry budget allows the next send now.
    pub(super) fn can_retry(&self) -> bool {
        self.retry_reserved || self.shared.has_retry(&self.service)
    }

    /// Whether the request may run again although an earlier attempt may have run.
    pub(super) fn can_run_again(&self) -> bool {
        self.route.kind.may_repeat() && self.runs < self.route.max_attempts
    }

    /// Reads a complete response before any of it is passed on, so that a failure can
    /// still be retried. Returns `Err(None)` when another attempt may follow.
    async fn buffer_response(
        &mut self,
        received: EndpointResponse,
    ) -> Result<Reply, Option<Refusal>> {
        let EndpointResponse { parts, mut body, head, connection, guard, mut run, endpoint } =
            received;
        guard.record_first_response();
        run.record_response();
        let answer_by = self.limit.answer_by();
        match time::timeout_at(
            answer_by.into(),
            body.read_all(MAX_RESPONSE_BYTES, &self.shared.memory),
        )
        .await
        {
            Ok(Ok(())) => {}
            Ok(Err(err)) => {
                let id = self.id();
                warn!("event=truncated id={id} endpoint={endpoint} error=\"{err}\"");
                run.record_end(RunEnd::Interrupted);
                self.record_tried(&endpoint);
                return Err(if self.can_run_again() { None } else { Some(self.endpoint_failed()) });
            }
            Err(_) => {
                run.record_end(RunEnd::Interrupted);
                let text = "the response was not complete before the deadline";
                return Err(Some(Refusal::new(Code::DeadlineExceeded, text)));
            }
        }
        if head.allows_reuse() {
            self.shared.pool.release(connection, head.keep_alive);
        }
        drop(guard);
        let failed = parts.status.is_server_error();
        run.record_end(match parts.status.is_success() {
            true if head.ends_with_connection => RunEnd::Unconfirmed,
            true => RunEnd::Completed,
            false => RunEnd::Failed,
        });
        if failed {
            self.log_endpoint_error(&endpoint, parts.status);
            if self.can_run_again() && self.reserve_retry() {
                self.record_tried(&endpoint);
                return Err(None);
            }
        }
        if implies_not_executed(parts.status) {
            return Err(Some(self.endpoint_failed()));
        }
        let mut reply = Response::new(ReplyBody::full(body.into_read()));
        *reply.status_mut() = parts.status;
        *reply.headers_mut() = platform::response_headers(&parts.headers);
        self.log_end(parts.status, "answered", Some(&endpoint));
        Ok(reply)
    }

    /// The refusal after an endpoint failed during a run.
    pub(super) fn endpoint_failed(&self) -> Refusal {
        Refusal::new(Code::EndpointFailed, "the endpoint failed while the request ran")
    }

    /// The refusal when there is no further attempt: `refusal` if the request has not run.
    pub(super) fn no_further_attempt(&self, refusal: Refusal) -> Refusal {
        if self.runs == 0 {
            return refusal;
        }
        let text = format!("the endpoint failed while the request ran; {}", refusal.message);
        Refusal::new(Code::EndpointFailed, text)
    }

    /// The refusal when the shared retry budget allows no further send.
    pub(super) fn retry_budget_exhausted(&self) -> Refusal {
        let text = "the retry budget allows no further attempt now";
        let refusal = Refusal::new(Code::QueueFull, text).retry_after(Duration::from_secs(1));
        self.no_further_attempt(refusal)
    }

    /// The refusal of a stream that a shutdown may cut off.
    fn shuts_down_too_soon(&self) -> Refusal {
        let text = "the gateway may end before the stream";
        Refusal::new(Code::Draining, text).retry_after(Duration::ZERO)
    }

    /// The refusal when the grace period of a shutdown is over before an endpoint responds.
    fn shut_down(&self) -> Refusal {
        let code = if self.runs == 0 { Code::Draining } else { Code::DeadlineExceeded };
        Refusal::new(code, "the gateway shut down before the endpoint responded")
    }

    /// The refusal when the deadline passes before an endpoint responds.
    pub(super) fn deadline_exceeded(&self) -> Refusal {
        if self.runs == 0 {
            return Refusal::new(
                Code::DeadlineTooShort,
                "no endpoint became available before the deadline",
            );
        }
        Refusal::new(Code::DeadlineExceeded, "the deadline passed before an endpoint responded")
    }

    /// Logs and counts a refusal and builds its response.
    fn refuse(&self, refusal: &Refusal) -> Reply {
        let mut reply = refusals::response(refusal);
        if refusal.code == Code::Quarantined {
            *reply.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        counter!(names::REFUSALS, "code" => refusal.code.name()).increment(1);
        let (suspect, crashes, own) = self.likeliest_suspect();
        info!(
            "event=refused id={} fingerprint={:016x} suspect={suspect} crashes={crashes} {own} \
             trial={} code={} \
             outcome={} retry_after_ms={} version={} why=\"{}\"",
            self.id(),
            self.key.fingerprint,
            self.trial().map_or("-", Trial::as_str),
            refusal.code.number(),
            refusal.outcome.as_str(),
            refusal.retry_after.map_or(0, |d| d.as_millis()),
            self.shared.version().unwrap_or(0),
            refusal.message,
        );
        self.log_end(reply.status(), refusal.code.name(), None);
        reply
    }

    /// The likeliest suspect of crashes that the request involves, the number of its crashes,
    /// and the crashes of the whole request, for the log.
    fn likeliest_suspect(&self) -> (Label, usize, OwnCrashes) {
        let segments = self.requirements.leading_segments();
        let state = self.shared.lock();
        let found = state.likeliest_suspect(Instant::now(), self.key.fingerprint, &segments);
        let own = state.own_crashes(Instant::now(), self.key.fingerprint);
        let (suspect, crashes) = found.unzip();
        (Label(suspect), crashes.unwrap_or(0), own)
    }

    /// Whether a run of the request may try a blamed segment of its prompt, for the log.
    fn trial(&self) -> Option<Trial> {
        let segments = self.requirements.leading_segments();
        self.shared.lock().gate.trial(Instant::now(), &segments)
    }

    /// Logs the chosen endpoint with the load figures behind the choice.
    pub(super) fn log_sent(&self, endpoint: &EndpointId) {
        let now = Instant::now();
        let required = &self.requirements;
        let (load, limit, limited, kept) = {
            let dispatcher = &self.shared.lock().dispatcher;
            let limits = dispatcher.limits();
            let kept = dispatcher.kept_prompts().kept_tokens(now, endpoint, required);
            (dispatcher.load(endpoint).clone(), limits.rate(endpoint), limits.len(), kept)
        };
        if !required.prompt_segments.is_empty() {
            counter!(names::PROMPT_TOKENS).increment(u64::from(required.prompt_tokens));
            counter!(names::KEPT_TOKENS).increment(u64::from(kept));
        }
        if limit.is_some() {
            counter!(names::LIMITED_SENDS, "endpoint" => endpoint.to_string()).increment(1);
        }
        let (suspect, crashes, own) = self.likeliest_suspect();
        info!(
            "event=sent id={} fingerprint={:016x} suspect={suspect} crashes={crashes} {own} \
             endpoint={endpoint} attempt={} waited_ms={} \
             left_ms={} tokens={} kept={kept} running={} unread={} reading={:.0} report_ms={} pace={:.1} \
             limit={} limited={limited}",
            self.id(),
            self.key.fingerprint,
            self.tried.len() + 1,
            self.limit.received_at().elapsed().as_millis(),
            self.limit.left(now).as_millis(),
            self.requirements.prompt_tokens,
            load.total_running(now),
            load.total_awaiting_first_token(now),
            load.prefill_tokens(now),
            load.report_age(now).map_or(-1, |age| age.as_millis() as i64),
            load.slowdown(),
            RateLabel(limit),
        );
    }

    /// Logs the failure that an endpoint reported.
    pub(super) fn log_endpoint_error(&self, endpoint: &EndpointId, status: StatusCode) {
        let (id, status) = (self.id(), status.as_u16());
        info!("event=endpoint_error id={id} endpoint={endpoint} status={status}");
    }

    /// Logs the end of the request and records its metrics.
    pub(super) fn log_end(&self, status: StatusCode, how: &str, endpoint: Option<&EndpointId>) {
        let elapsed = self.limit.received_at().elapsed();
        info!(
            "event=request_end id={} fingerprint={:016x} route={} account={} model={} status={} how={how} sends={} \
             tried={} endpoint={} first_ms={} gap_ms={} ms={}",
            self.id(),
            self.key.fingerprint,
            self.route.name,
            self.account.as_ref().map_or("-", |a| &a.name),
            self.requirements.model.as_deref().unwrap_or("-"),
            status.as_u16(),
            self.sends,
            self.tried.len(),
            endpoint.map_or("-", |e| e),
            self.first_event.map_or(0, |f| f.as_millis()),
            self.longest_gap.as_millis(),
            elapsed.as_millis(),
        );
        let class = self.route.name.to_string();
        counter!(names::REQUESTS, "class" => class.clone()).increment(1);
        if !self.longest_gap.is_zero() {
            histogram!(names::TOKEN_GAP, "class" => class.clone()).record(self.longest_gap);
        }
        histogram!(names::REQUEST, "class" => class).record(elapsed);
    }

    /// Until when the next event or the answer is of use to the caller.
    pub(super) fn answer_needed_by(&self) -> Instant {
        self.caller_leaves_at().unwrap_or(self.limit.deadline())
    }

    /// When the caller of a stream leaves unless something arrives, if that is before the deadline.
    pub(super) fn caller_leaves_at(&self) -> Option<Instant> {
        let heard_at = self.last_event_at.unwrap_or(self.limit.received_at());
        let leaves_at = heard_at + self.route.patience?.saturating_sub(LEAVE_MARGIN);
        Some(leaves_at).filter(|at| *at < self.limit.deadline())
    }

    /// The request id that the caller set.
    pub(super) fn id(&self) -> Cow<'_, str> {
        String::from_utf8_lossy(&self.outbound.id)
    }

    /// Id of the last event that the caller received before this request.
    pub(super) fn last_event(&self) -> Option<String> {
        platform::last_event_id(&self.outbound.headers)
    }

    /// Software version of an endpoint, for the log.
    pub(super) fn software(&self, endpoint: &EndpointId) -> String {
        let state = self.shared.lock();
        let version = state.registry.get(endpoint).and_then(|e| e.registration.version.clone());
        version.as_deref().unwrap_or("-").to_owned()
    }

    /// Counts a send. The request may have run until the opposite is known.
    pub(super) fn record_send(&mut self) {
        self.sends += 1;
        self.runs += 1;
    }

    /// Takes a send back: the endpoint could not be reached.
    pub(super) fn record_not_sent(&mut self) {
        self.sends -= 1;
        self.runs -= 1;
    }

    /// Notes that the endpoint proved that it did not run the request.
    pub(super) fn record_not_run(&mut self) {
        self.runs -= 1;
    }

    /// Notes that the next attempt must not use this endpoint.
    pub(super) fn record_tried(&mut self, endpoint: &EndpointId) {
        if !self.tried.contains(endpoint) {
            self.tried.push(endpoint.clone());
        }
    }

    /// Records the time to the first event, or the gap between two later ones.
    pub(super) fn record_event(&mut self, gap: Duration) {
        self.last_event_at = Some(Instant::now());
        let class = || self.route.name.to_string();
        if self.first_event.is_none() {
            let elapsed = self.limit.received_at().elapsed();
            histogram!(names::FIRST_TOKEN, "class" => class()).record(elapsed);
            self.first_event = Some(elapsed);
            return;
        }
        self.longest_gap = self.longest_gap.max(gap);
    }
}

/// What stays the same when the request comes again. What an engine computes for a prompt does not
/// depend on the caller; what other endpoints make of a path and a body may.
fn fingerprint(
    head: &Parts,
    service: &ServiceName,
    requirements: &Requirements,
    path: &str,
    body: &[u8],
) -> Fingerprint {
    if let Some(computation) = requirements.computation() {
        return hash::stable(&[service.as_bytes(), &computation.to_le_bytes()]);
    }
    // The port is new with each connection.
    let client = head.extensions.get::<ClientAddress>().map(|c| c.0.ip().to_string());
    hash::stable(&[client.unwrap_or_default().as_bytes(), path.as_bytes(), body])
}

/// Statuses that make a caller assume that the request was not executed.
fn implies_not_executed(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

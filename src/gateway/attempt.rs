//! Makes attempts at endpoints until one responds. While an endpoint is silent, a second
//! attempt is made elsewhere, and the endpoint that responds first serves the request.

use std::{
    net::SocketAddr,
    pin::{Pin, pin},
    time::{Duration, Instant},
};

use hyper::http::response::Parts;
use log::{info, warn};
use tokio::time;

use crate::{
    core::{forwarding::RouteKind, ids::EndpointId, quarantine::RunEnd},
    errors::{Code, Refusal},
    gateway::{
        admission::Admission,
        outbound::{AttemptError, MAX_RESPONSE_BYTES, SentRequest},
        refusals,
        request::ProxiedRequest,
        response_body::ResponseBody,
        run::RunGuard,
        shared::{EndpointChoice, RequestGuard},
        upstream::Connection,
    },
    http::MemoryBudget,
    platform::{NotRunReason, ResponseHead},
};

/// Share of the remaining time to wait for a response head before a second attempt.
const RESPONSE_TIMEOUT_SHARE: f64 = 0.4;
/// First pause before another second attempt, after no endpoint took the last one. It
/// doubles each time.
pub(super) const SECOND_ATTEMPT_PAUSE: Duration = Duration::from_millis(500);

/// A response whose head has been received.
#[derive(Debug)]
pub(super) struct EndpointResponse {
    pub(super) parts: Parts,
    pub(super) body: ResponseBody,
    pub(super) head: ResponseHead,
    pub(super) connection: Connection,
    pub(super) guard: RequestGuard,
    pub(super) run: RunGuard,
    pub(super) endpoint: EndpointId,
}

/// A response and the connection on which the rest of its body follows.
struct ReceivedResponse {
    parts: Parts,
    body: ResponseBody,
    head: ResponseHead,
    connection: Connection,
}

impl From<SentRequest> for ReceivedResponse {
    fn from((response, head, connection): SentRequest) -> Self {
        let (parts, body) = response.into_parts();
        Self { parts, body: body.into(), head, connection }
    }
}

/// The endpoint of an attempt and what is recorded about it.
struct Attempt {
    endpoint: EndpointId,
    address: SocketAddr,
    guard: RequestGuard,
    run: RunGuard,
}

/// What came of waiting for a silent endpoint beside a second attempt.
pub(super) enum Race<T> {
    /// The silent endpoint went on, or both attempts failed.
    First(T),
    /// The second endpoint responded, perhaps after the first one had failed.
    Second(Box<EndpointResponse>, Option<T>),
    /// No endpoint took the second attempt, and the first one is still silent.
    Undecided,
}

impl ProxiedRequest {
    /// Makes attempts until an endpoint sends a valid response head.
    ///
    /// # Errors
    /// The refusal to send to the caller.
    pub(super) async fn next_response(
        &mut self,
        last_event: Option<&str>,
    ) -> Result<EndpointResponse, Refusal> {
        loop {
            let attempt = self.start_attempt().await?;
            match self.response_of(attempt, last_event).await {
                Ok(response) => return Ok(response),
                Err((attempt, err)) => self.handle_failure(attempt, err)?,
            }
        }
    }

    /// Waits for the response head of an attempt, beside second attempts while its endpoint
    /// is silent.
    async fn response_of(
        &mut self,
        mut attempt: Attempt,
        last_event: Option<&str>,
    ) -> Result<EndpointResponse, (Attempt, AttemptError)> {
        let mut sending = pin!(self.send(&attempt, last_event));
        let mut second_at = Instant::now() + self.response_timeout();
        let mut pause = SECOND_ATTEMPT_PAUSE;
        let leaves_at = self.caller_leaves_at();
        let result = loop {
            let now = Instant::now();
            let next_second = self.can_run_again().then_some(second_at);
            let next_leave = leaves_at.filter(|at| now < *at);
            let Some(until) = [next_second, next_leave].into_iter().flatten().min() else {
                break sending.await;
            };
            if let Ok(result) = time::timeout_at(until.into(), &mut sending).await {
                break result;
            }
            let now = Instant::now();
            if leaves_at.is_some_and(|at| at <= now) && self.is_silent(&attempt.endpoint) {
                // The caller gets an answer instead of leaving. An endpoint that is paused finds
                // the connection closed.
                break Err(AttemptError::TimedOut);
            }
            if next_second.is_none_or(|at| now < at) {
                continue;
            }
            self.record_silence(&attempt.endpoint);
            let run = &mut attempt.run;
            let is_usable = |result: &Result<SentRequest, AttemptError>| match result {
                Ok((response, ..)) => !response.status().is_server_error(),
                Err(err) => {
                    end_failed(run, err);
                    false
                }
            };
            match self.race_second(sending.as_mut(), is_usable, last_event).await {
                Race::First(result) => break result,
                Race::Second(second, failed) => {
                    self.record_lost_race(attempt, failed);
                    return Ok(*second);
                }
                Race::Undecided => {
                    self.tried = vec![attempt.endpoint.clone()];
                    second_at = Instant::now() + pause;
                    pause *= 2;
                }
            }
        };
        match result {
            Ok(sent) => Ok(attempt.with(sent.into())),
            Err(err) => Err((attempt, err)),
        }
    }

    /// Whether the endpoint neither responds nor reports.
    fn is_silent(&self, endpoint: &str) -> bool {
        self.shared.lock().dispatcher.load(endpoint).is_unresponsive(Instant::now())
    }

    /// Waits for `first` beside a second attempt. `is_usable` tells whether its output is
    /// one to go on with; if not, the second attempt decides.
    pub(super) async fn race_second<F: Future>(
        &mut self,
        mut first: Pin<&mut F>,
        mut is_usable: impl FnMut(&F::Output) -> bool,
        last_event: Option<&str>,
    ) -> Race<F::Output> {
        let mut failed = None;
        let second = {
            let mut second = pin!(self.second_response(last_event));
            loop {
                tokio::select! {
                    biased;
                    output = &mut first, if failed.is_none() => {
                        if is_usable(&output) {
                            return Race::First(output);
                        }
                        failed = Some(output);
                    }
                    second = &mut second => break second,
                }
            }
        };
        match (second, failed) {
            (Ok(response), failed) => Race::Second(Box::new(response), failed),
            (Err(_), Some(output)) => Race::First(output),
            (Err(refusal), None) => {
                self.log_no_attempt(&refusal);
                Race::Undecided
            }
        }
    }

    /// Logs why there is no further attempt, where the caller gets no refusal.
    pub(super) fn log_no_attempt(&self, refusal: &Refusal) {
        let (id, code, why) = (self.id(), refusal.code.number(), &refusal.message);
        info!("event=no_attempt id={id} code={code} why=\"{why}\"");
    }

    /// Notes that an endpoint is silent, before a second attempt.
    pub(super) fn record_silence(&mut self, endpoint: &EndpointId) {
        let left = self.limit.left(Instant::now()).as_millis();
        warn!("event=silent id={} endpoint={endpoint} left_ms={left}", self.id());
        self.shared.lock().dispatcher.record_silence(Instant::now(), endpoint);
        self.record_tried(endpoint);
    }

    /// Makes attempts until an endpoint sends the first data of a stream, or a whole response
    /// of another kind: a head alone is no reason to give up the first endpoint. One that is
    /// silent is given up for the next.
    async fn second_response(
        &mut self,
        last_event: Option<&str>,
    ) -> Result<EndpointResponse, Refusal> {
        loop {
            let attempt = self.start_attempt().await?;
            let streaming = matches!(self.route.kind, RouteKind::Streaming { .. });
            let memory = self.shared.memory.clone();
            let responding = confirmed(self.send(&attempt, last_event), streaming, &memory);
            let left = self.limit.left(Instant::now());
            let wait = if self.can_run_again() { self.response_timeout() } else { left };
            let result = time::timeout(wait, responding).await;
            match result.unwrap_or(Err(AttemptError::TimedOut)) {
                Ok(received) => return Ok(attempt.with(received)),
                Err(err) => self.handle_failure(attempt, err)?,
            }
        }
    }

    /// Records how the first attempt ended after the second endpoint has responded.
    fn record_lost_race(
        &mut self,
        mut attempt: Attempt,
        failed: Option<Result<SentRequest, AttemptError>>,
    ) {
        match failed {
            Some(Err(err)) => {
                // The request goes on in any case.
                let _ = self.handle_failure(attempt, err);
            }
            Some(Ok((response, ..))) => {
                self.log_endpoint_error(&attempt.endpoint, response.status());
                attempt.run.record_end(RunEnd::Failed);
            }
            None => attempt.run.record_end(RunEnd::Interrupted),
        }
    }

    /// Waits for an endpoint and for the permit to run there.
    async fn start_attempt(&mut self) -> Result<Attempt, Refusal> {
        loop {
            self.wait_for_permit().await?;
            if 0 < self.sends && !self.can_retry() {
                return Err(self.retry_budget_exhausted());
            }
            let tried = self.tried.clone();
            let choosing = self.shared.choose_endpoint(
                &self.route,
                &self.service,
                &self.requirements,
                self.answer_needed_by(),
                &tried,
                self.version.required(),
            );
            let deadline = self.limit.deadline().into();
            let Ok((guard, choice)) = time::timeout_at(deadline, choosing).await else {
                return Err(self.deadline_exceeded());
            };
            let admitting = self.admitted_endpoint(&guard, choice);
            let Ok(admitted) = time::timeout_at(deadline, admitting).await else {
                return Err(self.deadline_exceeded());
            };
            let (endpoint, address) = admitted?;
            if self.limit.deadline() <= Instant::now() {
                // Nothing was sent, so this does not count against the endpoint.
                return Err(self.deadline_exceeded());
            }
            if 0 < self.sends && !self.reserve_retry() {
                return Err(self.retry_budget_exhausted());
            }
            // The wait for an endpoint may have been long, so the permit may be gone.
            let Some(run) = self.start_run(&endpoint, address) else { continue };
            self.retry_reserved = false;
            self.log_sent(&endpoint);
            self.record_send();
            return Ok(Attempt { endpoint, address, guard, run });
        }
    }

    /// Waits until an endpoint admits the request: the chosen one, or another that is chosen
    /// instead.
    async fn admitted_endpoint(
        &self,
        guard: &RequestGuard,
        mut choice: EndpointChoice,
    ) -> Result<(EndpointId, SocketAddr), Refusal> {
        loop {
            let (endpoint, address) = match choice {
                EndpointChoice::Endpoint { endpoint, address } => (endpoint, address),
                EndpointChoice::Refused(reason, delay) => {
                    return Err(self.no_further_attempt(refusals::for_reason(reason, delay)));
                }
            };
            match self.ask_admission(guard, &endpoint, address).await {
                Admission::Send => return Ok((endpoint, address)),
                Admission::Full(wait) => {
                    self.log_not_admitted(&endpoint, wait);
                    choice = self.shared.choose_again(guard, wait).await;
                }
            }
        }
    }

    /// The exchange with the endpoint of an attempt, up to the response head.
    fn send(
        &self,
        attempt: &Attempt,
        last_event: Option<&str>,
    ) -> impl Future<Output = Result<SentRequest, AttemptError>> + use<> {
        let last_event = last_event.map(str::to_owned);
        self.outbound.clone().send(attempt.endpoint.clone(), attempt.address, last_event)
    }

    /// Time to wait for a response head before a second attempt.
    fn response_timeout(&self) -> Duration {
        let remaining = self.limit.left(Instant::now());
        remaining.mul_f64(RESPONSE_TIMEOUT_SHARE).max(self.route.target)
    }

    /// Records a failed attempt and returns `Ok` when another may follow.
    fn handle_failure(&mut self, mut attempt: Attempt, err: AttemptError) -> Result<(), Refusal> {
        let id = self.id().into_owned();
        let endpoint = &attempt.endpoint;
        let now = Instant::now();
        end_failed(&mut attempt.run, &err);
        self.record_tried(endpoint);
        match err {
            AttemptError::NotSent(text) => {
                warn!("event=not_sent id={id} endpoint={endpoint} error=\"{text}\"");
                self.record_not_sent();
                attempt.guard.record_not_run();
                self.shared.pool.close_all(attempt.address);
                self.shared.lock().dispatcher.avoid(now, endpoint);
                Ok(())
            }
            AttemptError::NotRun(reason) => {
                info!("event=not_run id={id} endpoint={endpoint} why={reason:?}");
                self.record_not_run();
                attempt.guard.record_not_run();
                let dispatcher = &mut self.shared.lock().dispatcher;
                match reason {
                    NotRunReason::Refused => dispatcher.avoid(now, endpoint),
                    NotRunReason::Elsewhere => {
                        dispatcher.record_misdirected(now, endpoint);
                        dispatcher.record_missing(now, endpoint, &self.requirements);
                    }
                }
                Ok(())
            }
            AttemptError::MayHaveRun(text) => {
                warn!("event=broken id={id} endpoint={endpoint} error=\"{text}\"");
                self.shared.pool.close_all(attempt.address);
                if self.can_run_again() { Ok(()) } else { Err(self.endpoint_failed()) }
            }
            AttemptError::TimedOut => {
                warn!("event=timed_out id={id} endpoint={endpoint}");
                self.shared.lock().dispatcher.record_silence(now, endpoint);
                if now < self.limit.deadline() && self.can_run_again() {
                    return Ok(());
                }
                let text = "the endpoint did not respond in time";
                Err(Refusal::new(Code::DeadlineExceeded, text))
            }
        }
    }
}

impl Attempt {
    fn with(self, received: ReceivedResponse) -> EndpointResponse {
        let ReceivedResponse { parts, body, head, connection } = received;
        let Self { endpoint, guard, run, .. } = self;
        EndpointResponse { parts, body, head, connection, guard, run, endpoint }
    }
}

/// Waits for as much of a response as shows that the endpoint serves the request.
async fn confirmed(
    sending: impl Future<Output = Result<SentRequest, AttemptError>>,
    streaming: bool,
    memory: &MemoryBudget,
) -> Result<ReceivedResponse, AttemptError> {
    let mut received = ReceivedResponse::from(sending.await?);
    if !received.parts.status.is_success() {
        return Err(AttemptError::MayHaveRun(format!("status {}", received.parts.status)));
    }
    let body = &mut received.body;
    let result = match streaming {
        true => match body.read_first().await {
            Ok(true) => Ok(()),
            Ok(false) => Err("the stream is empty".to_owned()),
            Err(err) => Err(err.to_string()),
        },
        false => body.read_all(MAX_RESPONSE_BYTES, memory).await,
    };
    result.map_err(AttemptError::MayHaveRun)?;
    Ok(received)
}

fn end_failed(run: &mut RunGuard, err: &AttemptError) {
    match err {
        AttemptError::NotSent(_) => run.record_unreachable(),
        AttemptError::NotRun(_) => run.record_end(RunEnd::Failed),
        AttemptError::MayHaveRun(_) | AttemptError::TimedOut => {
            run.record_end(RunEnd::Interrupted);
        }
    }
}

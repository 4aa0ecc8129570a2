//! Makes attempts at endpoints until one responds. While an endpoint is silent, a second
//! attempt is made elsewhere, and the endpoint that responds first serves the request.

use std::{
    net::SocketAddr,
    pin::{Pin, pin},
    time::{Duration, Instant},
};

use hyper::{Response, StatusCode, body::Incoming};
use log::{info, warn};
use tokio::time;

use crate::{
    core::{ids::EndpointId, quarantine::RunEnd},
    errors::{Code, Refusal},
    gateway::{
        outbound::{AttemptError, SentRequest},
        refusals,
        request::ProxiedRequest,
        run::RunGuard,
        shared::{EndpointChoice, RequestGuard},
        upstream::Connection,
    },
    platform::{NotRunReason, ResponseHead},
};

/// Share of the remaining time to wait for a response head before a second attempt.
const RESPONSE_TIMEOUT_SHARE: f64 = 0.4;
/// Pause before another second attempt, after no endpoint took the last one.
pub(super) const SECOND_ATTEMPT_PAUSE: Duration = Duration::from_millis(500);

/// A response whose head has been received.
#[derive(Debug)]
pub(super) struct EndpointResponse {
    pub(super) response: Response<Incoming>,
    pub(super) head: ResponseHead,
    pub(super) connection: Connection,
    pub(super) guard: RequestGuard,
    pub(super) run: RunGuard,
    pub(super) endpoint: EndpointId,
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
    /// The second endpoint responded.
    Second(Box<EndpointResponse>),
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
            let mut attempt = self.start_attempt().await?;
            let mut sending = pin!(self.send(&attempt, last_event));
            let mut wait = self.response_timeout();
            let result = loop {
                if !self.can_run_again() {
                    break sending.await;
                }
                if let Ok(result) = time::timeout(wait, &mut sending).await {
                    break result;
                }
                self.record_silence(&attempt.endpoint);
                let run = &mut attempt.run;
                let is_usable = |result: &Result<SentRequest, AttemptError>| {
                    result.as_ref().inspect_err(|err| end_failed(run, err)).is_ok()
                };
                match self.race_second(sending.as_mut(), is_usable, last_event).await {
                    Race::First(result) => break result,
                    Race::Second(second) => {
                        attempt.run.record_end(RunEnd::Interrupted);
                        return Ok(*second);
                    }
                    Race::Undecided => wait = SECOND_ATTEMPT_PAUSE,
                }
            };
            match result {
                Ok(sent) => return Ok(attempt.received(sent)),
                Err(err) => self.handle_failure(attempt, err)?,
            }
        }
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
            (Ok(response), _) => Race::Second(Box::new(response)),
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
        let left = self.deadline.saturating_duration_since(Instant::now()).as_millis();
        warn!("event=silent id={} endpoint={endpoint} left_ms={left}", self.id());
        self.shared.lock().dispatcher.avoid(Instant::now(), endpoint);
        self.record_tried(endpoint);
    }

    /// Like [`Self::next_response`], but each endpoint is awaited until the deadline, and one
    /// that fails is no reason to give up the first.
    async fn second_response(
        &mut self,
        last_event: Option<&str>,
    ) -> Result<EndpointResponse, Refusal> {
        loop {
            let attempt = self.start_attempt().await?;
            match self.send(&attempt, last_event).await {
                Ok((response, ..)) if response.status().is_server_error() => {
                    self.handle_error(attempt, response.status())?;
                }
                Ok(sent) => return Ok(attempt.received(sent)),
                Err(err) => self.handle_failure(attempt, err)?,
            }
        }
    }

    /// Waits for an endpoint and for the permit to run there.
    async fn start_attempt(&mut self) -> Result<Attempt, Refusal> {
        loop {
            self.wait_for_permit().await?;
            let tried = self.tried.clone();
            let choosing = self.shared.choose_endpoint(
                &self.route,
                &self.service,
                &self.requirements,
                self.deadline,
                &tried,
            );
            let Ok((guard, choice)) = time::timeout_at(self.deadline.into(), choosing).await else {
                return Err(self.deadline_exceeded());
            };
            let (endpoint, address) = match choice {
                EndpointChoice::Endpoint { endpoint, address } => (endpoint, address),
                EndpointChoice::Refused(reason, delay) => {
                    return Err(self.no_further_attempt(refusals::for_reason(reason, delay)));
                }
            };
            if self.deadline <= Instant::now() {
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
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        remaining.mul_f64(RESPONSE_TIMEOUT_SHARE).max(self.route.target)
    }

    /// Records that a second endpoint failed and returns `Ok` when another may follow.
    fn handle_error(&mut self, mut attempt: Attempt, status: StatusCode) -> Result<(), Refusal> {
        self.log_endpoint_error(&attempt.endpoint, status);
        attempt.run.record_end(RunEnd::Failed);
        self.record_tried(&attempt.endpoint);
        if self.can_run_again() { Ok(()) } else { Err(self.endpoint_failed()) }
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
                self.shared.pool.close_all(attempt.address);
                self.shared.lock().dispatcher.avoid(now, endpoint);
                Ok(())
            }
            AttemptError::NotRun(reason) => {
                info!("event=not_run id={id} endpoint={endpoint} why={reason:?}");
                self.record_not_run();
                let dispatcher = &mut self.shared.lock().dispatcher;
                match reason {
                    NotRunReason::Refused => dispatcher.avoid(now, endpoint),
                    NotRunReason::Elsewhere => dispatcher.record_misdirected(now, endpoint),
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
                self.shared.lock().dispatcher.avoid(now, endpoint);
                let text = "the endpoint did not respond in time";
                Err(Refusal::new(Code::DeadlineExceeded, text))
            }
        }
    }
}

impl Attempt {
    fn received(self, (response, head, connection): SentRequest) -> EndpointResponse {
        let Self { endpoint, guard, run, .. } = self;
        EndpointResponse { response, head, connection, guard, run, endpoint }
    }
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

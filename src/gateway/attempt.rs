//! Sends a request to one endpoint and decides whether a failed attempt may be retried.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, body::Incoming};
use log::{info, warn};
use tokio::time;

use crate::{
    core::{ids::EndpointId, quarantine::RunEnd},
    errors::{Code, Refusal},
    gateway::{
        refusals,
        request::ProxiedRequest,
        run::RunGuard,
        shared::{EndpointChoice, RequestGuard},
        upstream::{Connection, SendError},
    },
    platform::{self, ForwardParams, NotRunReason, ResponseHead},
};

/// Maximum size of a response that is not streamed, bytes.
pub(super) const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Time allowed after the deadline for a response on its way from the endpoint.
pub(super) const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// Share of the remaining time to wait for a response head while a further attempt is
/// possible.
const RESPONSE_TIMEOUT_SHARE: f64 = 0.4;
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

/// Why an attempt gave no usable response.
enum AttemptError {
    /// The request was not sent.
    NotSent(String),
    /// The endpoint reported that it did not run the request.
    NotRun(NotRunReason),
    /// The request may have run.
    MayHaveRun(String),
    /// No response head arrived in time; the request may be running.
    TimedOut,
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
                    let refusal = refusals::for_reason(reason, delay);
                    return Err(if self.runs == 0 { refusal } else { self.endpoint_failed() });
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
            match self.send(&endpoint, address, last_event).await {
                Ok((response, head, connection)) => {
                    return Ok(EndpointResponse {
                        response,
                        head,
                        connection,
                        guard,
                        run,
                        endpoint,
                    });
                }
                Err(err) => self.handle_failure(&endpoint, address, run, err)?,
            }
        }
    }

    /// Records a failed attempt and returns `Ok` when another may follow.
    fn handle_failure(
        &mut self,
        endpoint: &EndpointId,
        address: SocketAddr,
        run: RunGuard,
        err: AttemptError,
    ) -> Result<(), Refusal> {
        let id = self.id().into_owned();
        let now = Instant::now();
        match err {
            AttemptError::NotSent(text) => {
                warn!("event=not_sent id={id} endpoint={endpoint} error=\"{text}\"");
                run.end_unreachable();
                self.shared.pool.close_all(address);
                self.shared.lock().dispatcher.avoid(now, endpoint);
                self.tried.push(endpoint.clone());
                Ok(())
            }
            AttemptError::NotRun(reason) => {
                self.sends += 1;
                run.end(RunEnd::Failed);
                info!("event=not_run id={id} endpoint={endpoint} why={reason:?}");
                let dispatcher = &mut self.shared.lock().dispatcher;
                match reason {
                    NotRunReason::Refused => dispatcher.avoid(now, endpoint),
                    NotRunReason::Elsewhere => dispatcher.record_misdirected(now, endpoint),
                }
                self.tried.push(endpoint.clone());
                Ok(())
            }
            AttemptError::MayHaveRun(text) => {
                self.record_run();
                warn!("event=broken id={id} endpoint={endpoint} error=\"{text}\"");
                self.tried.push(endpoint.clone());
                self.shared.pool.close_all(address);
                run.end(RunEnd::Interrupted);
                if self.can_run_again() { Ok(()) } else { Err(self.endpoint_failed()) }
            }
            AttemptError::TimedOut => {
                self.record_run();
                warn!("event=silent id={id} endpoint={endpoint}");
                run.end(RunEnd::Interrupted);
                self.tried.push(endpoint.clone());
                self.shared.lock().dispatcher.avoid(now, endpoint);
                if now < self.deadline && self.can_run_again() {
                    Ok(())
                } else {
                    Err(Refusal::new(
                        Code::DeadlineExceeded,
                        "the endpoint did not respond in time",
                    ))
                }
            }
        }
    }

    /// Sends the request to an endpoint and validates the response head.
    async fn send(
        &self,
        endpoint: &EndpointId,
        address: SocketAddr,
        last_event: Option<&str>,
    ) -> Result<(Response<Incoming>, ResponseHead, Connection), AttemptError> {
        let (response, connection) = self.exchange(endpoint, address, last_event).await?;
        let head = platform::parse_response_head(response.status(), response.headers(), &self.id);
        if !head.matches_request {
            return Err(AttemptError::MayHaveRun(
                "the response belongs to another request".to_owned(),
            ));
        }
        if let Some(reason) = head.not_run {
            self.drain_refusal(response, head, connection).await;
            return Err(AttemptError::NotRun(reason));
        }
        if !head.is_valid {
            return Err(AttemptError::MayHaveRun(
                "the successful response has no signature".to_owned(),
            ));
        }
        Ok((response, head, connection))
    }

    /// Sends the request on an idle connection, or on a new one if there is none.
    async fn exchange(
        &self,
        endpoint: &EndpointId,
        address: SocketAddr,
        last_event: Option<&str>,
    ) -> Result<(Response<Incoming>, Connection), AttemptError> {
        if let Some(mut idle) = self.shared.pool.acquire(address) {
            match self.send_on_connection(&mut idle, endpoint, last_event).await {
                // The endpoint closed the connection before the request was sent.
                Err(AttemptError::NotSent(_)) => {}
                response => return Ok((response?, idle)),
            }
        }
        let opened = Connection::open(address).await;
        let mut connection = opened.map_err(|e| AttemptError::NotSent(e.to_string()))?;
        let response = self.send_on_connection(&mut connection, endpoint, last_event).await?;
        Ok((response, connection))
    }

    /// Sends the request on a connection and waits for the response head.
    async fn send_on_connection(
        &self,
        connection: &mut Connection,
        endpoint: &EndpointId,
        last_event: Option<&str>,
    ) -> Result<Response<Incoming>, AttemptError> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let params = ForwardParams {
            endpoint,
            deadline: remaining,
            priority: self.route.priority,
            last_event_id: last_event,
        };
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = platform::forwarded_headers(&self.headers, params);
        let wait = match self.route.kind.may_repeat() && self.runs + 1 < self.route.max_attempts {
            true => remaining.mul_f64(RESPONSE_TIMEOUT_SHARE).max(self.route.target),
            false => remaining + DEADLINE_SLACK,
        };
        let reused = connection.was_used();
        match time::timeout(wait, connection.send(req)).await {
            Err(_) => Err(AttemptError::TimedOut),
            Ok(Err(SendError::NotSent(text))) => Err(AttemptError::NotSent(text)),
            Ok(Err(SendError::MayHaveRun(text))) => {
                Err(AttemptError::MayHaveRun(format!("{text} (reused connection: {reused})")))
            }
            Ok(Ok(response)) => Ok(response),
        }
    }

    /// Reads the rest of an endpoint's refusal so that the connection can be reused.
    async fn drain_refusal(
        &self,
        response: Response<Incoming>,
        head: ResponseHead,
        connection: Connection,
    ) {
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect();
        let read = time::timeout(DEADLINE_SLACK, body).await;
        if matches!(read, Ok(Ok(_))) && head.allows_reuse() {
            self.shared.pool.release(connection, head.keep_alive);
        }
    }
}

//! Drives the attempts of a request that may be retried. The response is pulled
//! item by item, so a slow reader slows the run down and nothing is buffered for it.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::future::join;
use log::debug;
use metrics::counter;
use serde_json::{Map, Value, json};
use tokio::time;
use tonic::Streaming;

use crate::{
    core::{
        attempt::{Action, AttemptEvent, ResumableStream, RetryPolicy},
        config::Key,
        ids::{AttemptId, EndpointId},
        quarantine::Permit,
        routing::{Candidate, Distance, Offer},
    },
    entry::{
        endpoint_selection::SelectionCriteria, request_context::RequestContext, shared::Shared,
    },
    errors::{Code, Outcome, Refusal},
    fleet::Log,
    rpc::pb::{
        RunFrame, RunRequest, agent_client::AgentClient, report_request::What, run_frame::Body,
    },
    telemetry::names,
};

// Time to search for an endpoint before the request fails.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(3);
const SEARCH_RETRY_DELAY: Duration = Duration::from_millis(200);
// Time after the deadline for the agent to report how the attempt ended.
const DEADLINE_GRACE: Duration = Duration::from_millis(200);

/// An item of the response stream.
#[derive(Debug)]
pub(super) enum StreamItem {
    Token(Bytes),
    Complete,
    Failed(Refusal),
}

/// Runs one request that may be retried, attempt by attempt.
pub(super) struct Driver<L: Log> {
    shared: Arc<Shared<L>>,
    context: RequestContext,
    target: String,
    path: String,
    body: Map<String, Value>,
    delivered_text: String,
    affinity: u64,
    fingerprint: u64,
    stream: ResumableStream,
    excluded: Vec<EndpointId>,
    open: Option<OpenAttempt>,
    /// The attempt that the attempt registry counts as in progress, until its end is reported.
    registered_attempt: Option<AttemptId>,
    /// The registry knows that an identical request completed before.
    completed_before: bool,
    /// The last refusal by an overloaded endpoint, until it is returned to the caller.
    overload_refusal: Option<Refusal>,
}

struct OpenAttempt {
    attempt: AttemptId,
    endpoint: EndpointId,
    remote: bool,
    frames: Streaming<RunFrame>,
}

impl<L: Log> Drop for Driver<L> {
    fn drop(&mut self) {
        // The caller disconnected: identical requests need not wait for this attempt any longer.
        if let Some(attempt) = self.registered_attempt.take() {
            tokio::spawn(self.shared.report_attempt(
                self.fingerprint,
                &attempt,
                What::Otherwise,
                "",
            ));
        }
    }
}

/// The request that a [`Driver`] runs.
pub(super) struct RetryableRequest {
    pub(super) id: String,
    pub(super) target: String,
    pub(super) path: String,
    pub(super) body: Map<String, Value>,
    pub(super) affinity: u64,
    pub(super) fingerprint: u64,
}

impl<L: Log> Driver<L> {
    pub(super) fn new(
        shared: Arc<Shared<L>>,
        context: RequestContext,
        request: RetryableRequest,
    ) -> Self {
        let view = shared.store.view();
        let scope = context.scope(&request.target);
        let policy = RetryPolicy {
            max_attempts: view.state.value(Key::MaxAttempts, &scope) as u32,
            max_crashes: view.state.value(Key::QuarantineCrashes, &scope) as u32,
            deadline: context.deadline,
        };
        Self {
            shared,
            context,
            target: request.target,
            path: request.path,
            body: request.body,
            delivered_text: String::new(),
            affinity: request.affinity,
            fingerprint: request.fingerprint,
            stream: ResumableStream::new(request.id, policy),
            excluded: Vec::new(),
            open: None,
            registered_attempt: None,
            completed_before: false,
            overload_refusal: None,
        }
    }

    /// Attempts that may have run so far, without the current one.
    pub(super) fn attempts(&self) -> u32 {
        self.stream.attempts()
    }

    /// The next item of the response stream.
    pub(super) async fn next(&mut self) -> StreamItem {
        loop {
            if self.open.is_none()
                && let Err(refusal) = self.start_attempt().await
            {
                return StreamItem::Failed(self.stream.with_outcome(refusal));
            }
            let Some((attempt, event)) = self.receive().await else {
                continue;
            };
            self.report_event(&attempt, &event).await;
            self.record_overload(&event);
            match self.stream.handle(Instant::now(), &attempt, event) {
                Action::Deliver(text) => {
                    self.delivered_text.push_str(&String::from_utf8_lossy(&text));
                    return StreamItem::Token(text);
                }
                Action::Complete => return StreamItem::Complete,
                Action::Fail(refusal) => return StreamItem::Failed(refusal),
                Action::Ignore => counter!(names::STALE_FRAMES).increment(1),
                Action::Retry => {
                    if let Err(refusal) = self.prepare_retry() {
                        return StreamItem::Failed(refusal);
                    }
                }
            }
        }
    }

    /// Starts an attempt at the endpoint with the best offer.
    async fn start_attempt(&mut self) -> Result<(), Refusal> {
        let attempt = self.stream.start_attempt();
        self.registered_attempt = None;
        let (candidate, offer) = self.search_endpoint(&attempt).await?;
        debug!("event=attempt attempt={attempt} endpoint={}", candidate.endpoint);
        let request = RunRequest {
            revision: self.shared.store.revision(),
            attempt: attempt.to_string(),
            target: self.target.clone(),
            tenant: self.context.tenant.to_string(),
            class: self.context.class.to_string(),
            deadline_ms: self.context.remaining().as_millis() as u32,
            path: self.path.clone(),
            body: self.request_body(),
            resume_tokens: self.stream.delivered(),
            incarnation: offer.incarnation,
            ticket_ms: offer.ticket_ms,
            fingerprint: self.fingerprint,
            crashes: self.stream.crashes(),
            at_most_once: false,
        };
        let mut client = AgentClient::new(self.shared.channels.to(candidate.agent));
        let remote = candidate.distance == Distance::Remote;
        let endpoint = candidate.endpoint;
        match time::timeout(self.context.remaining(), client.run(request)).await {
            Ok(Ok(reply)) => {
                let frames = reply.into_inner();
                self.open = Some(OpenAttempt { attempt, endpoint, remote, frames });
                Ok(())
            }
            Ok(Err(status)) => {
                self.shared.health().record_failure(Instant::now(), &endpoint);
                self.report_attempt_end(What::Otherwise, &endpoint).await;
                self.excluded.push(endpoint);
                let refusal = Refusal::new(Code::EndpointFailed, status.message());
                let failed = AttemptEvent::Failed { refusal, crashed: false };
                match self.stream.handle(Instant::now(), &attempt, failed) {
                    Action::Fail(refusal) => Err(refusal),
                    _ => self.take_retry("unreachable"),
                }
            }
            Err(_) => {
                let text = "no endpoint accepted the request before its deadline";
                Err(Refusal::new(Code::DeadlineExceeded, text))
            }
        }
    }

    /// Finds an endpoint, and tries again until [`SEARCH_TIMEOUT`] while there is none.
    async fn search_endpoint(
        &mut self,
        attempt: &AttemptId,
    ) -> Result<(Candidate, Offer), Refusal> {
        let search_deadline = (Instant::now() + SEARCH_TIMEOUT).min(self.context.deadline);
        loop {
            let refusal = match self.find_endpoint(attempt).await {
                Ok(selected) => return Ok(selected),
                Err(refusal) if refusal.code == Code::Quarantined => return Err(refusal),
                // The endpoints that could run the request are overloaded: return that refusal now,
                // with its retry time, instead of searching on.
                Err(refusal) => match self.overload_refusal.take() {
                    Some(refusal) => return Err(refusal),
                    None => refusal,
                },
            };
            if search_deadline <= Instant::now() + SEARCH_RETRY_DELAY {
                return Err(refusal);
            }
            time::sleep(SEARCH_RETRY_DELAY).await;
            // An endpoint that refused before may admit the request now.
            self.excluded.clear();
        }
    }

    /// Selects an endpoint and asks the registry for a permit concurrently, then restricts the
    /// selection to what the permit allows.
    async fn find_endpoint(&mut self, attempt: &AttemptId) -> Result<(Candidate, Offer), Refusal> {
        let any_endpoint = self.select_endpoint(None);
        let (permit, selected) =
            join(self.shared.request_permit(self.fingerprint, attempt), any_endpoint).await;
        self.registered_attempt = Some(attempt.clone());
        let (candidate, offer) = match &permit {
            Permit::Quarantined(crashes) => {
                let text = format!("the request ran at {crashes} endpoints that crashed");
                return Err(Refusal::new(Code::Quarantined, text));
            }
            Permit::Follow(endpoint) => match selected {
                Ok(pair) if pair.0.endpoint == *endpoint => pair,
                _ => self.select_endpoint(Some(endpoint)).await?,
            },
            Permit::Wait => {
                let text = "an identical request is in progress and has no endpoint yet";
                return Err(Refusal::new(Code::NoEndpoint, text).retry_after(SEARCH_RETRY_DELAY));
            }
            Permit::Proven | Permit::First => selected?,
        };
        self.completed_before = permit == Permit::Proven;
        if permit == Permit::First {
            let report = self.shared.report_attempt(
                self.fingerprint,
                attempt,
                What::Placed,
                &candidate.endpoint,
            );
            tokio::spawn(report);
        }
        Ok((candidate, offer))
    }

    async fn select_endpoint(
        &self,
        only: Option<&EndpointId>,
    ) -> Result<(Candidate, Offer), Refusal> {
        let criteria = SelectionCriteria {
            target: &self.target,
            context: &self.context,
            affinity: self.affinity,
            exclude: &self.excluded,
            only,
        };
        self.shared.select_endpoint(&criteria).await
    }

    /// Reports the end of the current attempt to the registry when the event ends it.
    async fn report_event(&mut self, attempt: &AttemptId, event: &AttemptEvent) {
        let what = match event {
            AttemptEvent::Token { .. } => return,
            AttemptEvent::Done { .. } => What::Completed,
            AttemptEvent::Failed { crashed: true, .. } => What::Crashed,
            AttemptEvent::Failed { .. } | AttemptEvent::Refused(_) => What::Otherwise,
        };
        let Some(open) = self.open.as_ref().filter(|open| open.attempt == *attempt) else { return };
        let endpoint = open.endpoint.clone();
        self.report_attempt_end(what, &endpoint).await;
    }

    async fn report_attempt_end(&mut self, what: What, endpoint: &EndpointId) {
        let Some(attempt) = self.registered_attempt.take() else { return };
        let report = self.shared.report_attempt(self.fingerprint, &attempt, what, endpoint);
        match what {
            // The registry already knows that this request completes.
            What::Completed if self.completed_before => {}
            What::Completed => drop(tokio::spawn(report)),
            // The registry must know before the next attempt asks for a permit.
            _ => report.await,
        }
    }

    /// Waits for a frame; `None` when it carries no event.
    async fn receive(&mut self) -> Option<(AttemptId, AttemptEvent)> {
        let open = self.open.as_mut()?;
        let timeout = self.context.remaining() + DEADLINE_GRACE;
        let received = time::timeout(timeout, open.frames.message()).await;
        let failed = |code, text: &str| AttemptEvent::Failed {
            refusal: Refusal::new(code, text),
            crashed: false,
        };
        let current = open.attempt.clone();
        let frame = match received {
            Err(_) => {
                return Some((
                    current,
                    failed(
                        Code::DeadlineExceeded,
                        "the deadline passed before the response was complete",
                    ),
                ));
            }
            Ok(Err(status)) => {
                return Some((current, failed(Code::EndpointFailed, status.message())));
            }
            Ok(Ok(None)) => {
                return Some((
                    current,
                    failed(
                        Code::EndpointFailed,
                        "the response stream ended before the response was complete",
                    ),
                ));
            }
            Ok(Ok(Some(frame))) => frame,
        };
        // The attempt id in the frame decides, not the attempt for which the stream was opened.
        let attempt: AttemptId = frame.attempt.as_str().into();
        let remote = open.remote;
        let event = match frame.body? {
            Body::Started(_) | Body::Response(_) => return None,
            Body::Token(token) => {
                if remote {
                    counter!(names::CROSS_REGION).increment(token.text.len() as u64);
                }
                AttemptEvent::Token { index: token.index, text: token.text }
            }
            Body::Done(done) => AttemptEvent::Done { tokens: done.tokens },
            Body::Refused(refused) => AttemptEvent::Refused(decode_refusal(refused)),
            Body::Failed(failed) => {
                let code = Code::from_number(failed.code).unwrap_or(Code::EndpointFailed);
                let refusal = Refusal::new(code, failed.message);
                AttemptEvent::Failed { refusal, crashed: failed.crashed }
            }
        };
        Some((attempt, event))
    }

    fn record_overload(&mut self, event: &AttemptEvent) {
        if let AttemptEvent::Refused(refusal) = event
            && matches!(refusal.code, Code::QueueFull | Code::DeadlineTooShort)
        {
            self.overload_refusal = Some(refusal.clone());
        }
    }

    fn prepare_retry(&mut self) -> Result<(), Refusal> {
        if let Some(open) = self.open.take() {
            self.excluded.push(open.endpoint);
        }
        let view = self.shared.store.view();
        let target_latency =
            view.state.duration(Key::FirstTokenMs, &self.context.scope(&self.target));
        let late = target_latency <= self.context.started.elapsed();
        // A request that has missed its latency target at an overloaded endpoint is not made to
        // wait at another one.
        if late && let Some(refusal) = self.overload_refusal.take() {
            return Err(self.stream.with_outcome(refusal));
        }
        self.take_retry("broken")
    }

    fn take_retry(&self, reason: &'static str) -> Result<(), Refusal> {
        // Refusals cost an endpoint nothing, so a request that was only refused takes nothing from
        // the retry budget.
        let only_refused = self.stream.attempts() == 0;
        let now = Instant::now();
        if only_refused || self.shared.limits().take_retry(now, &self.context.tenant) {
            counter!(names::RETRIES, "reason" => reason).increment(1);
            return Ok(());
        }
        let text = format!("the retry budget of tenant {:?} is exhausted", self.context.tenant);
        let outcome = if self.stream.delivered() != 0 { Outcome::Ran } else { Outcome::Unknown };
        Err(Refusal::new(Code::EndpointFailed, text).outcome(outcome))
    }

    fn request_body(&self) -> Bytes {
        let tokens = self.stream.delivered();
        if tokens == 0 {
            return serde_json::to_vec(&self.body).unwrap_or_default().into();
        }
        let mut body = self.body.clone();
        body.insert("resume".to_owned(), json!({ "tokens": tokens, "text": self.delivered_text }));
        serde_json::to_vec(&body).unwrap_or_default().into()
    }
}

/// Converts a refusal from the wire. A code that this version does not know becomes
/// [`Code::NoEndpoint`] with the code and the message in its text.
pub(super) fn decode_refusal(wire: crate::rpc::pb::Refused) -> Refusal {
    let message = wire.message.clone();
    Refusal::try_from(wire)
        .unwrap_or_else(|code| Refusal::new(Code::NoEndpoint, format!("code {code}: {message}")))
}

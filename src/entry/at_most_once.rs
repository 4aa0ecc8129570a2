//! Requests with one buffered response: calls of plain services, and completions
//! with an idempotency key. A request with a key runs at most once: this module
//! performs the actions that [`Dispatch`] decides on.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Response, StatusCode, header};
use log::info;
use metrics::{counter, histogram};
use tokio::time;

use crate::{
    core::{
        config::{Item, ItemKind, Key},
        hash,
        idempotency::{Action, Answer, Claim, Dispatch, Event, FenceState, Request, SelectedAgent},
        ids::{AttemptId, EndpointId},
    },
    entry::{
        completion::Completion, driver::decode_refusal, endpoint_selection::SelectionCriteria,
        request_context::RequestContext, shared::Shared,
    },
    errors::{Code, Outcome, Refusal},
    fleet::Log,
    http::{self, Reply, ReplyBody},
    rpc::pb::{FenceRequest, RunRequest, agent_client::AgentClient, run_frame::Body},
    telemetry::names,
};

const FENCE_TIMEOUT: Duration = Duration::from_millis(500);
// Time after the deadline for the agent to report how the attempt ended.
const DEADLINE_GRACE: Duration = Duration::from_millis(200);

/// A request whose response is buffered and returned as a whole.
struct BufferedRequest<'a> {
    context: &'a RequestContext,
    target: String,
    path: String,
    body: Bytes,
    fingerprint: u64,
}

impl BufferedRequest<'_> {
    /// Criteria for selecting an endpoint other than the excluded ones.
    fn selection_criteria<'a>(&'a self, exclude: &'a [EndpointId]) -> SelectionCriteria<'a> {
        SelectionCriteria {
            target: &self.target,
            context: self.context,
            affinity: self.fingerprint,
            exclude,
            only: None,
        }
    }
}

/// A response with its full body, also where the stored [`Answer`] leaves the body out.
#[derive(Clone, Debug)]
struct BufferedResponse {
    status: u16,
    content_type: String,
    body: Bytes,
}

impl<L: Log> Shared<L> {
    /// Calls a plain service: under a claim with an idempotency key, with retries when the
    /// service is idempotent, and otherwise without retrying an attempt that may have run.
    pub(super) async fn call_service(
        self: &Arc<Self>,
        context: &RequestContext,
        name: &str,
        path: &str,
        body: Bytes,
    ) -> Result<Reply, Refusal> {
        let view = self.store.view();
        let Some(Item::Service { idempotent }) = view.state.item(ItemKind::Service, name) else {
            let text = format!("service {name:?} is not configured");
            return Err(Refusal::new(Code::UnknownService, text));
        };
        let target = format!("service/{name}");
        let hashed_fields: [&[u8]; 4] =
            [context.tenant.as_bytes(), target.as_bytes(), path.as_bytes(), &body];
        let fingerprint = hash::stable(&hashed_fields);
        let request = BufferedRequest { context, target, path: path.to_owned(), body, fingerprint };
        let response = match (&context.idempotency_key, idempotent) {
            (Some(key), _) => self.run_claimed(&request, key).await,
            (None, true) => self.run_with_retries(&request).await,
            (None, false) => self.run_unclaimed(&request, &mut Vec::new()).await,
        };
        self.record_metrics(&request, &response);
        Ok(into_reply(response?))
    }

    /// Runs a completion with an idempotency key. Its response is collected even when the caller
    /// asked for a stream.
    pub(super) async fn complete_once(
        self: &Arc<Self>,
        context: &RequestContext,
        completion: &Completion,
    ) -> Result<Reply, Refusal> {
        let body = serde_json::to_vec(&completion.body).unwrap_or_default();
        let request = BufferedRequest {
            context,
            target: completion.target.clone(),
            path: completion.kind.path().to_owned(),
            body: body.into(),
            fingerprint: completion.fingerprint,
        };
        let key = context.idempotency_key.as_deref().unwrap_or_default();
        let response = self.run_claimed(&request, key).await;
        self.record_metrics(&request, &response);
        let text = String::from_utf8_lossy(&response?.body).into_owned();
        let tokens = text.split_whitespace().count() as u32;
        Ok(http::json(StatusCode::OK, &completion.response_json(&text, tokens)))
    }

    fn record_metrics(
        &self,
        request: &BufferedRequest<'_>,
        result: &Result<BufferedResponse, Refusal>,
    ) {
        let context = request.context;
        let labels = [("tenant", context.tenant.to_string()), ("class", context.class.to_string())];
        let elapsed = context.started.elapsed();
        let target_latency =
            self.store.view().state.duration(Key::FirstTokenMs, &context.scope(&request.target));
        let code = result.as_ref().err().map_or(0, |r| r.code.number());
        counter!(names::REQUESTS, &labels).increment(1);
        let within_target = code == 0 && elapsed <= target_latency;
        counter!(names::ATTAINED, &labels).increment(u64::from(within_target));
        histogram!(names::REQUEST, &labels).record(elapsed.as_secs_f64());
        if code != 0 {
            counter!(names::REFUSALS, "code" => code.to_string()).increment(1);
        }
        info!(
            "event=call target={} tenant={} class={} code={code} total_ms={}",
            request.target,
            context.tenant,
            context.class,
            elapsed.as_millis()
        );
    }

    /// Runs a request at most once, under a claim of its key.
    async fn run_claimed(
        self: &Arc<Self>,
        request: &BufferedRequest<'_>,
        key: &str,
    ) -> Result<BufferedResponse, Refusal> {
        let view = self.store.view();
        let max_attempts =
            view.state.value(Key::MaxAttempts, &request.context.scope(&request.target));
        let dispatch_request = Request {
            id: self.request_id(),
            key: format!("{}/{}/{key}", request.context.tenant, request.target),
            digest: request.fingerprint,
            entry: self.name.clone(),
            deadline: request.context.deadline,
            max_attempts: max_attempts as u32,
        };
        let claim_key = dispatch_request.key.clone();
        let (mut dispatch, mut action) = Dispatch::new(dispatch_request);
        let mut response = None;
        loop {
            let event = match action {
                Action::SelectAgent { exclude } => self.select_agent(request, &exclude).await,
                Action::Claim(claim) => Event::Claimed(self.claims.claim(claim).await),
                Action::Run(claim) => self.run_claimed_attempt(request, claim, &mut response).await,
                Action::Fence(claim) => {
                    Event::Fenced(claim.attempt.clone(), self.fence_attempt(&claim).await)
                }
                Action::LookUp => Event::Claimed(self.claims.look_up(&claim_key).await),
                Action::Wait(delay) => {
                    time::sleep(delay).await;
                    Event::Waited
                }
                Action::Finish { record, result } => {
                    if let Some(record) = record {
                        self.claims.append_in_background(record);
                    }
                    return final_response(result, response);
                }
            };
            let next = dispatch.handle_event(Instant::now(), event);
            action = next.ok_or_else(|| {
                Refusal::new(
                    Code::OutcomeUnknown,
                    "the claim protocol received an unexpected event",
                )
            })?;
        }
    }

    async fn select_agent(&self, request: &BufferedRequest<'_>, exclude: &[EndpointId]) -> Event {
        match self.select_endpoint(&request.selection_criteria(exclude)).await {
            Ok((candidate, offer)) => Event::AgentSelected(SelectedAgent {
                agent: candidate.endpoint,
                incarnation: offer.incarnation,
                ticket_ms: offer.ticket_ms,
            }),
            Err(refusal) => Event::NoAgent(refusal),
        }
    }

    async fn run_claimed_attempt(
        &self,
        request: &BufferedRequest<'_>,
        claim: Claim,
        response: &mut Option<BufferedResponse>,
    ) -> Event {
        let attempt = claim.attempt.clone();
        match self.run_attempt(request, &claim).await {
            AttemptResult::Answered(answer) => {
                let stored =
                    Answer::from_response(answer.status, &answer.content_type, &answer.body);
                *response = Some(answer);
                Event::Answered(attempt, stored)
            }
            AttemptResult::Refused(refusal) => Event::Refused(attempt, refusal),
            AttemptResult::Lost(_) => Event::AttemptLost(attempt),
        }
    }

    /// Sends an attempt to the agent that its claim names and waits for the response.
    async fn run_attempt(&self, request: &BufferedRequest<'_>, claim: &Claim) -> AttemptResult {
        let Some(agent) = self.agent_address(&claim.agent) else {
            let text = format!("endpoint {:?} is no longer configured", claim.agent);
            return AttemptResult::Lost(Refusal::new(Code::NoEndpoint, text));
        };
        let run_request = RunRequest {
            revision: self.store.revision(),
            attempt: claim.attempt.to_string(),
            target: request.target.clone(),
            tenant: request.context.tenant.to_string(),
            class: request.context.class.to_string(),
            deadline_ms: request.context.remaining().as_millis() as u32,
            path: request.path.clone(),
            body: request.body.clone(),
            resume_tokens: 0,
            incarnation: claim.incarnation,
            ticket_ms: claim.ticket_ms,
            fingerprint: request.fingerprint,
            crashes: 0,
            at_most_once: true,
        };
        let timeout = request.context.remaining() + DEADLINE_GRACE;
        let mut client = AgentClient::new(self.channels.to(agent));
        let run = async {
            let mut frames = client.run(run_request).await?.into_inner();
            while let Some(frame) = frames.message().await? {
                if frame.attempt != *claim.attempt {
                    counter!(names::STALE_FRAMES).increment(1);
                    continue;
                }
                match frame.body {
                    Some(Body::Response(r)) => {
                        return Ok(AttemptResult::Answered(BufferedResponse {
                            status: r.status as u16,
                            content_type: r.content_type,
                            body: r.body,
                        }));
                    }
                    Some(Body::Refused(r)) => return Ok(AttemptResult::Refused(decode_refusal(r))),
                    Some(Body::Failed(failed)) => {
                        return Ok(AttemptResult::Lost(Refusal::new(
                            Code::EndpointFailed,
                            failed.message,
                        )));
                    }
                    _ => {}
                }
            }
            Ok::<AttemptResult, tonic::Status>(AttemptResult::Lost(Refusal::new(
                Code::EndpointFailed,
                "the response stream ended before the response",
            )))
        };
        match time::timeout(timeout, run).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(status)) => {
                AttemptResult::Lost(Refusal::new(Code::EndpointFailed, status.message()))
            }
            Err(_) => AttemptResult::Lost(Refusal::new(
                Code::DeadlineExceeded,
                "the deadline passed before the response arrived",
            )),
        }
    }

    /// Fences an attempt at its agent and returns the attempt's state; `None` when the agent does
    /// not reply.
    async fn fence_attempt(&self, claim: &Claim) -> Option<FenceState> {
        let mut client = AgentClient::new(self.channels.to(self.agent_address(&claim.agent)?));
        let fence_request = FenceRequest {
            attempt: claim.attempt.to_string(),
            incarnation: claim.incarnation,
            ticket_ms: claim.ticket_ms,
        };
        let reply = time::timeout(FENCE_TIMEOUT, client.fence(fence_request)).await;
        Some(FenceState::from(reply.ok()?.ok()?.into_inner()))
    }

    /// Runs an idempotent request without a key, and retries attempts that failed.
    async fn run_with_retries(
        &self,
        request: &BufferedRequest<'_>,
    ) -> Result<BufferedResponse, Refusal> {
        let mut exclude = Vec::new();
        let view = self.store.view();
        let max_attempts =
            view.state.value(Key::MaxAttempts, &request.context.scope(&request.target));
        let mut last = self.run_unclaimed(request, &mut exclude).await;
        for _ in 1..max_attempts {
            let Err(refusal) = &last else { break };
            let may_retry = request.context.deadline > Instant::now()
                && self.limits().take_retry(Instant::now(), &request.context.tenant);
            if !may_retry || refusal.code == Code::DeadlineExceeded {
                break;
            }
            counter!(names::RETRIES, "reason" => "service").increment(1);
            last = self.run_unclaimed(request, &mut exclude).await;
        }
        last
    }

    /// Runs a request without a claim. Another endpoint is tried only after a refusal, which proves
    /// that the attempt did not run.
    async fn run_unclaimed(
        &self,
        request: &BufferedRequest<'_>,
        exclude: &mut Vec<EndpointId>,
    ) -> Result<BufferedResponse, Refusal> {
        loop {
            let (candidate, offer) =
                self.select_endpoint(&request.selection_criteria(exclude)).await?;
            exclude.push(candidate.endpoint.clone());
            let attempt: AttemptId = format!("{}.0", self.request_id()).into();
            let claim = Claim {
                key: String::new(),
                digest: request.fingerprint,
                attempt,
                entry: self.name.clone(),
                agent: candidate.endpoint,
                incarnation: offer.incarnation,
                ticket_ms: offer.ticket_ms,
                supersedes: None,
            };
            match self.run_attempt(request, &claim).await {
                AttemptResult::Answered(response) => return Ok(response),
                AttemptResult::Refused(refusal) if request.context.deadline <= Instant::now() => {
                    return Err(refusal);
                }
                AttemptResult::Refused(_) => {}
                AttemptResult::Lost(refusal) => return Err(refusal.outcome(Outcome::Unknown)),
            }
        }
    }

    fn agent_address(&self, endpoint: &str) -> Option<std::net::SocketAddr> {
        match self.store.view().state.item(ItemKind::Endpoint, endpoint) {
            Some(Item::Endpoint { agent, .. }) => Some(*agent),
            _ => None,
        }
    }
}

/// Result of an attempt.
enum AttemptResult {
    Answered(BufferedResponse),
    /// The agent refused the attempt, which did not run and never will.
    Refused(Refusal),
    /// The attempt may have run.
    Lost(Refusal),
}

fn final_response(
    result: Result<Answer, Refusal>,
    response: Option<BufferedResponse>,
) -> Result<BufferedResponse, Refusal> {
    let answer = result?;
    if let Some(response) = response {
        return Ok(response);
    }
    let Answer { status, content_type, body: Some(body) } = answer else {
        let text = "the request already ran, but its response was not stored";
        return Err(Refusal::new(Code::OutcomeUnknown, text).outcome(Outcome::Ran));
    };
    Ok(BufferedResponse { status, content_type, body: body.into() })
}

fn into_reply(response: BufferedResponse) -> Reply {
    let mut reply = Response::new(ReplyBody::full(response.body));
    *reply.status_mut() = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(value) = header::HeaderValue::from_str(&response.content_type) {
        reply.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    reply
}

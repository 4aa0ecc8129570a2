//! Requests that run at most once: carries out what the dispatch decides.

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
        caller::Caller, completion::Completion, driver::refusal, probe::Wanted, shared::Shared,
    },
    errors::{Code, Outcome, Refusal},
    fleet::Log,
    http::{self, Reply, ReplyBody},
    rpc::pb::{FenceRequest, RunRequest, agent_client::AgentClient, run_frame::Body},
    telemetry::names,
};

const FENCE_LIMIT: Duration = Duration::from_millis(500);
const DEADLINE_GRACE: Duration = Duration::from_millis(200);

/// A call that runs at most once.
struct Call<'a> {
    caller: &'a Caller,
    target: String,
    path: String,
    body: Bytes,
    fingerprint: u64,
}

impl Call<'_> {
    /// What the choice of an endpoint needs to know of the call.
    fn wanted<'a>(&'a self, exclude: &'a [EndpointId]) -> Wanted<'a> {
        Wanted {
            target: &self.target,
            caller: self.caller,
            affinity: self.fingerprint,
            exclude,
            only: None,
        }
    }
}

/// An answer with its body whole, as the first caller gets it.
#[derive(Clone, Debug)]
struct Whole {
    status: u16,
    content_type: String,
    body: Bytes,
}

impl<L: Log> Shared<L> {
    /// Calls a plain service.
    pub(super) async fn call_service(
        self: &Arc<Self>,
        caller: &Caller,
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
        let parts: [&[u8]; 4] =
            [caller.tenant.as_bytes(), target.as_bytes(), path.as_bytes(), &body];
        let fingerprint = hash::stable(&parts);
        let call = Call { caller, target, path: path.to_owned(), body, fingerprint };
        let whole = match (&caller.key, idempotent) {
            (Some(key), _) => self.claimed(&call, key).await,
            (None, true) => self.repeated(&call).await,
            (None, false) => self.unclaimed(&call, &mut Vec::new()).await,
        };
        self.count(&call, &whole);
        Ok(reply(whole?))
    }

    /// Runs a completion with an idempotency key.
    pub(super) async fn complete_once(
        self: &Arc<Self>,
        caller: &Caller,
        completion: &Completion,
    ) -> Result<Reply, Refusal> {
        let body = serde_json::to_vec(&completion.body).unwrap_or_default();
        let call = Call {
            caller,
            target: completion.target.clone(),
            path: completion.kind.path().to_owned(),
            body: body.into(),
            fingerprint: completion.fingerprint,
        };
        let key = caller.key.as_deref().unwrap_or_default();
        let whole = self.claimed(&call, key).await;
        self.count(&call, &whole);
        let text = String::from_utf8_lossy(&whole?.body).into_owned();
        let tokens = text.split_whitespace().count() as u32;
        Ok(http::json(StatusCode::OK, &completion.whole(&text, tokens)))
    }

    fn count(&self, call: &Call<'_>, result: &Result<Whole, Refusal>) {
        let caller = call.caller;
        let labels = [("tenant", caller.tenant.to_string()), ("class", caller.class.to_string())];
        let took = caller.started.elapsed();
        let limit =
            self.store.view().state.duration(Key::FirstTokenMs, &caller.scope(&call.target));
        let code = result.as_ref().err().map_or(0, |r| r.code.number());
        counter!(names::REQUESTS, &labels).increment(1);
        let attained = code == 0 && took <= limit;
        counter!(names::ATTAINED, &labels).increment(u64::from(attained));
        histogram!(names::REQUEST, &labels).record(took.as_secs_f64());
        if code != 0 {
            counter!(names::REFUSALS, "code" => code.to_string()).increment(1);
        }
        info!(
            "event=call target={} tenant={} class={} code={code} total_ms={}",
            call.target,
            caller.tenant,
            caller.class,
            took.as_millis()
        );
    }

    /// Runs a call under a claim of its key.
    async fn claimed(self: &Arc<Self>, call: &Call<'_>, key: &str) -> Result<Whole, Refusal> {
        let view = self.store.view();
        let max_attempts = view.state.value(Key::MaxAttempts, &call.caller.scope(&call.target));
        let request = Request {
            id: self.request_id(),
            key: format!("{}/{}/{key}", call.caller.tenant, call.target),
            digest: call.fingerprint,
            entry: self.name.clone(),
            deadline: call.caller.deadline,
            max_attempts: max_attempts as u32,
        };
        let lookup = request.key.clone();
        let (mut dispatch, mut action) = Dispatch::new(request);
        let mut whole = None;
        loop {
            let event = match action {
                Action::SelectAgent { exclude } => self.choose_once(call, &exclude).await,
                Action::Claim(claim) => Event::Claimed(self.claims.claim(claim).await),
                Action::Run(claim) => self.run_once(call, claim, &mut whole).await,
                Action::Fence(claim) => {
                    Event::Fenced(claim.attempt.clone(), self.fence(&claim).await)
                }
                Action::LookUp => Event::Claimed(self.claims.look(&lookup).await),
                Action::Wait(delay) => {
                    time::sleep(delay).await;
                    Event::Waited
                }
                Action::Finish { record, result } => {
                    if let Some(record) = record {
                        self.claims.tell(record);
                    }
                    return finish(result, whole);
                }
            };
            let next = dispatch.handle_event(Instant::now(), event);
            action = next.ok_or_else(|| {
                Refusal::new(Code::OutcomeUnknown, "the request was handled out of order")
            })?;
        }
    }

    async fn choose_once(&self, call: &Call<'_>, exclude: &[EndpointId]) -> Event {
        match self.choose(&call.wanted(exclude)).await {
            Ok((candidate, offer)) => Event::AgentSelected(SelectedAgent {
                agent: candidate.endpoint,
                incarnation: offer.incarnation,
                ticket_ms: offer.ticket_ms,
            }),
            Err(refusal) => Event::NoAgent(refusal),
        }
    }

    async fn run_once(&self, call: &Call<'_>, claim: Claim, whole: &mut Option<Whole>) -> Event {
        let attempt = claim.attempt.clone();
        match self.run_attempt(call, &claim).await {
            Ran::Answered(answer) => {
                let kept = Answer::from_response(answer.status, &answer.content_type, &answer.body);
                *whole = Some(answer);
                Event::Answered(attempt, kept)
            }
            Ran::Refused(refusal) => Event::Refused(attempt, refusal),
            Ran::Broken(_) => Event::AttemptLost(attempt),
        }
    }

    /// Sends an attempt to the agent that its claim names.
    async fn run_attempt(&self, call: &Call<'_>, claim: &Claim) -> Ran {
        let Some(agent) = self.agent_of(&claim.agent) else {
            let text = format!("endpoint {:?} is no longer configured", claim.agent);
            return Ran::Broken(Refusal::new(Code::NoEndpoint, text));
        };
        let request = RunRequest {
            revision: self.store.revision(),
            attempt: claim.attempt.to_string(),
            target: call.target.clone(),
            tenant: call.caller.tenant.to_string(),
            class: call.caller.class.to_string(),
            deadline_ms: call.caller.left().as_millis() as u32,
            path: call.path.clone(),
            body: call.body.clone(),
            resume_tokens: 0,
            incarnation: claim.incarnation,
            ticket_ms: claim.ticket_ms,
            fingerprint: call.fingerprint,
            crashes: 0,
            at_most_once: true,
        };
        let limit = call.caller.left() + DEADLINE_GRACE;
        let mut client = AgentClient::new(self.channels.to(agent));
        let run = async {
            let mut frames = client.run(request).await?.into_inner();
            while let Some(frame) = frames.message().await? {
                if frame.attempt != *claim.attempt {
                    counter!(names::STALE_FRAMES).increment(1);
                    continue;
                }
                match frame.body {
                    Some(Body::Response(r)) => {
                        return Ok(Ran::Answered(Whole {
                            status: r.status as u16,
                            content_type: r.content_type,
                            body: r.body,
                        }));
                    }
                    Some(Body::Refused(wire)) => return Ok(Ran::Refused(refusal(wire))),
                    Some(Body::Failed(failed)) => {
                        return Ok(Ran::Broken(Refusal::new(Code::EndpointFailed, failed.message)));
                    }
                    _ => {}
                }
            }
            Ok::<Ran, tonic::Status>(Ran::Broken(Refusal::new(
                Code::EndpointFailed,
                "the answer broke off",
            )))
        };
        match time::timeout(limit, run).await {
            Ok(Ok(ran)) => ran,
            Ok(Err(status)) => Ran::Broken(Refusal::new(Code::EndpointFailed, status.message())),
            Err(_) => Ran::Broken(Refusal::new(Code::DeadlineExceeded, "the deadline passed")),
        }
    }

    /// Forbids an attempt, or learns how it went; nothing when the agent does not answer.
    async fn fence(&self, claim: &Claim) -> Option<FenceState> {
        let mut client = AgentClient::new(self.channels.to(self.agent_of(&claim.agent)?));
        let request = FenceRequest {
            attempt: claim.attempt.to_string(),
            incarnation: claim.incarnation,
            ticket_ms: claim.ticket_ms,
        };
        let answer = time::timeout(FENCE_LIMIT, client.fence(request)).await;
        Some(FenceState::from(answer.ok()?.ok()?.into_inner()))
    }

    /// Runs a call that may be repeated, without a key.
    async fn repeated(&self, call: &Call<'_>) -> Result<Whole, Refusal> {
        let mut exclude = Vec::new();
        let view = self.store.view();
        let attempts = view.state.value(Key::MaxAttempts, &call.caller.scope(&call.target));
        let mut last = self.unclaimed(call, &mut exclude).await;
        for _ in 1..attempts {
            let Err(refusal) = &last else { break };
            let again = call.caller.deadline > Instant::now()
                && self.limits().take_retry(Instant::now(), &call.caller.tenant);
            if !again || refusal.code == Code::DeadlineExceeded {
                break;
            }
            counter!(names::RETRIES, "reason" => "service").increment(1);
            last = self.unclaimed(call, &mut exclude).await;
        }
        last
    }

    /// Makes a single attempt; only refusals that are proven not to have run are tried elsewhere.
    async fn unclaimed(
        &self,
        call: &Call<'_>,
        exclude: &mut Vec<EndpointId>,
    ) -> Result<Whole, Refusal> {
        loop {
            let (candidate, offer) = self.choose(&call.wanted(exclude)).await?;
            exclude.push(candidate.endpoint.clone());
            let attempt: AttemptId = format!("{}.0", self.request_id()).into();
            let claim = Claim {
                key: String::new(),
                digest: call.fingerprint,
                attempt,
                entry: self.name.clone(),
                agent: candidate.endpoint,
                incarnation: offer.incarnation,
                ticket_ms: offer.ticket_ms,
                supersedes: None,
            };
            match self.run_attempt(call, &claim).await {
                Ran::Answered(whole) => return Ok(whole),
                Ran::Refused(refusal) if call.caller.deadline <= Instant::now() => {
                    return Err(refusal);
                }
                Ran::Refused(_) => {}
                Ran::Broken(refusal) => return Err(refusal.outcome(Outcome::Unknown)),
            }
        }
    }

    fn agent_of(&self, endpoint: &str) -> Option<std::net::SocketAddr> {
        match self.store.view().state.item(ItemKind::Endpoint, endpoint) {
            Some(Item::Endpoint { agent, .. }) => Some(*agent),
            _ => None,
        }
    }
}

/// What an attempt came to.
enum Ran {
    Answered(Whole),
    /// It did not run and will not.
    Refused(Refusal),
    /// It may have run.
    Broken(Refusal),
}

fn finish(result: Result<Answer, Refusal>, whole: Option<Whole>) -> Result<Whole, Refusal> {
    let answer = result?;
    if let Some(whole) = whole {
        return Ok(whole);
    }
    let Answer { status, content_type, body: Some(body) } = answer else {
        let text = "the request ran before; its answer was too large to keep";
        return Err(Refusal::new(Code::OutcomeUnknown, text).outcome(Outcome::Ran));
    };
    Ok(Whole { status, content_type, body: body.into() })
}

fn reply(whole: Whole) -> Reply {
    let mut reply = Response::new(ReplyBody::whole(whole.body));
    *reply.status_mut() = StatusCode::from_u16(whole.status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(value) = header::HeaderValue::from_str(&whole.content_type) {
        reply.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    reply
}

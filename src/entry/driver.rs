//! Drives the attempts of a request that may be repeated. Whoever pulls the
//! pieces sets the pace: nothing is buffered for a slow reader.

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
        attempt::{Action, Event, Policy, Stream},
        config::Key,
        ids::{AttemptId, EndpointId},
        quarantine::Permit,
        routing::{Candidate, Distance, Offer},
    },
    entry::{caller::Caller, probe::Wanted, shared::Shared},
    errors::{Code, Outcome, Refusal},
    fleet::Log,
    rpc::pb::{
        RunFrame, RunRequest, agent_client::AgentClient, report_request::What, run_frame::Body,
    },
    telemetry::names,
};

// Time for which a request without any endpoint is kept before it is given up.
const SEARCH_LIMIT: Duration = Duration::from_secs(3);
const SEARCH_AGAIN: Duration = Duration::from_millis(200);
// Time that an agent has after the deadline to say how the attempt ended.
const DEADLINE_GRACE: Duration = Duration::from_millis(200);

/// A part of the answer.
#[derive(Debug)]
pub(super) enum Piece {
    Token(Bytes),
    Complete,
    Failed(Refusal),
}

/// One request that may be repeated.
pub(super) struct Driver<L: Log> {
    shared: Arc<Shared<L>>,
    caller: Caller,
    target: String,
    path: String,
    body: Map<String, Value>,
    text: String,
    affinity: u64,
    fingerprint: u64,
    stream: Stream,
    excluded: Vec<EndpointId>,
    open: Option<Open>,
    /// The attempt that the registry knows of, until its end is reported.
    vetted: Option<AttemptId>,
    proven: bool,
    /// The last refusal of an endpoint that had too much to do.
    overload: Option<Refusal>,
}

struct Open {
    attempt: AttemptId,
    endpoint: EndpointId,
    remote: bool,
    frames: Streaming<RunFrame>,
}

impl<L: Log> Drop for Driver<L> {
    fn drop(&mut self) {
        // The caller went away: who waits for this attempt's place need not wait longer.
        if let Some(attempt) = self.vetted.take() {
            tokio::spawn(self.shared.report(self.fingerprint, &attempt, What::Otherwise, ""));
        }
    }
}

/// A request as a driver takes it.
pub(super) struct Call {
    pub(super) id: String,
    pub(super) target: String,
    pub(super) path: String,
    pub(super) body: Map<String, Value>,
    pub(super) affinity: u64,
    pub(super) fingerprint: u64,
}

impl<L: Log> Driver<L> {
    pub(super) fn new(shared: Arc<Shared<L>>, caller: Caller, call: Call) -> Self {
        let view = shared.store.view();
        let scope = caller.scope(&call.target);
        let policy = Policy {
            max_attempts: view.state.value(Key::MaxAttempts, &scope) as u32,
            max_crashes: view.state.value(Key::QuarantineCrashes, &scope) as u32,
            deadline: caller.deadline,
        };
        Self {
            shared,
            caller,
            target: call.target,
            path: call.path,
            body: call.body,
            text: String::new(),
            affinity: call.affinity,
            fingerprint: call.fingerprint,
            stream: Stream::new(call.id, policy),
            excluded: Vec::new(),
            open: None,
            vetted: None,
            proven: false,
            overload: None,
        }
    }

    /// Attempts that may have run so far, the current one left out.
    pub(super) fn attempts(&self) -> u32 {
        self.stream.attempts()
    }

    /// The next part of the answer.
    pub(super) async fn next(&mut self) -> Piece {
        loop {
            if self.open.is_none()
                && let Err(refusal) = self.begin().await
            {
                return Piece::Failed(self.stream.outcome(refusal));
            }
            let Some((attempt, event)) = self.receive().await else {
                continue;
            };
            self.report_end(&attempt, &event).await;
            self.note_overload(&event);
            match self.stream.on(Instant::now(), &attempt, event) {
                Action::Deliver(text) => {
                    self.text.push_str(&String::from_utf8_lossy(&text));
                    return Piece::Token(text);
                }
                Action::Complete => return Piece::Complete,
                Action::Fail(refusal) => return Piece::Failed(refusal),
                Action::Ignore => counter!(names::STALE_FRAMES).increment(1),
                Action::Retry => {
                    if let Err(refusal) = self.close_for_retry() {
                        return Piece::Failed(refusal);
                    }
                }
            }
        }
    }

    /// Opens an attempt at the endpoint with the best offer.
    async fn begin(&mut self) -> Result<(), Refusal> {
        let attempt = self.stream.begin();
        self.vetted = None;
        let (candidate, offer) = self.search(&attempt).await?;
        debug!("event=attempt attempt={attempt} endpoint={}", candidate.endpoint);
        let request = RunRequest {
            revision: self.shared.store.revision(),
            attempt: attempt.to_string(),
            target: self.target.clone(),
            tenant: self.caller.tenant.to_string(),
            class: self.caller.class.to_string(),
            deadline_ms: self.caller.left().as_millis() as u32,
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
        match time::timeout(self.caller.left(), client.run(request)).await {
            Ok(Ok(reply)) => {
                let frames = reply.into_inner();
                self.open = Some(Open { attempt, endpoint, remote, frames });
                Ok(())
            }
            Ok(Err(status)) => {
                self.shared.health().failed(Instant::now(), &endpoint);
                self.tell_end(What::Otherwise, &endpoint).await;
                self.excluded.push(endpoint);
                let refusal = Refusal::new(Code::EndpointFailed, status.message());
                let broken = Event::Broken { refusal, crashed: false };
                match self.stream.on(Instant::now(), &attempt, broken) {
                    Action::Fail(refusal) => Err(refusal),
                    _ => self.may_retry("unreachable"),
                }
            }
            Err(_) => {
                let text = "no endpoint took the request before its deadline";
                Err(Refusal::new(Code::DeadlineExceeded, text))
            }
        }
    }

    /// Looks for an endpoint, again for a while when there is none.
    async fn search(&mut self, attempt: &AttemptId) -> Result<(Candidate, Offer), Refusal> {
        let until = (Instant::now() + SEARCH_LIMIT).min(self.caller.deadline);
        loop {
            let refusal = match self.find(attempt).await {
                Ok(found) => return Ok(found),
                Err(refusal) if refusal.code == Code::Quarantined => return Err(refusal),
                // Who is left is overloaded: the caller hears of it now and when to come back.
                Err(refusal) => match self.overload.take() {
                    Some(overload) => return Err(overload),
                    None => refusal,
                },
            };
            if until <= Instant::now() + SEARCH_AGAIN {
                return Err(refusal);
            }
            time::sleep(SEARCH_AGAIN).await;
            // Who refused before may admit now.
            self.excluded.clear();
        }
    }

    /// Probes and asks the registry at the same time, then keeps to what it said.
    async fn find(&mut self, attempt: &AttemptId) -> Result<(Candidate, Offer), Refusal> {
        let free = self.choose(None);
        let (permit, chosen) = join(self.shared.vet(self.fingerprint, attempt), free).await;
        self.vetted = Some(attempt.clone());
        let (candidate, offer) = match &permit {
            Permit::Quarantined(crashes) => {
                let text = format!("the request ran at {crashes} endpoints that crashed");
                return Err(Refusal::new(Code::Quarantined, text));
            }
            Permit::Follow(endpoint) => match chosen {
                Ok(found) if found.0.endpoint == *endpoint => found,
                _ => self.choose(Some(endpoint)).await?,
            },
            Permit::Wait => {
                let text = "the same request is in progress and was not placed yet";
                return Err(Refusal::new(Code::NoEndpoint, text).retry_after(SEARCH_AGAIN));
            }
            Permit::Proven | Permit::First => chosen?,
        };
        self.proven = permit == Permit::Proven;
        if permit == Permit::First {
            let placed =
                self.shared.report(self.fingerprint, attempt, What::Placed, &candidate.endpoint);
            tokio::spawn(placed);
        }
        Ok((candidate, offer))
    }

    async fn choose(&self, only: Option<&EndpointId>) -> Result<(Candidate, Offer), Refusal> {
        let wanted = Wanted {
            target: &self.target,
            caller: &self.caller,
            affinity: self.affinity,
            exclude: &self.excluded,
            only,
        };
        self.shared.choose(&wanted).await
    }

    /// Tells the registry how the current attempt ended, if the event says so.
    async fn report_end(&mut self, attempt: &AttemptId, event: &Event) {
        let what = match event {
            Event::Token { .. } => return,
            Event::Done { .. } => What::Completed,
            Event::Broken { crashed: true, .. } => What::Crashed,
            Event::Broken { .. } | Event::Refused(_) => What::Otherwise,
        };
        let Some(open) = self.open.as_ref().filter(|open| open.attempt == *attempt) else { return };
        let endpoint = open.endpoint.clone();
        self.tell_end(what, &endpoint).await;
    }

    async fn tell_end(&mut self, what: What, endpoint: &EndpointId) {
        let Some(attempt) = self.vetted.take() else { return };
        let told = self.shared.report(self.fingerprint, &attempt, what, endpoint);
        match what {
            // The end of what was proven before is no news.
            What::Completed if self.proven => {}
            What::Completed => drop(tokio::spawn(told)),
            // The registry is to know before the next attempt asks.
            _ => told.await,
        }
    }

    /// Waits for a frame; nothing when one carries no event.
    async fn receive(&mut self) -> Option<(AttemptId, Event)> {
        let open = self.open.as_mut()?;
        let limit = self.caller.left() + DEADLINE_GRACE;
        let received = time::timeout(limit, open.frames.message()).await;
        let broken =
            |code, text: &str| Event::Broken { refusal: Refusal::new(code, text), crashed: false };
        let current = open.attempt.clone();
        let frame = match received {
            Err(_) => {
                return Some((current, broken(Code::DeadlineExceeded, "the deadline passed")));
            }
            Ok(Err(status)) => {
                return Some((current, broken(Code::EndpointFailed, status.message())));
            }
            Ok(Ok(None)) => {
                return Some((current, broken(Code::EndpointFailed, "the answer broke off")));
            }
            Ok(Ok(Some(frame))) => frame,
        };
        // The id of the frame itself counts, not that of the connection it came by.
        let attempt: AttemptId = frame.attempt.as_str().into();
        let remote = open.remote;
        let event = match frame.body? {
            Body::Started(_) | Body::Response(_) => return None,
            Body::Token(token) => {
                if remote {
                    counter!(names::CROSS_REGION).increment(token.text.len() as u64);
                }
                Event::Token { index: token.index, text: token.text }
            }
            Body::Done(done) => Event::Done { tokens: done.tokens },
            Body::Refused(refused) => Event::Refused(refusal(refused)),
            Body::Failed(failed) => {
                let code = Code::from_number(failed.code).unwrap_or(Code::EndpointFailed);
                let refusal = Refusal::new(code, failed.message);
                Event::Broken { refusal, crashed: failed.crashed }
            }
        };
        Some((attempt, event))
    }

    fn note_overload(&mut self, event: &Event) {
        if let Event::Refused(refusal) = event
            && matches!(refusal.code, Code::QueueFull | Code::DeadlineTooShort)
        {
            self.overload = Some(refusal.clone());
        }
    }

    fn close_for_retry(&mut self) -> Result<(), Refusal> {
        if let Some(open) = self.open.take() {
            self.excluded.push(open.endpoint);
        }
        let view = self.shared.store.view();
        let target = view.state.duration(Key::FirstTokenMs, &self.caller.scope(&self.target));
        let late = target <= self.caller.started.elapsed();
        // Who waited in vain for as long as the target is not made to wait again.
        if late && let Some(overload) = self.overload.take() {
            return Err(self.stream.outcome(overload));
        }
        self.may_retry("broken")
    }

    fn may_retry(&self, reason: &'static str) -> Result<(), Refusal> {
        // A refusal cost the endpoint nothing and takes nothing from the budget.
        let free = self.stream.attempts() == 0;
        let now = Instant::now();
        if free || self.shared.limits().take_retry(now, &self.caller.tenant) {
            counter!(names::RETRIES, "reason" => reason).increment(1);
            return Ok(());
        }
        let text = format!("the retry budget of tenant {:?} is used up", self.caller.tenant);
        let outcome = if self.stream.delivered() != 0 { Outcome::Ran } else { Outcome::Unknown };
        Err(Refusal::new(Code::EndpointFailed, text).outcome(outcome))
    }

    fn request_body(&self) -> Bytes {
        let tokens = self.stream.delivered();
        if tokens == 0 {
            return serde_json::to_vec(&self.body).unwrap_or_default().into();
        }
        let mut body = self.body.clone();
        body.insert("resume".to_owned(), json!({ "tokens": tokens, "text": self.text }));
        serde_json::to_vec(&body).unwrap_or_default().into()
    }
}

/// A refusal as it came; one of a later version keeps its words.
pub(super) fn refusal(wire: crate::rpc::pb::Refused) -> Refusal {
    let message = wire.message.clone();
    Refusal::try_from(wire)
        .unwrap_or_else(|code| Refusal::new(Code::NoEndpoint, format!("code {code}: {message}")))
}

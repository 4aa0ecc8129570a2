//! One attempt at the endpoint, from its admission to its last frame.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use log::{debug, info};
use metrics::histogram;
use tokio::sync::{mpsc, oneshot};
use tonic::Status;

use crate::{
    agent::shared::Shared,
    agent::{Backend, BackendError, TokenStream},
    core::{
        config::{Key, Record, Scope},
        idempotency::{AdmissionError, Answer},
        ids::{AttemptId, Mib},
        limits::Flow,
        memory::Resource,
        placement,
        scheduling::{ExecutionMode, QueuedRequest},
    },
    errors::{Code, Refusal},
    fleet::Log,
    rpc::pb::{Done, Failed, Response, RunFrame, RunRequest, Started, Token, run_frame::Body},
    telemetry::names,
};

/// Frames of one attempt on their way to the entry.
pub(super) struct Frames {
    attempt: String,
    sequence: u32,
    tx: mpsc::Sender<Result<RunFrame, Status>>,
}

impl Frames {
    pub(super) fn new(attempt: String, tx: mpsc::Sender<Result<RunFrame, Status>>) -> Self {
        Self { attempt, sequence: 0, tx }
    }

    /// Sends a frame; false when the entry went away. Waits while the entry is slow.
    async fn send(&mut self, body: Body) -> bool {
        let sequence = self.sequence;
        self.sequence += 1;
        let frame = RunFrame { attempt: self.attempt.clone(), sequence, body: Some(body) };
        self.tx.send(Ok(frame)).await.is_ok()
    }

    async fn refuse(&mut self, refusal: Refusal) {
        debug!("event=attempt_refused attempt={} error=\"{refusal}\"", self.attempt);
        self.send(Body::Refused(refusal.into())).await;
    }
}

/// What is needed to run an admitted attempt.
struct Admitted {
    attempt: AttemptId,
    needed: Vec<(Resource, Mib)>,
    deadline: Instant,
    queued_at: Instant,
}

impl<B: Backend, L: Log> Shared<B, L> {
    /// Runs an attempt and sends its frames.
    pub(super) async fn run(self: Arc<Self>, req: RunRequest, mut frames: Frames) {
        let attempt: AttemptId = req.attempt.as_str().into();
        if let Err(refusal) = self.check(&req) {
            return frames.refuse(refusal).await;
        }
        if req.at_most_once {
            match self.remember(&req, &attempt) {
                Err(refusal) if refusal.code == Code::DuplicateAttempt => {
                    let failed = failed(&refusal, false);
                    frames.send(Body::Failed(failed)).await;
                    return;
                }
                Err(refusal) => return frames.refuse(refusal).await,
                Ok(()) => {}
            }
        }
        match self.admit(&req, &attempt, &frames).await {
            Ok(admitted) => {
                self.run_admitted(&req, &admitted, &mut frames).await;
                self.lock().release(&admitted.needed);
            }
            Err(refusal) => {
                self.lock().memory.not_run(&attempt);
                frames.refuse(refusal).await;
            }
        }
        self.changed.notify_waiters();
        self.pump();
    }

    /// Refuses what must not run here, before anything is done for it.
    fn check(&self, req: &RunRequest) -> Result<(), Refusal> {
        self.store.hint(req.revision);
        let known = self.store.view().state.crashes(req.fingerprint);
        let mut core = self.lock();
        if core.draining {
            return Err(Refusal::new(Code::Draining, "the endpoint is leaving"));
        }
        if !core.engine_up {
            return Err(Refusal::new(Code::NoEndpoint, "the endpoint does not answer its agent"));
        }
        core.crash_tracker.merge_count(req.fingerprint, req.crashes.max(known));
        if core.crash_tracker.execution_mode(req.fingerprint) == ExecutionMode::Quarantined {
            let text = "the request crashed endpoints and is no longer run";
            return Err(Refusal::new(Code::Quarantined, text));
        }
        Ok(())
    }

    /// Admits an attempt that may run at most once.
    fn remember(&self, req: &RunRequest, attempt: &AttemptId) -> Result<(), Refusal> {
        if req.incarnation != self.identity.incarnation {
            let text = "the attempt was meant for an earlier start of the agent";
            return Err(Refusal::new(Code::StaleTicket, text));
        }
        let ticket = Duration::from_millis(req.ticket_ms);
        let admitted = self.lock().memory.admit(self.uptime(), attempt, ticket);
        admitted.map_err(|err| match err {
            AdmissionError::StaleTicket => Refusal::new(Code::StaleTicket, "the probe is too old"),
            AdmissionError::Fenced => Refusal::new(Code::Fenced, "the attempt was forbidden"),
            AdmissionError::Duplicate => {
                Refusal::new(Code::DuplicateAttempt, "the attempt was seen before")
            }
        })
    }

    /// Gets the model loaded and waits for the attempt's turn.
    async fn admit(
        self: &Arc<Self>,
        req: &RunRequest,
        attempt: &AttemptId,
        frames: &Frames,
    ) -> Result<Admitted, Refusal> {
        let queued_at = Instant::now();
        let deadline = queued_at + Duration::from_millis(req.deadline_ms.into());
        let needed = placement::required_resources(&self.store.view().state, &req.target)?;
        let gone = Refusal::new(Code::NoEndpoint, "the caller went away");
        tokio::select! {
            loaded = self.ensure(&needed, deadline) => loaded?,
            () = frames.tx.closed() => return Err(gone),
        }
        let turn = match self.offer(req, attempt, deadline) {
            Ok(turn) => turn,
            Err(refusal) => {
                self.lock().release(&needed);
                return Err(refusal);
            }
        };
        self.pump();
        let started = tokio::select! {
            turn = turn => turn.unwrap_or(Err(gone)),
            () = frames.tx.closed() => Err(gone),
        };
        if let Err(refusal) = started {
            let mut core = self.lock();
            core.waiting.remove(attempt);
            core.scheduler.cancel(attempt);
            core.scheduler.finish(Instant::now(), attempt);
            core.release(&needed);
            return Err(refusal);
        }
        Ok(Admitted { attempt: attempt.clone(), needed, deadline, queued_at })
    }

    fn offer(
        &self,
        req: &RunRequest,
        attempt: &AttemptId,
        deadline: Instant,
    ) -> Result<oneshot::Receiver<Result<(), Refusal>>, Refusal> {
        let view = self.store.view();
        let scope = Scope {
            model: Some(&req.target),
            tenant: Some(&req.tenant),
            class: Some(&req.class),
            endpoint: Some(&self.identity.endpoint),
        };
        let flow = Flow {
            tenant: req.tenant.as_str().into(),
            class: req.class.as_str().into(),
            weight: view.state.value(Key::Weight, &scope),
            priority: view.state.value(Key::Priority, &scope),
        };
        let now = Instant::now();
        // Who cannot start within the target is refused while there is time to ask elsewhere.
        let target = view.state.duration(Key::FirstTokenMs, &scope);
        let mut core = self.lock();
        // The shutdown may have begun while the model was loaded.
        if core.draining {
            return Err(Refusal::new(Code::Draining, "the endpoint is leaving"));
        }
        let isolated =
            core.crash_tracker.execution_mode(req.fingerprint) == ExecutionMode::Isolated;
        let first_token = core.scheduler.mean_first_token() * START_MARGIN;
        // The first token of a resumed answer was sent before.
        let patient = isolated || req.resume_tokens != 0;
        let latest_start = match patient {
            true => deadline,
            false => deadline.min(now + target.saturating_sub(first_token)),
        };
        let request = QueuedRequest {
            attempt: attempt.clone(),
            flow,
            latest_start,
            fingerprint: req.fingerprint,
            isolated,
        };
        core.scheduler.submit(now, request)?;
        let (tx, rx) = oneshot::channel();
        core.waiting.insert(attempt.clone(), tx);
        Ok(rx)
    }

    async fn run_admitted(
        self: &Arc<Self>,
        req: &RunRequest,
        admitted: &Admitted,
        frames: &mut Frames,
    ) {
        let waited = admitted.queued_at.elapsed();
        let labels = [("tenant", req.tenant.clone()), ("class", req.class.clone())];
        histogram!(names::QUEUE, &labels).record(waited.as_secs_f64());
        let started = Started { queue_ms: waited.as_millis() as u32 };
        let listens = frames.send(Body::Started(started)).await;
        // What may run at most once is carried through even when nobody listens.
        let result = if req.at_most_once || req.target.starts_with("service/") {
            self.call_service(req, admitted, frames).await
        } else if listens {
            self.stream_tokens(req, admitted, frames).await
        } else {
            Ok(())
        };
        self.finish(req, admitted, frames, result).await;
    }

    async fn stream_tokens(
        self: &Arc<Self>,
        req: &RunRequest,
        admitted: &Admitted,
        frames: &mut Frames,
    ) -> Result<(), BackendError> {
        let gone = BackendError::Broken("the caller went away".to_owned());
        let left = admitted.deadline.saturating_duration_since(Instant::now());
        let timed = tokio::time::timeout(left, async {
            let mut tokens = self.backend.complete(&req.path, req.body.clone()).await?;
            let mut index = req.resume_tokens;
            loop {
                let next = tokio::select! {
                    next = tokens.next() => next?,
                    () = frames.tx.closed() => return Err(gone),
                };
                let Some(text) = next else { break };
                if index == req.resume_tokens {
                    self.lock().scheduler.record_first_token(Instant::now(), &admitted.attempt);
                }
                if !frames.send(Body::Token(Token { index, text })).await {
                    return Err(gone);
                }
                index += 1;
            }
            frames.send(Body::Done(Done { tokens: index })).await;
            Ok(())
        });
        timed.await.unwrap_or_else(|_| Err(BackendError::Broken(DEADLINE.to_owned())))
    }

    async fn call_service(
        self: &Arc<Self>,
        req: &RunRequest,
        admitted: &Admitted,
        frames: &mut Frames,
    ) -> Result<(), BackendError> {
        let reply = if req.target.starts_with("service/") {
            self.backend.call(&req.path, req.body.clone()).await
        } else {
            self.whole_completion(req).await
        };
        let reply = match reply {
            Ok(reply) => reply,
            Err(err) => {
                let mut core = self.lock();
                match err {
                    BackendError::NotSent(_) | BackendError::Refused(_) => {
                        core.memory.not_run(&admitted.attempt);
                    }
                    BackendError::Broken(_) => core.memory.ran(&admitted.attempt, None),
                }
                return Err(err);
            }
        };
        let answer = Answer::from_response(reply.status, &reply.content_type, &reply.body);
        self.lock().memory.ran(&admitted.attempt, Some(answer));
        let response = Response {
            status: reply.status.into(),
            content_type: reply.content_type,
            body: reply.body,
        };
        frames.send(Body::Response(response)).await;
        Ok(())
    }

    /// Runs a completion that must not be repeated to its end.
    async fn whole_completion(
        &self,
        req: &RunRequest,
    ) -> Result<crate::agent::ServiceReply, BackendError> {
        let mut tokens = self.backend.complete(&req.path, req.body.clone()).await?;
        let mut text = Vec::new();
        while let Some(token) = tokens.next().await? {
            text.extend_from_slice(&token);
        }
        let body = Bytes::from(text);
        Ok(crate::agent::ServiceReply { status: 200, content_type: TEXT.to_owned(), body })
    }

    async fn finish(
        self: &Arc<Self>,
        req: &RunRequest,
        admitted: &Admitted,
        frames: &mut Frames,
        result: Result<(), BackendError>,
    ) {
        let attempt = &admitted.attempt;
        let Err(err) = result else {
            self.ended(req, attempt);
            info!("event=attempt_done attempt={attempt} target={}", req.target);
            return;
        };
        let late = matches!(&err, BackendError::Broken(text) if text == DEADLINE);
        let gone = frames.tx.is_closed();
        let crashed = !late && !gone && self.diagnose(attempt).await;
        self.lock().scheduler.finish(Instant::now(), attempt);
        info!("event=attempt_failed attempt={attempt} crashed={crashed} error=\"{err}\"");
        match err {
            BackendError::NotSent(text) | BackendError::Refused(text) => {
                frames.refuse(Refusal::new(Code::NoEndpoint, text)).await;
            }
            BackendError::Broken(text) => {
                let code = if late { Code::DeadlineExceeded } else { Code::EndpointFailed };
                let refusal = Refusal::new(code, text);
                frames.send(Body::Failed(failed(&refusal, crashed))).await;
            }
        }
    }

    /// Notes a regular end, which clears a suspect.
    fn ended(self: &Arc<Self>, req: &RunRequest, attempt: &AttemptId) {
        let cleared = {
            let mut core = self.lock();
            core.scheduler.finish(Instant::now(), attempt);
            core.crash_tracker.clear_suspect(req.fingerprint)
        };
        if cleared {
            self.tell(Record::Cleared { fingerprint: req.fingerprint });
        }
    }
}

// A start leaves so many times the mean time to the first token.
const START_MARGIN: u32 = 2;
const DEADLINE: &str = "the deadline passed";
const TEXT: &str = "text/plain; charset=utf-8";

fn failed(refusal: &Refusal, crashed: bool) -> Failed {
    Failed { code: refusal.code.number(), message: refusal.message.clone(), crashed }
}

//! Runs one attempt at the endpoint, from its admission to its last frame.

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

/// Sends the frames of one attempt to the entry.
pub(super) struct FrameSender {
    attempt: String,
    sequence: u32,
    tx: mpsc::Sender<Result<RunFrame, Status>>,
}

impl FrameSender {
    pub(super) fn new(attempt: String, tx: mpsc::Sender<Result<RunFrame, Status>>) -> Self {
        Self { attempt, sequence: 0, tx }
    }

    /// Sends a frame and waits while the buffer is full. Returns false when the entry has
    /// disconnected.
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

/// An attempt that the scheduler has started. Its resources stay loaded until they are released.
struct StartedAttempt {
    attempt: AttemptId,
    resources: Vec<(Resource, Mib)>,
    deadline: Instant,
    queued_at: Instant,
}

impl<B: Backend, L: Log> Shared<B, L> {
    /// Runs an attempt to its end and sends its frames.
    pub(super) async fn run(self: Arc<Self>, req: RunRequest, mut frames: FrameSender) {
        let attempt: AttemptId = req.attempt.as_str().into();
        if let Err(refusal) = self.check_request(&req) {
            return frames.refuse(refusal).await;
        }
        if req.at_most_once {
            match self.admit_at_most_once(&req, &attempt) {
                Err(refusal) if refusal.code == Code::DuplicateAttempt => {
                    let failed = failed_frame(&refusal, false);
                    frames.send(Body::Failed(failed)).await;
                    return;
                }
                Err(refusal) => return frames.refuse(refusal).await,
                Ok(()) => {}
            }
        }
        match self.wait_for_start(&req, &attempt, &frames).await {
            Ok(started) => {
                self.execute(&req, &started, &mut frames).await;
                self.lock().release(&started.resources);
            }
            Err(refusal) => {
                self.lock().attempt_history.not_run(&attempt);
                frames.refuse(refusal).await;
            }
        }
        self.state_changed.notify_waiters();
        self.dispatch();
    }

    /// Refuses an attempt that must not run at this endpoint, before any model is loaded for it.
    fn check_request(&self, req: &RunRequest) -> Result<(), Refusal> {
        self.store.note_revision(req.revision);
        let known = self.store.view().state.crashes(req.fingerprint);
        let mut state = self.lock();
        if state.draining {
            return Err(Refusal::new(Code::Draining, "the agent is shutting down"));
        }
        if !state.engine_up {
            return Err(Refusal::new(
                Code::NoEndpoint,
                "the endpoint does not respond to its agent",
            ));
        }
        state.crash_tracker.merge_count(req.fingerprint, req.crashes.max(known));
        if state.crash_tracker.execution_mode(req.fingerprint) == ExecutionMode::Quarantined {
            let text = "the request is quarantined because endpoints crashed while they ran it";
            return Err(Refusal::new(Code::Quarantined, text));
        }
        Ok(())
    }

    /// Records an attempt that may run at most once, unless it was seen before, was fenced or
    /// has an expired ticket.
    fn admit_at_most_once(&self, req: &RunRequest, attempt: &AttemptId) -> Result<(), Refusal> {
        if req.incarnation != self.identity.incarnation {
            let text = "the attempt names another incarnation of the agent";
            return Err(Refusal::new(Code::StaleTicket, text));
        }
        let ticket = Duration::from_millis(req.ticket_ms);
        let admitted = self.lock().attempt_history.admit(self.uptime(), attempt, ticket);
        admitted.map_err(|err| match err {
            AdmissionError::StaleTicket => {
                Refusal::new(Code::StaleTicket, "the ticket of the probe has expired")
            }
            AdmissionError::Fenced => Refusal::new(Code::Fenced, "the attempt was fenced"),
            AdmissionError::Duplicate => {
                Refusal::new(Code::DuplicateAttempt, "the agent has seen the attempt before")
            }
        })
    }

    /// Waits until the model is loaded and the scheduler starts the attempt.
    async fn wait_for_start(
        self: &Arc<Self>,
        req: &RunRequest,
        attempt: &AttemptId,
        frames: &FrameSender,
    ) -> Result<StartedAttempt, Refusal> {
        let queued_at = Instant::now();
        let deadline = queued_at + Duration::from_millis(req.deadline_ms.into());
        let resources = placement::required_resources(&self.store.view().state, &req.target)?;
        let disconnected = Refusal::new(Code::NoEndpoint, "the entry disconnected");
        tokio::select! {
            loaded = self.acquire_loaded(&resources, deadline) => loaded?,
            () = frames.tx.closed() => return Err(disconnected),
        }
        let start_signal = match self.enqueue(req, attempt, deadline) {
            Ok(start_signal) => start_signal,
            Err(refusal) => {
                self.lock().release(&resources);
                return Err(refusal);
            }
        };
        self.dispatch();
        let started = tokio::select! {
            signal = start_signal => signal.unwrap_or(Err(disconnected)),
            () = frames.tx.closed() => Err(disconnected),
        };
        if let Err(refusal) = started {
            let mut state = self.lock();
            state.start_signals.remove(attempt);
            state.scheduler.cancel(attempt);
            state.scheduler.finish(Instant::now(), attempt);
            state.release(&resources);
            return Err(refusal);
        }
        Ok(StartedAttempt { attempt: attempt.clone(), resources, deadline, queued_at })
    }

    /// Queues an attempt. The receiver gets the start signal or the refusal.
    fn enqueue(
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
        // A request that cannot start within the target is refused while the entry still has time
        // to try another endpoint.
        let target = view.state.duration(Key::FirstTokenMs, &scope);
        let mut state = self.lock();
        // The shutdown may have begun while the model was being loaded.
        if state.draining {
            return Err(Refusal::new(Code::Draining, "the agent is shutting down"));
        }
        let isolated =
            state.crash_tracker.execution_mode(req.fingerprint) == ExecutionMode::Isolated;
        let first_token_margin = state.scheduler.mean_first_token() * FIRST_TOKEN_MARGIN;
        // The target does not apply to a resumed response, whose first token was sent before.
        let until_deadline = isolated || req.resume_tokens != 0;
        let latest_start = match until_deadline {
            true => deadline,
            false => deadline.min(now + target.saturating_sub(first_token_margin)),
        };
        let request = QueuedRequest {
            attempt: attempt.clone(),
            flow,
            latest_start,
            fingerprint: req.fingerprint,
            isolated,
        };
        state.scheduler.submit(now, request)?;
        let (tx, rx) = oneshot::channel();
        state.start_signals.insert(attempt.clone(), tx);
        Ok(rx)
    }

    /// Runs a started attempt and reports its result.
    async fn execute(
        self: &Arc<Self>,
        req: &RunRequest,
        started: &StartedAttempt,
        frames: &mut FrameSender,
    ) {
        let waited = started.queued_at.elapsed();
        let labels = [("tenant", req.tenant.clone()), ("class", req.class.clone())];
        histogram!(names::QUEUE, &labels).record(waited.as_secs_f64());
        let started_frame = Started { queue_ms: waited.as_millis() as u32 };
        let connected = frames.send(Body::Started(started_frame)).await;
        // An attempt that may run at most once runs to its end even when the entry has
        // disconnected.
        let result = if req.at_most_once || req.target.starts_with("service/") {
            self.run_buffered(req, started, frames).await
        } else if connected {
            self.stream_tokens(req, started, frames).await
        } else {
            Err(BackendError::NotSent("the entry disconnected".to_owned()))
        };
        self.finish(req, started, frames, result).await;
    }

    /// Sends the tokens of a completion as they arrive. Stops at the deadline or when the entry
    /// disconnects.
    async fn stream_tokens(
        self: &Arc<Self>,
        req: &RunRequest,
        started: &StartedAttempt,
        frames: &mut FrameSender,
    ) -> Result<(), BackendError> {
        let disconnected = BackendError::Interrupted("the entry disconnected".to_owned());
        let remaining = started.deadline.saturating_duration_since(Instant::now());
        let streaming = tokio::time::timeout(remaining, async {
            let mut tokens = self.backend.complete(&req.path, req.body.clone()).await?;
            let mut index = req.resume_tokens;
            loop {
                let next = tokio::select! {
                    next = tokens.next() => next?,
                    () = frames.tx.closed() => return Err(disconnected),
                };
                let Some(text) = next else { break };
                if index == req.resume_tokens {
                    self.lock().scheduler.record_first_token(Instant::now(), &started.attempt);
                }
                if !frames.send(Body::Token(Token { index, text })).await {
                    return Err(disconnected);
                }
                index += 1;
            }
            frames.send(Body::Done(Done { tokens: index })).await;
            Ok(())
        });
        streaming
            .await
            .unwrap_or_else(|_| Err(BackendError::Interrupted(DEADLINE_PASSED.to_owned())))
    }

    /// Calls a plain service, or runs a completion that must not be repeated, and sends the
    /// complete response.
    async fn run_buffered(
        self: &Arc<Self>,
        req: &RunRequest,
        started: &StartedAttempt,
        frames: &mut FrameSender,
    ) -> Result<(), BackendError> {
        let reply = if req.target.starts_with("service/") {
            self.backend.call(&req.path, req.body.clone()).await
        } else {
            self.collect_completion(req).await
        };
        let reply = match reply {
            Ok(reply) => reply,
            Err(err) => {
                let mut state = self.lock();
                match err {
                    BackendError::NotSent(_) | BackendError::Refused(_) => {
                        state.attempt_history.not_run(&started.attempt);
                    }
                    BackendError::Interrupted(_) => {
                        state.attempt_history.ran(&started.attempt, None)
                    }
                }
                return Err(err);
            }
        };
        let answer = Answer::from_response(reply.status, &reply.content_type, &reply.body);
        self.lock().attempt_history.ran(&started.attempt, Some(answer));
        let response = Response {
            status: reply.status.into(),
            content_type: reply.content_type,
            body: reply.body,
        };
        frames.send(Body::Response(response)).await;
        Ok(())
    }

    /// Runs a completion to its end and returns its concatenated tokens.
    async fn collect_completion(
        &self,
        req: &RunRequest,
    ) -> Result<crate::agent::ServiceReply, BackendError> {
        let mut tokens = self.backend.complete(&req.path, req.body.clone()).await?;
        let mut text = Vec::new();
        while let Some(token) = tokens.next().await? {
            text.extend_from_slice(&token);
        }
        let body = Bytes::from(text);
        Ok(crate::agent::ServiceReply { status: 200, content_type: TEXT_PLAIN.to_owned(), body })
    }

    /// Records how an attempt ended. Sends a frame when it failed.
    async fn finish(
        self: &Arc<Self>,
        req: &RunRequest,
        started: &StartedAttempt,
        frames: &mut FrameSender,
        result: Result<(), BackendError>,
    ) {
        let attempt = &started.attempt;
        let Err(err) = result else {
            self.record_completion(req, attempt);
            info!("event=attempt_done attempt={attempt} target={}", req.target);
            return;
        };
        let deadline_passed =
            matches!(&err, BackendError::Interrupted(text) if text == DEADLINE_PASSED);
        let disconnected = frames.tx.is_closed();
        let given_up = deadline_passed || disconnected;
        if given_up {
            // The endpoint may still crash because of it.
            self.lock().crash_tracker.record_abandoned(Instant::now(), req.fingerprint);
        }
        let crashed = !given_up && self.detect_crash(attempt).await;
        self.lock().scheduler.finish(Instant::now(), attempt);
        info!("event=attempt_failed attempt={attempt} crashed={crashed} error=\"{err}\"");
        match err {
            BackendError::NotSent(text) | BackendError::Refused(text) => {
                frames.refuse(Refusal::new(Code::NoEndpoint, text)).await;
            }
            BackendError::Interrupted(text) => {
                let code =
                    if deadline_passed { Code::DeadlineExceeded } else { Code::EndpointFailed };
                let refusal = Refusal::new(code, text);
                frames.send(Body::Failed(failed_frame(&refusal, crashed))).await;
            }
        }
    }

    /// Records that an attempt completed. When this clears a suspect request, a record of it is
    /// appended to the log.
    fn record_completion(self: &Arc<Self>, req: &RunRequest, attempt: &AttemptId) {
        let cleared = {
            let mut state = self.lock();
            state.scheduler.finish(Instant::now(), attempt);
            state.crash_tracker.clear_suspect(req.fingerprint)
        };
        if cleared {
            self.append_in_background(Record::Cleared { fingerprint: req.fingerprint });
        }
    }
}

// A request must start earlier than its target for the first token by this many times the mean
// time to the first token.
const FIRST_TOKEN_MARGIN: u32 = 2;
const DEADLINE_PASSED: &str = "the deadline passed";
const TEXT_PLAIN: &str = "text/plain; charset=utf-8";

fn failed_frame(refusal: &Refusal, crashed: bool) -> Failed {
    Failed { code: refusal.code.number(), message: refusal.message.clone(), crashed }
}

//! One attempt of a request at one endpoint, and whether another may follow.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, body::Incoming};
use log::{info, warn};
use tokio::time;

use crate::{
    core::ids::EndpointId,
    errors::{Code, Refusal},
    gateway::{
        answer,
        job::Job,
        shared::{EndpointChoice, RequestGuard},
        upstream::{Connection, SendError},
    },
    platform::{self, ForwardParams, NotRunReason, ResponseHead},
};

/// Largest plain answer, bytes.
pub(super) const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// What the endpoint's answer may be late by: its way here.
pub(super) const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// WeightedService of the time left that a silent endpoint gets while another may be tried.
const SILENCE_SHARE: f64 = 0.4;
/// An endpoint that closed a connection in the middle of a request is asked so
/// much later whether it still listens.
const CRASH_CHECK_AFTER: Duration = Duration::from_millis(100);

/// An answer whose head has come.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) response: Response<Incoming>,
    pub(super) state: ResponseHead,
    pub(super) connection: Connection,
    pub(super) running: RequestGuard,
    pub(super) endpoint: EndpointId,
}

/// RefusalReason an attempt gave no answer.
enum Failed {
    /// It was never sent.
    NotSent(String),
    /// The endpoint did not run it.
    NotRun(NotRunReason),
    /// It may have run.
    MayHaveRun(String),
    /// The time is up; it may run.
    TimeUp,
}

impl Job {
    /// Sends the request until an endpoint answers it with a head that counts.
    ///
    /// # Errors
    /// The refusal that the caller gets.
    pub(super) async fn attempt(&mut self, last_event: Option<&str>) -> Result<Answer, Refusal> {
        loop {
            let tried = self.tried.clone();
            let place = self.shared.choose_endpoint(
                &self.route,
                &self.service,
                &self.needs,
                self.deadline,
                &tried,
            );
            let Ok((running, choice)) = time::timeout_at(self.deadline.into(), place).await else {
                return Err(self.out_of_time());
            };
            let (endpoint, address) = match choice {
                EndpointChoice::Endpoint { endpoint, address } => (endpoint, address),
                EndpointChoice::Refused(why, delay) => {
                    let refusal = answer::refused(why, delay);
                    return Err(if self.runs == 0 { refusal } else { self.failed() });
                }
            };
            if self.deadline <= Instant::now() {
                // No fault of the endpoint, which has seen nothing of it.
                return Err(self.out_of_time());
            }
            if 0 < self.sends && !self.pay() {
                return Err(self.given_up());
            }
            self.paid = false;
            self.log_sent(&endpoint);
            match self.send(&endpoint, address, running, last_event).await {
                Ok(answer) => return Ok(answer),
                Err(failed) => self.after(&endpoint, address, failed)?,
            }
        }
    }

    /// Decides whether a failed attempt may be followed by another.
    fn after(
        &mut self,
        endpoint: &EndpointId,
        address: SocketAddr,
        failed: Failed,
    ) -> Result<(), Refusal> {
        let id = self.id().into_owned();
        let now = Instant::now();
        match failed {
            Failed::NotSent(text) => {
                warn!("event=not_sent id={id} endpoint={endpoint} error=\"{text}\"");
                self.shared.pool.forget(address);
                self.shared.lock().dispatcher.avoid(now, endpoint);
                self.tried.push(endpoint.clone());
                Ok(())
            }
            Failed::NotRun(why) => {
                self.sends += 1;
                info!("event=not_run id={id} endpoint={endpoint} why={why:?}");
                let dispatcher = &mut self.shared.lock().dispatcher;
                match why {
                    NotRunReason::Refused => dispatcher.avoid(now, endpoint),
                    NotRunReason::Elsewhere => dispatcher.record_misdirected(now, endpoint),
                }
                self.tried.push(endpoint.clone());
                Ok(())
            }
            Failed::MayHaveRun(text) => {
                self.count_run();
                warn!("event=broken id={id} endpoint={endpoint} error=\"{text}\"");
                self.tried.push(endpoint.clone());
                self.check_crash(address);
                if self.may_repeat() { Ok(()) } else { Err(self.failed()) }
            }
            Failed::TimeUp => {
                self.count_run();
                warn!("event=silent id={id} endpoint={endpoint}");
                self.tried.push(endpoint.clone());
                self.shared.lock().dispatcher.avoid(now, endpoint);
                if now < self.deadline && self.may_repeat() {
                    Ok(())
                } else {
                    Err(Refusal::new(Code::DeadlineExceeded, "the endpoint did not answer in time"))
                }
            }
        }
    }

    /// Looks whether the endpoint still listens: if not, the request may have crashed it.
    fn check_crash(&self, address: SocketAddr) {
        self.shared.pool.forget(address);
        let (shared, fingerprint) = (self.shared.clone(), self.fingerprint);
        shared.lock().crash_checks += 1;
        tokio::spawn(async move {
            time::sleep(CRASH_CHECK_AFTER).await;
            let crashed = Connection::open(address).await.is_err();
            shared.lock().crash_checks -= 1;
            if crashed {
                let now = Instant::now();
                let breaks = shared.lock().suspects.record_crash(now, fingerprint);
                info!("event=suspect fingerprint={fingerprint:x} breaks={breaks} at={address}");
                shared.peer_update_due.notify_one();
            }
        });
    }

    async fn send(
        &self,
        endpoint: &EndpointId,
        address: SocketAddr,
        running: RequestGuard,
        last_event: Option<&str>,
    ) -> Result<Answer, Failed> {
        let (response, connection) = self.exchange(endpoint, address, last_event).await?;
        let state = platform::parse_response_head(response.status(), response.headers(), &self.id);
        if !state.matches_request {
            return Err(Failed::MayHaveRun("an answer to another request came".to_owned()));
        }
        if let Some(why) = state.not_run {
            self.finish_refusal(response, state, connection).await;
            return Err(Failed::NotRun(why));
        }
        if !state.is_valid {
            return Err(Failed::MayHaveRun("the success has no signature".to_owned()));
        }
        let endpoint = endpoint.clone();
        Ok(Answer { response, state, connection, running, endpoint })
    }

    /// Sends the request on a kept connection, or on a new one.
    async fn exchange(
        &self,
        endpoint: &EndpointId,
        address: SocketAddr,
        last_event: Option<&str>,
    ) -> Result<(Response<Incoming>, Connection), Failed> {
        if let Some(mut kept) = self.shared.pool.take(address) {
            match self.send_on(&mut kept, endpoint, last_event).await {
                // The endpoint closed it before the request was on it.
                Err(Failed::NotSent(_)) => {}
                response => return Ok((response?, kept)),
            }
        }
        let opened = Connection::open(address).await;
        let mut connection = opened.map_err(|e| Failed::NotSent(e.to_string()))?;
        let response = self.send_on(&mut connection, endpoint, last_event).await?;
        Ok((response, connection))
    }

    /// Sends the request on a connection and waits for the head of the answer.
    async fn send_on(
        &self,
        connection: &mut Connection,
        endpoint: &EndpointId,
        last_event: Option<&str>,
    ) -> Result<Response<Incoming>, Failed> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let sent = ForwardParams {
            endpoint,
            deadline: left,
            priority: self.route.priority,
            last_event_id: last_event,
        };
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = platform::forwarded_headers(&self.headers, sent);
        let wait = match self.route.kind.may_repeat() && self.runs + 1 < self.route.max_attempts {
            true => left.mul_f64(SILENCE_SHARE).max(self.route.target),
            false => left + DEADLINE_SLACK,
        };
        let used = connection.was_used();
        match time::timeout(wait, connection.send(req)).await {
            Err(_) => Err(Failed::TimeUp),
            Ok(Err(SendError::NotSent(text))) => Err(Failed::NotSent(text)),
            Ok(Err(SendError::Broken(text))) => {
                Err(Failed::MayHaveRun(format!("{text} (kept connection: {used})")))
            }
            Ok(Ok(response)) => Ok(response),
        }
    }

    /// Reads the rest of an endpoint's refusal, to keep the connection.
    async fn finish_refusal(
        &self,
        response: Response<Incoming>,
        state: ResponseHead,
        connection: Connection,
    ) {
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect();
        let read = time::timeout(DEADLINE_SLACK, body).await;
        if matches!(read, Ok(Ok(_))) && !state.closes_connection {
            self.shared.pool.put(connection, state.keep_alive);
        }
    }
}

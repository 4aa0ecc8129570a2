//! Asks the agent of an engine for the admission of a prompt before it is sent there.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use log::{info, warn};
use tokio::{sync::mpsc, time};

use crate::{
    core::{admission::Answer, ids::EndpointId},
    gateway::{
        request::ProxiedRequest,
        shared::{RequestGuard, SharedState},
    },
    gossip::{AdmissionAnswer, AdmissionRequest, Body, Socket},
};

/// Time in which an agent answers: a round trip between regions takes 41 ms, and a busy gateway
/// reads datagrams up to 50 ms late.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(120);
/// Requests to an agent without an answer after which another engine is chosen: the VM that the
/// agent shares with its engine may be frozen, and the engine would read the prompt when its caller
/// has left. Agents of which no report arrives for 1.5 s are not asked any more.
const MAX_UNANSWERED: u32 = 2;
/// Time for which the engine of an agent that does not answer is not chosen again.
const UNANSWERED_FULL_TIME: Duration = Duration::from_millis(300);
/// Longest wait at one agent; then another engine may have room sooner.
const MAX_AGENT_WAIT: Duration = Duration::from_millis(250);
/// Shortest time for which an engine without room is not chosen again.
const MIN_FULL_TIME: Duration = Duration::from_millis(20);

/// What came of a request for admission.
pub(super) enum Admission {
    /// The prompt may be sent, or there is no agent to ask.
    Send,
    /// The engine has no room for this long.
    Full(Duration),
}

/// A request for admission on which was not decided. It is withdrawn when dropped.
struct Pending {
    shared: Arc<SharedState>,
    agent: SocketAddr,
    message: AdmissionRequest,
    is_decided: bool,
}

impl Pending {
    fn send(&self) {
        self.shared.send_admission(self.agent, self.message.clone());
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        self.shared.lock().admission_answers.remove(&self.message.question);
        if !self.is_decided {
            self.message.withdrawn = true;
            self.send();
        }
    }
}

impl ProxiedRequest {
    /// Waits until the agent of an engine admits the prompt of this request there.
    pub(super) async fn ask_admission(
        &self,
        guard: &RequestGuard,
        endpoint: &EndpointId,
        address: SocketAddr,
    ) -> Admission {
        let now = Instant::now();
        let ticket = guard.ticket();
        // A new number for each question, so that no answer to an earlier one counts.
        let question = fastrand::u64(..);
        let (tx, mut answers) = mpsc::unbounded_channel();
        let (work, pause) = {
            let mut state = self.shared.lock();
            let is_asked = state.dispatcher.admits(now, endpoint);
            let Some(work) = state.dispatcher.prompt_work(ticket).filter(|_| is_asked) else {
                return Admission::Send;
            };
            state.admission_answers.insert(question, tx);
            (work, self.route.pause_target)
        };
        let mut pending = Pending {
            shared: self.shared.clone(),
            agent: address,
            message: AdmissionRequest {
                question,
                request: self.id().into_owned(),
                work,
                kv_tokens: self.requirements.kv_tokens(),
                priority: u32::from(self.outbound.priority),
                pause_ms: pause.as_millis() as u32,
                wait_ms: MAX_AGENT_WAIT.min(self.limit.left(now) / 2).as_millis() as u32,
                withdrawn: false,
            },
            is_decided: false,
        };
        let (mut unanswered, mut timeout) = (0, ANSWER_TIMEOUT);
        pending.send();
        loop {
            match time::timeout(timeout, answers.recv()).await {
                Ok(Some(Answer::Admitted)) => {
                    pending.is_decided = true;
                    self.shared.lock().dispatcher.record_admitted(Instant::now(), ticket);
                    return Admission::Send;
                }
                Ok(Some(Answer::Full(wait))) => {
                    pending.is_decided = true;
                    return Admission::Full(wait.max(MIN_FULL_TIME));
                }
                Ok(Some(Answer::Waits(wait))) => {
                    (unanswered, timeout) = (0, wait.min(MAX_AGENT_WAIT) + ANSWER_TIMEOUT);
                }
                Ok(None) | Err(_) => {
                    unanswered += 1;
                    if MAX_UNANSWERED <= unanswered {
                        warn!("event=admission_unanswered id={} endpoint={endpoint}", self.id());
                        self.shared.lock().dispatcher.record_silence(Instant::now(), endpoint);
                        return Admission::Full(UNANSWERED_FULL_TIME);
                    }
                    timeout = ANSWER_TIMEOUT;
                    pending.send();
                }
            }
        }
    }

    /// Logs that an engine has no room for the request, which goes back to the queue.
    pub(super) fn log_not_admitted(&self, endpoint: &EndpointId, wait: Duration) {
        let wait = wait.as_millis();
        info!("event=not_admitted id={} endpoint={endpoint} room_in_ms={wait}", self.id());
    }
}

impl SharedState {
    fn send_admission(&self, agent: SocketAddr, message: AdmissionRequest) {
        self.lock().admission_outbox.push((agent, message));
        self.admission_due.notify_one();
    }
}

/// Sends the requests that are due. Agents listen on the port on which gateways do.
pub(super) fn send_due(shared: &SharedState, socket: &Socket, own: SocketAddr) {
    let due = std::mem::take(&mut shared.lock().admission_outbox);
    for (engine, message) in due {
        let agent = SocketAddr::new(engine.ip(), own.port());
        socket.send(agent, Body::AdmissionRequest(message));
    }
}

/// Passes an agent's answer to the question that it answers, unless that was given up.
pub(super) fn receive(shared: &SharedState, message: &AdmissionAnswer) {
    let state = shared.lock();
    if let Some(tx) = state.admission_answers.get(&message.question) {
        // The request may have ended meanwhile.
        let _ = tx.send(message.answer());
    }
}

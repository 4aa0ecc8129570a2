//! Admission of prompts to the agent's engine: requests of gateways, and the answers to them.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use metrics::counter;
use tokio::time;

use crate::{
    core::admission::{AdmissionId, Answer},
    engine_agent::process::{SharedState, State},
    gossip::{AdmissionAnswer, AdmissionRequest, Body},
    telemetry::names,
};

/// Longest time without a look at the prompts that wait.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

impl SharedState {
    /// Answers a gateway that asks for the admission of a prompt.
    pub(super) fn handle_admission(&self, from: SocketAddr, request: &AdmissionRequest) {
        let now = Instant::now();
        let id: AdmissionId = (from, request.question);
        let mut state = self.lock();
        if request.withdrawn {
            state.admission.withdraw(id, &request.request);
            drop(state);
            return self.admission_changed.notify_one();
        }
        if state.last_report.is_none() {
            // The engine does not answer: its state is unknown, and gateways decide alone.
            return;
        }
        let answer = state.admission.ask(now, id, request.ask(now));
        drop(state);
        self.answer(id, answer);
        if matches!(answer, Answer::Waits(_)) {
            self.admission_changed.notify_one();
        }
    }

    /// Admits prompts that wait and for which there is room by now.
    pub(super) fn admit_waiting(&self, state: &mut State, now: Instant) {
        for id in state.admission.take_admitted(now) {
            self.answer(id, Answer::Admitted);
        }
        for (id, wait) in state.admission.take_expired(now) {
            self.answer(id, Answer::Full(wait));
        }
    }

    fn answer(&self, (gateway, question): AdmissionId, answer: Answer) {
        let label = match answer {
            Answer::Admitted => "admitted",
            Answer::Waits(_) => "waits",
            Answer::Full(_) => "full",
        };
        counter!(names::ADMISSIONS, "answer" => label).increment(1);
        self.socket.send(gateway, Body::AdmissionAnswer(AdmissionAnswer::new(question, answer)));
    }
}

/// Admits prompts that wait as room becomes free, until the task is aborted.
pub(super) async fn run(shared: Arc<SharedState>) {
    loop {
        let now = Instant::now();
        let next = {
            let mut state = shared.lock();
            shared.admit_waiting(&mut state, now);
            state.admission.next_admission(now)
        };
        let wait = next.map_or(IDLE_INTERVAL, |at| at.saturating_duration_since(now));
        tokio::select! {
            () = time::sleep(wait.min(IDLE_INTERVAL)) => {}
            () = shared.admission_changed.notified() => {}
        }
    }
}

//! Graceful shutdown of an agent.

use std::sync::Arc;

use log::info;

use crate::{
    agent::shared::Shared,
    errors::{Code, Refusal},
};

impl<B, L> Shared<B, L> {
    /// Refuses new and queued attempts from now on, while running ones continue. Returns the number
    /// of running attempts.
    pub(super) fn drain(self: &Arc<Self>) -> usize {
        let mut state = self.lock();
        state.draining = true;
        for attempt in state.scheduler.take_queued() {
            state.refuse(&attempt, Refusal::new(Code::Draining, "the agent is shutting down"));
        }
        let running = state.scheduler.running();
        info!("event=drain endpoint={} running={running}", self.identity.endpoint);
        running
    }

    /// Waits until no attempt is running.
    pub(super) async fn wait_until_idle(&self) {
        loop {
            let changed = self.state_changed.notified();
            if self.lock().scheduler.running() == 0 {
                return;
            }
            changed.await;
        }
    }
}

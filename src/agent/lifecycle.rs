//! Graceful shutdown of an agent.

use std::sync::Arc;

use log::info;

use crate::{
    agent::shared::Shared,
    errors::{Code, Refusal},
};

impl<B, L> Shared<B, L> {
    /// Refuses new work from now on; what runs goes on. Returns how many run.
    pub(super) fn drain(self: &Arc<Self>) -> usize {
        let mut core = self.lock();
        core.draining = true;
        for attempt in core.scheduler.drop_waiting() {
            core.refuse(&attempt, Refusal::new(Code::Draining, "the endpoint is leaving"));
        }
        let running = core.scheduler.running();
        info!("event=drain endpoint={} running={running}", self.identity.endpoint);
        running
    }

    /// Waits until nothing runs any more.
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

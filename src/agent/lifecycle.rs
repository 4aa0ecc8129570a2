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
        for attempt in core.scheduler.take_queued() {
            core.refuse(&attempt, Refusal::new(Code::Draining, "the endpoint is leaving"));
        }
        let running = core.scheduler.running();
        info!("event=drain endpoint={} running={running}", self.identity.endpoint);
        running
    }

    /// Waits until nothing runs any more.
    pub(super) async fn drained(&self) {
        loop {
            let changed = self.changed.notified();
            if self.lock().scheduler.running() == 0 {
                return;
            }
            changed.await;
        }
    }
}

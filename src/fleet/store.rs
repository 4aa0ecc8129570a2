//! The configuration in force in one process.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use tokio::sync::watch;

use crate::core::{
    config::{ApplyResult, Fold, State},
    ids::Offset,
    placement::{self, Plan, static_plan},
};

// A process that could not confirm its revision for longer is not ready.
const CONFIRM_LIMIT: Duration = Duration::from_secs(5);

/// The configuration with the plan that follows from it.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    /// The folded configuration.
    pub state: Arc<State>,
    /// Engines of each model.
    pub plan: Arc<Plan>,
}

/// Shared by the parts of one process; the revision never goes back.
#[derive(Debug)]
pub struct ConfigStore {
    fold: Mutex<Fold>,
    view: watch::Sender<ConfigView>,
    confirmed: Mutex<Option<Instant>>,
    highest_known: Mutex<Offset>,
}

impl Default for ConfigStore {
    fn default() -> Self {
        Self {
            fold: Mutex::default(),
            view: watch::channel(ConfigView::default()).0,
            confirmed: Mutex::default(),
            highest_known: Mutex::default(),
        }
    }
}

impl ConfigStore {
    /// The view in force.
    pub fn view(&self) -> ConfigView {
        self.view.borrow().clone()
    }

    /// Hears of each change.
    pub fn subscribe(&self) -> watch::Receiver<ConfigView> {
        self.view.subscribe()
    }

    /// The revision in force.
    pub fn revision(&self) -> Offset {
        self.view.borrow().state.revision
    }

    /// Offset of the last snapshot in the log.
    pub fn snapshot_offset(&self) -> Offset {
        lock(&self.fold).snapshot_offset()
    }

    /// Folds records in, in the order of their offsets.
    pub fn apply<'a>(
        &self,
        records: impl Iterator<Item = (Offset, &'a [u8])>,
    ) -> Vec<(Offset, ApplyResult)> {
        let mut fold = lock(&self.fold);
        let verdicts: Vec<_> = records.map(|(at, bytes)| (at, fold.apply(at, bytes))).collect();
        self.publish(fold.state());
        verdicts
    }

    /// Takes a whole state unless it is older.
    pub fn adopt(&self, state: State) -> bool {
        let mut fold = lock(&self.fold);
        let adopted = fold.adopt(state);
        self.publish(fold.state());
        adopted
    }

    /// Notes that the log or a peer confirmed the revision.
    pub fn confirm(&self, now: Instant) {
        *lock(&self.confirmed) = Some(now);
    }

    /// Notes a revision that another process has.
    pub fn note_revision(&self, revision: Offset) {
        let mut highest_known = lock(&self.highest_known);
        *highest_known = revision.max(*highest_known);
    }

    /// Whether another process is known to have a later revision.
    pub fn is_behind(&self) -> bool {
        self.revision() < *lock(&self.highest_known)
    }

    /// Whether there is a configuration that was confirmed lately.
    pub fn is_ready(&self, now: Instant) -> bool {
        let confirmed = *lock(&self.confirmed);
        let fresh = confirmed.is_some_and(|at| now < at + CONFIRM_LIMIT);
        fresh && self.revision() != 0
    }

    fn publish(&self, state: &Arc<State>) {
        self.view.send_if_modified(|view| {
            if view.state.revision == state.revision {
                return false;
            }
            // The plan of a large fleet takes long to compute: only when its inputs changed.
            if !placement::same_inputs(&view.state, state) {
                view.plan = Arc::new(static_plan(state));
            }
            view.state = state.clone();
            true
        });
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

//! The configuration that is in force in this process.

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

// A process whose last confirmation is older than this is not ready.
const CONFIRMATION_LIFETIME: Duration = Duration::from_secs(5);

/// The configuration and the placement plan computed from it.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    /// The configuration after all records that were applied.
    pub state: Arc<State>,
    /// The engines assigned to each model.
    pub plan: Arc<Plan>,
}

/// Holds the configuration for all parts of a process. The revision never decreases.
#[derive(Debug)]
pub struct ConfigStore {
    fold: Mutex<Fold>,
    view: watch::Sender<ConfigView>,
    confirmed_at: Mutex<Option<Instant>>,
    highest_known_revision: Mutex<Offset>,
}

impl Default for ConfigStore {
    fn default() -> Self {
        Self {
            fold: Mutex::default(),
            view: watch::channel(ConfigView::default()).0,
            confirmed_at: Mutex::default(),
            highest_known_revision: Mutex::default(),
        }
    }
}

impl ConfigStore {
    /// The current configuration and plan.
    pub fn view(&self) -> ConfigView {
        self.view.borrow().clone()
    }

    /// Returns a receiver that is notified of each new revision.
    pub fn subscribe(&self) -> watch::Receiver<ConfigView> {
        self.view.subscribe()
    }

    /// The current revision.
    pub fn revision(&self) -> Offset {
        self.view.borrow().state.revision
    }

    /// Offset of the last snapshot in the log.
    pub fn snapshot_offset(&self) -> Offset {
        lock(&self.fold).snapshot_offset()
    }

    /// Applies records, which must be in the order of their offsets, and returns the
    /// result of each.
    pub fn apply<'a>(
        &self,
        records: impl Iterator<Item = (Offset, &'a [u8])>,
    ) -> Vec<(Offset, ApplyResult)> {
        let mut fold = lock(&self.fold);
        let results: Vec<_> =
            records.map(|(offset, bytes)| (offset, fold.apply(offset, bytes))).collect();
        self.publish(fold.state());
        results
    }

    /// Replaces the state if the given one has a higher revision. Returns whether it did.
    pub fn adopt(&self, state: State) -> bool {
        let mut fold = lock(&self.fold);
        let adopted = fold.adopt(state);
        self.publish(fold.state());
        adopted
    }

    /// Records that the log or a peer confirmed the revision at `now`.
    pub fn confirm(&self, now: Instant) {
        *lock(&self.confirmed_at) = Some(now);
    }

    /// Records a revision that another process reported.
    pub fn note_revision(&self, revision: Offset) {
        let mut highest_known_revision = lock(&self.highest_known_revision);
        *highest_known_revision = revision.max(*highest_known_revision);
    }

    /// Whether another process reported a higher revision.
    pub fn is_behind(&self) -> bool {
        self.revision() < *lock(&self.highest_known_revision)
    }

    /// Whether a configuration was loaded and its revision confirmed recently.
    pub fn is_ready(&self, now: Instant) -> bool {
        let confirmed_at = *lock(&self.confirmed_at);
        let is_recent = confirmed_at.is_some_and(|at| now < at + CONFIRMATION_LIFETIME);
        is_recent && self.revision() != 0
    }

    fn publish(&self, state: &Arc<State>) {
        self.view.send_if_modified(|view| {
            if view.state.revision == state.revision {
                return false;
            }
            // Computing the plan of a large fleet is slow, so it is done only when its
            // inputs changed.
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

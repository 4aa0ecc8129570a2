//! Follows a keyed topic of the platform's store.

use std::time::{Duration, Instant};

use log::{info, warn};
use metrics::counter;
use tokio::time;

use crate::{
    platform::{KeyedRecord, Position, Store, StoreEra, StoreError, Topic},
    telemetry::names,
};

/// Half of the bound of the pause after a failed read; the bound doubles with each further
/// consecutive failure.
const BASE_BACKOFF: Duration = Duration::from_millis(150);
const MAX_BACKOFF: Duration = Duration::from_millis(700);

/// Receives the records of a topic.
pub trait TopicHandler {
    /// The topic.
    const TOPIC: Topic;
    /// The longest time that a read waits for new records.
    const MAX_WAIT: Duration;
    /// Pause between reads.
    const READ_PAUSE: Duration;

    /// Replaces everything known: the newest record of each key, at the start and after
    /// records were missed. The next read begins at `next`.
    fn replace(&mut self, records: Vec<KeyedRecord>, next: Position);
    /// Applies the records that were appended since the last read. The next read begins at
    /// `next`.
    fn update(&mut self, records: Vec<KeyedRecord>, next: Position);
    /// The store answered. Called before the records of that answer are passed on.
    fn store_answered(&mut self) {}
    /// The store did not answer or rejected a read that was sent at this time.
    fn store_failed(&mut self, _sent_at: Instant, _err: &StoreError) {}
    /// The store has returned from an older copy, in this era: it has lost records. Called before
    /// its newest records are passed on.
    fn store_went_back(&mut self, _era: StoreEra) {}
}

/// Passes the records of a topic to a handler until the task is aborted.
pub async fn follow_topic<T: TopicHandler>(store: Store, handler: T) {
    let mut reader = TopicReader { store, handler, next: None, era: None };
    let mut failures = 0;
    let mut last_answer = Instant::now();
    loop {
        let sent_at = Instant::now();
        match reader.read().await {
            Ok(()) => {
                if 0 < failures {
                    let silent_ms = last_answer.elapsed().as_millis();
                    info!(
                        "event=read_again topic={} failures={failures} silent_ms={silent_ms} \
                         next={}",
                        T::TOPIC,
                        reader.position()
                    );
                }
                failures = 0;
                last_answer = Instant::now();
                time::sleep(T::READ_PAUSE).await;
            }
            Err(StoreError::Expired { first }) => {
                info!("event=history_gone topic={} first={first}", T::TOPIC);
                reader.next = None;
            }
            Err(err) => {
                failures += 1;
                if failures == 1 {
                    let silent_ms = last_answer.elapsed().as_millis();
                    let sent_ms_ago = sent_at.elapsed().as_millis();
                    info!(
                        "event=read_failed topic={} silent_ms={silent_ms} \
                         sent_ms_ago={sent_ms_ago} next={} error=\"{err}\"",
                        T::TOPIC,
                        reader.position()
                    );
                }
                reader.handler.store_failed(sent_at, &err);
                counter!(names::STORE_FAILURES).increment(1);
                time::sleep(backoff(failures)).await;
            }
        }
    }
}

#[derive(Debug)]
struct TopicReader<T> {
    store: Store,
    handler: T,
    // None before the first read and after records were missed.
    next: Option<Position>,
    // The latest era of the store that an answer has named.
    era: Option<StoreEra>,
}

impl<T: TopicHandler> TopicReader<T> {
    /// Reads what has been appended, or the newest record of each key.
    async fn read(&mut self) -> Result<(), StoreError> {
        if let Some(from) = self.next {
            counter!(names::STORE_CALLS).increment(1);
            let page = self.store.read_keyed(T::TOPIC, from.offset, T::MAX_WAIT).await?;
            if page.next.era == from.era {
                self.next = Some(page.next);
                self.handler.store_answered();
                self.handler.update(page.records, page.next);
                return Ok(());
            }
            // The offset belongs to records that the store has lost: others may be in front
            // of it.
            self.next = None;
        }
        counter!(names::STORE_CALLS).increment(1);
        let newest = self.store.newest_records(T::TOPIC).await?;
        self.next = Some(newest.next);
        self.handler.store_answered();
        let era = newest.next.era;
        if self.era.replace(era).is_some_and(|before| before != era) {
            warn!("event=store_went_back topic={} next={}", T::TOPIC, newest.next);
            self.handler.store_went_back(era);
        }
        self.handler.replace(newest.records, newest.next);
        Ok(())
    }

    /// Where the next read begins, for the log.
    fn position(&self) -> Position {
        self.next.unwrap_or_default()
    }
}

/// The pause after a number of consecutive failures, between half of the bound and the
/// bound so that processes don't retry in step.
fn backoff(failures: u32) -> Duration {
    let bound = BASE_BACKOFF.saturating_mul(1 << failures.min(4)).min(MAX_BACKOFF);
    bound.mul_f64(0.5 + 0.5 * fastrand::f64())
}

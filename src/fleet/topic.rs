//! Follows a keyed topic of the platform's store.

use std::time::{Duration, Instant};

use log::{info, warn};
use metrics::counter;
use tokio::time;

use crate::{
    platform::{KeyedRecord, Position, Store, StoreError, Topic},
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
    /// The store did not answer or rejected the request.
    fn store_failed(&mut self, _err: &StoreError) {}
}

/// Passes the records of a topic to a handler until the task is aborted.
pub async fn follow_topic<T: TopicHandler>(store: Store, mut handler: T) {
    let mut next: Option<Position> = None;
    let mut failures = 0;
    let mut last_answer = Instant::now();
    loop {
        match read_next(&store, &mut handler, next).await {
            Ok(position) => {
                if next.is_some_and(|next| next.era != position.era) {
                    let before = next.unwrap_or_default();
                    warn!(
                        "event=store_went_back topic={} before={before} next={position}",
                        T::TOPIC
                    );
                }
                if 0 < failures {
                    let silent_ms = last_answer.elapsed().as_millis();
                    info!(
                        "event=read_again topic={} failures={failures} silent_ms={silent_ms} \
                         next={position}",
                        T::TOPIC
                    );
                }
                next = Some(position);
                failures = 0;
                last_answer = Instant::now();
                time::sleep(T::READ_PAUSE).await;
            }
            Err(StoreError::Expired { first }) => {
                info!("event=history_gone topic={} first={first}", T::TOPIC);
                next = None;
            }
            Err(err) => {
                failures += 1;
                if failures == 1 {
                    let silent_ms = last_answer.elapsed().as_millis();
                    info!(
                        "event=read_failed topic={} silent_ms={silent_ms} next={} error=\"{err}\"",
                        T::TOPIC,
                        next.unwrap_or_default()
                    );
                }
                handler.store_failed(&err);
                counter!(names::STORE_FAILURES).increment(1);
                time::sleep(backoff(failures)).await;
            }
        }
    }
}

async fn read_next<T: TopicHandler>(
    store: &Store,
    handler: &mut T,
    next: Option<Position>,
) -> Result<Position, StoreError> {
    counter!(names::STORE_CALLS).increment(1);
    let Some(from) = next else {
        let newest = store.newest_records(T::TOPIC).await?;
        handler.store_answered();
        handler.replace(newest.records, newest.next);
        return Ok(newest.next);
    };
    let page = store.read_keyed(T::TOPIC, from.offset, T::MAX_WAIT).await?;
    handler.store_answered();
    handler.update(page.records, page.next);
    Ok(page.next)
}

/// The pause after a number of consecutive failures, between half of the bound and the
/// bound so that processes don't retry in step.
fn backoff(failures: u32) -> Duration {
    let bound = BASE_BACKOFF.saturating_mul(1 << failures.min(4)).min(MAX_BACKOFF);
    bound.mul_f64(0.5 + 0.5 * fastrand::f64())
}

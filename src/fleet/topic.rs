//! Follows a keyed topic of the platform's store.

use std::time::Duration;

use log::info;
use metrics::counter;
use tokio::time;

use crate::{
    platform::{KeyedRecord, Store, StoreError, Topic},
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
    /// records were missed.
    fn replace(&mut self, records: Vec<KeyedRecord>);
    /// Applies the records that were appended since the last read.
    fn update(&mut self, records: Vec<KeyedRecord>);
    /// The store answered. Called before the records of that answer are passed on.
    fn store_answered(&mut self) {}
    /// The store did not answer or rejected the request.
    fn store_failed(&mut self, _err: &StoreError) {}
}

/// Passes the records of a topic to a handler until the task is aborted.
pub async fn follow_topic<T: TopicHandler>(store: Store, mut handler: T) {
    let mut next = None;
    let mut failures = 0;
    loop {
        match read_next(&store, &mut handler, next).await {
            Ok(offset) => {
                next = Some(offset);
                failures = 0;
                time::sleep(T::READ_PAUSE).await;
            }
            Err(StoreError::Expired { first }) => {
                info!("event=history_gone topic={} first={first}", T::TOPIC);
                next = None;
            }
            Err(err) => {
                failures += 1;
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
    next: Option<u64>,
) -> Result<u64, StoreError> {
    counter!(names::STORE_CALLS).increment(1);
    let Some(from) = next else {
        let newest = store.newest_records(T::TOPIC).await?;
        handler.store_answered();
        handler.replace(newest.records);
        return Ok(newest.next);
    };
    let page = store.read_keyed(T::TOPIC, from, T::MAX_WAIT).await?;
    handler.store_answered();
    handler.update(page.records);
    Ok(page.next)
}

/// The pause after a number of consecutive failures, between half of the bound and the
/// bound so that processes don't retry in step.
fn backoff(failures: u32) -> Duration {
    let bound = BASE_BACKOFF.saturating_mul(1 << failures.min(4)).min(MAX_BACKOFF);
    bound.mul_f64(0.5 + 0.5 * fastrand::f64())
}

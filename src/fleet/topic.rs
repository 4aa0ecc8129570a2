//! Follows a keyed topic of the platform's store.

use std::time::Duration;

use log::info;
use metrics::counter;
use tokio::time;

use crate::{
    platform::{KeyedRecord, Store, StoreError, Topic},
    telemetry::names,
};

/// Pause after a failed call, lengthened with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(150);
const MAX_BACKOFF: Duration = Duration::from_millis(700);

/// A topic that is followed.
pub trait Followed {
    /// Its name.
    const TOPIC: Topic;
    /// Longest wait of a read.
    const WAIT: Duration;
    /// Pause between reads.
    const PAUSE: Duration;

    /// All records, after a gap.
    fn replace(&mut self, records: Vec<KeyedRecord>);
    /// Records that came since.
    fn changed(&mut self, records: Vec<KeyedRecord>);
    /// The store answered; called before its records are told.
    fn answered(&mut self) {}
    /// The store did not answer, or turned this process away.
    fn failed(&mut self, _err: &StoreError) {}
}

/// Follows one topic for ever.
pub async fn follow<T: Followed>(store: Store, mut topic: T) {
    let mut next = None;
    let mut failures = 0;
    loop {
        match step(&store, &mut topic, next).await {
            Ok(offset) => {
                next = Some(offset);
                failures = 0;
                time::sleep(T::PAUSE).await;
            }
            Err(StoreError::Expired { first }) => {
                info!("event=history_gone topic={} first={first}", T::TOPIC);
                next = None;
            }
            Err(err) => {
                failures += 1;
                topic.failed(&err);
                counter!(names::STORE_FAILURES).increment(1);
                time::sleep(backoff(failures)).await;
            }
        }
    }
}

async fn step<T: Followed>(
    store: &Store,
    topic: &mut T,
    next: Option<u64>,
) -> Result<u64, StoreError> {
    counter!(names::STORE_CALLS).increment(1);
    let Some(from) = next else {
        let newest = store.newest_records(T::TOPIC).await?;
        topic.answered();
        topic.replace(newest.records);
        return Ok(newest.next);
    };
    let page = store.read_keyed(T::TOPIC, from, T::WAIT).await?;
    topic.answered();
    topic.changed(page.records);
    Ok(page.next)
}

fn backoff(failures: u32) -> Duration {
    let longest = FIRST_BACKOFF.saturating_mul(1 << failures.min(4)).min(MAX_BACKOFF);
    longest.mul_f64(0.5 + 0.5 * fastrand::f64())
}

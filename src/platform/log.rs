//! Implements [`Log`] with the platform's store, where each stream is a topic.

use std::time::Duration;

use bytes::Bytes;

use crate::{
    core::ids::Offset,
    fleet::{AppendError, Log, LogRecord, Page, ReadError},
    platform::{Store, StoreError},
};

/// Offsets of [`Log`] begin with 1, those of the store with 0.
const FIRST_OFFSET: Offset = 1;

impl From<StoreError> for AppendError {
    fn from(err: StoreError) -> Self {
        match err {
            StoreError::NoAnswer(_) | StoreError::Malformed(_) => Self::Uncertain(err.to_string()),
            _ => Self::Refused(err.to_string()),
        }
    }
}

impl From<StoreError> for ReadError {
    fn from(err: StoreError) -> Self {
        match err {
            StoreError::Expired { first } => Self::Expired { first: first + FIRST_OFFSET },
            _ => Self::Unavailable(err.to_string()),
        }
    }
}

impl Log for Store {
    async fn append(&self, stream: &str, payload: Bytes) -> Result<Offset, AppendError> {
        Ok(self.append_record(stream, &payload).await?.offset + FIRST_OFFSET)
    }

    async fn read(&self, stream: &str, from: Offset, wait: Duration) -> Result<Page, ReadError> {
        let start = from.saturating_sub(FIRST_OFFSET);
        let page = self.read_raw(stream, start, wait).await?;
        let to_record = |(i, payload): (usize, Bytes)| LogRecord {
            offset: start + i as Offset + FIRST_OFFSET,
            payload,
        };
        let records = page.records.into_iter().enumerate().map(to_record).collect();
        Ok(Page { records, first: page.first + FIRST_OFFSET, end: page.end + FIRST_OFFSET })
    }
}

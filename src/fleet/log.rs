//! Client interface of the platform's append-only log.

use std::{fmt, future::Future, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::core::ids::Offset;

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Position of the record in the stream.
    pub offset: Offset,
    /// Content of the record.
    pub payload: Bytes,
}

/// Result of one read of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The records, with consecutive offsets.
    pub records: Vec<LogRecord>,
    /// Offset of the oldest record that the stream keeps.
    pub first: Offset,
    /// Offset of the next record that will be appended.
    pub end: Offset,
}

/// Why an append was not confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppendError {
    /// The log rejected the record; it is not in the stream.
    Refused(String),
    /// The log did not confirm the record; it may be in the stream already or appear later.
    Uncertain(String),
}

/// Why a read failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The log no longer keeps the requested records.
    Expired {
        /// Offset of the oldest record that the stream keeps.
        first: Offset,
    },
    /// The log could not be read.
    Unavailable(String),
}

impl fmt::Display for AppendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(text) => write!(f, "the log rejected the record: {text}"),
            Self::Uncertain(text) => write!(f, "the log did not confirm the record: {text}"),
        }
    }
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Expired { first } => write!(f, "the log no longer keeps records before {first}"),
            Self::Unavailable(text) => write!(f, "the log cannot be read: {text}"),
        }
    }
}

/// A client of the log. Its clones access the same log.
pub trait Log: Clone + Send + Sync + 'static {
    /// Appends a record to a stream and returns its offset.
    fn append(
        &self,
        stream: &str,
        payload: Bytes,
    ) -> impl Future<Output = Result<Offset, AppendError>> + Send;

    /// Reads the records from offset `from` on. If there are none yet, waits up to `wait`
    /// for the first one.
    fn read(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, ReadError>> + Send;
}

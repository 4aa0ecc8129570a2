//! The platform's append-only log.

use std::{fmt, future::Future, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::core::ids::Offset;

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its position.
    pub offset: Offset,
    /// Its bytes.
    pub payload: Bytes,
}

/// Records that were read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Records in the order of their offsets, without gaps.
    pub records: Vec<LogRecord>,
    /// Offset of the oldest record that the stream keeps.
    pub first: Offset,
    /// Offset that the next record will get.
    pub end: Offset,
}

/// Why an append was not confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppendError {
    /// The log refused the record; it is not in the stream.
    Refused(String),
    /// The record may be in the stream, now or later.
    Uncertain(String),
}

/// Why nothing was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The wanted records were kept no longer.
    Expired {
        /// Offset of the oldest record that the stream keeps.
        first: Offset,
    },
    /// The log did not answer.
    Unavailable(String),
}

impl fmt::Display for AppendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(text) => write!(f, "the log refused the record: {text}"),
            Self::Uncertain(text) => write!(f, "the log did not confirm the record: {text}"),
        }
    }
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Expired { first } => write!(f, "records before {first} are kept no longer"),
            Self::Unavailable(text) => write!(f, "the log cannot be read: {text}"),
        }
    }
}

/// A client of the log.
pub trait Log: Clone + Send + Sync + 'static {
    /// Appends a record to a stream and returns its offset.
    fn append(
        &self,
        stream: &str,
        payload: Bytes,
    ) -> impl Future<Output = Result<Offset, AppendError>> + Send;

    /// Reads records from an offset on, waiting up to `wait` for the first.
    fn read(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, ReadError>> + Send;
}

//! The log over HTTP: `POST /streams/NAME` appends, `GET /streams/NAME` reads.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{
    core::ids::Offset,
    fleet::{AppendError, Log, LogRecord, Page, ReadError},
    http::{Client, ClientError},
};

const APPEND_LIMIT: Duration = Duration::from_millis(1500);
const READ_LIMIT: Duration = Duration::from_secs(2);

/// Answer to an append.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct AppendReply {
    /// Offset of the record.
    pub offset: Offset,
}

/// Answer to a read. Payloads are texts: all records of the system are JSON.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ReadReply {
    /// Offset of the oldest record that is kept.
    pub first: Offset,
    /// Offset that the next record will get.
    pub end: Offset,
    /// Offset of the first of `payloads`.
    pub from: Offset,
    /// Records in order.
    pub payloads: Vec<String>,
}

/// A client of the log over HTTP.
#[derive(Clone, Debug)]
pub struct HttpLog {
    client: Client,
}

impl HttpLog {
    /// A client of the log at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { client: Client::new(address) }
    }
}

impl Log for HttpLog {
    async fn append(&self, stream: &str, payload: Bytes) -> Result<Offset, AppendError> {
        let path = format!("/streams/{stream}");
        let sent =
            self.client.call(Method::POST, &path, HeaderMap::new(), payload, APPEND_LIMIT).await;
        let body = sent.map_err(|err| match err {
            ClientError::NotSent(_) => AppendError::Refused(err.to_string()),
            ClientError::Status(status, _) if status.is_client_error() => {
                AppendError::Refused(err.to_string())
            }
            _ => AppendError::Uncertain(err.to_string()),
        })?;
        let reply: Result<AppendReply, _> = serde_json::from_slice(&body);
        reply.map(|r| r.offset).map_err(|err| AppendError::Uncertain(err.to_string()))
    }

    async fn read(&self, stream: &str, from: Offset, wait: Duration) -> Result<Page, ReadError> {
        let path = format!("/streams/{stream}?from={from}&wait_ms={}", wait.as_millis());
        let read: Result<ReadReply, _> = self.client.get_json(&path, wait + READ_LIMIT).await;
        let reply = read.map_err(|err| match &err {
            ClientError::Status(StatusCode::GONE, body) => expired(body),
            _ => ReadError::Unavailable(err.to_string()),
        })?;
        let record = |(i, payload): (usize, String)| LogRecord {
            offset: reply.from + i as Offset,
            payload: payload.into(),
        };
        let records = reply.payloads.into_iter().enumerate().map(record).collect();
        Ok(Page { records, first: reply.first, end: reply.end })
    }
}

fn expired(body: &[u8]) -> ReadError {
    let reply: ReadReply = serde_json::from_slice(body).unwrap_or_default();
    ReadError::Expired { first: reply.first }
}

//! Client of the platform's store, a log with topics of which some are keyed.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use hyper::{HeaderMap, Method, Response, StatusCode, header::HeaderName};
use serde::Deserialize;

use crate::http::{Client, ClientError};

/// Name of a keyed topic of the log.
pub type Topic = &'static str;

/// Topic of the operator's records, the configuration among them.
pub const CONFIGURATION: Topic = "keyed.op";
/// Topic of the endpoints' registrations.
pub const REGISTRATIONS: Topic = "keyed.servers";
/// Topic of requests that crashed endpoints.
pub const QUARANTINE: Topic = "keyed.quarantine";
/// Topic of the status records of the system's own processes.
pub const STATUS: Topic = "keyed.status";

/// Topic of the gateways' addresses.
pub const GATEWAYS: Topic = "keyed.gateways";

/// How many times the store has returned from an older copy of its records. After that, it
/// gives out the offsets of the records that it lost to others.
pub type StoreEra = u64;

const STORE_ERA: HeaderName = HeaderName::from_static("store-era");
/// Time limit of a call, in addition to the wait that it requests. A healthy store
/// answers within a few milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Length field in front of each record.
const RECORD_LENGTH_BYTES: usize = 4;
/// End and first offset at the start of a page.
const PAGE_HEADER_BYTES: usize = 16;
/// The length of a key is stored in one byte.
const MAX_KEY_BYTES: usize = 255;

/// Error of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The call was not carried out: the store is unreachable or rejects this process.
    Unavailable(String),
    /// The call was not carried out: the store receives too many calls.
    Busy,
    /// The requested records were deleted by retention.
    Expired {
        /// The oldest retained offset.
        first: u64,
    },
    /// The call was not carried out: a precondition failed.
    Conflict(String),
    /// No answer arrived: the call may have been carried out, or may still be.
    NoAnswer(String),
    /// The call or its answer violates the store's protocol.
    Malformed(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(text) => write!(f, "store unavailable: {text}"),
            Self::Busy => f.write_str("the store is overloaded"),
            Self::Expired { first } => {
                write!(f, "records before offset {first} are no longer retained")
            }
            Self::Conflict(text) => write!(f, "precondition failed: {text}"),
            Self::NoAnswer(text) => write!(f, "no answer from the store: {text}"),
            Self::Malformed(text) => write!(f, "store protocol violation: {text}"),
        }
    }
}

impl From<ClientError> for StoreError {
    fn from(err: ClientError) -> Self {
        match err {
            ClientError::NotSent(text) => Self::Unavailable(text),
            ClientError::NoResponse(text) => Self::NoAnswer(text),
            ClientError::Malformed(text) => Self::Malformed(text),
            ClientError::Status(status, body) => status_error(status, &body),
        }
    }
}

fn status_error(status: StatusCode, body: &[u8]) -> StoreError {
    let text = || String::from_utf8_lossy(body).into_owned();
    match status {
        StatusCode::GONE => match serde_json::from_slice::<GoneWire>(body) {
            Ok(gone) => StoreError::Expired { first: gone.first },
            Err(err) => StoreError::Malformed(err.to_string()),
        },
        StatusCode::TOO_MANY_REQUESTS => StoreError::Busy,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::INSUFFICIENT_STORAGE => {
            StoreError::Unavailable(format!("status {status}: {}", text()))
        }
        StatusCode::CONFLICT | StatusCode::PRECONDITION_FAILED => StoreError::Conflict(text()),
        _ => StoreError::Malformed(format!("status {status}: {}", text())),
    }
}

/// A record of a keyed topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key of the record.
    pub key: String,
    /// Value of the record; `None` if the key was deleted.
    pub value: Option<Bytes>,
}

/// An offset of a topic, which is valid in one era of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Number of a record, counted from 0.
    pub offset: u64,
    /// The era in which the store named the offset.
    pub era: StoreEra,
}

/// The offsets of an era for which [`Position::sequence`] has room.
const OFFSETS_PER_ERA: u64 = 1 << 24;

impl Position {
    /// A number that is larger for each later record, also after the store has returned from an
    /// older copy and given out offsets again.
    ///
    /// ```
    /// use goldcrestpitch::platform::Position;
    /// let lost = Position { offset: 9, era: 0 };
    /// let later = Position { offset: 4, era: 1 };
    /// assert!(lost.sequence() < later.sequence());
    /// ```
    pub fn sequence(self) -> u64 {
        self.era * OFFSETS_PER_ERA + self.offset
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.offset)
    }
}

/// Records of a keyed topic from an offset on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadPage {
    /// The records in the order of their offsets.
    pub records: Vec<KeyedRecord>,
    /// Where to read next.
    pub next: Position,
}

/// Records of a topic, not decoded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RawPage {
    /// Offset of the next record that is appended.
    pub end: u64,
    /// The oldest retained offset.
    pub first: u64,
    /// The era of the store.
    pub era: StoreEra,
    /// The records in the order of their offsets.
    pub records: Vec<Bytes>,
}

/// The newest record of each key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NewestRecords {
    /// One record for each key.
    pub records: Vec<KeyedRecord>,
    /// Where to read next: the end of the topic at the first page, so that no change made
    /// while the other pages were read is missed.
    pub next: Position,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct GoneWire {
    first: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct AppendWire {
    offset: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct NewestPageWire {
    #[serde(rename = "items")]
    items: Vec<ItemWire>,
    #[serde(default)]
    has_more: bool,
    end: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ItemWire {
    key: String,
    #[serde(default)]
    value: Option<String>,
}

/// Client of the store.
#[derive(Clone, Debug)]
pub struct Store {
    reads: Client,
    // The answers of the store do not tell what they answer, and positions are fencing tokens.
    appends: Client,
}

impl Store {
    /// Creates a client of the store at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { reads: Client::new(address), appends: Client::without_reuse(address) }
    }

    /// Reads the records of a keyed topic from an offset on. If there are none yet, waits
    /// up to `wait` for the first.
    ///
    /// # Errors
    /// [`StoreError::Expired`] if records from that offset on were deleted, or any other.
    pub async fn read_keyed(
        &self,
        topic: Topic,
        from: u64,
        wait: Duration,
    ) -> Result<ReadPage, StoreError> {
        let page = self.read_raw(topic, from, wait).await?;
        let next = Position { offset: from + page.records.len() as u64, era: page.era };
        let records = page.records.into_iter().filter_map(decode_keyed).collect();
        Ok(ReadPage { records, next })
    }

    /// Reads the records of a topic without decoding them.
    ///
    /// # Errors
    /// As for [`Self::read_keyed`].
    pub async fn read_raw(
        &self,
        topic: &str,
        from: u64,
        wait: Duration,
    ) -> Result<RawPage, StoreError> {
        let (topic, wait_ms) = (percent_encode(topic), wait.as_millis());
        let path = format!("/-/log-read?Topic={topic}&part=0&From={from}&WaitMs={wait_ms}");
        let headers = HeaderMap::new();
        let timeout = wait + CALL_TIMEOUT;
        let call = self.reads.call_with_head(Method::GET, &path, headers, Bytes::new(), timeout);
        let (era, body) = era_and_body(call.await?)?;
        let page = split_records(era, body)?;
        let (end, count) = (page.end, page.records.len() as u64);
        if 0 < count && end < from + count {
            // That is the page of another read.
            return Err(StoreError::Malformed(format!(
                "{count} records from offset {from} on end at {end}"
            )));
        }
        Ok(page)
    }

    /// Reads the newest record of each key of a topic.
    ///
    /// # Errors
    /// Any [`StoreError`].
    pub async fn newest_records(&self, topic: Topic) -> Result<NewestRecords, StoreError> {
        let mut records = Vec::new();
        let mut next = None;
        let mut after = String::new();
        loop {
            let path = format!("/-/log-newest?Topic={topic}&part=0{after}");
            let (headers, body) = (HeaderMap::new(), Bytes::new());
            let call = self.reads.call_with_head(Method::GET, &path, headers, body, CALL_TIMEOUT);
            let (era, body) = era_and_body(call.await?)?;
            let page: Result<NewestPageWire, _> = serde_json::from_slice(&body);
            let page = page.map_err(|err| StoreError::Malformed(err.to_string()))?;
            let next = *next.get_or_insert(Position { offset: page.end, era });
            let last = page.items.last().map(|item| item.key.clone());
            records.extend(page.items.into_iter().filter_map(decode_item));
            match last {
                Some(last) if page.has_more => after = format!("&after={}", percent_encode(&last)),
                _ => return Ok(NewestRecords { records, next }),
            }
        }
    }

    /// Appends a record under a key and returns its position.
    ///
    /// # Errors
    /// After [`StoreError::NoAnswer`] the record may have been appended, or may still be.
    pub async fn put(&self, topic: Topic, key: &str, value: &[u8]) -> Result<Position, StoreError> {
        if MAX_KEY_BYTES < key.len() {
            return Err(StoreError::Malformed(format!(
                "key {key:?} is longer than {MAX_KEY_BYTES} bytes"
            )));
        }
        let mut record = BytesMut::with_capacity(1 + key.len() + value.len());
        record.put_u8(key.len() as u8);
        record.put_slice(key.as_bytes());
        record.put_slice(value);
        self.append_record(topic, &record).await
    }

    /// Appends a record to a topic and returns its position.
    ///
    /// # Errors
    /// As for [`Self::put`].
    pub async fn append_record(&self, topic: &str, record: &[u8]) -> Result<Position, StoreError> {
        let mut body = BytesMut::with_capacity(RECORD_LENGTH_BYTES + record.len());
        body.put_u32(record.len() as u32);
        body.put_slice(record);
        let path = format!("/-/log-append?Topic={}&part=0", percent_encode(topic));
        let headers = HeaderMap::new();
        let body = body.freeze();
        let call = self.appends.call_with_head(Method::POST, &path, headers, body, CALL_TIMEOUT);
        let (era, body) = era_and_body(call.await?)?;
        let reply: Result<AppendWire, _> = serde_json::from_slice(&body);
        let reply = reply.map_err(|err| StoreError::Malformed(err.to_string()))?;
        Ok(Position { offset: reply.offset, era })
    }
}

/// Splits off the era that an answer names; 0 if it names none.
fn era_and_body(response: Response<Bytes>) -> Result<(StoreEra, Bytes), StoreError> {
    let era = match response.headers().get(STORE_ERA) {
        None => 0,
        Some(value) => {
            let number = value.to_str().ok().and_then(|v| v.trim().parse().ok());
            number.ok_or_else(|| StoreError::Malformed(format!("unreadable era {value:?}")))?
        }
    };
    Ok((era, response.into_body()))
}

fn split_records(era: StoreEra, mut body: Bytes) -> Result<RawPage, StoreError> {
    let truncated = || StoreError::Malformed("the answer ends within a record".to_owned());
    if body.len() < PAGE_HEADER_BYTES {
        return Err(truncated());
    }
    let mut page = RawPage { end: body.get_u64(), first: body.get_u64(), era, records: Vec::new() };
    while RECORD_LENGTH_BYTES <= body.len() {
        let length = body.get_u32() as usize;
        if body.len() < length {
            return Err(truncated());
        }
        page.records.push(body.split_to(length));
    }
    if body.is_empty() { Ok(page) } else { Err(truncated()) }
}

/// Splits a record into key and value. A record without a valid key is skipped, though
/// it takes up an offset.
fn decode_keyed(mut record: Bytes) -> Option<KeyedRecord> {
    if record.is_empty() {
        return None;
    }
    let length = usize::from(record.get_u8());
    if record.len() < length {
        return None;
    }
    let key = String::from_utf8(record.split_to(length).to_vec()).ok()?;
    Some(KeyedRecord { key, value: (!record.is_empty()).then_some(record) })
}

fn decode_item(item: ItemWire) -> Option<KeyedRecord> {
    use base64::{Engine, engine::general_purpose::STANDARD};
    let value = item.value.and_then(|v| STANDARD.decode(v).ok()).map(Bytes::from);
    let value = value.filter(|v| !v.is_empty())?;
    Some(KeyedRecord { key: item.key, value: Some(value) })
}

fn percent_encode(text: &str) -> String {
    let is_unreserved = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
    text.bytes()
        .map(|b| if is_unreserved(b) { char::from(b).to_string() } else { format!("%{b:02X}") })
        .collect()
}

//! The client of the platform's store: a log with topics, some of them keyed.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use hyper::{HeaderMap, Method, StatusCode};
use serde::Deserialize;

use crate::http::{Client, ClientError};

/// A keyed topic of the log.
pub type Topic = &'static str;

/// Records of the operator.
pub const CONFIGURATION: Topic = "keyed.op";
/// Registrations of endpoints.
pub const REGISTRATIONS: Topic = "keyed.servers";
/// What processes of the system say of themselves.
pub const STATUS: Topic = "keyed.status";

/// Time for an answer beyond the wait that a call asks for. A stable store
/// answers within a few milliseconds.
const ANSWER_LIMIT: Duration = Duration::from_millis(1500);
const LENGTH_BYTES: usize = 4;
const HEAD_BYTES: usize = 16;
const MAX_KEY_BYTES: usize = 255;

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The store did nothing: it is away, or turns this process away.
    Unavailable(String),
    /// The store did nothing: too many calls.
    Busy,
    /// The records are kept no longer.
    Expired {
        /// The oldest offset that is kept.
        first: u64,
    },
    /// A condition of the call does not hold; nothing was done.
    Conflict(String),
    /// No answer: the call may have been carried out, or may be later.
    NoAnswer(String),
    /// The call or its answer is not as the store's protocol says.
    Malformed(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(text) => write!(f, "the store is not available: {text}"),
            Self::Busy => f.write_str("the store takes no more calls now"),
            Self::Expired { first } => write!(f, "records before {first} are kept no longer"),
            Self::Conflict(text) => write!(f, "a condition does not hold: {text}"),
            Self::NoAnswer(text) => write!(f, "the store did not answer: {text}"),
            Self::Malformed(text) => write!(f, "not as the protocol says: {text}"),
        }
    }
}

impl From<ClientError> for StoreError {
    fn from(err: ClientError) -> Self {
        match err {
            ClientError::NotSent(text) => Self::Unavailable(text),
            ClientError::NoAnswer(text) => Self::NoAnswer(text),
            ClientError::Malformed(text) => Self::Malformed(text),
            ClientError::Status(status, body) => refused(status, &body),
        }
    }
}

fn refused(status: StatusCode, body: &[u8]) -> StoreError {
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
    /// Its key.
    pub key: String,
    /// Its value; nothing when the key is dropped.
    pub value: Option<Bytes>,
}

/// Records that follow an offset.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadPage {
    /// The records, in order.
    pub records: Vec<KeyedRecord>,
    /// Offset to read from next.
    pub next: u64,
}

/// Records of a topic as they are.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RawPage {
    /// Offset that the next record will get.
    pub end: u64,
    /// The oldest offset that is kept.
    pub first: u64,
    /// The records, in order.
    pub records: Vec<Bytes>,
}

/// The newest record of each key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NewestRecords {
    /// One record a key.
    pub records: Vec<KeyedRecord>,
    /// Offset to read from next: changes since the first page follow from there.
    pub next: u64,
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
struct NewestWire {
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

/// A client of the store.
#[derive(Clone, Debug)]
pub struct Store {
    client: Client,
}

impl Store {
    /// A client of the store at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { client: Client::new(address) }
    }

    /// Reads the records of a keyed topic from an offset on, waiting up to
    /// `wait` for the first.
    ///
    /// # Errors
    /// [`StoreError::Expired`] when records in between are gone; any other.
    pub async fn read_keyed(
        &self,
        topic: Topic,
        from: u64,
        wait: Duration,
    ) -> Result<ReadPage, StoreError> {
        let raw = self.read_raw(topic, from, wait).await?;
        let next = from + raw.records.len() as u64;
        let records = raw.records.into_iter().filter_map(decode_keyed).collect();
        Ok(ReadPage { records, next })
    }

    /// Reads the records of a topic as they are.
    ///
    /// # Errors
    /// As for [`Self::read_keyed`].
    pub async fn read_raw(
        &self,
        topic: &str,
        from: u64,
        wait: Duration,
    ) -> Result<RawPage, StoreError> {
        let (topic, wait_ms) = (encode(topic), wait.as_millis());
        let path = format!("/-/log-read?Topic={topic}&part=0&From={from}&WaitMs={wait_ms}");
        let headers = HeaderMap::new();
        let limit = wait + ANSWER_LIMIT;
        let body = self.client.call(Method::GET, &path, headers, Bytes::new(), limit).await?;
        split_records(body)
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
            let page: NewestWire = self.client.get_json(&path, ANSWER_LIMIT).await?;
            let next = *next.get_or_insert(page.end);
            let last = page.items.last().map(|item| item.key.clone());
            records.extend(page.items.into_iter().filter_map(decode_item));
            match last {
                Some(last) if page.has_more => after = format!("&after={}", encode(&last)),
                _ => return Ok(NewestRecords { records, next }),
            }
        }
    }

    /// Appends a record under a key and returns its offset.
    ///
    /// # Errors
    /// After [`StoreError::NoAnswer`] the record may be there, now or later.
    pub async fn put(&self, topic: Topic, key: &str, value: &[u8]) -> Result<u64, StoreError> {
        if MAX_KEY_BYTES < key.len() {
            return Err(StoreError::Malformed(format!("the key {key:?} is too long")));
        }
        let mut record = BytesMut::with_capacity(1 + key.len() + value.len());
        record.put_u8(key.len() as u8);
        record.put_slice(key.as_bytes());
        record.put_slice(value);
        self.append_record(topic, &record).await
    }

    /// Appends a record to a topic and returns its offset.
    ///
    /// # Errors
    /// As for [`Self::put`].
    pub async fn append_record(&self, topic: &str, record: &[u8]) -> Result<u64, StoreError> {
        let mut body = BytesMut::with_capacity(LENGTH_BYTES + record.len());
        body.put_u32(record.len() as u32);
        body.put_slice(record);
        let path = format!("/-/log-append?Topic={}&part=0", encode(topic));
        let headers = HeaderMap::new();
        let call = self.client.call(Method::POST, &path, headers, body.freeze(), ANSWER_LIMIT);
        let reply: Result<AppendWire, _> = serde_json::from_slice(&call.await?);
        reply.map(|r| r.offset).map_err(|err| StoreError::Malformed(err.to_string()))
    }
}

fn split_records(mut body: Bytes) -> Result<RawPage, StoreError> {
    let short = || StoreError::Malformed("an answer ends within a record".to_owned());
    if body.len() < HEAD_BYTES {
        return Err(short());
    }
    let mut page = RawPage { end: body.get_u64(), first: body.get_u64(), records: Vec::new() };
    while LENGTH_BYTES <= body.len() {
        let length = body.get_u32() as usize;
        if body.len() < length {
            return Err(short());
        }
        page.records.push(body.split_to(length));
    }
    if body.is_empty() { Ok(page) } else { Err(short()) }
}

/// A record that does not begin with a key counts as an offset only.
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

fn encode(text: &str) -> String {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
    text.bytes()
        .map(|b| if plain(b) { char::from(b).to_string() } else { format!("%{b:02X}") })
        .collect()
}

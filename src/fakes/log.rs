//! In-memory log with retention, outages and lost responses.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use hyper::{Request, StatusCode};
use tokio::{net::TcpListener, sync::Notify, time};

use crate::{
    core::{ids::Offset, limits::TokenBucket},
    fleet::{AppendError, Log, LogRecord, Page, ReadError},
    http::{self, Reply, ReplyAborted, Stop},
};

const MAX_RECORDS_PER_READ: usize = 1000;
const MAX_RECORD_BYTES: usize = 4 * 1024 * 1024;
const LENGTH_PREFIX_BYTES: usize = 4;

/// Faults and limits of the log.
#[derive(Clone, Copy, Debug)]
pub struct LogFaults {
    /// Whether all appends and reads fail.
    pub outage: bool,
    /// Percentage of appends that take effect although their response is lost.
    pub lost_response_percent: u8,
    /// Time that each append and read takes.
    pub delay: Duration,
    /// Most appends per second; further ones are rejected.
    pub rate_per_s: f64,
    /// Number of records that each stream keeps.
    pub retention: usize,
}

impl Default for LogFaults {
    fn default() -> Self {
        Self {
            outage: false,
            lost_response_percent: 0,
            delay: Duration::from_millis(2),
            rate_per_s: 400.0,
            retention: 100_000,
        }
    }
}

/// How the log treats the callers of one listener.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Access {
    /// It serves them.
    #[default]
    Open,
    /// It rejects their calls.
    Rejected,
    /// It does not answer them.
    Silent,
}

/// A copy of all records of a log.
#[derive(Clone, Debug)]
pub struct LogCopy {
    streams: HashMap<String, Stream>,
}

/// Key, value and offset of a record.
type KeyedItem = (String, Bytes, u64);

#[derive(Clone, Debug, Default)]
struct Stream {
    first: Offset,
    records: VecDeque<Bytes>,
}

impl Stream {
    fn end(&self) -> Offset {
        self.first.max(1) + self.records.len() as Offset
    }
}

#[derive(Debug)]
struct LogInner {
    faults: LogFaults,
    rng: fastrand::Rng,
    append_rate: TokenBucket,
    streams: HashMap<String, Stream>,
    // How many times the log has returned from a copy.
    era: u64,
    appends: u64,
    reads: u64,
    bytes_read: u64,
}

/// A log in memory. Clones refer to the same log.
#[derive(Clone, Debug)]
pub struct FakeLog {
    inner: Arc<Mutex<LogInner>>,
    appended: Arc<Notify>,
    access: Arc<Mutex<Access>>,
}

impl FakeLog {
    /// Creates an empty log. The seed determines which responses are lost.
    pub fn new(faults: LogFaults, seed: u64) -> Self {
        let append_rate = TokenBucket::new(faults.rate_per_s, faults.rate_per_s, Instant::now());
        let inner = LogInner {
            faults,
            rng: fastrand::Rng::with_seed(seed),
            append_rate,
            streams: HashMap::new(),
            era: 0,
            appends: 0,
            reads: 0,
            bytes_read: 0,
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
            appended: Arc::new(Notify::new()),
            access: Arc::default(),
        }
    }

    /// The same log, with an [`Access`] of its own for the listeners that it serves.
    pub fn with_own_access(&self) -> Self {
        Self { access: Arc::default(), ..self.clone() }
    }

    /// Changes how the log treats the callers of its listeners, those that wait included.
    pub fn set_access(&self, access: Access) {
        *self.access.lock().unwrap_or_else(PoisonError::into_inner) = access;
    }

    /// Copies all records.
    pub fn copy(&self) -> LogCopy {
        LogCopy { streams: self.lock().streams.clone() }
    }

    /// Replaces all records by those of an older copy, so that offsets are given out again.
    /// Reads that wait fail.
    pub fn restore(&self, copy: LogCopy) {
        let mut inner = self.lock();
        inner.streams = copy.streams;
        inner.era += 1;
        drop(inner);
        self.appended.notify_waiters();
    }

    /// Changes the faults and limits.
    pub fn set_faults(&self, change: impl FnOnce(&mut LogFaults)) {
        let mut inner = self.lock();
        change(&mut inner.faults);
        let rate = inner.faults.rate_per_s;
        inner.append_rate.configure(rate, rate);
    }

    /// Number of appends that took effect so far.
    pub fn appends(&self) -> u64 {
        self.lock().appends
    }

    /// Number of reads so far and of the bytes that they returned.
    pub fn reads(&self) -> (u64, u64) {
        let inner = self.lock();
        (inner.reads, inner.bytes_read)
    }

    /// Serves the log over HTTP until the stop is signalled.
    pub async fn serve(self, listener: TcpListener, stop: Stop) {
        let handler = move |req| {
            let log = self.clone();
            async move {
                let reply = log.handle(req).await;
                let access = *log.access.lock().unwrap_or_else(PoisonError::into_inner);
                let mut reply = match access {
                    Access::Open => reply?,
                    Access::Rejected => http::text(StatusCode::SERVICE_UNAVAILABLE, "rejected"),
                    Access::Silent => std::future::pending().await,
                };
                reply.headers_mut().insert("store-era", log.lock().era.into());
                Ok(reply)
            }
        };
        http::serve(listener, handler, stop).await;
    }

    fn lock(&self) -> MutexGuard<'_, LogInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The newest record of each key of a topic and the next offset, both counted from 0
    /// as in the HTTP interface. [`Log`] counts offsets from 1.
    fn newest_records(&self, topic: &str) -> Result<(Vec<KeyedItem>, u64), ReadError> {
        let inner = self.lock();
        if inner.faults.outage {
            return Err(ReadError::Unavailable("outage".to_owned()));
        }
        let Some(stream) = inner.streams.get(topic) else { return Ok((Vec::new(), 0)) };
        let mut newest = std::collections::BTreeMap::new();
        for (i, record) in stream.records.iter().enumerate() {
            let offset = stream.first.max(1) - 1 + i as u64;
            let Some((length, rest)) = record.split_first() else { continue };
            let (key, value) = rest.split_at(usize::from(*length).min(rest.len()));
            let key = String::from_utf8_lossy(key).into_owned();
            if value.is_empty() {
                newest.remove(&key);
            } else {
                newest.insert(key, (record.slice_ref(value), offset));
            }
        }
        let items = newest.into_iter().map(|(key, (value, offset))| (key, value, offset));
        Ok((items.collect(), stream.end() - 1))
    }

    /// Drops all records of a topic.
    pub fn compact(&self, topic: &str) {
        let mut inner = self.lock();
        if let Some(stream) = inner.streams.get_mut(topic) {
            stream.first = stream.end();
            stream.records.clear();
        }
    }

    async fn handle(&self, req: Request<http::RequestBody>) -> Result<Reply, ReplyAborted> {
        let path = req.uri().path().to_owned();
        let query = req.uri().query().unwrap_or("").to_owned();
        let topic = text_parameter(&query, "Topic");
        match path.as_str() {
            "/-/log-append" => self.handle_append(&topic, req).await,
            "/-/log-read" => Ok(self.handle_read(&topic, &query).await),
            "/-/log-newest" => Ok(self.handle_newest(&topic)),
            _ => Ok(http::text(StatusCode::NOT_FOUND, "no such path")),
        }
    }

    async fn handle_append(
        &self,
        topic: &str,
        req: Request<http::RequestBody>,
    ) -> Result<Reply, ReplyAborted> {
        let body = http::read_body(req.into_body(), MAX_RECORD_BYTES, Duration::from_secs(5));
        let Ok(mut body) = body.await else {
            return Ok(http::text(StatusCode::BAD_REQUEST, "unreadable record"));
        };
        if body.len() < LENGTH_PREFIX_BYTES || body.get_u32() as usize != body.len() {
            return Ok(http::text(StatusCode::BAD_REQUEST, "expected one record"));
        }
        match self.append(topic, body).await {
            Ok(offset) => {
                let (offset, end) = (offset - 1, offset);
                let reply = serde_json::json!({ "Offset": offset, "End": end });
                Ok(http::json(StatusCode::OK, &reply))
            }
            Err(AppendError::Refused(text)) => Ok(http::text(StatusCode::TOO_MANY_REQUESTS, text)),
            // The connection is closed without a response.
            Err(AppendError::Uncertain(_)) => Err(ReplyAborted),
        }
    }

    async fn handle_read(&self, topic: &str, query: &str) -> Reply {
        let wait = Duration::from_millis(number_parameter(query, "WaitMs"));
        match Log::read(self, topic, number_parameter(query, "From") + 1, wait).await {
            Ok(page) => http::text(StatusCode::OK, encode_page(&page)),
            Err(ReadError::Expired { first }) => {
                http::json(StatusCode::GONE, &serde_json::json!({ "First": first - 1 }))
            }
            Err(ReadError::Unavailable(text)) => http::text(StatusCode::SERVICE_UNAVAILABLE, text),
        }
    }

    fn handle_newest(&self, topic: &str) -> Reply {
        use base64::{Engine, engine::general_purpose::STANDARD};
        match self.newest_records(topic) {
            Ok((items, end)) => {
                let items: Vec<_> = items
                    .iter()
                    .map(|(key, value, offset)| {
                        let value = STANDARD.encode(value);
                        serde_json::json!({ "Key": key, "Value": value, "Offset": offset })
                    })
                    .collect();
                let reply = serde_json::json!({ "items": items, "HasMore": false, "End": end });
                http::json(StatusCode::OK, &reply)
            }
            Err(err) => http::text(StatusCode::SERVICE_UNAVAILABLE, err.to_string()),
        }
    }

    fn read_page(&self, stream: &str, from: Offset) -> Result<Page, ReadError> {
        let mut inner = self.lock();
        inner.reads += 1;
        if inner.faults.outage {
            return Err(ReadError::Unavailable("outage".to_owned()));
        }
        let stream = inner.streams.entry(stream.to_owned()).or_default();
        let first = stream.first.max(1);
        if from < first {
            return Err(ReadError::Expired { first });
        }
        if stream.end() < from {
            return Err(ReadError::Expired { first });
        }
        let skip = (from - first) as usize;
        let payloads = stream.records.iter().skip(skip).take(MAX_RECORDS_PER_READ);
        let records: Vec<LogRecord> = payloads
            .enumerate()
            .map(|(i, p)| LogRecord { offset: from + i as Offset, payload: p.clone() })
            .collect();
        let end = stream.end();
        inner.bytes_read += records.iter().map(|r| r.payload.len() as u64).sum::<u64>();
        Ok(Page { records, first, end })
    }
}

impl Log for FakeLog {
    async fn append(&self, stream: &str, payload: Bytes) -> Result<Offset, AppendError> {
        let delay = self.lock().faults.delay;
        time::sleep(delay).await;
        let mut inner = self.lock();
        if inner.faults.outage {
            return Err(AppendError::Uncertain("outage".to_owned()));
        }
        if inner.append_rate.take(Instant::now(), 1.0).is_err() {
            return Err(AppendError::Refused("append rate exceeded".to_owned()));
        }
        let retention = inner.faults.retention;
        inner.appends += 1;
        let response_lost = inner.rng.u8(..100) < inner.faults.lost_response_percent;
        let stream = inner.streams.entry(stream.to_owned()).or_default();
        stream.first = stream.first.max(1);
        let offset = stream.end();
        stream.records.push_back(payload);
        while retention < stream.records.len() {
            stream.records.pop_front();
            stream.first += 1;
        }
        drop(inner);
        self.appended.notify_waiters();
        if response_lost {
            return Err(AppendError::Uncertain("the response was lost".to_owned()));
        }
        Ok(offset)
    }

    async fn read(&self, stream: &str, from: Offset, wait: Duration) -> Result<Page, ReadError> {
        let delay = self.lock().faults.delay;
        time::sleep(delay).await;
        let deadline = time::Instant::now() + wait;
        let era = self.lock().era;
        loop {
            if self.lock().era != era {
                return Err(ReadError::Unavailable("restored from a copy".to_owned()));
            }
            let appended = self.appended.notified();
            tokio::pin!(appended);
            appended.as_mut().enable();
            let page = self.read_page(stream, from)?;
            if !page.records.is_empty() || deadline <= time::Instant::now() {
                return Ok(page);
            }
            let _ = time::timeout_at(deadline, appended).await;
        }
    }
}

fn number_parameter(query: &str, name: &str) -> u64 {
    text_parameter(query, name).parse().unwrap_or(0)
}

fn text_parameter(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
    pairs.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned()).unwrap_or_default()
}

fn encode_page(page: &Page) -> Bytes {
    let mut body = BytesMut::new();
    body.put_u64(page.end - 1);
    body.put_u64(page.first - 1);
    for record in &page.records {
        body.put_u32(record.payload.len() as u32);
        body.put_slice(&record.payload);
    }
    body.freeze()
}

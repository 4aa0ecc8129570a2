//! A log in memory, with retention, outages and lost answers.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use hyper::{Request, StatusCode, body::Incoming};
use tokio::{net::TcpListener, sync::Notify, time};

use crate::{
    core::{ids::Offset, limits::TokenBucket},
    fleet::{AppendError, Log, LogRecord, Page, ReadError},
    http::{self, Reply, ReplyAborted, Stop},
};

const MAX_RECORDS_PER_READ: usize = 1000;
const MAX_RECORD_BYTES: usize = 4 * 1024 * 1024;
const LENGTH_BYTES: usize = 4;

/// Faults of the log.
#[derive(Clone, Copy, Debug)]
pub struct LogFaults {
    /// Nothing can be appended or read.
    pub outage: bool,
    /// Share of appends that take effect without being answered, percent.
    pub lost_response_percent: u8,
    /// Delay of each append and read.
    pub delay: Duration,
    /// Appends a second.
    pub rate_per_s: f64,
    /// Records that each stream keeps.
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

/// Key, value and offset.
type NewestItem = (String, Bytes, u64);

#[derive(Debug, Default)]
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
struct Inner {
    faults: LogFaults,
    rng: fastrand::Rng,
    rate: TokenBucket,
    streams: HashMap<String, Stream>,
    appends: u64,
    reads: u64,
    bytes_read: u64,
}

/// The log; its clones are one log.
#[derive(Clone, Debug)]
pub struct FakeLog {
    inner: Arc<Mutex<Inner>>,
    grown: Arc<Notify>,
}

impl FakeLog {
    /// An empty log whose faults follow from a seed.
    pub fn new(faults: LogFaults, seed: u64) -> Self {
        let rate = TokenBucket::new(faults.rate_per_s, faults.rate_per_s, Instant::now());
        let inner = Inner {
            faults,
            rng: fastrand::Rng::with_seed(seed),
            rate,
            streams: HashMap::new(),
            appends: 0,
            reads: 0,
            bytes_read: 0,
        };
        Self { inner: Arc::new(Mutex::new(inner)), grown: Arc::new(Notify::new()) }
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut LogFaults)) {
        let mut inner = self.lock();
        change(&mut inner.faults);
        let rate = inner.faults.rate_per_s;
        inner.rate.configure(rate, rate);
    }

    /// Appends that took effect so far.
    pub fn appends(&self) -> u64 {
        self.lock().appends
    }

    /// Reads so far and the bytes that they returned.
    pub fn reads(&self) -> (u64, u64) {
        let inner = self.lock();
        (inner.reads, inner.bytes_read)
    }

    /// Serves the log over HTTP until the stop.
    pub async fn serve(self, listener: TcpListener, stop: Stop) {
        let handler = move |req| {
            let log = self.clone();
            async move { log.handle(req).await }
        };
        http::serve(listener, handler, stop).await;
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The newest record of each key of a topic, with their offsets from 0.
    fn newest(&self, topic: &str) -> Result<(Vec<NewestItem>, u64), ReadError> {
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

    /// Forgets the records of a topic before its end.
    pub fn compact(&self, topic: &str) {
        let mut inner = self.lock();
        if let Some(stream) = inner.streams.get_mut(topic) {
            stream.first = stream.end();
            stream.records.clear();
        }
    }

    async fn handle(&self, req: Request<Incoming>) -> Result<Reply, ReplyAborted> {
        let path = req.uri().path().to_owned();
        let query = req.uri().query().unwrap_or("").to_owned();
        let topic = text(&query, "Topic");
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
        req: Request<Incoming>,
    ) -> Result<Reply, ReplyAborted> {
        let body = http::read_body(req.into_body(), MAX_RECORD_BYTES, Duration::from_secs(5));
        let Ok(mut body) = body.await else {
            return Ok(http::text(StatusCode::BAD_REQUEST, "unreadable record"));
        };
        if body.len() < LENGTH_BYTES || body.get_u32() as usize != body.len() {
            return Ok(http::text(StatusCode::BAD_REQUEST, "one record a call"));
        }
        match self.append(topic, body).await {
            Ok(offset) => {
                let (offset, end) = (offset - 1, offset);
                let reply = serde_json::json!({ "Offset": offset, "End": end });
                Ok(http::json(StatusCode::OK, &reply))
            }
            Err(AppendError::Refused(text)) => Ok(http::text(StatusCode::TOO_MANY_REQUESTS, text)),
            // The connection ends without an answer.
            Err(AppendError::Uncertain(_)) => Err(ReplyAborted),
        }
    }

    async fn handle_read(&self, topic: &str, query: &str) -> Reply {
        let wait = Duration::from_millis(parameter(query, "WaitMs"));
        match Log::read(self, topic, parameter(query, "From") + 1, wait).await {
            Ok(page) => http::text(StatusCode::OK, read_body(&page)),
            Err(ReadError::Expired { first }) => {
                http::json(StatusCode::GONE, &serde_json::json!({ "First": first - 1 }))
            }
            Err(ReadError::Unavailable(text)) => http::text(StatusCode::SERVICE_UNAVAILABLE, text),
        }
    }

    fn handle_newest(&self, topic: &str) -> Reply {
        use base64::{Engine, engine::general_purpose::STANDARD};
        match self.newest(topic) {
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

    fn page(&self, stream: &str, from: Offset) -> Result<Page, ReadError> {
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
        if inner.rate.take(Instant::now(), 1.0).is_err() {
            return Err(AppendError::Refused("over the append rate".to_owned()));
        }
        let retention = inner.faults.retention;
        inner.appends += 1;
        let lost = inner.rng.u8(..100) < inner.faults.lost_response_percent;
        let stream = inner.streams.entry(stream.to_owned()).or_default();
        stream.first = stream.first.max(1);
        let offset = stream.end();
        stream.records.push_back(payload);
        while retention < stream.records.len() {
            stream.records.pop_front();
            stream.first += 1;
        }
        drop(inner);
        self.grown.notify_waiters();
        if lost {
            return Err(AppendError::Uncertain("the answer was lost".to_owned()));
        }
        Ok(offset)
    }

    async fn read(&self, stream: &str, from: Offset, wait: Duration) -> Result<Page, ReadError> {
        let delay = self.lock().faults.delay;
        time::sleep(delay).await;
        let until = time::Instant::now() + wait;
        loop {
            let grown = self.grown.notified();
            tokio::pin!(grown);
            grown.as_mut().enable();
            let page = self.page(stream, from)?;
            if !page.records.is_empty() || until <= time::Instant::now() {
                return Ok(page);
            }
            let _ = time::timeout_at(until, grown).await;
        }
    }
}

fn parameter(query: &str, name: &str) -> u64 {
    text(query, name).parse().unwrap_or(0)
}

fn text(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
    pairs.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned()).unwrap_or_default()
}

fn read_body(page: &Page) -> Bytes {
    let mut body = BytesMut::new();
    body.put_u64(page.end - 1);
    body.put_u64(page.first - 1);
    for record in &page.records {
        body.put_u32(record.payload.len() as u32);
        body.put_slice(&record.payload);
    }
    body.freeze()
}

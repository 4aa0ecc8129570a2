//! A log in memory, with retention, outages and lost answers.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Method, Request, StatusCode, body::Incoming};
use tokio::{net::TcpListener, sync::Notify, time};

use crate::{
    core::{ids::Offset, limits::TokenBucket},
    fleet::{AppendError, AppendReply, Log, LogRecord, Page, ReadError, ReadReply},
    http::{self, Reply, Stop},
};

const MAX_RECORDS_PER_READ: usize = 1000;
const MAX_RECORD_BYTES: usize = 4 * 1024 * 1024;

/// Faults of the log.
#[derive(Clone, Copy, Debug)]
pub struct LogFaults {
    /// Nothing can be appended or read.
    pub outage: bool,
    /// Share of appends that take effect without being answered, percent.
    pub lost_answers: u8,
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
            lost_answers: 0,
            delay: Duration::from_millis(2),
            rate_per_s: 400.0,
            retention: 100_000,
        }
    }
}

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
            async move { Ok(log.handle(req).await) }
        };
        http::serve(listener, handler, stop).await;
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, req: Request<Incoming>) -> Reply {
        let path = req.uri().path().to_owned();
        let Some(stream) = path.strip_prefix("/streams/") else {
            return http::text(StatusCode::NOT_FOUND, "no such path");
        };
        if req.method() == Method::POST {
            let body = http::read_body(req.into_body(), MAX_RECORD_BYTES, Duration::from_secs(5));
            let Ok(body) = body.await else {
                return http::text(StatusCode::BAD_REQUEST, "unreadable record");
            };
            return match self.append(stream, body).await {
                Ok(offset) => http::json(StatusCode::OK, &AppendReply { offset }),
                Err(AppendError::Refused(text)) => http::text(StatusCode::TOO_MANY_REQUESTS, text),
                Err(AppendError::Uncertain(text)) => http::text(StatusCode::BAD_GATEWAY, text),
            };
        }
        let query = req.uri().query().unwrap_or("");
        let wait = Duration::from_millis(parameter(query, "wait_ms"));
        match self.read(stream, parameter(query, "from"), wait).await {
            Ok(page) => http::json(StatusCode::OK, &read_reply(page)),
            Err(ReadError::Expired { first }) => {
                let reply = ReadReply { first, ..ReadReply::default() };
                http::json(StatusCode::GONE, &reply)
            }
            Err(ReadError::Unavailable(text)) => http::text(StatusCode::SERVICE_UNAVAILABLE, text),
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
        let lost = inner.rng.u8(..100) < inner.faults.lost_answers;
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
    let pairs = query.split('&').filter_map(|p| p.split_once('='));
    let found = pairs.filter(|(n, _)| *n == name).map(|(_, v)| v.parse()).next();
    found.and_then(Result::ok).unwrap_or(0)
}

fn read_reply(page: Page) -> ReadReply {
    let from = page.records.first().map_or(page.end, |r| r.offset);
    let text = |r: LogRecord| String::from_utf8_lossy(&r.payload).into_owned();
    let payloads = page.records.into_iter().map(text).collect();
    ReadReply { first: page.first, end: page.end, from, payloads }
}

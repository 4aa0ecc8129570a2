//! The software versions that wrote the first events of streams.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use crate::core::ids::{CrashId, StreamId, VersionId};

/// How long a stream is remembered after its caller's deadline.
const MARGIN: Duration = Duration::from_secs(10);
/// Longest time for which a stream is remembered.
const MAX_LIFETIME: Duration = Duration::from_secs(600);
/// Most streams that are remembered; the oldest are forgotten first.
const MAX_STREAMS: usize = 65_536;
/// How long before the registration of another start of an endpoint reaches this process the
/// new one may have begun streams.
const REGISTRATION_DELAY: Duration = Duration::from_millis(1200);
/// How long a stream is told again with each broadcast, since datagrams may be lost.
const REPEAT_FOR: Duration = Duration::from_millis(2000);

/// What is known of the version that wrote a stream's first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The endpoint may have been started again with another version.
    Unsure,
    /// This version.
    Version(VersionId),
    /// Statements differ, so the stream cannot go on.
    Contradictory,
}

impl Origin {
    /// What follows from two statements about the same stream.
    fn merged(self, other: Self) -> Self {
        match (self, other) {
            (Self::Unsure, known) | (known, Self::Unsure) => known,
            (known, same) if known == same => known,
            _ => Self::Contradictory,
        }
    }
}

/// What a process knows of a stream, for other processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OriginReport {
    /// The stream.
    pub stream: StreamId,
    /// The version that wrote its first event.
    pub origin: Origin,
    /// How long it has to be remembered from now on.
    pub lifetime: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    origin: Origin,
    expires_at: Instant,
    // Where and when this process sent its first event, or one after the caller came back.
    begun: Option<(CrashId, Instant)>,
}

/// The origins of streams that callers may still resume.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::resumption::{Origin, StreamOrigins};
/// let (now, left) = (Instant::now(), Duration::from_secs(15));
/// let mut origins = StreamOrigins::default();
/// origins.begin(now, 7, 42, Origin::Version(1), left);
/// assert_eq!(origins.get(now, 7), Some(Origin::Version(1)));
/// assert_eq!(origins.take_untold(now).len(), 1);
/// assert_eq!(origins.get(now + Duration::from_secs(60), 7), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    records: BTreeMap<StreamId, Record>,
    // In the order of their first records.
    order: VecDeque<StreamId>,
    untold: Vec<StreamId>,
}

impl StreamOrigins {
    /// Records the version whose event this process sends to the caller, who waits for
    /// `deadline` from now on. `start` identifies the start of the endpoint.
    pub fn begin(
        &mut self,
        now: Instant,
        stream: StreamId,
        start: CrashId,
        origin: Origin,
        deadline: Duration,
    ) {
        let lifetime = deadline.saturating_add(MARGIN);
        self.insert(now, OriginReport { stream, origin, lifetime }, Some(start));
    }

    /// Notes that a start of an endpoint has ended. Another one, with another version, may have
    /// begun the latest streams. Returns how many can't go on for that reason.
    pub fn record_ended_start(&mut self, now: Instant, start: CrashId) -> usize {
        let is_doubtful = |record: &Record| {
            record.begun.is_some_and(|(s, at)| s == start && now < at + REGISTRATION_DELAY)
        };
        let doubtful = self.records.iter_mut().filter(|(_, record)| is_doubtful(record));
        let before = self.untold.len();
        for (stream, record) in doubtful {
            record.origin = Origin::Contradictory;
            self.untold.push(*stream);
        }
        self.untold.len() - before
    }

    /// Merges the report of another process. Returns whether it is news.
    pub fn merge(&mut self, now: Instant, report: OriginReport) -> bool {
        let known = self.records.get(&report.stream).filter(|r| now < r.expires_at);
        let origin = known.map_or(report.origin, |known| known.origin.merged(report.origin));
        let is_news = known.is_none_or(|known| known.origin != origin);
        let left = known.map_or(Duration::ZERO, |r| r.expires_at.saturating_duration_since(now));
        let lifetime = report.lifetime.max(left);
        self.insert(now, OriginReport { stream: report.stream, origin, lifetime }, None);
        is_news
    }

    /// What is known of a stream.
    pub fn get(&self, now: Instant, stream: StreamId) -> Option<Origin> {
        Some(self.records.get(&stream).filter(|r| now < r.expires_at)?.origin)
    }

    /// The report on a stream, to answer another process.
    pub fn report(&self, now: Instant, stream: StreamId) -> Option<OriginReport> {
        let record = self.records.get(&stream).filter(|r| now < r.expires_at)?;
        let lifetime = record.expires_at.saturating_duration_since(now);
        Some(OriginReport { stream, origin: record.origin, lifetime })
    }

    /// The streams that this process has begun since the last call.
    pub fn take_untold(&mut self, now: Instant) -> Vec<OriginReport> {
        let untold = std::mem::take(&mut self.untold);
        untold.into_iter().filter_map(|stream| self.report(now, stream)).collect()
    }

    /// The streams that this process has begun recently.
    pub fn recent_reports(&self, now: Instant) -> Vec<OriginReport> {
        let is_recent = |r: &Record| r.begun.is_some_and(|(_, at)| now < at + REPEAT_FOR);
        let recent = self.records.iter().filter(|(_, r)| is_recent(r));
        recent.filter_map(|(stream, _)| self.report(now, *stream)).collect()
    }

    /// All streams, for a process that is to take over.
    pub fn all_reports(&self, now: Instant) -> Vec<OriginReport> {
        self.records.keys().filter_map(|stream| self.report(now, *stream)).collect()
    }

    /// Forgets streams that nobody resumes any more.
    pub fn expire(&mut self, now: Instant) {
        self.records.retain(|_, r| now < r.expires_at);
        let records = &self.records;
        self.order.retain(|stream| records.contains_key(stream));
    }

    /// Number of streams.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn insert(&mut self, now: Instant, report: OriginReport, begun: Option<CrashId>) {
        let OriginReport { stream, origin, lifetime } = report;
        let begun_before = self.records.get(&stream).and_then(|r| r.begun);
        if begun.is_some() {
            self.untold.push(stream);
        }
        let begun = begun.map(|start| (start, now)).or(begun_before);
        let record = Record { origin, expires_at: now + lifetime.min(MAX_LIFETIME), begun };
        if self.records.insert(stream, record).is_none() {
            self.order.push_back(stream);
        }
        while MAX_STREAMS < self.records.len()
            && let Some(oldest) = self.order.pop_front()
        {
            self.records.remove(&oldest);
        }
    }
}

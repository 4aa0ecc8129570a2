//! Crashes of endpoints by the segments of prompts that may have caused them.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::core::{
    ids::{CrashId, SegmentId},
    quarantine::{CrashReport, Suspect},
};

/// How long a segment without news is remembered.
const FORGET_AFTER: Duration = Duration::from_secs(600);

#[derive(Clone, Debug)]
struct SegmentRecord {
    crashes: Vec<CrashId>,
    cleared: Vec<CrashId>,
    last_news: Instant,
    seen_here: Option<Instant>,
}

/// The crashes that segments of prompts may have caused, as far as this process knows.
#[derive(Clone, Debug)]
pub struct SegmentHistory {
    limit: usize,
    segments: HashMap<SegmentId, SegmentRecord>,
}

impl SegmentHistory {
    /// Blames segments after `limit` crashes.
    pub fn new(limit: usize) -> Self {
        Self { limit: limit.max(1), segments: HashMap::new() }
    }

    /// Number of crashes that the segment may have caused.
    pub fn crashes(&self, segment: SegmentId) -> usize {
        self.segments.get(&segment).map_or(0, |s| s.crashes.len())
    }

    /// Whether requests with the segment are refused.
    pub fn is_blamed(&self, segment: SegmentId) -> bool {
        self.limit <= self.crashes(segment)
    }

    /// Number of segments that are blamed.
    pub fn blamed(&self) -> usize {
        self.segments.keys().filter(|s| self.is_blamed(**s)).count()
    }

    /// Merges the report of another process on a segment. Returns whether it contained news.
    pub fn merge(&mut self, now: Instant, report: &CrashReport) -> bool {
        let Suspect::Segment(segment) = report.suspect else { return false };
        let record = self.segments.entry(segment).or_insert_with(|| SegmentRecord {
            crashes: Vec::new(),
            cleared: Vec::new(),
            last_news: now,
            seen_here: None,
        });
        let before = (record.crashes.len(), record.cleared.len());
        for crash in &report.cleared {
            if !record.cleared.contains(crash) {
                record.cleared.push(*crash);
            }
        }
        record.crashes.retain(|c| !record.cleared.contains(c));
        for crash in &report.crashes {
            if !record.crashes.contains(crash) && !record.cleared.contains(crash) {
                record.crashes.push(*crash);
            }
        }
        let changed = before != (record.crashes.len(), record.cleared.len());
        if changed {
            record.last_news = now;
        }
        changed
    }

    /// Records a crash of an endpoint while a run with the segment began there.
    pub fn record_crash(&mut self, now: Instant, segment: SegmentId, crash: CrashId) -> bool {
        let suspect = Suspect::Segment(segment);
        let report = CrashReport { suspect, crashes: vec![crash], cleared: Vec::new() };
        let changed = self.merge(now, &report);
        if let Some(record) = self.segments.get_mut(&segment).filter(|_| changed) {
            record.seen_here = Some(now);
        }
        changed
    }

    /// Keeps a refused segment from being forgotten.
    pub fn record_refusal(&mut self, now: Instant, segment: SegmentId) {
        if let Some(record) = self.segments.get_mut(&segment) {
            record.last_news = now;
        }
    }

    /// The report on one segment.
    pub fn report(&self, segment: SegmentId) -> Option<CrashReport> {
        let record = self.segments.get(&segment)?;
        let (crashes, cleared) = (record.crashes.clone(), record.cleared.clone());
        Some(CrashReport { suspect: Suspect::Segment(segment), crashes, cleared })
    }

    /// Reports on the segments that `is_due` selects by id, number of crashes and the time
    /// of the last news that this process saw itself.
    pub fn reports(
        &self,
        is_due: impl Fn(SegmentId, usize, Option<Instant>) -> bool,
    ) -> Vec<CrashReport> {
        let due = self.segments.iter().filter(|(s, r)| is_due(**s, r.crashes.len(), r.seen_here));
        due.filter_map(|(s, _)| self.report(*s)).collect()
    }

    /// Forgets segments without news and returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<SegmentId> {
        let expired = self.segments.extract_if(|_, r| r.last_news + FORGET_AFTER <= now);
        expired.map(|(s, _)| s).collect()
    }
}

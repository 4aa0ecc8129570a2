//! Crashes of endpoints by the request that may have caused them.
//!
//! Processes exchange reports and merge them in any order: a report lists crashes and
//! not their number, so crashes that different processes saw add up, and one that
//! several saw counts once.

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use crate::core::{
    ids::{CrashId, Fingerprint},
    quarantine::{
        CrashReport, RequestKey, Suspect, crash_headers::CrashHeaders, crash_set::CrashSet,
    },
};

/// How long a request without news is remembered. A request that is sent again at
/// intervals below this stays quarantined.
const FORGET_AFTER: Duration = Duration::from_secs(600);
/// Most requests that are remembered. Those with the fewest crashes are dropped first.
const MAX_REQUESTS: usize = 4096;
/// Most crashes kept for a request, and most cleared ones. They also explain crashes of other requests.
const MAX_CRASHES: usize = 8;
/// How long a request that has just reached the limit is undecided, since another process
/// may report a second request that crashed the same endpoint: a check of the endpoint
/// that refuses connections takes up to 600 ms, and the datagram follows.
const SETTLE_TIME: Duration = Duration::from_millis(700);

/// Crashes of a request beyond the limit after which other suspects no longer excuse it.
const MAX_EXCUSED_CRASHES: usize = 1;
/// How long the other requests that may have caused the same crashes wait for the first
/// one to run, whose caller may not send it again.
const RIVALS_WAIT: Duration = Duration::from_secs(10);

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may run.
    Allowed,
    /// It reached the limit so recently that reports of other processes may be missing, or
    /// another request that may have caused the same crashes runs first.
    Undecided,
    /// It must not run.
    Quarantined,
}

#[derive(Clone, Debug)]
struct RequestRecord {
    set: CrashSet,
    headers: CrashHeaders,
    // Crashes that no segment explains.
    counted: Vec<CrashId>,
    last_crash: Instant,
    last_news: Instant,
    // When this process saw a crash or a complete run itself.
    seen_here: Option<Instant>,
}

/// The crashes that requests may have caused, as far as this process knows.
///
/// A request is quarantined at `limit` crashes. Those that a request with more crashes
/// shares do not count: that one is the likelier cause. If another request with just as
/// many crashes shares one, the cause is not certain: they run one after the other, and
/// the one that crashes its endpoint again is quarantined. However many crashes other
/// suspects explain, a request with one more than the limit is quarantined: none of its
/// runs was complete, and it may be a cause beside them.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::quarantine::{CrashHistory, Verdict};
/// let now = Instant::now();
/// let (mut a, mut b) = (CrashHistory::new(2), CrashHistory::new(2));
/// a.record_crash(now, 7, 100);
/// b.record_crash(now, 7, 200);
/// a.merge(now, &b.report(7).unwrap());
/// assert_eq!(a.crashes(7), 2);
/// let later = now + Duration::from_secs(1);
/// assert_eq!(a.verdict(later, 7), Verdict::Quarantined);
/// ```
#[derive(Clone, Debug)]
pub struct CrashHistory {
    limit: usize,
    suspects: HashMap<Fingerprint, RequestRecord>,
    // Crashes that segments of prompts explain.
    explained: HashSet<CrashId>,
}

impl CrashHistory {
    /// Quarantines requests after `limit` crashes.
    pub fn new(limit: usize) -> Self {
        Self { limit: limit.max(1), suspects: HashMap::new(), explained: HashSet::new() }
    }

    /// Crashes after which a request is quarantined.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Number of crashes while the request ran that neither a segment nor a likelier request
    /// explains.
    pub fn unexplained(&self, now: Instant, fingerprint: Fingerprint) -> usize {
        self.suspects.get(&fingerprint).map_or(0, |s| self.unexplained_by_others(now, s))
    }

    /// Whether so many crashes are attributed to the request that it must not run once they
    /// are settled.
    pub fn is_blamed(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        self.limit <= self.unexplained(now, fingerprint)
            || self.limit + MAX_EXCUSED_CRASHES <= self.crashes(fingerprint)
    }

    /// Sets the crashes that do not count against requests, since segments of prompts explain
    /// them.
    pub fn set_explained(&mut self, explained: HashSet<CrashId>) {
        self.explained = explained;
        for suspect in self.suspects.values_mut() {
            suspect.count(&self.explained);
        }
    }

    /// Number of crashes while the request ran that count against it.
    pub fn counted(&self, fingerprint: Fingerprint) -> usize {
        self.suspects.get(&fingerprint).map_or(0, |s| s.counted.len())
    }

    /// Number of crashes while the request ran.
    pub fn crashes(&self, fingerprint: Fingerprint) -> usize {
        self.suspects.get(&fingerprint).map_or(0, |s| s.set.len())
    }

    /// The crashes while the request ran.
    pub fn crash_ids(&self, fingerprint: Fingerprint) -> Vec<CrashId> {
        self.suspects.get(&fingerprint).map_or_else(Vec::new, |s| s.set.crashes().to_vec())
    }

    /// Time since the last crash that was learned.
    pub fn age(&self, now: Instant, fingerprint: Fingerprint) -> Option<Duration> {
        Some(now.saturating_duration_since(self.suspects.get(&fingerprint)?.last_crash))
    }

    /// Records a crash of an endpoint while the request ran there. Returns whether it was
    /// not known.
    pub fn record_crash(&mut self, now: Instant, fingerprint: Fingerprint, crash: CrashId) -> bool {
        self.merge_own(now, &change(fingerprint, vec![crash], Vec::new()))
    }

    /// Records the headers of a run at a crash.
    pub fn record_headers(&mut self, request: RequestKey, crash: CrashId) {
        if let Some(suspect) = self.suspects.get_mut(&request.fingerprint) {
            suspect.headers.record(crash, request.headers);
        }
    }

    /// Whether the crashes do not concern requests with these headers, since those of another
    /// caller at the same address explain them.
    pub fn is_excused(&self, request: RequestKey) -> bool {
        let suspect = self.suspects.get(&request.fingerprint);
        suspect.is_some_and(|s| s.headers.excuse(s.set.crashes(), request.headers))
    }

    /// Clears crashes after a complete run that started when they were known, apart from
    /// those of runs with other headers. Returns how many were cleared.
    pub fn record_completed(
        &mut self,
        now: Instant,
        request: impl Into<RequestKey>,
        known_at_start: &[CrashId],
    ) -> usize {
        let RequestKey { fingerprint, headers } = request.into();
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return 0 };
        suspect.headers.record_sound(headers);
        let mut cleared = known_at_start.to_vec();
        cleared.retain(|crash| suspect.headers.may_clear(*crash, headers));
        let before = suspect.set.len();
        if before == 0 || cleared.is_empty() {
            return 0;
        }
        self.merge_own(now, &change(fingerprint, Vec::new(), cleared));
        before - self.crashes(fingerprint)
    }

    /// Merges the report of another process on a request. Returns whether it contained news.
    pub fn merge(&mut self, now: Instant, report: &CrashReport) -> bool {
        let Suspect::Request(fingerprint) = report.suspect else { return false };
        if report.crashes.is_empty() && report.cleared.is_empty() {
            return false;
        }
        self.make_room(now, fingerprint);
        let suspect = self.suspects.entry(fingerprint).or_insert_with(|| RequestRecord {
            set: CrashSet::new(MAX_CRASHES),
            headers: CrashHeaders::default(),
            counted: Vec::new(),
            last_crash: now,
            last_news: now,
            seen_here: None,
        });
        let change = suspect.set.merge(&report.crashes, &report.cleared);
        for (crash, headers) in report.crashes.iter().zip(&report.headers) {
            suspect.headers.record(*crash, *headers);
        }
        suspect.headers.retain(suspect.set.crashes());
        if 0 < change.added {
            suspect.last_crash = now;
        }
        if change.any {
            suspect.last_news = now;
            suspect.count(&self.explained);
        }
        change.any
    }

    /// Whether the request may run.
    pub fn verdict(&self, now: Instant, fingerprint: Fingerprint) -> Verdict {
        let Some(suspect) = self.suspects.get(&fingerprint) else { return Verdict::Allowed };
        if suspect.set.len() < self.limit || suspect.is_expired(now) {
            return Verdict::Allowed;
        }
        if self.limit + MAX_EXCUSED_CRASHES <= suspect.set.len() {
            return Verdict::Quarantined;
        }
        if self.unexplained_by_others(now, suspect) < self.limit {
            return Verdict::Allowed;
        }
        if !suspect.is_settled(now) {
            return Verdict::Undecided;
        }
        let rivals = self.rivals(fingerprint, suspect);
        if rivals.is_empty() {
            return Verdict::Quarantined;
        }
        let rank = suspect.rank(fingerprint);
        let is_first = rivals.iter().all(|rival| rank < *rival);
        match is_first || suspect.last_crash + RIVALS_WAIT <= now {
            true => Verdict::Allowed,
            false => Verdict::Undecided,
        }
    }

    /// Keeps a refused request from being forgotten while it is sent again and again.
    pub fn record_refusal(&mut self, now: Instant, fingerprint: Fingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.last_news = now;
        }
    }

    /// The report on one request.
    pub fn report(&self, fingerprint: Fingerprint) -> Option<CrashReport> {
        let suspect = self.suspects.get(&fingerprint)?;
        let (crashes, cleared) = (suspect.set.crashes().to_vec(), suspect.set.cleared().to_vec());
        let headers = suspect.headers.of(&crashes);
        Some(CrashReport { headers, ..change(fingerprint, crashes, cleared) })
    }

    /// Reports on the requests that `is_due` selects by fingerprint, number of crashes and
    /// the time of the last crash or complete run that this process saw itself. Those with
    /// the most counted crashes come first, then those with the most, then the latest.
    pub fn reports(
        &self,
        is_due: impl Fn(Fingerprint, usize, Option<Instant>) -> bool,
    ) -> Vec<CrashReport> {
        let due = self.suspects.iter().filter(|(f, s)| is_due(**f, s.set.len(), s.seen_here));
        let mut due: Vec<(Fingerprint, &RequestRecord)> = due.map(|(f, s)| (*f, s)).collect();
        due.sort_by_key(|(f, s)| {
            (Reverse(s.counted.len()), Reverse(s.set.len()), Reverse(s.last_news), *f)
        });
        due.into_iter().filter_map(|(f, _)| self.report(f)).collect()
    }

    /// Number of requests that are quarantined.
    pub fn quarantined(&self, now: Instant) -> usize {
        let fingerprints = self.suspects.keys();
        fingerprints.filter(|f| self.verdict(now, **f) == Verdict::Quarantined).count()
    }

    /// Number of requests that are remembered.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Forgets requests without news and returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<Fingerprint> {
        let expired: Vec<Fingerprint> =
            self.suspects.iter().filter(|(_, s)| s.is_expired(now)).map(|(f, _)| *f).collect();
        for fingerprint in &expired {
            self.suspects.remove(fingerprint);
        }
        expired
    }

    fn merge_own(&mut self, now: Instant, report: &CrashReport) -> bool {
        let changed = self.merge(now, report);
        let fingerprint = report.suspect.request().filter(|_| changed);
        if let Some(suspect) = fingerprint.and_then(|f| self.suspects.get_mut(&f)) {
            suspect.seen_here = Some(now);
        }
        changed
    }

    fn unexplained_by_others(&self, now: Instant, suspect: &RequestRecord) -> usize {
        let likelier: Vec<&RequestRecord> = self
            .suspects
            .values()
            .filter(|s| self.limit.max(suspect.counted.len() + 1) <= s.counted.len())
            .filter(|s| s.is_settled(now))
            .collect();
        let explained = |crash| likelier.iter().any(|s| s.counted.contains(crash));
        suspect.counted.iter().filter(|crash| !explained(crash)).count()
    }

    /// Ranks of the other requests with at least as many crashes, of which they share one.
    fn rivals(&self, fingerprint: Fingerprint, suspect: &RequestRecord) -> Vec<Rank> {
        let is_rival = |other: &RequestRecord| {
            suspect.counted.len() <= other.counted.len()
                && suspect.counted.iter().any(|c| other.counted.contains(c))
        };
        let others = self.suspects.iter().filter(|(f, s)| **f != fingerprint && is_rival(s));
        others.map(|(f, s)| s.rank(*f)).collect()
    }

    fn make_room(&mut self, now: Instant, fingerprint: Fingerprint) {
        if self.suspects.len() < MAX_REQUESTS || self.suspects.contains_key(&fingerprint) {
            return;
        }
        self.expire(now);
        let least = self.suspects.iter().min_by_key(|(_, s)| (s.set.len(), s.last_news));
        if MAX_REQUESTS <= self.suspects.len()
            && let Some(least) = least.map(|(f, _)| *f)
        {
            self.suspects.remove(&least);
        }
    }
}

/// A report that only lists crashes of a request.
fn change(fingerprint: Fingerprint, crashes: Vec<CrashId>, cleared: Vec<CrashId>) -> CrashReport {
    let suspect = Suspect::Request(fingerprint);
    CrashReport { suspect, crashes, cleared, sound: false, headers: Vec::new() }
}

/// Order in which requests run that may have caused the same crashes.
type Rank = (Reverse<usize>, Fingerprint);

impl RequestRecord {
    fn rank(&self, fingerprint: Fingerprint) -> Rank {
        (Reverse(self.counted.len()), fingerprint)
    }

    fn is_settled(&self, now: Instant) -> bool {
        self.last_crash + SETTLE_TIME <= now
    }

    fn is_expired(&self, now: Instant) -> bool {
        self.last_news + FORGET_AFTER <= now
    }

    fn count(&mut self, explained: &HashSet<CrashId>) {
        let crashes = self.set.crashes().iter().copied();
        self.counted = crashes.filter(|c| !explained.contains(c)).collect();
    }
}

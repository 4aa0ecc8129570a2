//! Crashes of endpoints by the segments of prompts that may have caused them.

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use crate::core::{
    ids::{CrashId, SegmentId},
    quarantine::{
        CrashReport, Suspect, Trial,
        blame::{Blame, Candidate},
        crash_set::CrashSet,
        segment_use::SegmentUse,
    },
};

/// How long a segment without news or refusals is remembered.
const FORGET_AFTER: Duration = Duration::from_secs(600);
/// Most segments with crashes that are remembered. Those with the fewest crashes are
/// dropped first.
const MAX_SEGMENTS: usize = 4096;
/// Most crashes kept for a segment. They also explain crashes of other suspects.
const MAX_CRASHES: usize = 32;
/// How long a segment that was sound here is not blamed after its first crash. Meanwhile, a
/// run of one that runs often shows that it still is: by the platform's targets, its first
/// data comes within 1.2 s, and it has to write for 1 s.
const PROOF_TIME: Duration = Duration::from_millis(2500);
/// How long after it was blamed, and after its last crash, a segment is tried again: by then
/// the crashes of earlier runs are known, by a check that takes up to 600 ms and a datagram
/// that is repeated after 800 ms.
const TRIAL_DELAY: Duration = Duration::from_millis(1500);
/// The same for a request with several suspects: one with a single suspect goes first, since its
/// crash would have a certain cause.
const JOINT_TRIAL_DELAY: Duration = Duration::from_millis(3000);
/// A crash that becomes known this long after the blame is taken for that of a trial. Other
/// processes may blame a segment somewhat later than the one that tries it.
const TRIAL_CRASH_DELAY: Duration = Duration::from_millis(700);
/// Trials that may crash in a row. With the next one after [`FORGET_AFTER`], there are as
/// many as the platform's rules allow.
const EARLY_TRIALS: usize = 2;
/// The same for requests with several suspects. One is left for a request with a single one.
const EARLY_JOINT_TRIALS: usize = 1;

#[derive(Clone, Debug)]
struct SegmentRecord {
    set: CrashSet,
    // A run has been sound in another process.
    sound: bool,
    // First crash that is not cleared.
    first_crash: Instant,
    last_crash: Instant,
    last_news: Instant,
    // When this process saw a crash or a sound run itself.
    seen_here: Option<Instant>,
    blamed_at: Option<Instant>,
    // Crashes, seen by any process, later than runs from before the blame explain.
    crashed_trials: usize,
}

/// The crashes that segments of prompts may have caused, as far as this process knows.
///
/// A crash counts against all segments of the runs that had just begun at the endpoint.
/// A segment is blamed if it has at least `limit` crashes and no likelier one explains them.
/// A run that began after a crash of a segment was known and did not crash its endpoint
/// clears all crashes of the segment.
///
/// ```
/// use std::time::Instant;
/// use goldcrestpitch::core::quarantine::SegmentHistory;
/// let now = Instant::now();
/// let mut history = SegmentHistory::new(2);
/// let (shared, cause) = (1, 2);
/// history.record_sound(now, shared, false);
/// for crash in [100, 200] {
///     history.record_crash(now, shared, crash);
///     history.record_crash(now, cause, crash);
/// }
/// assert!(history.is_blamed(cause) && !history.is_blamed(shared));
/// history.record_sound(now, cause, true);
/// assert!(!history.is_blamed(cause));
/// ```
#[derive(Clone, Debug)]
pub struct SegmentHistory {
    limit: usize,
    records: HashMap<SegmentId, SegmentRecord>,
    uses: SegmentUse,
    blame: Blame,
    explained_changed: bool,
    // When a segment that was sound may be blamed because its time for a proof is over.
    blame_due: Option<Instant>,
}

impl SegmentHistory {
    /// Blames segments that explain `limit` crashes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit: limit.max(1),
            records: HashMap::new(),
            uses: SegmentUse::default(),
            blame: Blame::default(),
            explained_changed: false,
            blame_due: None,
        }
    }

    /// Number of crashes that the segment may have caused.
    pub fn crashes(&self, segment: SegmentId) -> usize {
        self.records.get(&segment).map_or(0, |r| r.set.len())
    }

    /// Time since the last crash that was learned.
    pub fn age(&self, now: Instant, segment: SegmentId) -> Option<Duration> {
        Some(now.saturating_duration_since(self.records.get(&segment)?.last_crash))
    }

    /// Whether crashes are attributed to the segment, so that it must not run.
    pub fn is_blamed(&self, segment: SegmentId) -> bool {
        self.blame.segments.contains(&segment)
    }

    /// The segments to which crashes are attributed.
    pub fn blamed(&self) -> &HashSet<SegmentId> {
        &self.blame.segments
    }

    /// The crashes of blamed segments, if they changed since the last call.
    pub fn take_explained(&mut self) -> Option<HashSet<CrashId>> {
        std::mem::take(&mut self.explained_changed).then(|| self.blame.explained.clone())
    }

    /// Whether a suspect may run once to show whether segments were blamed wrongly, which one
    /// process may decide: alone, or with others that are as likely to cause a crash.
    pub fn trial(&self, now: Instant, segment: SegmentId, is_alone: bool) -> Trial {
        match self.records.get(&segment) {
            Some(_) if !self.is_sound(segment) => Trial::NeverSound,
            Some(record) if record.may_try(now, is_alone) => Trial::Due,
            _ => Trial::Paused,
        }
    }

    /// Records the start of a run with the segment.
    pub fn record_run(&mut self, segment: SegmentId) {
        self.uses.record_run(segment);
    }

    /// Records that a run with the segment began at an endpoint that crashed. Returns
    /// whether the crash was not known.
    pub fn record_crash(&mut self, now: Instant, segment: SegmentId, crash: CrashId) -> bool {
        self.merge_own(now, segment, &[crash], &[])
    }

    /// Records that a run with the segment did not crash its endpoint. If it began when a
    /// crash of the segment was known (`clears`), all its crashes are cleared. Returns
    /// whether there were any.
    pub fn record_sound(&mut self, now: Instant, segment: SegmentId, clears: bool) -> bool {
        let is_first = self.uses.record_sound(segment);
        let Some(record) = self.records.get(&segment) else { return false };
        if clears && 0 < record.set.len() {
            let known = record.set.crashes().to_vec();
            return self.merge_own(now, segment, &[], &known);
        }
        if is_first && self.limit <= record.set.len() {
            self.update_blame(now);
        }
        false
    }

    /// Merges the report of another process on a segment. Returns whether it contained news.
    pub fn merge(&mut self, now: Instant, report: &CrashReport) -> bool {
        let Suspect::Segment(segment) = report.suspect else { return false };
        if report.crashes.is_empty() && report.cleared.is_empty() {
            return false;
        }
        let changed = self.merge_sets(now, segment, &report.crashes, &report.cleared);
        let sound = report.sound && self.record_known_sound(now, segment);
        if !report.sound && self.is_sound(segment) {
            // The other process does not know it.
            self.records.entry(segment).and_modify(|r| r.seen_here = Some(now));
        }
        changed || sound
    }

    /// Keeps a blamed segment from being forgotten while requests with it are refused.
    pub fn record_refusal(&mut self, now: Instant, segment: SegmentId) {
        if self.is_blamed(segment)
            && let Some(record) = self.records.get_mut(&segment)
        {
            record.last_news = now;
        }
    }

    /// The report on one segment.
    pub fn report(&self, segment: SegmentId) -> Option<CrashReport> {
        let set = &self.records.get(&segment)?.set;
        let (crashes, cleared) = (set.crashes().to_vec(), set.cleared().to_vec());
        let sound = self.is_sound(segment);
        let (suspect, headers) = (Suspect::Segment(segment), Vec::new());
        Some(CrashReport { suspect, crashes, cleared, sound, headers })
    }

    /// Reports on the segments that `is_due` selects by id, number of crashes and the time
    /// of the last crash or sound run that this process saw itself. Blamed ones come first,
    /// then those that were never sound here, then those with the most crashes, counted or
    /// cleared, then the latest.
    pub fn reports(
        &self,
        is_due: impl Fn(SegmentId, usize, Option<Instant>) -> bool,
    ) -> Vec<CrashReport> {
        let due = self.records.iter().filter(|(s, r)| is_due(**s, r.set.len(), r.seen_here));
        let mut due: Vec<(SegmentId, &SegmentRecord)> = due.map(|(s, r)| (*s, r)).collect();
        due.sort_by_key(|(s, r)| {
            let known = r.set.len() + r.set.cleared().len();
            let is_unlikely = self.is_sound(*s);
            (!self.is_blamed(*s), is_unlikely, Reverse(known), Reverse(r.last_news), *s)
        });
        due.into_iter().filter_map(|(s, _)| self.report(s)).collect()
    }

    /// Number of segments with crashes that are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no segment with crashes is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of segments of which it is remembered that they ran here.
    pub fn used(&self) -> usize {
        self.uses.len()
    }

    /// Forgets the crashes of segments without news and returns these segments. Blames those
    /// whose time for a proof is over.
    pub fn expire(&mut self, now: Instant) -> Vec<SegmentId> {
        let expired = self.records.extract_if(|_, r| r.last_news + FORGET_AFTER <= now);
        let expired: Vec<SegmentId> = expired.map(|(s, _)| s).collect();
        let is_due = self.blame_due.is_some_and(|due| due <= now);
        if is_due || expired.iter().any(|s| self.is_blamed(*s)) {
            self.update_blame(now);
        }
        expired
    }

    /// Whether a run of the segment has been sound in any process, as far as it is known.
    fn is_sound(&self, segment: SegmentId) -> bool {
        self.uses.was_sound(segment) || self.records.get(&segment).is_some_and(|r| r.sound)
    }

    /// Records that a run of a suspect segment was sound in another process. Returns whether
    /// that was not known.
    fn record_known_sound(&mut self, now: Instant, segment: SegmentId) -> bool {
        let was_sound = self.is_sound(segment);
        let Some(record) = self.records.get_mut(&segment) else { return false };
        record.sound = true;
        if !was_sound && self.limit <= record.set.len() {
            self.update_blame(now);
        }
        !was_sound
    }

    fn merge_own(
        &mut self,
        now: Instant,
        segment: SegmentId,
        crashes: &[CrashId],
        cleared: &[CrashId],
    ) -> bool {
        let changed = self.merge_sets(now, segment, crashes, cleared);
        if changed && let Some(record) = self.records.get_mut(&segment) {
            record.seen_here = Some(now);
        }
        changed
    }

    fn merge_sets(
        &mut self,
        now: Instant,
        segment: SegmentId,
        crashes: &[CrashId],
        cleared: &[CrashId],
    ) -> bool {
        if crashes.is_empty() && cleared.is_empty() {
            return false;
        }
        self.make_room(now, segment);
        let record = self.records.entry(segment).or_insert_with(|| SegmentRecord::new(now));
        let before = record.set.len();
        let change = record.set.merge(crashes, cleared);
        if !change.any {
            return false;
        }
        record.last_news = now;
        if before == 0 {
            record.first_crash = now;
        }
        if 0 < change.added {
            record.record_crashes(now, change.added);
        }
        if record.set.len() < self.limit {
            (record.blamed_at, record.crashed_trials) = (None, 0);
        }
        if self.limit <= before.max(record.set.len()) {
            self.update_blame(now);
        }
        true
    }

    fn make_room(&mut self, now: Instant, segment: SegmentId) {
        if self.records.len() < MAX_SEGMENTS || self.records.contains_key(&segment) {
            return;
        }
        self.expire(now);
        let least = self.records.iter().min_by_key(|(s, r)| (r.set.len(), r.last_news, **s));
        if MAX_SEGMENTS <= self.records.len()
            && let Some(least) = least.map(|(s, _)| *s)
        {
            self.records.remove(&least);
            if self.is_blamed(least) {
                self.update_blame(now);
            }
        }
    }

    fn update_blame(&mut self, now: Instant) {
        self.blame_due = None;
        let mut candidates = Vec::new();
        for (segment, record) in self.records.iter().filter(|(_, r)| self.limit <= r.set.len()) {
            let was_sound = record.sound || self.uses.was_sound(*segment);
            let proof_until = record.first_crash + PROOF_TIME;
            if was_sound && now < proof_until {
                let due = self.blame_due.map_or(proof_until, |due| due.min(proof_until));
                self.blame_due = Some(due);
                continue;
            }
            candidates.push(Candidate::new(*segment, record.set.crashes(), was_sound));
        }
        let blame = Blame::new(candidates, self.limit);
        for segment in &blame.segments {
            if let Some(record) = self.records.get_mut(segment) {
                record.blamed_at.get_or_insert(now);
            }
        }
        self.explained_changed |= self.blame.explained != blame.explained;
        self.blame = blame;
    }
}

impl SegmentRecord {
    fn new(now: Instant) -> Self {
        Self {
            set: CrashSet::new(MAX_CRASHES),
            sound: false,
            first_crash: now,
            last_crash: now,
            last_news: now,
            seen_here: None,
            blamed_at: None,
            crashed_trials: 0,
        }
    }

    fn record_crashes(&mut self, now: Instant, added: usize) {
        self.last_crash = now;
        if self.blamed_at.is_some_and(|at| at + TRIAL_CRASH_DELAY <= now) {
            self.crashed_trials += added;
        }
    }

    fn may_try(&self, now: Instant, is_alone: bool) -> bool {
        let (delay, early_trials) = match is_alone {
            true => (TRIAL_DELAY, EARLY_TRIALS),
            false => (JOINT_TRIAL_DELAY, EARLY_JOINT_TRIALS),
        };
        let pause = match self.crashed_trials {
            trials if trials < early_trials => delay,
            ..=EARLY_TRIALS => FORGET_AFTER,
            _ => return false,
        };
        let settled = self.blamed_at.is_none_or(|at| at + delay <= now);
        settled && self.last_crash + pause <= now
    }
}

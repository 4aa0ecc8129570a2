//! What callers got, and what the engines did in the pauses that were too long.

use std::fmt;

use crate::{
    engine::Engine,
    workload::{CLASSES, End, Stream},
};

/// Pending prompt tokens above which a pause counts as one of a loaded engine.
const MANY_PENDING: u64 = 3_000;

/// A pause that was too long.
pub struct Pause {
    /// Most pending prompt tokens at a step.
    pub pending: u64,
    /// Whether any step was in a slow period.
    pub is_slow: bool,
    /// Time spent on prefill, as a share of the pause.
    pub prefill_share: f64,
    pub ms: f64,
}

impl Pause {
    pub fn new(engine: &Engine, began_ms: f64, ended_ms: f64) -> Self {
        // The step under way has not yet taken part, except for the one that ended just now.
        let steps = engine.history.iter();
        let steps = steps.filter(|s| began_ms < s.end_ms && s.end_ms <= ended_ms);
        let mut pause =
            Self { pending: 0, is_slow: false, prefill_share: 0.0, ms: ended_ms - began_ms };
        for step in steps {
            pause.pending = pause.pending.max(step.pending);
            pause.is_slow |= step.is_slow;
            pause.prefill_share += step.prefill_ms / pause.ms;
        }
        pause
    }
}

#[derive(Clone, Copy, Default)]
pub struct Counts {
    pub all: usize,
    pub on_time: usize,
    pub late_first: usize,
    pub late_pause: usize,
    pub refused: usize,
    pub left: usize,
    pub failed: usize,
}

#[derive(Default)]
pub struct Outcome {
    pub classes: [Counts; CLASSES.len()],
    pub pauses: Vec<Pause>,
    pub first_ms: Vec<f64>,
    pub preemptions: usize,
    /// Refusals, also of callers that returned.
    pub refusals: usize,
}

impl Outcome {
    pub fn add(&mut self, stream: &Stream) {
        if !stream.counts {
            return;
        }
        self.first_ms.extend(stream.first_ms);
        let counts = &mut self.classes[stream.class];
        counts.all += 1;
        let count = match stream.end {
            Some(End::Complete) if stream.is_on_time() => &mut counts.on_time,
            Some(End::Complete) if !stream.is_first_on_time() => &mut counts.late_first,
            Some(End::Complete) => &mut counts.late_pause,
            Some(End::Refused) => &mut counts.refused,
            Some(End::Left) | None => &mut counts.left,
            Some(End::Failed) => &mut counts.failed,
        };
        *count += 1;
    }

    pub fn merge(&mut self, other: Self) {
        for (own, other) in self.classes.iter_mut().zip(other.classes) {
            own.all += other.all;
            own.on_time += other.on_time;
            own.late_first += other.late_first;
            own.late_pause += other.late_pause;
            own.refused += other.refused;
            own.left += other.left;
            own.failed += other.failed;
        }
        self.pauses.extend(other.pauses);
        self.first_ms.extend(other.first_ms);
        self.preemptions += other.preemptions;
        self.refusals += other.refusals;
    }

    /// Share of all streams that were on time.
    pub fn on_time(&self) -> f64 {
        let on_time: usize = self.classes.iter().map(|c| c.on_time).sum();
        on_time as f64 / self.classes.iter().map(|c| c.all).sum::<usize>() as f64
    }

    /// Share of the streams of a class that were on time.
    pub fn class_on_time(&self, class: usize) -> f64 {
        self.classes[class].on_time as f64 / self.classes[class].all as f64
    }

    fn pause_share(&self, is: impl Fn(&Pause) -> bool) -> f64 {
        let count = self.pauses.iter().filter(|p| is(p)).count();
        100.0 * count as f64 / self.pauses.len().max(1) as f64
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (class, c) in CLASSES.iter().zip(&self.classes) {
            writeln!(
                f,
                "  {:5} all {:5} on time {:5} late first {:4} late pause {:4} refused {:4} \
                 left {:4} failed {:3}",
                class.name,
                c.all,
                c.on_time,
                c.late_first,
                c.late_pause,
                c.refused,
                c.left,
                c.failed
            )?;
        }
        let mut pending: Vec<u64> = self.pauses.iter().map(|p| p.pending).collect();
        pending.sort_unstable();
        let mut first = self.first_ms.clone();
        first.sort_by(f64::total_cmp);
        let at = |share: f64, len: usize| (share * len as f64) as usize;
        let pending = |share| pending.get(at(share, pending.len())).copied().unwrap_or(0);
        let first = |share| first.get(at(share, first.len())).copied().unwrap_or(0.0);
        let prefill: f64 = self.pauses.iter().map(|p| p.prefill_share).sum();
        writeln!(
            f,
            "  on time {:.3}; refusals {}; preemptions {}; first event p50 {:.0} ms p99 {:.0} ms",
            self.on_time(),
            self.refusals,
            self.preemptions,
            first(0.5),
            first(0.99)
        )?;
        write!(
            f,
            "  late pauses {}: pending tokens p10 {} p50 {} p90 {}, above {MANY_PENDING} {:.0}%, \
             in slow periods {:.0}%, prefill {:.0}% of the pause",
            self.pauses.len(),
            pending(0.1),
            pending(0.5),
            pending(0.9),
            self.pause_share(|p| MANY_PENDING < p.pending),
            self.pause_share(|p| p.is_slow),
            100.0 * prefill / self.pauses.len().max(1) as f64
        )
    }
}

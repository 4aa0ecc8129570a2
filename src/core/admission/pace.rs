//! How much longer the steps of an engine take than at its usual pace.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use crate::core::residency::RunningRequest;

/// Span over which the work of an engine is compared with the time that passed. A step that reads
/// a full piece of a prompt takes 107 ms, so that a shorter span can hold half a step.
const SPAN: Duration = Duration::from_millis(170);
/// Longest step without prompts that is believed, milliseconds.
const MAX_STEP_MS: f64 = 30.0;
/// Step without prompts before one was measured, milliseconds, by the operators' data sheet.
const FIRST_STEP_MS: f64 = 10.0;
/// Weight with which the shortest step follows longer ones: the batch grows.
const STEP_RISE: f64 = 0.02;
/// Slowdown from which an engine counts as slow. Below it, the error of one step explains it.
const SLOW_FROM: f64 = 1.5;
/// Largest slowdown that is believed.
const MAX_SLOWDOWN: f64 = 4.0;

/// What an engine did between two reports.
#[derive(Clone, Copy, Debug)]
struct Work {
    at: Instant,
    elapsed_ms: f64,
    steps: f64,
    prompt_tokens: f64,
}

/// Measures the pace of an engine from the tokens that its runs have in memory.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::{admission::EnginePace, residency::RunningRequest};
/// let start = Instant::now();
/// let mut pace = EnginePace::default();
/// let mut report = |ms: u64, tokens: u64| {
///     let run = RunningRequest { id: "q1".into(), tokens, events: 1 + tokens / 4 };
///     pace.record(start + Duration::from_millis(ms), &[run], 19.2);
///     pace.slowdown()
/// };
/// report(0, 1000);
/// // A token in 10 ms, then a token in 25 ms.
/// assert_eq!((report(100, 1010), report(200, 1020)), (1.0, 1.0));
/// report(300, 1024);
/// assert!((2.0..=2.5).contains(&report(400, 1028)));
/// ```
#[derive(Clone, Debug)]
pub struct EnginePace {
    reported_at: Option<Instant>,
    // Tokens in memory and whether the run writes events.
    runs: HashMap<Arc<str>, (u64, bool)>,
    work: VecDeque<Work>,
    step_ms: f64,
    slowdown: f64,
}

impl Default for EnginePace {
    fn default() -> Self {
        Self {
            reported_at: None,
            runs: HashMap::new(),
            work: VecDeque::new(),
            step_ms: FIRST_STEP_MS,
            slowdown: 1.0,
        }
    }
}

impl EnginePace {
    /// Records the runs of a report. An engine at its usual pace reads this many prompt tokens in
    /// a millisecond.
    pub fn record(&mut self, now: Instant, runs: &[RunningRequest], tokens_per_ms: f64) {
        let state = |r: &RunningRequest| (r.id.clone(), (r.tokens, 0 < r.events));
        let previous = std::mem::replace(&mut self.runs, runs.iter().map(state).collect());
        let Some(before) = self.reported_at.replace(now) else { return };
        let mut steps: Vec<u64> = Vec::new();
        let mut prompt_tokens = 0;
        for run in runs {
            match previous.get(&run.id) {
                Some((tokens, true)) => steps.push(run.tokens.saturating_sub(*tokens)),
                Some((tokens, false)) => prompt_tokens += run.tokens.saturating_sub(*tokens),
                None => prompt_tokens += run.tokens,
            }
        }
        steps.sort_unstable();
        let steps = steps.get(steps.len() / 2).copied();
        let elapsed_ms = now.saturating_duration_since(before).as_secs_f64() * 1e3;
        // Without running streams there are no steps to count.
        let Some(steps) = steps else {
            self.work.clear();
            self.slowdown = 1.0;
            return;
        };
        let prompt_tokens = prompt_tokens as f64;
        self.work.push_back(Work { at: now, elapsed_ms, steps: steps as f64, prompt_tokens });
        while self.work.front().is_some_and(|work| work.at + SPAN <= now) {
            self.work.pop_front();
        }
        self.measure(tokens_per_ms);
    }

    fn measure(&mut self, tokens_per_ms: f64) {
        let sum = |f: fn(&Work) -> f64| self.work.iter().map(f).sum::<f64>();
        let (elapsed, steps) = (sum(|w| w.elapsed_ms), sum(|w| w.steps));
        let reading = sum(|w| w.prompt_tokens) / tokens_per_ms;
        if elapsed < SPAN.as_secs_f64() * 500.0 {
            return;
        }
        if reading == 0.0 && 0.0 < steps {
            let step = (elapsed / steps).min(MAX_STEP_MS);
            let weight = if step < self.step_ms { 1.0 } else { STEP_RISE };
            self.step_ms += (step - self.step_ms) * weight;
        }
        let slowdown = elapsed / (steps * self.step_ms + reading).max(1.0);
        let is_slow = SLOW_FROM <= slowdown;
        self.slowdown = if is_slow { slowdown.min(MAX_SLOWDOWN) } else { 1.0 };
    }

    /// How much longer steps take than at the usual pace; 1 if they do not.
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Length of a step in which no prompt is read, milliseconds.
    pub fn step_ms(&self) -> f64 {
        self.step_ms
    }
}

//! How late the event loop of a process is, from a probe that is due at regular intervals.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// How long a measurement counts.
const WINDOW: Duration = Duration::from_millis(300);

/// The lag of an event loop: how much later than due a timer runs.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::limits::LoopLag;
/// let (start, ms) = (Instant::now(), Duration::from_millis);
/// let mut lag = LoopLag::default();
/// lag.expect(start + ms(20));
/// // A probe that is overdue shows the lag before it runs.
/// assert_eq!(lag.current(start + ms(120)), ms(100));
/// assert_eq!(lag.record(start + ms(150)), ms(130));
/// assert_eq!(lag.current(start + ms(400)), ms(130));
/// assert_eq!(lag.current(start + ms(500)), Duration::ZERO);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LoopLag {
    due_at: Option<Instant>,
    measured: VecDeque<(Instant, Duration)>,
}

impl LoopLag {
    /// Sets when the probe runs next, if the loop is not late.
    pub fn expect(&mut self, due_at: Instant) {
        self.due_at = Some(due_at);
    }

    /// Records that the probe runs, and returns how late it is.
    pub fn record(&mut self, now: Instant) -> Duration {
        let late = self.overdue(now);
        self.due_at = None;
        self.measured.retain(|(at, _)| now < *at + WINDOW);
        self.measured.push_back((now, late));
        late
    }

    /// The largest lag measured of late, or that of a probe that is overdue.
    pub fn current(&self, now: Instant) -> Duration {
        let recent = self.measured.iter().filter(|(at, _)| now < *at + WINDOW);
        recent.map(|(_, late)| *late).max().unwrap_or_default().max(self.overdue(now))
    }

    fn overdue(&self, now: Instant) -> Duration {
        self.due_at.map_or(Duration::ZERO, |due_at| now.saturating_duration_since(due_at))
    }
}

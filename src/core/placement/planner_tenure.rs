//! Whether a process that plans placement may go on after a pause.

use std::time::{Duration, Instant};

/// A process that did not run for longer was paused or is late: others may have taken over. Half of
/// the time after which a silent process no longer counts as live.
const MAX_GAP: Duration = Duration::from_millis(1000);
/// How long it listens to the others before it plans again: they send their status every 0.8 s.
const LISTEN_TIME: Duration = Duration::from_millis(1000);

/// Tells from the times at which a process runs whether it may plan.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::placement::PlannerTenure;
/// let (now, ms) = (Instant::now(), Duration::from_millis);
/// let mut tenure = PlannerTenure::default();
/// assert!(tenure.may_plan(now));
/// assert!(tenure.may_plan(now + ms(400)));
/// // Paused for five seconds, it hears of the others before it plans again.
/// assert!(!tenure.may_plan(now + ms(5400)));
/// assert!(!tenure.may_plan(now + ms(5800)));
/// assert!(!tenure.may_plan(now + ms(6200)));
/// assert!(tenure.may_plan(now + ms(6600)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct PlannerTenure {
    last_run: Option<Instant>,
    listens_until: Option<Instant>,
}

impl PlannerTenure {
    /// Records that the process runs, and returns whether it may plan.
    pub fn may_plan(&mut self, now: Instant) -> bool {
        let gap = self.last_run.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        self.last_run = Some(now);
        if MAX_GAP < gap {
            self.listens_until = Some(now + LISTEN_TIME);
        }
        self.listens_until = self.listens_until.filter(|until| now < *until);
        self.listens_until.is_none()
    }
}

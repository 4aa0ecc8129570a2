//! Measures how late the event loop is.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use log::warn;
use metrics::{gauge, histogram};
use tokio::time;

use crate::{gateway::shared::SharedState, telemetry::names};

/// Interval of measurements.
const PROBE_INTERVAL: Duration = Duration::from_millis(25);
/// A lag that is logged.
const LOGGED_LAG: Duration = Duration::from_millis(100);
/// Shortest time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Measures the lag of the loop until the process ends.
pub(super) async fn run(shared: Arc<SharedState>) {
    let mut logged_at: Option<Instant> = None;
    let mut largest = Duration::ZERO;
    loop {
        shared.lock().lag.expect(Instant::now() + PROBE_INTERVAL);
        time::sleep(PROBE_INTERVAL).await;
        let now = Instant::now();
        let mut state = shared.lock();
        let late = state.lag.record(now);
        let dispatcher = &state.dispatcher;
        let (waiting, running) = (dispatcher.waiting(), dispatcher.running());
        let examined = dispatcher.examined();
        drop(state);
        histogram!(names::LOOP_LAG).record(late);
        gauge!(names::EXAMINED).set(examined as f64);
        largest = largest.max(late);
        if largest < LOGGED_LAG || logged_at.is_some_and(|at| now < at + LOG_INTERVAL) {
            continue;
        }
        warn!(
            "event=loop_late lag_ms={} waiting={waiting} running={running} examined={examined}",
            largest.as_millis()
        );
        (logged_at, largest) = (Some(now), Duration::ZERO);
    }
}

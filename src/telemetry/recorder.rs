//! Records the metrics of this process and renders them in the Prometheus text format.

use std::{fs, time::Duration};

use metrics::gauge;
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use tokio::time;

use crate::telemetry::names;

/// Upper bounds of the histogram buckets, in seconds.
const BUCKETS: &[f64] =
    &[0.001, 0.0025, 0.005, 0.01, 0.02, 0.027, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 5.0, 10.0, 30.0];
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
// Clock ticks per second in /proc (USER_HZ), fixed at 100 on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Handle of the installed metrics recorder.
#[derive(Clone, Debug)]
pub struct Metrics {
    handle: PrometheusHandle,
}

impl Metrics {
    /// Installs the recorder of the process and spawns its upkeep task in the current
    /// runtime. Returns `None` if a recorder is already installed.
    pub fn install() -> Option<Self> {
        let builder = PrometheusBuilder::new();
        let suffix = Matcher::Suffix("_seconds".to_owned());
        let builder = builder.set_buckets_for_metric(suffix, BUCKETS).ok()?;
        let handle = builder.install_recorder().ok()?;
        let upkeep = handle.clone();
        tokio::spawn(async move {
            // Observed values stay in memory until upkeep moves them into their buckets.
            loop {
                time::sleep(UPKEEP_INTERVAL).await;
                upkeep.run_upkeep();
            }
        });
        Some(Self { handle })
    }

    /// Renders the metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        gauge!(names::CPU).set(process_cpu().as_secs_f64());
        self.handle.run_upkeep();
        self.handle.render()
    }
}

/// Returns the CPU time used by this process; zero if `/proc` does not report it.
pub fn process_cpu() -> Duration {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The command name in parentheses may contain spaces, so fields are counted from its
    // closing parenthesis; utime and stime are fields 14 and 15.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks: f64 =
        fields.split_whitespace().skip(11).take(2).filter_map(|t| t.parse::<f64>().ok()).sum();
    Duration::from_secs_f64(ticks / TICKS_PER_SECOND)
}

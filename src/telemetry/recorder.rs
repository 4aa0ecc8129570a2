//! The metrics of one process, rendered as Prometheus text.

use std::{fs, time::Duration};

use metrics::gauge;
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use tokio::time;

use crate::telemetry::names;

const SECONDS: &[f64] =
    &[0.001, 0.0025, 0.005, 0.01, 0.02, 0.027, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 5.0, 10.0, 30.0];
const UPKEEP_EVERY: Duration = Duration::from_secs(5);
// Kernel ticks a second in /proc, fixed on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Handle of the metrics.
#[derive(Clone, Debug)]
pub struct Metrics {
    handle: PrometheusHandle,
}

impl Metrics {
    /// Installs the recorder of the process and starts its upkeep in the current
    /// runtime; nothing when one is installed.
    pub fn install() -> Option<Self> {
        let builder = PrometheusBuilder::new();
        let suffix = Matcher::Suffix("_seconds".to_owned());
        let builder = builder.set_buckets_for_metric(suffix, SECONDS).ok()?;
        let handle = builder.install_recorder().ok()?;
        let upkeep = handle.clone();
        tokio::spawn(async move {
            // Values wait in memory until they are sorted into their buckets.
            loop {
                time::sleep(UPKEEP_EVERY).await;
                upkeep.run_upkeep();
            }
        });
        Some(Self { handle })
    }

    /// The metrics as Prometheus text.
    pub fn render(&self) -> String {
        gauge!(names::CPU).set(process_cpu().as_secs_f64());
        self.handle.run_upkeep();
        self.handle.render()
    }
}

/// Processor time of this process so far; zero where the system does not tell.
pub fn process_cpu() -> Duration {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name in parentheses may hold blanks; user and system time follow as fields 14 and 15.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks: f64 =
        fields.split_whitespace().skip(11).take(2).filter_map(|t| t.parse::<f64>().ok()).sum();
    Duration::from_secs_f64(ticks / TICKS_PER_SECOND)
}

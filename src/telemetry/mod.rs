//! Logs and metrics.

mod logs;
pub mod names;
mod recorder;

pub use logs::{LogLevels, start_logs};
pub use recorder::{Metrics, process_cpu};

//! Logs and metrics.

mod logs;
pub mod names;
mod recorder;
mod writer;

pub use logs::{LogLevels, set_levels, start_daemon_logs, start_logs};
pub use recorder::{Metrics, process_cpu};
pub use writer::LineWriter;

//! Logging and metrics.

mod logs;
pub mod names;
mod recorder;
mod writer;

pub use logs::{LogLevels, init_daemon_logging, init_logging, set_max_level};
pub use recorder::{Metrics, process_cpu};
pub use writer::LogWriter;

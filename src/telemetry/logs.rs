//! Logging setup: one line per event with `key=value` fields, written to standard error or
//! standard output.

use std::{fmt, str::FromStr};

use log::LevelFilter;

use crate::telemetry::LogWriter;

/// A default log level and overrides for single modules.
///
/// ```
/// use goldcrestpitch::telemetry::LogLevels;
/// let levels: LogLevels = "info, goldcrestpitch::agent=debug".parse().unwrap();
/// assert_eq!(levels.to_string(), "INFO, goldcrestpitch::agent=DEBUG");
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLevels {
    default: LevelFilter,
    modules: Vec<(String, LevelFilter)>,
}

impl Default for LogLevels {
    fn default() -> Self {
        Self { default: LevelFilter::Info, modules: Vec::new() }
    }
}

impl FromStr for LogLevels {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let mut levels = Self::default();
        let level = |t: &str| t.trim().parse().map_err(|_| format!("{t:?} is not a log level"));
        for part in text.split(',').map(str::trim) {
            match part.split_once('=') {
                Some((module, value)) => {
                    levels.modules.push((module.trim().to_owned(), level(value)?))
                }
                None => levels.default = level(part)?,
            }
        }
        Ok(levels)
    }
}

impl fmt::Display for LogLevels {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.default)?;
        self.modules.iter().try_for_each(|(module, level)| write!(f, ", {module}={level}"))
    }
}

/// Installs a logger that writes to standard error. A second call in one process has no
/// effect.
pub fn init_logging(levels: &LogLevels) {
    install(levels, fern::Output::from(std::io::stderr()));
}

/// Installs a logger that writes to standard output in a background thread. Returns the
/// writer, which is to be flushed before the process exits.
pub fn init_daemon_logging(levels: &LogLevels) -> LogWriter {
    let writer = LogWriter::start(std::io::stdout());
    let sink = writer.clone();
    install(levels, fern::Output::call(move |record| sink.line(format!("{}\n", record.args()))));
    set_max_level(levels);
    writer
}

/// Sets the process-wide maximum level to the most verbose level in `levels`. The installed
/// logger keeps filtering by the default and the overrides that it was installed with, so
/// this can reduce the output but not add lines that were filtered out before.
pub fn set_max_level(levels: &LogLevels) {
    let max = levels.modules.iter().map(|(_, level)| *level).chain([levels.default]).max();
    log::set_max_level(max.unwrap_or(levels.default));
}

fn install(levels: &LogLevels, out: fern::Output) {
    let mut dispatch = fern::Dispatch::new().level(levels.default);
    for (module, level) in &levels.modules {
        dispatch = dispatch.level_for(module.clone(), *level);
    }
    let dispatch = dispatch.format(|out, message, record| {
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let at = since_epoch.unwrap_or_default();
        out.finish(format_args!(
            "at={}.{:03} level={} module={} {message}",
            at.as_secs(),
            at.subsec_millis(),
            record.level(),
            record.target(),
        ));
    });
    // Fails only if a logger is already installed, for example by an earlier demo in the
    // same process.
    let _ = dispatch.chain(out).apply();
}

//! Logs: one line an event, `key=value`, to standard error or standard output.

use std::{fmt, str::FromStr};

use log::LevelFilter;

use crate::telemetry::LogWriter;

/// Log levels: one for all modules and exceptions by module.
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
                Some((module, l)) => levels.modules.push((module.trim().to_owned(), level(l)?)),
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

/// Starts logging to standard error. A second call in one process has no effect.
pub fn init_logging(levels: &LogLevels) {
    start(levels, fern::Output::from(std::io::stderr()));
}

/// Starts logging of a daemon to standard output, by a thread of its own.
pub fn init_daemon_logging(levels: &LogLevels) -> LogWriter {
    let writer = LogWriter::start(std::io::stdout());
    let lines = writer.clone();
    start(levels, fern::Output::call(move |record| lines.line(format!("{}\n", record.args()))));
    set_max_level(levels);
    writer
}

/// Changes the level for all modules while the process runs; exceptions by
/// module hold from the next start.
pub fn set_max_level(levels: &LogLevels) {
    let most = levels.modules.iter().map(|(_, level)| *level).chain([levels.default]).max();
    log::set_max_level(most.unwrap_or(levels.default));
}

fn start(levels: &LogLevels, out: fern::Output) {
    let mut dispatch = fern::Dispatch::new().level(levels.default);
    for (module, level) in &levels.modules {
        dispatch = dispatch.level_for(module.clone(), *level);
    }
    let dispatch = dispatch.format(|out, message, record| {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let at = since.unwrap_or_default();
        out.finish(format_args!(
            "at={}.{:03} level={} module={} {message}",
            at.as_secs(),
            at.subsec_millis(),
            record.level(),
            record.target(),
        ));
    });
    // Fails only when a logger is set, as in a second demo in one process.
    let _ = dispatch.chain(out).apply();
}

//! Logs: one line an event, `key=value`, to standard error.

use std::{fmt, str::FromStr};

use log::LevelFilter;

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

/// Starts logging. A second call in one process has no effect.
pub fn start_logs(levels: &LogLevels) {
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
    let _ = dispatch.chain(std::io::stderr()).apply();
}

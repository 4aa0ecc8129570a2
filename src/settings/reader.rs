//! Reads typed values from an INI file and collects every error instead of stopping at
//! the first.

use std::{collections::BTreeSet, fmt, net::SocketAddr, str::FromStr, time::Duration};

use ini::Ini;

use crate::errors::Code;

/// An error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Result code.
    pub code: Code,
    /// Path of the file.
    pub file: String,
    /// Section of the file; empty when the error concerns the whole file.
    pub section: String,
    /// Key in the section; empty when the error does not concern a single key.
    pub key: String,
    /// Description of the error.
    pub message: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: [{}] {}: {}: {}", self.file, self.section, self.key, self.code, self.message)
    }
}

/// Reads the settings of one file.
///
/// Getters record an error and return `None` or the default for an invalid value;
/// [`SettingsReader::finish`] returns all errors, including unknown keys.
///
/// ```
/// use goldcrestpitch::settings::SettingsReader;
/// let mut reader = SettingsReader::from_text("a.ini", "[entry]\nlisten = here\nspeed = 9\n");
/// assert_eq!(reader.address("entry", "listen"), None);
/// let errors = reader.finish();
/// assert_eq!(errors.len(), 2);
/// assert!(errors[0].to_string().starts_with("a.ini: [entry] listen: 6004 NotAnAddress"));
/// ```
#[derive(Debug)]
pub struct SettingsReader {
    file: String,
    ini: Ini,
    /// Keys that were looked up; any other key in the file is unknown.
    known_keys: BTreeSet<(String, String)>,
    errors: Vec<SettingsError>,
}

impl SettingsReader {
    /// Reads a file; a file that cannot be read is reported as an error.
    pub fn from_file(file: &str) -> Self {
        match std::fs::read_to_string(file) {
            Ok(text) => Self::from_text(file, &text),
            Err(err) => {
                let mut reader = Self::from_text(file, "");
                reader.report(Code::UnreadableSettings, "", "", err.to_string());
                reader
            }
        }
    }

    /// Parses `text`; `file` is the name shown in errors.
    pub fn from_text(file: &str, text: &str) -> Self {
        let (ini, error) = match Ini::load_from_str(text) {
            Ok(ini) => (ini, None),
            Err(err) => (Ini::new(), Some(err.to_string())),
        };
        let mut reader =
            Self { file: file.to_owned(), ini, known_keys: BTreeSet::new(), errors: Vec::new() };
        if let Some(text) = error {
            reader.report(Code::UnreadableSettings, "", "", text);
        }
        reader
    }

    /// Returns a required, non-empty string.
    pub fn text(&mut self, section: &str, key: &str) -> Option<String> {
        let found = self.lookup(section, key).filter(|t| !t.is_empty());
        if found.is_none() {
            self.report(Code::MissingSetting, section, key, "a value is required".to_owned());
        }
        found
    }

    /// Returns a required socket address (IP address and port).
    pub fn address(&mut self, section: &str, key: &str) -> Option<SocketAddr> {
        let text = self.text(section, key)?;
        let address = text.parse().ok();
        if address.is_none() {
            let message = format!("{text:?} is not an IP address with a port");
            self.report(Code::NotAnAddress, section, key, message);
        }
        address
    }

    /// Returns a duration given in whole milliseconds from 0 to `max`, or `default` if the
    /// key is absent.
    pub fn millis(
        &mut self,
        section: &str,
        key: &str,
        default: Duration,
        max: Duration,
    ) -> Duration {
        let Some(text) = self.lookup(section, key) else {
            return default;
        };
        match text.parse::<u64>().map(Duration::from_millis) {
            Ok(value) if value <= max => value,
            _ => {
                let max_ms = max.as_millis();
                let message = format!("{text:?} is not a number of milliseconds up to {max_ms}");
                self.report(Code::BadSetting, section, key, message);
                default
            }
        }
    }

    /// Returns a duration given in seconds, possibly fractional, from 0 to `max`, or
    /// `default` if the key is absent.
    pub fn seconds(
        &mut self,
        section: &str,
        key: &str,
        default: Duration,
        max: Duration,
    ) -> Duration {
        let seconds = self.number(section, key, default.as_secs_f64(), max.as_secs_f64());
        Duration::from_secs_f64(seconds)
    }

    /// Reads an optional `true` or `false`; false if it is not set.
    pub fn flag(&mut self, section: &str, key: &str) -> bool {
        let Some(text) = self.lookup(section, key) else { return false };
        text.parse().unwrap_or_else(|_| {
            let message = format!("{text:?} is not true or false");
            self.report(Code::BadSetting, section, key, message);
            false
        })
    }

    /// Returns a number from 0 to `max`, or `default` if the key is absent.
    pub fn number(&mut self, section: &str, key: &str, default: f64, max: f64) -> f64 {
        let Some(text) = self.lookup(section, key) else {
            return default;
        };
        match text.parse::<f64>() {
            Ok(value) if (0.0..=max).contains(&value) => value,
            _ => {
                let message = format!("{text:?} is not a number from 0 to {max}");
                self.report(Code::BadSetting, section, key, message);
                default
            }
        }
    }

    /// Returns a comma-separated list of socket addresses; empty if the key is absent.
    pub fn addresses(&mut self, section: &str, key: &str) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for part in self.list(section, key) {
            match part.parse() {
                Ok(address) => addresses.push(address),
                Err(_) => {
                    let message = format!("{part:?} is not an IP address with a port");
                    self.report(Code::NotAnAddress, section, key, message);
                }
            }
        }
        addresses
    }

    /// Returns a comma-separated list of `name=value` pairs; empty if the key is absent.
    pub fn pairs(&mut self, section: &str, key: &str) -> Vec<(String, String)> {
        let mut pairs = Vec::new();
        for part in self.list(section, key) {
            match part.split_once('=') {
                Some((name, value)) => pairs.push((name.trim().into(), value.trim().into())),
                None => {
                    let message = format!("{part:?} is not a name=value pair");
                    self.report(Code::BadSetting, section, key, message);
                }
            }
        }
        pairs
    }

    /// Records that a setting contradicts another one.
    pub fn report_contradiction(&mut self, section: &str, key: &str, message: String) {
        self.report(Code::Contradiction, section, key, message);
    }

    fn list(&mut self, section: &str, key: &str) -> Vec<String> {
        let text = self.lookup(section, key).unwrap_or_default();
        text.split(',').map(|p| p.trim().to_owned()).filter(|p| !p.is_empty()).collect()
    }

    /// Returns a value parsed by its type, or the default of that type if the key is absent.
    pub fn parsed<T: FromStr<Err = String> + Default>(&mut self, section: &str, key: &str) -> T {
        let Some(text) = self.lookup(section, key) else {
            return T::default();
        };
        match text.parse() {
            Ok(value) => value,
            Err(message) => {
                self.report(Code::BadSetting, section, key, message);
                T::default()
            }
        }
    }

    /// Records an error for each key that has the same address as an earlier key of `keys`.
    pub fn require_distinct(&mut self, section: &str, keys: &[(&str, Option<SocketAddr>)]) {
        for (i, (key, address)) in keys.iter().enumerate() {
            let duplicate =
                keys[..i].iter().find(|(_, other)| address.is_some() && other == address);
            if let Some((other, _)) = duplicate {
                let message = format!("the same address as {other:?}");
                self.report(Code::Contradiction, section, key, message);
            }
        }
    }

    /// Returns every error, including one for each key that no getter was called for.
    pub fn finish(mut self) -> Vec<SettingsError> {
        let mut unknown = Vec::new();
        for (section, properties) in &self.ini {
            let section = section.unwrap_or_default();
            for (key, _) in properties.iter() {
                if !self.known_keys.contains(&(section.to_owned(), key.to_owned())) {
                    unknown.push((section.to_owned(), key.to_owned()));
                }
            }
        }
        for (section, key) in unknown {
            self.report(Code::UnknownSetting, &section, &key, "unknown section or key".to_owned());
        }
        self.errors
    }

    fn lookup(&mut self, section: &str, key: &str) -> Option<String> {
        self.known_keys.insert((section.to_owned(), key.to_owned()));
        self.ini.get_from(Some(section), key).map(|t| t.trim().to_owned())
    }

    fn report(&mut self, code: Code, section: &str, key: &str, message: String) {
        self.errors.push(SettingsError {
            code,
            file: self.file.clone(),
            section: section.to_owned(),
            key: key.to_owned(),
            message,
        });
    }
}

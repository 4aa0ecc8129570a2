//! The section `[limits]`, which several processes have.

use crate::{core::limits::ProcessLimits, settings::SettingsReader};

const MAX_MEMORY_MB: f64 = 1048576.0;
const MAX_DESCRIPTORS: f64 = 1e7;
/// Smallest memory that holds the process itself and one body of the largest size.
const MIN_MEMORY_MB: f64 = 32.0;
const MIN_DESCRIPTORS: f64 = 64.0;
const BYTES_PER_MB: f64 = 1048576.0;

impl SettingsReader {
    /// Reads the section `[limits]`.
    ///
    /// ```
    /// use goldcrestpitch::settings::SettingsReader;
    /// let mut reader = SettingsReader::from_text("a.ini", "[limits]\nmemory_mb = 112\n");
    /// assert_eq!(reader.process_limits().memory_bytes, 112 << 20);
    /// assert_eq!(reader.finish(), []);
    /// ```
    pub fn process_limits(&mut self) -> ProcessLimits {
        let default = ProcessLimits::default();
        let memory = default.memory_bytes as f64 / BYTES_PER_MB;
        let memory_mb = self.number("limits", "memory_mb", memory, MAX_MEMORY_MB);
        let descriptors = default.descriptors as f64;
        let descriptors = self.number("limits", "max_descriptors", descriptors, MAX_DESCRIPTORS);
        if memory_mb < MIN_MEMORY_MB {
            let text = format!("less than {MIN_MEMORY_MB}");
            self.report_contradiction("limits", "memory_mb", text);
        }
        if descriptors < MIN_DESCRIPTORS {
            let text = format!("less than {MIN_DESCRIPTORS}");
            self.report_contradiction("limits", "max_descriptors", text);
        }
        ProcessLimits {
            memory_bytes: (memory_mb * BYTES_PER_MB) as u64,
            descriptors: descriptors as usize,
        }
    }
}

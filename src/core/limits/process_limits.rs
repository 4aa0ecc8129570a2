//! Memory and descriptors of a process, and how they are divided.

/// Memory when the settings name none, bytes: more than any client inside the limits needs.
const DEFAULT_MEMORY_BYTES: u64 = 4 << 30;
/// Descriptors when the settings name none.
const DEFAULT_DESCRIPTORS: usize = 65_536;

/// Memory and descriptors of the machine that a process may use.
///
/// ```
/// use goldcrestpitch::core::limits::ProcessLimits;
/// let limits = ProcessLimits { memory_bytes: 112 << 20, descriptors: 2870 };
/// assert!(limits.memory_bytes < ProcessLimits::default().memory_bytes);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory in bytes.
    pub memory_bytes: u64,
    /// Number of file descriptors.
    pub descriptors: usize,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self { memory_bytes: DEFAULT_MEMORY_BYTES, descriptors: DEFAULT_DESCRIPTORS }
    }
}

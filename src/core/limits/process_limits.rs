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

/// Memory of the process itself is what these parts leave: code, routes, endpoints, connections to
/// endpoints. A gateway takes 9.4 MB of 112 under ordinary load.
const HELD_PERCENT: u64 = 35;
/// Memory for connections, as a divisor.
const CONNECTION_MEMORY_DIVISOR: u64 = 4;
/// Read and write buffers and tasks of one connection.
const CONNECTION_BYTES: u64 = 32 * 1024;
/// Descriptors for callers' connections, as a divisor; the others serve endpoints and the store.
const CALLER_DESCRIPTOR_DIVISOR: usize = 2;
/// The same for each other address of the process.
const OTHER_DESCRIPTOR_DIVISOR: usize = 16;

impl ProcessLimits {
    /// Bytes of bodies and responses that the process may hold.
    pub fn held_bytes(&self) -> usize {
        (self.memory_bytes * HELD_PERCENT / 100) as usize
    }

    /// Connections of callers.
    ///
    /// ```
    /// use goldcrestpitch::core::limits::ProcessLimits;
    /// let limits = ProcessLimits { memory_bytes: 112 << 20, descriptors: 2870 };
    /// assert_eq!((limits.caller_connections(), limits.other_connections()), (896, 179));
    /// ```
    pub fn caller_connections(&self) -> usize {
        let memory = self.memory_bytes / CONNECTION_MEMORY_DIVISOR / CONNECTION_BYTES;
        (memory as usize).min(self.descriptors / CALLER_DESCRIPTOR_DIVISOR)
    }

    /// Connections at each other address of the process.
    pub fn other_connections(&self) -> usize {
        self.caller_connections().min(self.descriptors / OTHER_DESCRIPTOR_DIVISOR)
    }
}

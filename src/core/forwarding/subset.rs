//! Deterministic subsetting: the share of the endpoints that each process prefers.
//!
//! Without it, several processes send prompts to the same engine before they hear of
//! each other's load, and its running streams stall while it prefills them all.

/// The index of a process among those that share endpoints.
///
/// The ordered list of endpoints is divided into contiguous ranges of equal length,
/// one per process. Processes that see the same endpoints in the same order cover
/// all of them without overlap.
///
/// ```
/// use goldcrestpitch::core::forwarding::EndpointSubset;
/// let second = EndpointSubset::new(1, 2);
/// // Of three endpoints it gets half of the second and all of the third.
/// assert_eq!([0, 1, 2].map(|position| second.share(position, 3)), [0.0, 0.5, 1.0]);
/// // Both processes share a single endpoint equally.
/// assert_eq!(second.share(0, 1), 0.5);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointSubset {
    index: usize,
    count: usize,
}

impl EndpointSubset {
    /// The subset of a process that shares its endpoints with no other.
    pub const SINGLE: Self = Self { index: 0, count: 1 };

    /// The subset of the process at `index` among `count` processes.
    pub fn new(index: usize, count: usize) -> Self {
        let count = count.max(1);
        Self { index: index.min(count - 1), count }
    }

    /// The share, from 0 to 1, of the endpoint at `position` among `endpoints` that
    /// belongs to this process.
    pub fn share(&self, position: usize, endpoints: usize) -> f64 {
        // In integer units an endpoint spans `count` and a process's range `endpoints`.
        let start = (self.index * endpoints).max(position * self.count);
        let end = ((self.index + 1) * endpoints).min((position + 1) * self.count);
        end.saturating_sub(start) as f64 / self.count as f64
    }
}

//! Which part of equal endpoints each of several processes uses first.
//!
//! Load pattern that it answers: several processes send prompts to the same
//! engine within the time in which none of them hears of the others, and streams
//! in progress stall while it reads them all.

/// The position of a process among those that share endpoints.
///
/// All processes that see the same endpoints in the same order divide them
/// without a gap: of the whole row, each takes an equal stretch.
///
/// ```
/// use goldcrestpitch::core::forwarding::EndpointSubset;
/// let second = EndpointSubset::new(1, 2);
/// // Of three endpoints it has half endpoints the middle one and the whole last one.
/// assert_eq!([0, 1, 2].map(|position| second.share(position, 3)), [0.0, 0.5, 1.0]);
/// // One endpoint belongs to both.
/// assert_eq!(second.share(0, 1), 0.5);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointSubset {
    index: usize,
    count: usize,
}

impl EndpointSubset {
    /// A process that is the only one.
    pub const SINGLE: Self = Self { index: 0, count: 1 };

    /// The process at position `own` of `all`.
    pub fn new(index: usize, count: usize) -> Self {
        let count = count.max(1);
        Self { index: index.min(count - 1), count }
    }

    /// The part, from 0 to 1, of the endpoint at position `at` of `of` that is
    /// this process's.
    pub fn share(&self, position: usize, endpoints: usize) -> f64 {
        // In units in which an endpoint is `all` long and a process's stretch `of`.
        let start = (self.index * endpoints).max(position * self.count);
        let end = ((self.index + 1) * endpoints).min((position + 1) * self.count);
        end.saturating_sub(start) as f64 / self.count as f64
    }
}

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
/// use goldcrestpitch::core::forwarding::Sharing;
/// let second = Sharing::new(1, 2);
/// // Of three endpoints it has half of the middle one and the whole last one.
/// assert_eq!([0, 1, 2].map(|at| second.part(at, 3)), [0.0, 0.5, 1.0]);
/// // One endpoint belongs to both.
/// assert_eq!(second.part(0, 1), 0.5);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sharing {
    own: usize,
    all: usize,
}

impl Sharing {
    /// A process that is the only one.
    pub const ALONE: Self = Self { own: 0, all: 1 };

    /// The process at position `own` of `all`.
    pub fn new(own: usize, all: usize) -> Self {
        let all = all.max(1);
        Self { own: own.min(all - 1), all }
    }

    /// The part, from 0 to 1, of the endpoint at position `at` of `of` that is
    /// this process's.
    pub fn part(&self, at: usize, of: usize) -> f64 {
        // In units in which an endpoint is `all` long and a process's stretch `of`.
        let start = (self.own * of).max(at * self.all);
        let end = ((self.own + 1) * of).min((at + 1) * self.all);
        end.saturating_sub(start) as f64 / self.all as f64
    }
}

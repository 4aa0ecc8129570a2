//! Which processes are told of a stream.

use crate::core::{hash, ids::StreamId, limits::ProcessId};

/// Number of processes that are told of a stream, beside the one that began it.
pub const HOLDERS: usize = 4;

/// The first `count` of the processes for a stream, the same in all processes that know the
/// same ones.
///
/// ```
/// use goldcrestpitch::core::resumption::holders;
/// let all = [1, 2, 3, 4, 5];
/// let chosen = holders(7, 2, all.iter().copied());
/// assert_eq!(chosen.len(), 2);
/// // The end of another process moves no stream.
/// let rest = all.iter().copied().filter(|process| chosen.contains(process));
/// assert_eq!(holders(7, 2, rest), chosen);
/// ```
pub fn holders(
    stream: StreamId,
    count: usize,
    processes: impl Iterator<Item = ProcessId>,
) -> Vec<ProcessId> {
    let rank = |process: ProcessId| hash::stable(&[&stream.to_le_bytes(), &process.to_le_bytes()]);
    let mut ranked: Vec<_> = processes.map(|process| (rank(process), process)).collect();
    ranked.sort_unstable();
    ranked.into_iter().take(count).map(|(_, process)| process).collect()
}

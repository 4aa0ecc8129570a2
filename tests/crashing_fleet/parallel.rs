//! Plays schedules in several threads.

use std::thread;

const THREADS: u64 = 4;

/// The results for the seeds from 0, in their order.
pub fn play_all<T: Send>(seeds: u64, play: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let range = |thread: u64| thread * seeds / THREADS..(thread + 1) * seeds / THREADS;
    thread::scope(|scope| {
        let play = &play;
        let spawn = |t| scope.spawn(move || range(t).map(play).collect::<Vec<T>>());
        let threads: Vec<_> = (0..THREADS).map(spawn).collect();
        threads.into_iter().flat_map(|t| t.join().expect("a schedule panicked")).collect()
    })
}

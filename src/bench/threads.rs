//! CPU time of the threads of this process.

use std::{fs, time::Duration};

/// Total CPU time so far of all threads whose name starts with `prefix`.
pub(super) fn cpu_time(prefix: &str) -> Duration {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else { return Duration::ZERO };
    let times = tasks.flatten().filter_map(|task| {
        let name = fs::read_to_string(task.path().join("comm")).ok()?;
        if !name.starts_with(prefix) {
            return None;
        }
        let schedstat = fs::read_to_string(task.path().join("schedstat")).ok()?;
        let nanos: u64 = schedstat.split_whitespace().next()?.parse().ok()?;
        Some(Duration::from_nanos(nanos))
    });
    times.sum()
}

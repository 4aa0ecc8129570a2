//! Clients that nobody controls must not end a process: it lives, its memory and descriptors stay
//! within the settings, and an ordinary request is answered afterwards. Nothing that depends on the
//! speed of the machine is checked. One test runs at a time.

mod bodies;
mod connections;
mod crowd;
mod process;

use std::sync::{Mutex, PoisonError};

/// Runs a test on one thread, after the others, and fails it after three minutes.
fn run(test: impl Future<Output = ()>) {
    static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let timeout = std::time::Duration::from_secs(180);
    let result = runtime.block_on(async { tokio::time::timeout(timeout, test).await });
    assert!(result.is_ok(), "the test did not finish within three minutes");
}

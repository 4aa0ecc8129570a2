//! The gateway before scripted endpoints on loopback: one module for each part
//! of the platform's rules. No assertion is about time.

mod away;
mod bed;
mod config;
mod drain;
mod endpoint;
mod explained;
mod requests;
mod retries;
mod streams;

/// Runs a test on one thread, as each process does, and ends it if it hangs.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let limit = std::time::Duration::from_secs(60);
    let done = runtime.block_on(async { tokio::time::timeout(limit, test).await });
    assert!(done.is_ok(), "the test did not end");
}

//! Runs the gateway with scripted endpoints on loopback: one module for each group of the
//! platform's rules. No assertion depends on timing.

mod accounts;
mod admission_answers;
mod answer_schedules;
mod bootstrap;
mod config;
mod copied_answers;
mod copying_endpoint;
mod crashing_callers;
mod crashing_requests;
mod crashing_segments;
mod drain;
mod explained;
mod limited_endpoints;
mod lone_gateways;
mod lost_answers;
mod refused_bodies;
mod requests;
mod resting_endpoints;
mod retries;
mod scripted_endpoint;
mod second_attempts;
mod silent_endpoints;
mod store_access;
mod store_copies;
mod store_outages;
mod stream_versions;
mod streams;
mod streams_beside_crashes;
mod test_gateway;

/// Runs a test on one thread, like each process, and fails it after 60 seconds.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let timeout = std::time::Duration::from_secs(60);
    let result = runtime.block_on(async { tokio::time::timeout(timeout, test).await });
    assert!(result.is_ok(), "the test did not finish within 60 seconds");
}

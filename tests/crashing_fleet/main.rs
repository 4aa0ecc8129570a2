//! A fleet of gateways in virtual time, with random schedules: requests that crash their
//! endpoint come again and again, to any gateway, beside sound ones.
//!
//! Gateways start, stop, freeze, are cut off and lose datagrams; endpoints also crash for
//! other reasons. Each schedule follows from its seed.

mod fleet;
mod gateway;
mod outcome;
mod parallel;
mod repeated_requests;
mod requests;
mod segment_callers;
mod segment_plan;
mod segments;
mod steps;
mod unrelated_crashes;
mod workload;

const SCHEDULES: u64 = 10_000;
const LIMIT: usize = 3;
const SEGMENT_LIMIT: usize = 5;
/// Within this time, a crash is known to all gateways that are not disturbed: the check of
/// the endpoint (100 ms, and up to 500 ms to connect) and a datagram.
const KNOWLEDGE_DELAY_MS: u64 = 700;
/// Time after which a disturbed gateway counts as undisturbed again, by the platform's
/// rules.
const STABLE_WINDOW_MS: u64 = 4_000;
/// Sends that the platform's rules allow after the last allowed crash is known.
const LATE_SENDS: usize = 3;

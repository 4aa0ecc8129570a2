//! Measurements that anyone can repeat: `goldcrestpitch bench`.

use crate::cli::EXIT_USAGE;

/// Runs a measurement and returns the exit code.
pub async fn run(what: &str) -> u8 {
    eprintln!("{what:?} is not a measurement");
    EXIT_USAGE
}

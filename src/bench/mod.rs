//! Measurements that anyone can repeat: `goldcrestpitch bench`.

mod claims;
mod fit;
mod open_loop;
mod overhead;
mod overload;
mod propagation;
mod routing;
mod sizes;
mod threads;

use std::io;

use crate::cli::{EXIT_FAILED, EXIT_OK, EXIT_USAGE};

pub use fit::{Fit, fit};

/// Runs a measurement and returns the exit code.
pub async fn run(what: &str) -> u8 {
    let result: io::Result<()> = match what {
        "overhead" => overhead::run().await,
        "slopes" => slopes().await,
        "claims" => claims::run().await,
        "routing" => routing::run().await,
        "overload" => overload::run().await,
        "propagation" => propagation::run().await,
        _ => {
            eprintln!(
                "{what:?} is none of: overhead, slopes, claims, routing, overload, propagation"
            );
            return EXIT_USAGE;
        }
    };
    match result {
        Ok(()) => EXIT_OK,
        Err(err) => {
            eprintln!("{err}");
            EXIT_FAILED
        }
    }
}

async fn slopes() -> io::Result<()> {
    sizes::run();
    open_loop::run().await
}

/// Prints the machine that figures were taken on.
fn print_machine() {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let info = std::fs::read_to_string("/proc/cpuinfo").unwrap_or_default();
    let model = info.lines().find_map(|l| l.strip_prefix("model name\t: ")).unwrap_or("unknown");
    println!("machine: {cores} cores, {model}; goldcrestpitch {}", env!("CARGO_PKG_VERSION"));
}

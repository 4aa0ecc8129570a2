//! Reproducible benchmarks, run with `goldcrestpitch bench`.

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

pub use fit::{LineFit, fit_line};

/// Runs the benchmark `name` and returns the exit code.
pub async fn run(name: &str) -> u8 {
    let result: io::Result<()> = match name {
        "overhead" => overhead::run().await,
        "slopes" => slopes().await,
        "claims" => claims::run().await,
        "routing" => routing::run().await,
        "overload" => overload::run().await,
        "propagation" => propagation::run().await,
        _ => {
            eprintln!(
                "unknown benchmark {name:?}; expected one of: overhead, slopes, claims, routing, \
                 overload, propagation"
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

/// Prints the processor of this machine and the version of the program.
fn print_machine() {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let info = std::fs::read_to_string("/proc/cpuinfo").unwrap_or_default();
    let model = info.lines().find_map(|l| l.strip_prefix("model name\t: ")).unwrap_or("unknown");
    println!("machine: {cores} cores, {model}; goldcrestpitch {}", env!("CARGO_PKG_VERSION"));
}

//! Entry point of the `goldcrestpitch` binary.

use std::process::ExitCode;

use goldcrestpitch::cli::{self, Goldcrestpitch};

fn main() -> ExitCode {
    match Goldcrestpitch::from_env() {
        Ok(flags) => cli::run(flags),
        Err(err) if err.is_help() => {
            println!("{err}");
            ExitCode::from(cli::EXIT_OK)
        }
        Err(err) => {
            eprintln!("{err}");
            ExitCode::from(cli::EXIT_USAGE)
        }
    }
}

//! The command line interface.

mod config;
mod config_file;
mod daemons;
mod flags;
mod platform;
mod settings;
mod status;

use std::process::ExitCode;

use crate::demo;

pub use flags::{Command, Goldcrestpitch};

/// Exit code of a successful command.
pub const EXIT_OK: u8 = 0;
/// Exit code of a command that failed or whose change was refused.
pub const EXIT_FAILED: u8 = 1;
/// Exit code for invalid arguments or settings.
pub const EXIT_USAGE: u8 = 2;

/// Runs a command and returns the exit code of the process.
pub fn run(flags: Goldcrestpitch) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime {
        Ok(runtime) => ExitCode::from(runtime.block_on(dispatch(flags.subcommand))),
        Err(err) => {
            eprintln!("failed to start the async runtime: {err}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

async fn dispatch(command: Command) -> u8 {
    match command {
        Command::About(args) if args.version => {
            println!("goldcrestpitch {}", env!("CARGO_PKG_VERSION"));
            EXIT_OK
        }
        Command::About(_) => {
            println!("{}", Goldcrestpitch::help());
            EXIT_USAGE
        }
        Command::Entry(args) => daemons::entry(&args.settings).await,
        Command::Agent(args) => daemons::agent(&args.settings).await,
        Command::Gateway(args) => platform::gateway(args.settings).await,
        Command::EngineAgent(args) => platform::engine_agent(args.settings).await,
        Command::CheckSettings(args) => settings::check(&args.role, &args.file),
        Command::Config(args) => config::run(&args).await,
        Command::Status(args) => status::run(args.log).await,
        Command::Demo(args) => run_demo(args.serve).await,
        Command::Bench(args) => crate::bench::run(&args.what).await,
    }
}

async fn run_demo(serve: bool) -> u8 {
    let result = if serve { demo::serve_forever().await } else { demo::run().await };
    match result {
        Ok(()) => EXIT_OK,
        Err(err) => {
            eprintln!("{err}");
            EXIT_FAILED
        }
    }
}

//! The `check-settings` command, and the output of settings errors.

use crate::{
    cli::{EXIT_OK, EXIT_USAGE},
    settings::{
        AgentSettings, EngineAgentSettings, EntrySettings, GatewaySettings, SettingsError,
        SettingsReader,
    },
};

/// Prints every error of a settings file and returns the exit code.
pub(super) fn check(role: &str, file: &str) -> u8 {
    let reader = SettingsReader::from_file(file);
    let errors = match role {
        "entry" => EntrySettings::read(reader).err(),
        "agent" => AgentSettings::read(reader).err(),
        "gateway" => GatewaySettings::read(reader).err(),
        "engine-agent" => EngineAgentSettings::read(reader).err(),
        _ => {
            eprintln!("unknown role {role:?}; expected entry, agent, gateway or engine-agent");
            return EXIT_USAGE;
        }
    };
    match errors {
        None => {
            println!("{file} is a valid settings file for role {role}");
            EXIT_OK
        }
        Some(errors) => print_errors(&errors),
    }
}

/// Prints errors and returns the exit code of a process that cannot start because of them.
pub(super) fn print_errors(errors: &[SettingsError]) -> u8 {
    for error in errors {
        eprintln!("{error}");
    }
    EXIT_USAGE
}

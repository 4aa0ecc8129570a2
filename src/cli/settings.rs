//! `check-settings`, and reading settings at a start.

use crate::{
    cli::{EXIT_OK, EXIT_USAGE},
    settings::{
        AgentSettings, EngineAgentSettings, EntrySettings, GatewaySettings, SettingsError,
        SettingsReader,
    },
};

/// Lists the errors of a settings file.
pub(super) fn check(role: &str, file: &str) -> u8 {
    let reader = SettingsReader::from_file(file);
    let errors = match role {
        "entry" => EntrySettings::read(reader).err(),
        "agent" => AgentSettings::read(reader).err(),
        "gateway" => GatewaySettings::read(reader).err(),
        "engine-agent" => EngineAgentSettings::read(reader).err(),
        _ => {
            eprintln!("role {role:?} is none of entry, agent, gateway and engine-agent");
            return EXIT_USAGE;
        }
    };
    match errors {
        None => {
            println!("{file} is a complete settings file of role {role}");
            EXIT_OK
        }
        Some(errors) => print_errors(&errors),
    }
}

/// Prints errors; the exit code of a start that they prevent.
pub(super) fn print_errors(errors: &[SettingsError]) -> u8 {
    for error in errors {
        eprintln!("{error}");
    }
    EXIT_USAGE
}

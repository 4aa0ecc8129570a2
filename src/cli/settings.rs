//! `check-settings`, and reading settings at a start.

use crate::{
    cli::{EXIT_OK, EXIT_USAGE},
    settings::{AgentSettings, EngineAgentSettings, EntrySettings, Fault, GatewaySettings, Reader},
};

/// Lists the faults of a settings file.
pub(super) fn check(role: &str, file: &str) -> u8 {
    let reader = Reader::from_file(file);
    let faults = match role {
        "entry" => EntrySettings::read(reader).err(),
        "agent" => AgentSettings::read(reader).err(),
        "gateway" => GatewaySettings::read(reader).err(),
        "engine-agent" => EngineAgentSettings::read(reader).err(),
        _ => {
            eprintln!("role {role:?} is none of entry, agent, gateway and engine-agent");
            return EXIT_USAGE;
        }
    };
    match faults {
        None => {
            println!("{file} is a complete settings file of role {role}");
            EXIT_OK
        }
        Some(faults) => print(&faults),
    }
}

/// Prints faults; the exit code of a start that they prevent.
pub(super) fn print(faults: &[Fault]) -> u8 {
    for fault in faults {
        eprintln!("{fault}");
    }
    EXIT_USAGE
}

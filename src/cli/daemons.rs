//! The `entry` and `agent` commands: run a process until SIGTERM or SIGINT asks for a graceful
//! stop. Also holds helpers shared by all long-running commands.

use std::{io, net::SocketAddr};

use log::{error, info};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
};

use crate::{
    admin, agent,
    agent::HttpBackend,
    cli::{EXIT_FAILED, EXIT_OK, settings},
    core::routing::Site,
    entry::{self, EntryConfig},
    errors::Code,
    fleet::HttpVmList,
    platform::Store,
    settings::{AgentSettings, EntrySettings, SettingsReader},
    telemetry::{self, Metrics},
};

/// Runs an entry and returns the exit code.
pub(super) async fn entry(file: &str) -> u8 {
    let settings = match EntrySettings::read(SettingsReader::from_file(file)) {
        Ok(settings) => settings,
        Err(errors) => return settings::print_errors(&errors),
    };
    telemetry::init_logging(&settings.levels);
    exit_code(run_entry(settings).await)
}

/// Runs an agent and returns the exit code.
pub(super) async fn agent(file: &str) -> u8 {
    let settings = match AgentSettings::read(SettingsReader::from_file(file)) {
        Ok(settings) => settings,
        Err(errors) => return settings::print_errors(&errors),
    };
    telemetry::init_logging(&settings.levels);
    exit_code(run_agent(settings).await)
}

async fn run_entry(settings: EntrySettings) -> io::Result<()> {
    let callers = bind(settings.listen).await?;
    let peers = bind(settings.peer_listen).await?;
    let admin = bind(settings.admin_listen).await?;
    let config = EntryConfig {
        name: settings.name.as_str().into(),
        site: Site { region: settings.region, zone: settings.zone },
        drain_notice: settings.drain_notice,
    };
    let metrics = Metrics::install();
    let log = Store::new(settings.log);
    let vms = HttpVmList::new(settings.vm_list);
    let process = entry::start(config, callers, peers, log, vms)?;
    let admin = admin::start(admin, metrics, process.store().clone());
    stop_signal().await?;
    process.stop().await;
    admin.stop();
    info!("event=stopped");
    Ok(())
}

async fn run_agent(settings: AgentSettings) -> io::Result<()> {
    let listener = bind(settings.listen).await?;
    let admin = bind(settings.admin_listen).await?;
    let metrics = Metrics::install();
    let process = agent::start(
        settings.endpoint.as_str().into(),
        listener,
        HttpBackend::new(settings.backend),
        Store::new(settings.log),
        HttpVmList::new(settings.vm_list),
    )?;
    let admin = admin::start(admin, metrics, process.store().clone());
    stop_signal().await?;
    process.stop().await;
    admin.stop();
    info!("event=stopped");
    Ok(())
}

/// Binds a TCP listener; the error names the address and carries the result code.
pub(super) async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|err| {
        io::Error::new(err.kind(), format!("{}: {address}: {err}", Code::AddressTaken))
    })
}

/// Waits for SIGTERM or SIGINT.
pub(super) async fn stop_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Logs a startup error, if any, and returns the exit code.
pub(super) fn exit_code(result: io::Result<()>) -> u8 {
    match result {
        Ok(()) => EXIT_OK,
        Err(err) => {
            error!("event=start_failed error=\"{err}\"");
            EXIT_FAILED
        }
    }
}

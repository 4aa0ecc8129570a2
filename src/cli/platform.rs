//! The `gateway` and `engine-agent` commands: run a process until SIGTERM or SIGINT asks for a
//! graceful stop, and reload its settings.

use std::{env, io, time::Duration};

use log::{error, info, warn};
use tokio::{
    signal::unix::{SignalKind, signal},
    time,
};

use crate::{
    admin,
    cli::{
        EXIT_USAGE,
        daemons::{bind, exit_code, stop_signal},
        settings,
    },
    core::limits::ProcessLimits,
    engine_agent::{self, EngineAgentConfig},
    gateway::{self, GatewayConfig, Listeners},
    gossip::Socket,
    http::ServerLimits,
    settings::{EngineAgentSettings, GatewaySettings, SettingsError, SettingsReader},
    telemetry::{self, LogLevels, Metrics},
};

/// Environment variable with the path of the settings file, used if there is no argument.
const SETTINGS_ENV_VAR: &str = "GOLDCRESTPITCH_SETTINGS";
/// Descriptors that an agent counts on, of at least 2,870: 64 connections for probes and metrics.
const AGENT_DESCRIPTORS: usize = 1024;
/// Interval at which the settings file is checked for changes without a signal.
const RELOAD_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Runs a gateway and returns the exit code.
pub(super) async fn gateway(file: Option<String>) -> u8 {
    let Some(file) = settings_path(file) else { return EXIT_USAGE };
    match GatewaySettings::read(SettingsReader::from_file(&file)) {
        Ok(settings) => exit_code(run_gateway(&file, settings).await),
        Err(errors) => settings::print_errors(&errors),
    }
}

/// Runs an engine agent and returns the exit code.
pub(super) async fn engine_agent(file: Option<String>) -> u8 {
    let Some(file) = settings_path(file) else { return EXIT_USAGE };
    match EngineAgentSettings::read(SettingsReader::from_file(&file)) {
        Ok(settings) => exit_code(run_engine_agent(&file, settings).await),
        Err(errors) => settings::print_errors(&errors),
    }
}

fn settings_path(file: Option<String>) -> Option<String> {
    let file = file.or_else(|| env::var(SETTINGS_ENV_VAR).ok());
    if file.is_none() {
        eprintln!("no settings file: pass its path as an argument or in {SETTINGS_ENV_VAR}");
    }
    file
}

async fn run_gateway(file: &str, settings: GatewaySettings) -> io::Result<()> {
    let logs = telemetry::init_daemon_logging(&settings.levels);
    let listeners = Listeners {
        callers: bind(settings.listen).await?,
        ready: bind(settings.ready_listen).await?,
        peers: Socket::bind(settings.peer_listen).await?,
        peer_address: settings.peer_listen,
        bootstrap: bind(settings.peer_listen).await?,
    };
    let admin = bind(settings.admin_listen).await?;
    let metrics = Metrics::install();
    info!("event=started role=gateway name={} zone={}", settings.name, settings.zone);
    let config = GatewayConfig {
        zone: settings.zone.clone(),
        regions: settings.zones.clone(),
        store: settings.store,
        seeds: settings.seeds.iter().map(|s| s.ip()).collect(),
        first_start: settings.first_start,
        bounds: settings.bounds,
        accounts: settings.accounts,
        limits: settings.limits,
    };
    let admin_limits = ServerLimits::for_other_address(&settings.limits);
    let gateway = gateway::start(config, listeners);
    let shared = gateway.shared().clone();
    let admin =
        admin::start_with_readiness(admin, metrics, admin_limits, move || shared.is_ready());
    tokio::select! {
        stopped = stop_signal() => stopped?,
        failed = watch_settings(file, settings, GatewaySettings::read, |s| &s.levels) => failed?,
    }
    gateway.stop().await;
    admin.stop();
    info!("event=stopped role=gateway");
    logs.flush();
    Ok(())
}

async fn run_engine_agent(file: &str, settings: EngineAgentSettings) -> io::Result<()> {
    let logs = telemetry::init_daemon_logging(&settings.levels);
    let socket = Socket::bind(settings.peer_listen).await?;
    let admin = bind(settings.admin_listen).await?;
    let metrics = Metrics::install();
    info!("event=started role=engine-agent name={}", settings.name);
    let config = EngineAgentConfig {
        admits: settings.admits,
        first_start: settings.first_start,
        name: settings.name.clone(),
        service: settings.service.clone(),
        engine: settings.engine,
        store: settings.store,
    };
    let limits = ProcessLimits { descriptors: AGENT_DESCRIPTORS, ..ProcessLimits::default() };
    let admin_limits = ServerLimits::for_other_address(&limits);
    let agent = engine_agent::start(config, socket);
    let admin = admin::start_with_readiness(admin, metrics, admin_limits, || true);
    tokio::select! {
        stopped = stop_signal() => stopped?,
        failed = watch_settings(file, settings, EngineAgentSettings::read, |s| &s.levels)
            => failed?,
    }
    agent.stop();
    admin.stop();
    info!("event=stopped role=engine-agent");
    logs.flush();
    Ok(())
}

/// Reloads the settings whenever SIGHUP arrives or the file changes. Only the maximum log
/// level takes effect at once; every other setting takes effect at the next start. The
/// `same` field of the log line tells whether the settings equal those read before. Returns
/// only if the signal handler cannot be installed.
async fn watch_settings<S: PartialEq>(
    file: &str,
    mut settings: S,
    parse: fn(SettingsReader) -> Result<S, Vec<SettingsError>>,
    levels: fn(&S) -> &LogLevels,
) -> io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    let mut text = std::fs::read_to_string(file).ok();
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = time::sleep(RELOAD_CHECK_INTERVAL) => false,
        };
        let new_text = std::fs::read_to_string(file).ok();
        if !signalled && new_text == text {
            continue;
        }
        text = new_text;
        match parse(SettingsReader::from_file(file)) {
            Err(errors) => {
                errors.iter().for_each(|error| error!("event=settings_fault fault=\"{error}\""));
                warn!("event=reloaded taken=false faults={}", errors.len());
            }
            Ok(new) => {
                telemetry::set_max_level(levels(&new));
                info!("event=reloaded taken=true signalled={signalled} same={}", new == settings);
                settings = new;
            }
        }
    }
}

//! Settings of the gateway process.

use std::{net::SocketAddr, time::Duration};

use crate::{
    core::limits::ProcessLimits,
    gateway::{AccountSettings, Bounds},
    settings::{SettingsError, SettingsReader},
    telemetry::LogLevels,
};

const DEFAULT_GRACE: Duration = Duration::from_secs(8);
const MAX_GRACE: Duration = Duration::from_secs(600);
const DEFAULT_RETRY_WINDOW: Duration = Duration::from_secs(10);
const MAX_RETRY_WINDOW: Duration = Duration::from_secs(600);
const DEFAULT_RETRY_RATIO: f64 = 0.2;
const MAX_RETRY_RATIO: f64 = 10.0;
const MAX_RETRY_SLACK: f64 = 1e6;
const MAX_REVOKE_MS: f64 = 600_000.0;
const MAX_QUOTA_WINDOW: Duration = Duration::from_secs(3600);
const MAX_QUOTA_OVERAGE: f64 = 10.0;
const MAX_QUOTA_SLACK: f64 = 1e9;

/// Settings of a gateway; `settings/gateway.ini` documents each key.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of this VM.
    pub name: String,
    /// Availability zone of this VM.
    pub zone: String,
    /// Pairs of availability zone and region.
    pub zones: Vec<(String, String)>,
    /// Listen address for requests of callers.
    pub listen: SocketAddr,
    /// Listen address for readiness probes of the load balancer.
    pub ready_listen: SocketAddr,
    /// Listen address for gossip (UDP) and for gateways that fetch cached records (TCP).
    pub peer_listen: SocketAddr,
    /// Listen address for metrics and health checks.
    pub admin_listen: SocketAddr,
    /// Addresses of VMs on which other gateways may run.
    pub seeds: Vec<SocketAddr>,
    /// No gateway of this system has run before.
    pub first_start: bool,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Retry and shutdown limits that apply to all gateways together.
    pub bounds: Bounds,
    /// Client accounts.
    pub accounts: AccountSettings,
    /// Memory and descriptors of the process.
    pub limits: ProcessLimits,
    /// Log levels, global and per module.
    pub levels: LogLevels,
}

impl GatewaySettings {
    /// Reads and validates the settings.
    ///
    /// # Errors
    /// Returns every error found in the file.
    pub fn read(mut reader: SettingsReader) -> Result<Self, Vec<SettingsError>> {
        let r = &mut reader;
        let name = r.text("gateway", "name");
        let zone = r.text("gateway", "zone");
        let zones = r.pairs("gateway", "zones");
        let listen = r.address("gateway", "listen");
        let ready = r.address("gateway", "ready_listen");
        let peer = r.address("gateway", "peer_listen");
        let admin = r.address("gateway", "admin_listen");
        let seeds = r.addresses("gateway", "seeds");
        let first_start = r.flag("gateway", "first_start");
        let store = r.address("store", "address");
        let bounds = Bounds {
            retry_ratio: r.number("bounds", "retry_ratio", DEFAULT_RETRY_RATIO, MAX_RETRY_RATIO),
            retry_window: r.seconds(
                "bounds",
                "retry_window_s",
                DEFAULT_RETRY_WINDOW,
                MAX_RETRY_WINDOW,
            ),
            retry_slack: r.number("bounds", "retry_slack", 0.0, MAX_RETRY_SLACK),
            grace: r.seconds("bounds", "grace_s", DEFAULT_GRACE, MAX_GRACE),
        };
        let accounts = read_accounts(r);
        let limits = r.process_limits();
        let levels = r.parsed("logs", "levels");
        let listeners = [
            ("listen", listen),
            ("ready_listen", ready),
            ("peer_listen", peer),
            ("admin_listen", admin),
        ];
        r.require_distinct("gateway", &listeners);
        if let Some(zone) = &zone
            && !zones.is_empty()
            && zones.iter().all(|(z, _)| z != zone)
        {
            r.report_contradiction(
                "gateway",
                "zone",
                format!("{zone:?} is not listed in \"zones\""),
            );
        }
        let errors = reader.finish();
        let settings = || {
            Some(Self {
                name: name?,
                zone: zone?,
                zones,
                listen: listen?,
                ready_listen: ready?,
                peer_listen: peer?,
                admin_listen: admin?,
                seeds,
                first_start,
                store: store?,
                bounds,
                accounts,
                limits,
                levels,
            })
        };
        if errors.is_empty() { settings().ok_or_else(Vec::new) } else { Err(errors) }
    }
}

fn read_accounts(r: &mut SettingsReader) -> AccountSettings {
    const SECTION: &str = "accounts";
    let defaults = AccountSettings::default();
    let revoke_ms = defaults.revoke.as_secs_f64() * 1e3;
    let revoke_ms = r.number(SECTION, "revoke_ms", revoke_ms, MAX_REVOKE_MS);
    let settings = AccountSettings {
        fail_closed: r.flag(SECTION, "fail_closed"),
        revoke: Duration::from_secs_f64(revoke_ms / 1e3),
        quota_window: r.seconds(SECTION, "quota_window_s", defaults.quota_window, MAX_QUOTA_WINDOW),
        quota_overage: r.number(
            SECTION,
            "quota_overage",
            defaults.quota_overage,
            MAX_QUOTA_OVERAGE,
        ),
        quota_slack: r.number(SECTION, "quota_slack", defaults.quota_slack, MAX_QUOTA_SLACK),
    };
    if settings.quota_window.is_zero() {
        let text = "a window of 0 s holds no requests".to_owned();
        r.report_contradiction(SECTION, "quota_window_s", text);
    }
    settings
}

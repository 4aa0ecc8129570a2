//! Settings of a gateway.

use std::{net::SocketAddr, time::Duration};

use crate::{
    gateway::Bounds,
    settings::{SettingsError, SettingsReader},
    telemetry::LogLevels,
};

const GRACE: Duration = Duration::from_secs(8);
const MAX_GRACE: Duration = Duration::from_secs(600);
const RETRY_WINDOW: Duration = Duration::from_secs(10);
const MAX_RETRY_WINDOW: Duration = Duration::from_secs(600);
const RETRY_RATIO: f64 = 0.2;
const MAX_RETRY_RATIO: f64 = 10.0;
const MAX_RETRY_SLACK: f64 = 1e6;

/// Settings of a gateway; `settings/gateway.ini` documents each.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the VM.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Region of each availability zone.
    pub zones: Vec<(String, String)>,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for the balancer's question whether the process is ready.
    pub ready_listen: SocketAddr,
    /// Address for other processes of the system, UDP and TCP.
    pub peer_listen: SocketAddr,
    /// Address for metrics.
    pub admin_listen: SocketAddr,
    /// VMs on which other gateways may run.
    pub seeds: Vec<SocketAddr>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Bounds for all processes together.
    pub bounds: Bounds,
    /// Log levels.
    pub levels: LogLevels,
}

impl GatewaySettings {
    /// Reads and checks settings.
    ///
    /// # Errors
    /// Every fault of the file.
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
        let store = r.address("store", "address");
        let bounds = Bounds {
            retry_ratio: r.number("bounds", "retry_ratio", RETRY_RATIO, MAX_RETRY_RATIO),
            retry_window: r.seconds("bounds", "retry_window_s", RETRY_WINDOW, MAX_RETRY_WINDOW),
            retry_slack: r.number("bounds", "retry_slack", 0.0, MAX_RETRY_SLACK),
            grace: r.seconds("bounds", "grace_s", GRACE, MAX_GRACE),
        };
        let levels = r.parsed("logs", "levels");
        let own = [
            ("listen", listen),
            ("ready_listen", ready),
            ("peer_listen", peer),
            ("admin_listen", admin),
        ];
        r.require_distinct("gateway", &own);
        if let Some(zone) = &zone
            && !zones.is_empty()
            && zones.iter().all(|(z, _)| z != zone)
        {
            r.report_contradiction("gateway", "zone", format!("{zone:?} is not among \"zones\""));
        }
        let errors = reader.finish();
        let read = || {
            Some(Self {
                name: name?,
                zone: zone?,
                zones,
                listen: listen?,
                ready_listen: ready?,
                peer_listen: peer?,
                admin_listen: admin?,
                seeds,
                store: store?,
                bounds,
                levels,
            })
        };
        if errors.is_empty() { read().ok_or_else(Vec::new) } else { Err(errors) }
    }
}

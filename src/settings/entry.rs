//! Settings of the entry process.

use std::{net::SocketAddr, time::Duration};

use crate::{
    settings::{SettingsError, SettingsReader},
    telemetry::LogLevels,
};

const DEFAULT_DRAIN_NOTICE: Duration = Duration::from_secs(3);
const MAX_DRAIN_NOTICE: Duration = Duration::from_secs(600);

/// Settings of an entry; `settings/entry.ini` documents each key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// Name of this VM in the platform's list of VMs.
    pub name: String,
    /// Region of this VM.
    pub region: String,
    /// Availability zone of this VM.
    pub zone: String,
    /// Listen address for requests of callers.
    pub listen: SocketAddr,
    /// Listen address for other processes of the system.
    pub peer_listen: SocketAddr,
    /// Listen address for metrics, health checks and status.
    pub admin_listen: SocketAddr,
    /// Delay between reporting not ready and closing the listener in a graceful stop.
    pub drain_notice: Duration,
    /// Address of the append-only log.
    pub log: SocketAddr,
    /// Address of the service that lists the VMs.
    pub vm_list: SocketAddr,
    /// Log levels, global and per module.
    pub levels: LogLevels,
}

impl EntrySettings {
    /// Reads and validates the settings.
    ///
    /// # Errors
    /// Returns every error found in the file.
    pub fn read(mut reader: SettingsReader) -> Result<Self, Vec<SettingsError>> {
        let r = &mut reader;
        let name = r.text("entry", "name");
        let region = r.text("entry", "region");
        let zone = r.text("entry", "zone");
        let listen = r.address("entry", "listen");
        let peer = r.address("entry", "peer_listen");
        let admin = r.address("entry", "admin_listen");
        let notice = r.millis("entry", "drain_notice_ms", DEFAULT_DRAIN_NOTICE, MAX_DRAIN_NOTICE);
        let log = r.address("platform", "log");
        let vm_list = r.address("platform", "vm_list");
        let levels = r.parsed("logs", "levels");
        let listeners = [("listen", listen), ("peer_listen", peer), ("admin_listen", admin)];
        r.require_distinct("entry", &listeners);
        let errors = reader.finish();
        let settings = || {
            Some(Self {
                name: name?,
                region: region?,
                zone: zone?,
                listen: listen?,
                peer_listen: peer?,
                admin_listen: admin?,
                drain_notice: notice,
                log: log?,
                vm_list: vm_list?,
                levels,
            })
        };
        if errors.is_empty() { settings().ok_or_else(Vec::new) } else { Err(errors) }
    }
}

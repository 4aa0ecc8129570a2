//! Settings of an entry.

use std::{net::SocketAddr, time::Duration};

use crate::{
    settings::{SettingsError, SettingsReader},
    telemetry::LogLevels,
};

const DRAIN_NOTICE: Duration = Duration::from_secs(3);
const MAX_DRAIN_NOTICE: Duration = Duration::from_secs(600);

/// Settings of an entry; `settings/entry.ini` documents each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// Name in the list of VMs.
    pub name: String,
    /// Region.
    pub region: String,
    /// Availability zone.
    pub zone: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for other processes of the system.
    pub peer_listen: SocketAddr,
    /// Address for metrics and status.
    pub admin_listen: SocketAddr,
    /// Time between being unready and closing the listener.
    pub drain_notice: Duration,
    /// Address of the log.
    pub log: SocketAddr,
    /// Address of the list of VMs.
    pub vm_list: SocketAddr,
    /// Log levels.
    pub levels: LogLevels,
}

impl EntrySettings {
    /// Reads and checks settings.
    ///
    /// # Errors
    /// Every fault of the file.
    pub fn read(mut reader: SettingsReader) -> Result<Self, Vec<SettingsError>> {
        let r = &mut reader;
        let name = r.text("entry", "name");
        let region = r.text("entry", "region");
        let zone = r.text("entry", "zone");
        let listen = r.address("entry", "listen");
        let peer = r.address("entry", "peer_listen");
        let admin = r.address("entry", "admin_listen");
        let notice = r.millis("entry", "drain_notice_ms", DRAIN_NOTICE, MAX_DRAIN_NOTICE);
        let log = r.address("platform", "log");
        let vm_list = r.address("platform", "vm_list");
        let levels = r.parsed("logs", "levels");
        let own = [("listen", listen), ("peer_listen", peer), ("admin_listen", admin)];
        r.require_distinct("entry", &own);
        let errors = reader.finish();
        let read = || {
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
        if errors.is_empty() { read().ok_or_else(Vec::new) } else { Err(errors) }
    }
}

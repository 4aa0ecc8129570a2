//! Follows the platform's list of VMs.

use std::{net::SocketAddr, time::Duration};

use tokio::{sync::watch, time};

use crate::{
    core::{hash, ids::EntryId},
    fleet::{Vm, VmList, VmState},
    http::Stop,
};

const POLL_EVERY: Duration = Duration::from_secs(1);

/// The last list that was read; nothing before the first.
#[derive(Clone, Debug)]
pub struct VmWatch {
    list: watch::Receiver<Option<Vec<Vm>>>,
}

impl VmWatch {
    /// Entries that are live, with their addresses for other processes.
    pub fn entries(&self) -> Vec<(EntryId, SocketAddr)> {
        let list = self.list.borrow();
        let vms = list.iter().flatten();
        let live = vms.filter(|vm| vm.entry && vm.state == VmState::Live);
        live.map(|vm| (vm.name.clone(), vm.address)).collect()
    }

    /// Address of the entry that keeps a key, by rendezvous hashing; nothing when
    /// that is `own` or no entry is listed.
    pub fn owner_of(&self, key: u64, own: &str) -> Option<SocketAddr> {
        let entries = self.entries();
        let names = entries.iter().map(|(name, _)| &**name);
        let home = hash::rendezvous(&key.to_le_bytes(), names)?;
        let (name, address) = entries.iter().find(|(name, _)| **name == *home)?;
        (**name != *own).then_some(*address)
    }

    /// Whether a VM is listed as leaving.
    pub fn is_leaving(&self, name: &str) -> bool {
        let list = self.list.borrow();
        list.iter().flatten().any(|vm| &*vm.name == name && vm.state == VmState::Leaving)
    }

    /// Whether a list was ever read.
    pub fn is_loaded(&self) -> bool {
        self.list.borrow().is_some()
    }
}

/// Reads the list again and again until the stop.
pub fn watch_vms<V: VmList>(vms: V, mut stop: Stop) -> VmWatch {
    let (tx, list) = watch::channel(None);
    tokio::spawn(async move {
        loop {
            if let Some(read) = vms.vms().await {
                tx.send_if_modified(|list| {
                    let changed = list.as_ref() != Some(&read);
                    *list = Some(read);
                    changed
                });
            }
            tokio::select! {
                () = time::sleep(POLL_EVERY) => {}
                _ = stop.wait_for(|s| *s) => return,
            }
        }
    });
    VmWatch { list }
}

//! Polls the platform's list of VMs.

use std::{net::SocketAddr, time::Duration};

use tokio::{sync::watch, time};

use crate::{
    core::{hash, ids::EntryId},
    fleet::{Vm, VmList, VmState},
    http::Stop,
};

const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The last list that was read, or none before the first successful read.
#[derive(Clone, Debug)]
pub struct VmWatch {
    list: watch::Receiver<Option<Vec<Vm>>>,
}

impl VmWatch {
    /// The entries in state live, with the addresses at which other processes reach them.
    pub fn entries(&self) -> Vec<(EntryId, SocketAddr)> {
        let list = self.list.borrow();
        let vms = list.iter().flatten();
        let live = vms.filter(|vm| vm.entry && vm.state == VmState::Live);
        live.map(|vm| (vm.name.clone(), vm.address)).collect()
    }

    /// The address of the entry that owns a key by rendezvous hashing, or `None` if that
    /// entry is `own` or no entry is listed.
    pub fn owner_of(&self, key: u64, own: &str) -> Option<SocketAddr> {
        let entries = self.entries();
        let names = entries.iter().map(|(name, _)| &**name);
        let owner = hash::rendezvous(&key.to_le_bytes(), names)?;
        let (name, address) = entries.iter().find(|(name, _)| **name == *owner)?;
        (**name != *own).then_some(*address)
    }

    /// Whether a VM is listed as leaving.
    pub fn is_leaving(&self, name: &str) -> bool {
        let list = self.list.borrow();
        list.iter().flatten().any(|vm| &*vm.name == name && vm.state == VmState::Leaving)
    }

    /// Whether a list has been read.
    pub fn is_loaded(&self) -> bool {
        self.list.borrow().is_some()
    }
}

/// Starts a task that polls the list until the stop is signalled.
pub fn watch_vms<V: VmList>(source: V, mut stop: Stop) -> VmWatch {
    let (tx, list) = watch::channel(None);
    tokio::spawn(async move {
        loop {
            if let Some(current) = source.vms().await {
                tx.send_if_modified(|list| {
                    let changed = list.as_ref() != Some(&current);
                    *list = Some(current);
                    changed
                });
            }
            tokio::select! {
                () = time::sleep(POLL_INTERVAL) => {}
                _ = stop.wait_for(|s| *s) => return,
            }
        }
    });
    VmWatch { list }
}

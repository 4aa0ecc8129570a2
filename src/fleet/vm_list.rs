//! The platform's list of VMs: late, and a hint only.

use std::{future::Future, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::core::ids::EntryId;

/// State of a VM as the platform lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In service.
    Live,
    /// About to be taken away.
    Leaving,
}

/// A VM that runs an entry or stands beside an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the entry, or of the endpoint beside the agent.
    pub name: EntryId,
    /// Address for other processes of the system.
    pub address: SocketAddr,
    /// The VM runs an entry.
    pub entry: bool,
    /// State of the VM.
    pub state: VmState,
}

/// A client of the list.
pub trait VmList: Clone + Send + Sync + 'static {
    /// Reads the list; nothing when the platform does not answer.
    fn vms(&self) -> impl Future<Output = Option<Vec<Vm>>> + Send;
}

//! The platform's list of VMs. It may be out of date, so it is only a hint.

use std::{future::Future, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::core::ids::EntryId;

/// State of a VM as the platform lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In service.
    Live,
    /// About to be removed.
    Leaving,
}

/// A VM that runs an entry, or an agent with its endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the entry, or of the endpoint that the agent serves.
    pub name: EntryId,
    /// Address at which other processes of the system reach the VM.
    pub address: SocketAddr,
    /// Whether the VM runs an entry; otherwise it runs an agent.
    pub entry: bool,
    /// Whether the VM is in service or about to be removed.
    pub state: VmState,
}

/// Provides the list.
pub trait VmList: Clone + Send + Sync + 'static {
    /// Reads the list; `None` if the platform does not answer.
    fn vms(&self) -> impl Future<Output = Option<Vec<Vm>>> + Send;
}

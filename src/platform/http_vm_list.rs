//! The list of VMs over HTTP: `GET /vms`.

use std::{net::SocketAddr, time::Duration};

use crate::{
    http::Client,
    platform::{Vm, VmList},
};

const READ_LIMIT: Duration = Duration::from_secs(2);

/// A client of the list over HTTP.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    client: Client,
}

impl HttpVmList {
    /// A client of the list at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { client: Client::new(address) }
    }
}

impl VmList for HttpVmList {
    async fn vms(&self) -> Option<Vec<Vm>> {
        self.client.get_json("/vms", READ_LIMIT).await.ok()
    }
}

//! A list of VMs in memory.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hyper::StatusCode;
use tokio::net::TcpListener;

use crate::{
    http::{self, Stop},
    platform::{Vm, VmList, VmState},
};

/// The list; its clones are one list.
#[derive(Clone, Debug, Default)]
pub struct FakeVmList {
    vms: Arc<Mutex<Vec<Vm>>>,
}

impl FakeVmList {
    /// Adds or replaces a VM.
    pub fn put(&self, vm: Vm) {
        let mut vms = self.lock();
        vms.retain(|v| v.name != vm.name);
        vms.push(vm);
    }

    /// Marks a VM as leaving.
    pub fn leave(&self, name: &str) {
        for vm in self.lock().iter_mut().filter(|vm| &*vm.name == name) {
            vm.state = VmState::Leaving;
        }
    }

    /// Removes a VM.
    pub fn remove(&self, name: &str) {
        self.lock().retain(|vm| &*vm.name != name);
    }

    /// Serves the list over HTTP until the stop.
    pub async fn serve(self, listener: TcpListener, stop: Stop) {
        let handler = move |_req| {
            let vms = self.lock().clone();
            async move { Ok(http::json(StatusCode::OK, &vms)) }
        };
        http::serve(listener, handler, stop).await;
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Vm>> {
        self.vms.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl VmList for FakeVmList {
    async fn vms(&self) -> Option<Vec<Vm>> {
        Some(self.lock().clone())
    }
}

//! In-memory list of VMs.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hyper::{Request, StatusCode, header};
use tokio::net::TcpListener;

use crate::{
    core::hash,
    fleet::{Vm, VmList, VmState},
    http::{self, Stop},
};

/// A list of VMs in memory. Clones refer to the same list.
#[derive(Clone, Debug, Default)]
pub struct FakeVmList {
    vms: Arc<Mutex<Vec<Vm>>>,
}

impl FakeVmList {
    /// Adds a VM, or replaces the one of the same name.
    pub fn put(&self, vm: Vm) {
        let mut vms = self.lock();
        vms.retain(|v| v.name != vm.name);
        vms.push(vm);
    }

    /// Marks a VM as leaving.
    pub fn mark_leaving(&self, name: &str) {
        for vm in self.lock().iter_mut().filter(|vm| &*vm.name == name) {
            vm.state = VmState::Leaving;
        }
    }

    /// Removes a VM.
    pub fn remove(&self, name: &str) {
        self.lock().retain(|vm| &*vm.name != name);
    }

    /// Serves the list over HTTP until the stop is signalled.
    pub async fn serve(self, listener: TcpListener, stop: Stop) {
        let handler = move |req: Request<http::RequestBody>| {
            let vms = self.lock().clone();
            let etag = format!("\"{:x}\"", content_hash(&vms));
            let if_none_match = req.headers().get(header::IF_NONE_MATCH);
            let unchanged = if_none_match.is_some_and(|v| v.as_bytes() == etag.as_bytes());
            let mut reply = match unchanged {
                true => http::text(StatusCode::NOT_MODIFIED, ""),
                false => http::json(StatusCode::OK, &vms),
            };
            if let Ok(value) = header::HeaderValue::from_str(&etag) {
                reply.headers_mut().insert(header::ETAG, value);
            }
            async move { Ok(reply) }
        };
        http::serve(listener, handler, stop).await;
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Vm>> {
        self.vms.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn content_hash(vms: &[Vm]) -> u64 {
    hash::stable(&[&serde_json::to_vec(vms).unwrap_or_default()])
}

impl VmList for FakeVmList {
    async fn vms(&self) -> Option<Vec<Vm>> {
        Some(self.lock().clone())
    }
}

//! Permits for attempts, from the [`QuarantineRegistry`]. Each request fingerprint
//! has one owner among the entries, found by rendezvous hashing, whose registry is
//! asked before an attempt starts and is told how it ended.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use tokio::time;

use crate::{
    core::{
        ids::{AttemptId, EndpointId},
        quarantine::{AttemptEnd, Permit, QuarantineRegistry},
    },
    entry::{endpoint_selection::count_bytes, shared::Shared},
    fleet::Log,
    rpc::pb::{
        ReportRequest, VetReply, VetRequest, peer_client::PeerClient, report_request::What,
        vet_reply,
    },
};

// Without a reply within this time, the attempt starts without a permit.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(150);
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(5);
// Expired attempts are removed once per this number of permit checks.
const CHECKS_PER_EXPIRY: u64 = 1024;

/// The registry of the fingerprints that this entry owns, with the number of permit checks.
#[derive(Debug)]
pub(super) struct AttemptRegistry {
    registry: Mutex<(QuarantineRegistry, u64)>,
}

impl AttemptRegistry {
    pub(super) fn new(limit: u32) -> Self {
        Self { registry: Mutex::new((QuarantineRegistry::new(limit), 0)) }
    }

    fn lock(&self) -> MutexGuard<'_, (QuarantineRegistry, u64)> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set_limit(&self, limit: u32) {
        self.lock().0.set_limit(limit);
    }

    /// Decides on an attempt of any entry. Waits for a short time while an identical request is in
    /// progress and its endpoint is not known yet.
    pub(super) async fn request_permit(&self, request: &VetRequest) -> VetReply {
        let deadline = Instant::now() + PERMIT_TIMEOUT / 2;
        let attempt: AttemptId = request.attempt.as_str().into();
        loop {
            let permit = {
                let mut guard = self.lock();
                let (registry, checks) = &mut *guard;
                *checks += 1;
                if checks.is_multiple_of(CHECKS_PER_EXPIRY) {
                    registry.remove_expired(Instant::now());
                }
                registry.request_permit(Instant::now(), request.fingerprint, &attempt)
            };
            if permit != Permit::Wait || deadline <= Instant::now() {
                return permit.into();
            }
            time::sleep(WAIT_POLL_INTERVAL).await;
        }
    }

    /// Records where an attempt runs or how it ended.
    pub(super) fn report_attempt(&self, request: &ReportRequest) {
        let attempt: AttemptId = request.attempt.as_str().into();
        let endpoint: EndpointId = request.endpoint.as_str().into();
        let fingerprint = request.fingerprint;
        let registry = &mut self.lock().0;
        let ended = match request.what() {
            What::Placed => return registry.set_endpoint(fingerprint, &attempt, &endpoint),
            What::Completed => AttemptEnd::Completed,
            What::Crashed => AttemptEnd::Crashed(endpoint),
            What::Otherwise => AttemptEnd::Other,
        };
        registry.end_attempt(fingerprint, &attempt, &ended);
    }
}

impl<L: Log> Shared<L> {
    /// Asks the owner of a fingerprint whether an attempt may start, and where. The attempt is not
    /// restricted when the owner does not answer.
    pub(super) async fn request_permit(&self, fingerprint: u64, attempt: &AttemptId) -> Permit {
        let request = VetRequest { fingerprint, attempt: attempt.to_string() };
        let Some(owner) = self.vms.owner_of(fingerprint, &self.name) else {
            return self.attempt_registry.request_permit(&request).await.into();
        };
        count_bytes("vet", "sent", &request);
        let mut client = PeerClient::new(self.channels.to(owner));
        let reply = time::timeout(PERMIT_TIMEOUT, client.vet(request)).await;
        let Ok(Ok(reply)) = reply else { return Permit::Proven };
        let reply = reply.into_inner();
        count_bytes("vet", "received", &reply);
        reply.into()
    }

    /// Reports to the owner of a fingerprint where an attempt runs or how it ended. The caller
    /// awaits or spawns the future.
    pub(super) fn report_attempt(
        self: &Arc<Self>,
        fingerprint: u64,
        attempt: &AttemptId,
        what: What,
        endpoint: &str,
    ) -> impl Future<Output = ()> + Send + use<L> {
        let request = ReportRequest {
            fingerprint,
            attempt: attempt.to_string(),
            what: what.into(),
            endpoint: endpoint.to_owned(),
        };
        let shared = self.clone();
        async move {
            let Some(owner) = shared.vms.owner_of(fingerprint, &shared.name) else {
                return shared.attempt_registry.report_attempt(&request);
            };
            count_bytes("vet", "sent", &request);
            let mut client = PeerClient::new(shared.channels.to(owner));
            // If the report is lost, the registry expires the attempt.
            let _ = time::timeout(REPORT_TIMEOUT, client.report(request)).await;
        }
    }
}

impl From<Permit> for VetReply {
    fn from(permit: Permit) -> Self {
        use vet_reply::Permit as WirePermit;
        let (permit, endpoint, crashes) = match permit {
            Permit::Proven => (WirePermit::Proven, String::new(), 0),
            Permit::First => (WirePermit::First, String::new(), 0),
            Permit::Follow(endpoint) => (WirePermit::Follow, endpoint.to_string(), 0),
            Permit::Wait => (WirePermit::Wait, String::new(), 0),
            Permit::Quarantined(crashes) => (WirePermit::Quarantined, String::new(), crashes),
        };
        Self { permit: permit.into(), endpoint, crashes }
    }
}

impl From<VetReply> for Permit {
    fn from(wire: VetReply) -> Self {
        use vet_reply::Permit as WirePermit;
        match wire.permit() {
            WirePermit::Proven => Self::Proven,
            WirePermit::First => Self::First,
            WirePermit::Follow => Self::Follow(wire.endpoint.as_str().into()),
            WirePermit::Wait => Self::Wait,
            WirePermit::Quarantined => Self::Quarantined(wire.crashes),
        }
    }
}

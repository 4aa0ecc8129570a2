//! Asks the registry of fingerprints before an attempt starts. The registry of
//! a fingerprint is kept by one entry, found by rendezvous hashing.

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
    entry::{probe::count_bytes, shared::Shared},
    fleet::Log,
    rpc::pb::{
        ReportRequest, VetReply, VetRequest, peer_client::PeerClient, report_request::What,
        vet_reply,
    },
};

// A registry that does not answer in time is done without.
const VET_LIMIT: Duration = Duration::from_millis(150);
const REPORT_LIMIT: Duration = Duration::from_millis(300);
const WAIT_STEP: Duration = Duration::from_millis(5);
const EXPIRE_EVERY: u64 = 1024;

/// The registry that an entry keeps for the fleet.
#[derive(Debug)]
pub(super) struct Vetting {
    registry: Mutex<(QuarantineRegistry, u64)>,
}

impl Vetting {
    pub(super) fn new(limit: u32) -> Self {
        Self { registry: Mutex::new((QuarantineRegistry::new(limit), 0)) }
    }

    fn lock(&self) -> MutexGuard<'_, (QuarantineRegistry, u64)> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set_limit(&self, limit: u32) {
        self.lock().0.set_limit(limit);
    }

    /// Answers for the fleet; waits for a short time while the first one's place is not known.
    pub(super) async fn vet(&self, request: &VetRequest) -> VetReply {
        let until = Instant::now() + VET_LIMIT / 2;
        let attempt: AttemptId = request.attempt.as_str().into();
        loop {
            let permit = {
                let mut guard = self.lock();
                let (registry, asked) = &mut *guard;
                *asked += 1;
                if asked.is_multiple_of(EXPIRE_EVERY) {
                    registry.remove_expired(Instant::now());
                }
                registry.request_permit(Instant::now(), request.fingerprint, &attempt)
            };
            if permit != Permit::Wait || until <= Instant::now() {
                return permit.into();
            }
            time::sleep(WAIT_STEP).await;
        }
    }

    pub(super) fn report(&self, request: &ReportRequest) {
        let attempt: AttemptId = request.attempt.as_str().into();
        let endpoint: EndpointId = request.endpoint.as_str().into();
        let fingerprint = request.fingerprint;
        let registry = &mut self.lock().0;
        let how = match request.what() {
            What::Placed => return registry.set_endpoint(fingerprint, &attempt, &endpoint),
            What::Completed => AttemptEnd::Completed,
            What::Crashed => AttemptEnd::Crashed(endpoint),
            What::Otherwise => AttemptEnd::Other,
        };
        registry.end_attempt(fingerprint, &attempt, &how);
    }
}

impl<L: Log> Shared<L> {
    /// Asks whether an attempt may start; unrestricted when the registry does not answer.
    pub(super) async fn vet(&self, fingerprint: u64, attempt: &AttemptId) -> Permit {
        let request = VetRequest { fingerprint, attempt: attempt.to_string() };
        let Some(home) = self.vms.home_of(fingerprint, &self.name) else {
            return self.vetting.vet(&request).await.into();
        };
        count_bytes("vet", "sent", &request);
        let mut client = PeerClient::new(self.channels.to(home));
        let answer = time::timeout(VET_LIMIT, client.vet(request)).await;
        let Ok(Ok(reply)) = answer else { return Permit::Proven };
        let reply = reply.into_inner();
        count_bytes("vet", "received", &reply);
        reply.into()
    }

    /// Reports where an attempt runs or how it ended; to be awaited or spawned.
    pub(super) fn report(
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
        let me = self.clone();
        async move {
            let Some(home) = me.vms.home_of(fingerprint, &me.name) else {
                return me.vetting.report(&request);
            };
            count_bytes("vet", "sent", &request);
            let mut client = PeerClient::new(me.channels.to(home));
            // A report that is lost is made up for by the registry's own expiry.
            let _ = time::timeout(REPORT_LIMIT, client.report(request)).await;
        }
    }
}

impl From<Permit> for VetReply {
    fn from(permit: Permit) -> Self {
        use vet_reply::Permit as Wire;
        let (permit, endpoint, crashes) = match permit {
            Permit::Proven => (Wire::Proven, String::new(), 0),
            Permit::First => (Wire::First, String::new(), 0),
            Permit::Follow(endpoint) => (Wire::Follow, endpoint.to_string(), 0),
            Permit::Wait => (Wire::Wait, String::new(), 0),
            Permit::Quarantined(crashes) => (Wire::Quarantined, String::new(), crashes),
        };
        Self { permit: permit.into(), endpoint, crashes }
    }
}

impl From<VetReply> for Permit {
    fn from(wire: VetReply) -> Self {
        use vet_reply::Permit as Wire;
        match wire.permit() {
            Wire::Proven => Self::Proven,
            Wire::First => Self::First,
            Wire::Follow => Self::Follow(wire.endpoint.as_str().into()),
            Wire::Wait => Self::Wait,
            Wire::Quarantined => Self::Quarantined(wire.crashes),
        }
    }
}

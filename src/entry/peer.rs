//! RPCs that an entry serves for other processes of the fleet.

use std::sync::Arc;

use tonic::{Request, Response, Status};

use crate::{
    core::idempotency::{Claim, ClaimRecord},
    entry::{endpoint_selection::count_bytes, shared::Shared},
    fleet::Log,
    rpc::pb::{
        CatchupReply, CatchupRequest, ClaimReply, ClaimRequest, ReportReply, ReportRequest,
        SettleReply, SettleRequest, VetReply, VetRequest, peer_server,
    },
};

/// The RPC server of an entry.
pub(super) struct PeerRpc<L> {
    pub(super) shared: Arc<Shared<L>>,
}

#[tonic::async_trait]
impl<L: Log> peer_server::Peer for PeerRpc<L> {
    async fn catchup(
        &self,
        req: Request<CatchupRequest>,
    ) -> Result<Response<CatchupReply>, Status> {
        let view = self.shared.store.view();
        let revision = view.state.revision;
        let known_revision = req.into_inner().revision;
        self.shared.store.note_revision(known_revision);
        let state = match known_revision < revision {
            true => serde_json::to_vec(&*view.state).unwrap_or_default(),
            false => Vec::new(),
        };
        let reply = CatchupReply { revision, state: state.into() };
        count_bytes("catchup", "sent", &reply);
        Ok(Response::new(reply))
    }

    async fn claim(&self, req: Request<ClaimRequest>) -> Result<Response<ClaimReply>, Status> {
        let req = req.into_inner();
        count_bytes("claim", "received", &req);
        let result = if req.record.is_empty() {
            self.shared.claims.look_up_locally(&req.key).await
        } else {
            let claim: Claim = serde_json::from_slice(&req.record)
                .map_err(|err| Status::invalid_argument(err.to_string()))?;
            self.shared.claims.claim_locally(claim).await
        };
        let reply = ClaimReply::from(result);
        count_bytes("claim", "sent", &reply);
        Ok(Response::new(reply))
    }

    async fn settle(&self, req: Request<SettleRequest>) -> Result<Response<SettleReply>, Status> {
        let record: ClaimRecord = serde_json::from_slice(&req.into_inner().record)
            .map_err(|err| Status::invalid_argument(err.to_string()))?;
        self.shared.claims.append_locally(record);
        Ok(Response::new(SettleReply { recorded: true }))
    }

    async fn vet(&self, req: Request<VetRequest>) -> Result<Response<VetReply>, Status> {
        let req = req.into_inner();
        count_bytes("vet", "received", &req);
        let reply = self.shared.attempt_registry.request_permit(&req).await;
        count_bytes("vet", "sent", &reply);
        Ok(Response::new(reply))
    }

    async fn report(&self, req: Request<ReportRequest>) -> Result<Response<ReportReply>, Status> {
        let req = req.into_inner();
        count_bytes("vet", "received", &req);
        self.shared.attempt_registry.report_attempt(&req);
        Ok(Response::new(ReportReply {}))
    }
}

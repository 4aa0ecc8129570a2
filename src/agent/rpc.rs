//! The agent's RPCs.

use std::{sync::Arc, time::Duration};

use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status};

use crate::{
    agent::{Backend, run::Frames, shared::Shared},
    core::{idempotency::FenceState, memory::ReservationState, placement, scheduling::Estimate},
    errors::{Code, Refusal},
    fleet::Log,
    rpc::pb::{
        DescribeReply, DescribeRequest, DrainReply, DrainRequest, FenceReply, FenceRequest,
        ProbeReply, ProbeRequest, RunFrame, RunRequest, agent_server,
    },
};

// Frames that may wait for a slow entry before the endpoint has to wait.
const FRAMES_IN_FLIGHT: usize = 32;

/// Answers RPCs for an agent.
pub(super) struct AgentRpc<B, L> {
    pub(super) shared: Arc<Shared<B, L>>,
}

impl<B: Backend, L: Log> Shared<B, L> {
    /// What a request for a target would meet here.
    fn assess(&self, req: &ProbeRequest) -> (Result<(), Refusal>, bool, Estimate) {
        let view = self.store.view();
        let needed = placement::required_resources(&view.state, &req.target);
        let core = self.lock();
        let estimate = core.scheduler.estimate();
        let resident = needed.as_ref().is_ok_and(|n| core.all_resident(n));
        let verdict = needed.and_then(|needed| {
            if core.draining {
                return Err(Refusal::new(Code::Draining, "leaving"));
            }
            if !core.engine_up {
                return Err(Refusal::new(Code::NoEndpoint, "down"));
            }
            if !resident && !core.could_hold(&view, &self.identity.endpoint, &needed) {
                return Err(Refusal::new(Code::NotResident, "no room"));
            }
            Ok(())
        });
        (verdict, resident, estimate)
    }
}

impl<B, L> Shared<B, L> {
    fn describe(&self) -> DescribeReply {
        let core = self.lock();
        let mut reply = DescribeReply {
            revision: self.store.revision(),
            incarnation: self.identity.incarnation,
            running: core.scheduler.running() as u32,
            queued: core.scheduler.queued() as u32,
            draining: core.draining,
            endpoint_up: core.engine_up,
            ..DescribeReply::default()
        };
        let Some(controller) = &core.controller else {
            return reply;
        };
        let ledger = controller.ledger();
        reply.capacity_mib = ledger.capacity();
        reply.used_mib = ledger.used();
        for (resource, reservation) in ledger.reservations() {
            match reservation.state {
                ReservationState::Resident => reply.resident.push(resource.to_string()),
                ReservationState::Loading | ReservationState::Unloading => {
                    reply.moving.push(resource.to_string());
                }
            }
        }
        reply
    }
}

#[tonic::async_trait]
impl<B: Backend, L: Log> agent_server::Agent for AgentRpc<B, L> {
    async fn probe(&self, req: Request<ProbeRequest>) -> Result<Response<ProbeReply>, Status> {
        let req = req.into_inner();
        let shared = &self.shared;
        shared.store.note_revision(req.revision);
        let (verdict, resident, estimate) = shared.assess(&req);
        Ok(Response::new(ProbeReply {
            revision: shared.store.revision(),
            incarnation: shared.identity.incarnation,
            refusal: verdict.err().map_or(0, |r| r.code.number()),
            expected_wait_ms: estimate.first_token.as_millis() as u32,
            running: estimate.running as u32,
            queued: estimate.queued as u32,
            resident,
            ticket_ms: shared.uptime().as_millis() as u64,
        }))
    }

    type RunStream = ReceiverStream<Result<RunFrame, Status>>;

    async fn run(&self, req: Request<RunRequest>) -> Result<Response<Self::RunStream>, Status> {
        let req = req.into_inner();
        let (tx, rx) = mpsc::channel(FRAMES_IN_FLIGHT);
        let frames = Frames::new(req.attempt.clone(), tx);
        tokio::spawn(self.shared.clone().run(req, frames));
        Ok(Response::new(ReceiverStream::new(rx)))
    }

    async fn fence(&self, req: Request<FenceRequest>) -> Result<Response<FenceReply>, Status> {
        let req = req.into_inner();
        let own = self.shared.identity.incarnation;
        let state = if req.incarnation == own {
            let ticket = Duration::from_millis(req.ticket_ms);
            self.shared.lock().memory.fence(&req.attempt.as_str().into(), ticket)
        } else {
            FenceState::Unknown
        };
        let mut reply = FenceReply::from(state);
        reply.incarnation = own;
        Ok(Response::new(reply))
    }

    async fn describe(
        &self,
        _: Request<DescribeRequest>,
    ) -> Result<Response<DescribeReply>, Status> {
        Ok(Response::new(self.shared.describe()))
    }

    async fn drain(&self, _: Request<DrainRequest>) -> Result<Response<DrainReply>, Status> {
        let running = self.shared.drain() as u32;
        Ok(Response::new(DrainReply { running }))
    }
}

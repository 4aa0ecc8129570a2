//! RPC server of an agent.

use std::{sync::Arc, time::Duration};

use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status};

use crate::{
    agent::{Backend, run::FrameSender, shared::Shared},
    core::{idempotency::FenceState, memory::ReservationState, placement, scheduling::Estimate},
    errors::{Code, Refusal},
    fleet::Log,
    rpc::pb::{
        DescribeReply, DescribeRequest, DrainReply, DrainRequest, FenceReply, FenceRequest,
        ProbeReply, ProbeRequest, RunFrame, RunRequest, agent_server,
    },
};

// Frames that are buffered for a slow entry before the agent stops reading from the endpoint.
const FRAME_BUFFER: usize = 32;

/// Handles the RPCs of an agent.
pub(super) struct AgentRpc<B, L> {
    pub(super) shared: Arc<Shared<B, L>>,
}

impl<B: Backend, L: Log> Shared<B, L> {
    /// Whether the endpoint would admit a probed request now, whether its model is loaded, and how
    /// long it would wait.
    fn assess_request(&self, req: &ProbeRequest) -> (Result<(), Refusal>, bool, Estimate) {
        let view = self.store.view();
        let needed = placement::required_resources(&view.state, &req.target);
        let state = self.lock();
        let estimate = state.scheduler.estimate();
        let resident = needed.as_ref().is_ok_and(|n| state.all_resident(n));
        let admission = needed.and_then(|needed| {
            if state.draining {
                return Err(Refusal::new(Code::Draining, "the agent is shutting down"));
            }
            if !state.engine_up {
                return Err(Refusal::new(
                    Code::NoEndpoint,
                    "the endpoint does not respond to its agent",
                ));
            }
            if !resident && !state.could_fit(&view, &self.identity.endpoint, &needed) {
                return Err(Refusal::new(Code::NotResident, "the model does not fit"));
            }
            Ok(())
        });
        (admission, resident, estimate)
    }
}

impl<B, L> Shared<B, L> {
    /// The agent's incarnation and load, and the memory and resources of its engine.
    fn describe(&self) -> DescribeReply {
        let state = self.lock();
        let mut reply = DescribeReply {
            revision: self.store.revision(),
            incarnation: self.identity.incarnation,
            running: state.scheduler.running() as u32,
            queued: state.scheduler.queued() as u32,
            draining: state.draining,
            endpoint_up: state.engine_up,
            ..DescribeReply::default()
        };
        let Some(controller) = &state.controller else {
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
        let (admission, resident, estimate) = shared.assess_request(&req);
        Ok(Response::new(ProbeReply {
            revision: shared.store.revision(),
            incarnation: shared.identity.incarnation,
            refusal: admission.err().map_or(0, |r| r.code.number()),
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
        let (tx, rx) = mpsc::channel(FRAME_BUFFER);
        let frames = FrameSender::new(req.attempt.clone(), tx);
        tokio::spawn(self.shared.clone().run(req, frames));
        Ok(Response::new(ReceiverStream::new(rx)))
    }

    async fn fence(&self, req: Request<FenceRequest>) -> Result<Response<FenceReply>, Status> {
        let req = req.into_inner();
        let incarnation = self.shared.identity.incarnation;
        let state = if req.incarnation == incarnation {
            let ticket = Duration::from_millis(req.ticket_ms);
            self.shared.lock().attempt_history.fence(&req.attempt.as_str().into(), ticket)
        } else {
            FenceState::Unknown
        };
        let mut reply = FenceReply::from(state);
        reply.incarnation = incarnation;
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

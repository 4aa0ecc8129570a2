//! Selects an endpoint for a request: probes agents when the request arrives and
//! takes the best offer.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use metrics::counter;
use prost::Message;
use tokio::time;

use crate::{
    core::{
        ids::EndpointId,
        routing::{Candidate, Offer, best_offer, candidates},
    },
    entry::{request_context::RequestContext, shared::Shared},
    errors::{Code, Refusal},
    rpc::pb::{ProbeReply, ProbeRequest, agent_client::AgentClient},
    telemetry::names,
};

const PROBES_PER_BATCH: usize = 2;
// More endpoints than these are probed only while no offer is usable.
const MAX_PROBES_WITH_OFFER: usize = 4;
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
// An offer with a longer expected wait does not stop further probes.
const SHORT_WAIT: Duration = Duration::from_millis(250);
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What the selection of an endpoint depends on.
pub(super) struct SelectionCriteria<'a> {
    /// Model, `model:adapter` or `service/NAME`.
    pub(super) target: &'a str,
    pub(super) context: &'a RequestContext,
    /// Hash that prompts with the same prefix share, so that they reach the same endpoints.
    pub(super) affinity: u64,
    /// Endpoints that are not probed.
    pub(super) exclude: &'a [EndpointId],
    /// If set, the only endpoint that is probed; `exclude` has no effect then.
    pub(super) only: Option<&'a EndpointId>,
}

impl<L> Shared<L> {
    /// Selects the endpoint with the best offer.
    ///
    /// # Errors
    /// [`Code::NoEndpoint`] when no agent that answers admits the request.
    pub(super) async fn select_endpoint(
        &self,
        criteria: &SelectionCriteria<'_>,
    ) -> Result<(Candidate, Offer), Refusal> {
        let view = self.store.view();
        let model = criteria.target.split(':').next().unwrap_or_default();
        let mut eligible =
            candidates(&view.state, &view.plan, &self.site, model, criteria.affinity);
        eligible.retain(|c| match criteria.only {
            Some(only) => c.endpoint == *only,
            None => !criteria.exclude.contains(&c.endpoint),
        });
        eligible.retain(|c| !self.vms.is_leaving(&c.endpoint));
        let now = Instant::now();
        {
            let mut health = self.health();
            eligible.retain(|c| health.allow_request(now, &c.endpoint));
        }
        let mut offers: Vec<(Candidate, Offer)> = Vec::new();
        for (batch, chunk) in eligible.chunks(PROBES_PER_BATCH).enumerate() {
            let probes = chunk.iter().enumerate().map(|(i, candidate)| {
                self.probe(criteria, candidate, batch * PROBES_PER_BATCH + i)
            });
            let replies = join_all(probes).await;
            offers.extend(chunk.iter().cloned().zip(replies).filter_map(|(c, o)| Some((c, o?))));
            let probed = (batch + 1) * PROBES_PER_BATCH;
            let short_wait = offers.iter().any(|(_, o)| o.is_good_enough(SHORT_WAIT));
            let enough =
                MAX_PROBES_WITH_OFFER <= probed && offers.iter().any(|(_, o)| o.is_ready());
            if short_wait || enough {
                break;
            }
        }
        let bare_offers: Vec<Offer> = offers.iter().map(|(_, o)| o.clone()).collect();
        let best = best_offer(&bare_offers).map(|o| o.endpoint.clone());
        let selected = offers.into_iter().find(|(c, _)| Some(&c.endpoint) == best.as_ref());
        selected.ok_or_else(|| {
            let text = format!("no endpoint for {:?} admits the request", criteria.target);
            Refusal::new(Code::NoEndpoint, text).retry_after(NO_ENDPOINT_RETRY_AFTER)
        })
    }

    async fn probe(
        &self,
        criteria: &SelectionCriteria<'_>,
        candidate: &Candidate,
        rank: usize,
    ) -> Option<Offer> {
        let request = ProbeRequest {
            revision: self.store.revision(),
            target: criteria.target.to_owned(),
            tenant: criteria.context.tenant.to_string(),
            class: criteria.context.class.to_string(),
            prefix: criteria.affinity,
        };
        count_bytes("probe", "sent", &request);
        let mut client = AgentClient::new(self.channels.to(candidate.agent));
        let reply = time::timeout(PROBE_TIMEOUT, client.probe(request)).await;
        let Ok(Ok(reply)) = reply else {
            self.health().record_failure(Instant::now(), &candidate.endpoint);
            return None;
        };
        let reply = reply.into_inner();
        count_bytes("probe", "received", &reply);
        self.store.note_revision(reply.revision);
        if reply.refusal == Code::Draining.number() {
            self.health().record_draining(Instant::now(), &candidate.endpoint);
        } else {
            self.health().record_success(&candidate.endpoint);
        }
        Some(offer_from_reply(candidate, reply, rank))
    }
}

fn offer_from_reply(candidate: &Candidate, reply: ProbeReply, rank: usize) -> Offer {
    Offer {
        endpoint: candidate.endpoint.clone(),
        distance: candidate.distance,
        admits: reply.refusal == 0,
        expected_wait: Duration::from_millis(reply.expected_wait_ms.into()),
        resident: reply.resident,
        incarnation: reply.incarnation,
        ticket_ms: reply.ticket_ms,
        rank,
    }
}

/// Counts the bytes of a control message in the metrics.
pub(super) fn count_bytes(kind: &'static str, direction: &'static str, message: &impl Message) {
    // A message has a gRPC prefix of 5 bytes and about 40 bytes of compressed headers.
    const OVERHEAD_BYTES: usize = 45;
    let bytes = (message.encoded_len() + OVERHEAD_BYTES) as u64;
    counter!(names::CONTROL_BYTES, "kind" => kind, "direction" => direction).increment(bytes);
}

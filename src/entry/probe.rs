//! Asks agents at the time of the request and takes the best offer.

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
    entry::{caller::Caller, shared::Shared},
    errors::{Code, Refusal},
    rpc::pb::{ProbeReply, ProbeRequest, agent_client::AgentClient},
    telemetry::names,
};

const ASKED_TOGETHER: usize = 2;
// Further endpoints are asked only while none of these could run the request.
const ASKED_AT_MOST: usize = 4;
const PROBE_LIMIT: Duration = Duration::from_millis(150);
// An offer with a longer wait lets further agents be asked.
const GOOD_WAIT: Duration = Duration::from_millis(250);
const RETRY_NO_ENDPOINT: Duration = Duration::from_secs(1);

/// A request, as far as the choice of its endpoint goes.
pub(super) struct Wanted<'a> {
    /// Model, `model:adapter` or `service/NAME`.
    pub(super) target: &'a str,
    pub(super) caller: &'a Caller,
    /// Hash that equal prompts share.
    pub(super) affinity: u64,
    /// Endpoints that are not to be asked.
    pub(super) exclude: &'a [EndpointId],
    /// The only endpoint to be asked, if there is one.
    pub(super) only: Option<&'a EndpointId>,
}

impl<L> Shared<L> {
    /// Chooses an endpoint.
    ///
    /// # Errors
    /// [`Code::NoEndpoint`] when no agent that answers admits the request.
    pub(super) async fn choose(&self, wanted: &Wanted<'_>) -> Result<(Candidate, Offer), Refusal> {
        let view = self.store.view();
        let model = wanted.target.split(':').next().unwrap_or_default();
        let mut all = candidates(&view.state, &view.plan, &self.site, model, wanted.affinity);
        all.retain(|c| match wanted.only {
            Some(only) => c.endpoint == *only,
            None => !wanted.exclude.contains(&c.endpoint),
        });
        all.retain(|c| !self.vms.is_leaving(&c.endpoint));
        let now = Instant::now();
        {
            let mut health = self.health();
            all.retain(|c| health.allow_request(now, &c.endpoint));
        }
        let mut offers: Vec<(Candidate, Offer)> = Vec::new();
        for (batch, chunk) in all.chunks(ASKED_TOGETHER).enumerate() {
            let asked = chunk
                .iter()
                .enumerate()
                .map(|(i, candidate)| self.probe(wanted, candidate, batch * ASKED_TOGETHER + i));
            let found = join_all(asked).await;
            offers.extend(chunk.iter().cloned().zip(found).filter_map(|(c, o)| Some((c, o?))));
            let asked = (batch + 1) * ASKED_TOGETHER;
            let good = offers.iter().any(|(_, o)| o.is_good_enough(GOOD_WAIT));
            let enough = ASKED_AT_MOST <= asked && offers.iter().any(|(_, o)| o.is_ready());
            if good || enough {
                break;
            }
        }
        let only: Vec<Offer> = offers.iter().map(|(_, o)| o.clone()).collect();
        let best = best_offer(&only).map(|o| o.endpoint.clone());
        let chosen = offers.into_iter().find(|(c, _)| Some(&c.endpoint) == best.as_ref());
        chosen.ok_or_else(|| {
            let text = format!("no endpoint for {:?} admits the request", wanted.target);
            Refusal::new(Code::NoEndpoint, text).retry_after(RETRY_NO_ENDPOINT)
        })
    }

    async fn probe(&self, wanted: &Wanted<'_>, to: &Candidate, rank: usize) -> Option<Offer> {
        let request = ProbeRequest {
            revision: self.store.revision(),
            target: wanted.target.to_owned(),
            tenant: wanted.caller.tenant.to_string(),
            class: wanted.caller.class.to_string(),
            prefix: wanted.affinity,
        };
        count_bytes("probe", "sent", &request);
        let mut client = AgentClient::new(self.channels.to(to.agent));
        let answer = time::timeout(PROBE_LIMIT, client.probe(request)).await;
        let Ok(Ok(reply)) = answer else {
            self.health().record_failure(Instant::now(), &to.endpoint);
            return None;
        };
        let reply = reply.into_inner();
        count_bytes("probe", "received", &reply);
        self.store.hint(reply.revision);
        if reply.refusal == Code::Draining.number() {
            self.health().record_draining(Instant::now(), &to.endpoint);
        } else {
            self.health().record_success(&to.endpoint);
        }
        Some(offer(to, reply, rank))
    }
}

fn offer(to: &Candidate, reply: ProbeReply, rank: usize) -> Offer {
    Offer {
        endpoint: to.endpoint.clone(),
        distance: to.distance,
        admits: reply.refusal == 0,
        expected_wait: Duration::from_millis(reply.expected_wait_ms.into()),
        resident: reply.resident,
        incarnation: reply.incarnation,
        ticket_ms: reply.ticket_ms,
        rank,
    }
}

/// Counts the bytes of a control message.
pub(super) fn count_bytes(kind: &'static str, direction: &'static str, message: &impl Message) {
    // Five bytes of frame head and about forty of compressed headers go with each message.
    const HEAD_BYTES: usize = 45;
    let bytes = (message.encoded_len() + HEAD_BYTES) as u64;
    counter!(names::CONTROL_BYTES, "kind" => kind, "direction" => direction).increment(bytes);
}

//! How long requests wait for an endpoint, also for one that limits its rate, and when
//! refused callers may return.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::core::{
    forwarding::{
        Decision, Endpoint, EndpointRegistry, EndpointRests, RefusalReason, RouteKind, Service,
        dispatcher::{Dispatcher, QueuedRequest},
    },
    ids::EndpointId,
    limits::EndpointLimits,
};

/// Longest wait for a free endpoint, as a share of the latency target. It exceeds 1
/// because a late response serves the caller better than none.
const WAIT_SHARE_OF_TARGET: f64 = 1.6;
/// The same for streams, whose callers wait for several targets.
const STREAM_WAIT_SHARE_OF_TARGET: f64 = 2.4;
/// Longest wait of a stream, as a share of the time until its caller leaves.
const STREAM_WAIT_SHARE: f64 = 0.6;
/// How long a request waits for other endpoints than avoided ones, as a share of the latency
/// target.
const AVOIDED_SHARE_OF_TARGET: f64 = 0.25;
/// Time until which a model must be loaded, as a share of the time until the deadline: the rest is
/// needed to serve the request.
const LOADED_SHARE_OF_DEADLINE: f64 = 0.75;
/// Callers that are told to come back once a model is loaded return within this time after that,
/// so that their prompts do not arrive together.
const RETURN_SPREAD: Duration = Duration::from_millis(600);
/// Minimum retry delay reported to a refused caller.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(1200);
/// Longest retry delay reported where endpoints limit their requests or rest.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

impl Dispatcher {
    /// When a request that cannot be sent for this reason is refused.
    pub(super) fn wait_deadline(&self, request: &QueuedRequest, reason: RefusalReason) -> Instant {
        let until_deadline = request.deadline.saturating_duration_since(request.since);
        let max_wait = match (reason, request.kind) {
            (RefusalReason::NotResident, _) => until_deadline.mul_f64(LOADED_SHARE_OF_DEADLINE),
            (RefusalReason::Full, RouteKind::Streaming { .. }) => request
                .target
                .mul_f64(STREAM_WAIT_SHARE_OF_TARGET)
                .min(until_deadline.mul_f64(STREAM_WAIT_SHARE)),
            _ => request.target.mul_f64(WAIT_SHARE_OF_TARGET).min(until_deadline / 2),
        };
        let until = request.since + max_wait;
        self.max_wait_until.map_or(until, |last| until.min(last))
    }

    /// From when a request is sent to an endpoint that is avoided, if all others are full.
    pub(super) fn avoided_from(&self, request: &QueuedRequest) -> Instant {
        let from = request.since + request.target.mul_f64(AVOIDED_SHARE_OF_TARGET);
        from.min(self.wait_deadline(request, RefusalReason::Full))
    }

    /// Delay after which a refused caller may return.
    pub(super) fn retry_after(&mut self) -> Duration {
        MIN_RETRY_AFTER.mul_f64(1.0 + self.rng.f64())
    }

    /// Time until a model that no endpoint has loaded can serve the request.
    pub(super) fn time_until_loaded(
        &mut self,
        now: Instant,
        registry: &EndpointRegistry,
        service: &Service,
        request: &QueuedRequest,
    ) -> Option<Duration> {
        let model = request.requirements.model.as_ref()?;
        let spec = service.engine.as_ref()?.models.get(model)?;
        let in_service =
            registry.iter().filter(|e| e.registration.service == request.service && e.is_usable());
        let endpoints: Vec<&Endpoint> = in_service.collect();
        Some(self.model_loads.time_until_loaded(now, model, spec, &endpoints))
    }

    /// The refusal of a request whose model is loaded this much later, too late for it.
    pub(super) fn refuse_not_resident(&mut self, until_loaded: Duration) -> Decision {
        let delay = until_loaded.max(MIN_RETRY_AFTER) + RETURN_SPREAD.mul_f64(self.rng.f64());
        Decision::Refuse(RefusalReason::NotResident, delay)
    }

    /// The request rates that endpoints name.
    pub fn limits(&self) -> &EndpointLimits {
        &self.limits
    }

    /// The same, to record what endpoints and other processes say.
    pub fn limits_mut(&mut self) -> &mut EndpointLimits {
        &mut self.limits
    }

    /// Whether other processes have to be told of [`Self::limits`] since the last call.
    pub fn take_limits_changed(&mut self) -> bool {
        std::mem::take(&mut self.limits_changed)
    }

    /// Queues a request for the first of these endpoints that takes one more, and returns the
    /// time until then. `queued` counts the more urgent requests for each.
    pub(super) fn wait_for_limit(
        &mut self,
        now: Instant,
        limited: Vec<EndpointId>,
        queued: &mut HashMap<EndpointId, usize>,
    ) -> Option<Duration> {
        let waits = limited.into_iter().map(|endpoint| {
            let ahead = queued.get(&endpoint).copied().unwrap_or(0);
            (self.limits.wait(now, &endpoint, ahead), endpoint)
        });
        let (wait, endpoint) = waits.min()?;
        self.limits_changed |= self.limits.want(now, &endpoint);
        *queued.entry(endpoint).or_default() += 1;
        Some(wait)
    }

    /// The rests that endpoints ask for.
    pub fn rests(&self) -> &EndpointRests {
        &self.rests
    }

    /// The same, to record what endpoints say.
    pub fn rests_mut(&mut self) -> &mut EndpointRests {
        &mut self.rests
    }

    /// Time until the first of these endpoints has rested.
    pub(super) fn rest(&self, now: Instant, resting: &[EndpointId]) -> Duration {
        let waits = resting.iter().map(|endpoint| self.rests.wait(now, endpoint));
        waits.min().unwrap_or_default()
    }

    /// The refusal of a request for which only endpoints that rest are left.
    pub(super) fn refuse_resting(&mut self, now: Instant, resting: &[EndpointId]) -> Decision {
        self.rests.record_refusal(resting);
        let rest = self.rest(now, resting).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Decision::Refuse(RefusalReason::Resting, rest.mul_f64(1.0 + self.rng.f64() / 2.0))
    }

    /// The refusal of a request that may be sent after this time.
    pub(super) fn refuse_limited(&mut self, wait: Duration) -> Decision {
        let delay = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER).mul_f64(1.0 + self.rng.f64());
        Decision::Refuse(RefusalReason::Limited, delay)
    }
}

//! What callers send in a schedule.

use std::sync::Arc;

use goldcrestpitch::core::ids::{Fingerprint, SegmentId};

use crate::fleet::Limits;

/// Set of the causes of crashes that a request contains, one bit each.
pub type Causes = u8;

/// A request, as a gateway sees it.
#[derive(Clone, Debug)]
pub struct Request {
    pub fingerprint: Fingerprint,
    /// All segments of the prompt but the last.
    pub segments: Arc<[SegmentId]>,
    /// Why it ends its endpoint, as decided when it is sent; 0 for a sound request.
    pub causes: Causes,
    /// When it is no longer sent; set when it arrives.
    pub expires_at: u64,
    /// Index in the outcome's list of first attempts.
    pub attempt: Option<usize>,
}

impl Request {
    pub fn is_sound(&self) -> bool {
        self.causes == 0
    }
}

/// A request that is sent again after its endpoint crashed.
#[derive(Debug)]
pub enum Repeat {
    /// By the same gateway.
    Gateway { delay_ms: u64, request: Request },
    /// By the caller, to any gateway.
    Caller { delay_ms: u64, request: Request },
}

/// How a run proceeds, in milliseconds after its start.
#[derive(Clone, Copy, Debug)]
pub struct Course {
    /// When the gateway gets the first data, if it gets any.
    pub data_after: Option<u64>,
    /// When the run is complete, or ends its endpoint.
    pub end_after: u64,
    /// Whether the end of the connection is the only sign that the response is complete.
    pub ends_with_connection: bool,
}

/// A fault at a set time.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// Endpoints crash at once, for a reason of their own, and are down for so long.
    CrashEndpoints { count: usize, down_ms: u64 },
    /// All gateways are killed and start again.
    KillGateways,
}

/// The callers of a schedule.
pub trait Workload {
    const LIMITS: Limits;

    /// Draws the schedule's parameters.
    fn new(rng: &mut fastrand::Rng) -> Self;

    /// Number of independent streams of requests.
    fn streams(&self) -> usize;

    /// The request that a stream sends within a step, if any.
    fn arrival(&mut self, rng: &mut fastrand::Rng, now: u64, stream: usize) -> Option<Request>;

    /// Why a request that is sent now ends its endpoint.
    fn causes(&self, request: &Request, now: u64) -> Causes;

    fn course(&self, rng: &mut fastrand::Rng, request: &Request) -> Course;

    /// What follows when the endpoint of a run has crashed.
    fn repeats(&mut self, rng: &mut fastrand::Rng, request: &Request) -> Vec<Repeat>;

    /// Number of gateways that callers use, if there are so many.
    fn used_gateways(&self) -> usize {
        usize::MAX
    }

    /// A fault that is due now.
    fn fault(&self, _now: u64) -> Option<Fault> {
        None
    }

    /// Segments that a gateway passes to its gate.
    fn passed_segments<'a>(&self, request: &'a Request) -> &'a [SegmentId] {
        &request.segments
    }
}

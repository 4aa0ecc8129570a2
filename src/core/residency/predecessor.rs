//! Orders that earlier processes of an agent may have sent.
//!
//! An agent that has just started does not know of them. One that was sent to an earlier start of
//! the engine may be carried out by a later one under the same id, when that has accepted as many
//! orders as the earlier one had.

use std::time::{Duration, Instant};

use crate::core::ids::EndpointId;

/// How long an order without an answer may still be carried out. The platform's rules say
/// seconds.
pub(super) const LATE_ORDER_LIFETIME: Duration = Duration::from_secs(30);

/// A start of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineStart {
    /// Id of the engine.
    pub id: EndpointId,
    /// Its start in Unix milliseconds, by its own clock; 0 if it does not tell it.
    pub started_ms: u64,
}

/// What is known of the processes before this one.
#[derive(Clone, Debug)]
pub(super) struct Predecessor {
    // When this process started: they sent nothing after that.
    started_at: Instant,
    // The starts to which they sent orders; none if that is not known.
    starts: Option<Vec<EngineStart>>,
}

impl Predecessor {
    pub(super) fn new(started_at: Instant) -> Self {
        Self { started_at, starts: None }
    }

    pub(super) fn set_starts(&mut self, starts: Vec<EngineStart>) {
        self.starts = Some(starts);
    }

    /// The starts to which an order may still be under way; none if that is not known.
    pub(super) fn starts(&self, now: Instant) -> Option<Vec<EngineStart>> {
        if self.is_recent(now) { self.starts.clone() } else { Some(Vec::new()) }
    }

    /// Whether an order to an earlier start of this engine may still arrive. The engine is none if
    /// no gateway has named it.
    pub(super) fn may_have_sent(&self, now: Instant, current: Option<&EngineStart>) -> bool {
        let is_earlier = |start: &EngineStart| match current {
            // Starts that the engine does not tell, 0, can't be told apart.
            Some(current) => start.id == current.id && (start != current || start.started_ms == 0),
            None => true,
        };
        self.is_recent(now) && self.starts.as_ref().is_none_or(|s| s.iter().any(is_earlier))
    }

    fn is_recent(&self, now: Instant) -> bool {
        now < self.started_at + LATE_ORDER_LIFETIME
    }
}

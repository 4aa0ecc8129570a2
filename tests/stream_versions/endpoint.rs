//! Endpoints that crash, are started again and are replaced.

use goldcrestpitch::core::forwarding::{EndpointState, Registration, Residency};

/// Longest time for which an endpoint that drains still serves.
const DRAIN_MS: u64 = 3_000;

#[derive(Clone, Debug)]
pub struct Endpoint {
    pub id: usize,
    pub version: u64,
    /// Start in milliseconds of the schedule, never 0.
    pub started: u64,
    pub is_up: bool,
    /// When it is started again, after a crash.
    pub starts_at: Option<u64>,
    pub leaves_at: Option<u64>,
    pub draining: bool,
    pub next_heartbeat: u64,
}

impl Endpoint {
    pub fn new(id: usize, version: u64, now: u64) -> Self {
        Self {
            id,
            version,
            started: now + 1,
            is_up: true,
            starts_at: None,
            leaves_at: None,
            draining: false,
            next_heartbeat: now,
        }
    }

    pub fn crash(&mut self, starts_at: u64, version: u64) {
        self.is_up = false;
        self.starts_at = Some(starts_at);
        self.version = version;
    }

    pub fn drain(&mut self, now: u64) {
        self.draining = true;
        self.leaves_at = Some(now + DRAIN_MS);
        self.next_heartbeat = now;
    }

    pub fn serves(&self) -> bool {
        self.is_up && !self.draining
    }

    pub fn registration(&self) -> Registration {
        Registration {
            id: format!("i-{}", self.id).as_str().into(),
            service: "llm".into(),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: "a".into(),
            version: Some(format!("v{}", self.version).as_str().into()),
            state: if self.draining { EndpointState::Draining } else { EndpointState::Ready },
            slots: 64,
            started_ms: self.started,
            order_seq: 0,
            residency: Residency::default(),
        }
    }
}

//! A gateway: what it knows of endpoints, streams and other gateways.

use std::{
    collections::{HashMap, HashSet},
    time::Instant,
};

use goldcrestpitch::core::{
    forwarding::EndpointRegistry,
    ids::StreamId,
    limits::ProcessId,
    resumption::{Lookups, OriginReport, ServiceVersions, StreamOrigins},
};

/// A gateway without a message for this long is not taken to be live.
const PEER_TIMEOUT_MS: u64 = 2_000;

#[derive(Clone, Debug)]
pub enum Message {
    Status,
    Known(Vec<OriginReport>),
    Unknown(StreamId),
    Asked(StreamId),
}

#[derive(Debug)]
pub struct Gateway {
    pub id: ProcessId,
    pub registry: EndpointRegistry,
    pub origins: StreamOrigins,
    pub lookups: Lookups,
    pub versions: ServiceVersions,
    pub heard: HashMap<ProcessId, u64>,
    pub newcomers: HashSet<ProcessId>,
    /// Records of the store read so far.
    pub read: usize,
    pub next_poll: u64,
    pub next_broadcast: u64,
    /// Endpoints to check for a restart: id, start, next check, last check.
    pub checks: Vec<(usize, u64, u64, u64)>,
    pub inbox: Vec<(u64, ProcessId, Message)>,
    pub down_until: u64,
    /// Streams in progress are cut off at the end of a planned stop.
    pub stops_at: Option<u64>,
    pub frozen_until: u64,
    pub started: u64,
}

impl Gateway {
    pub fn new(id: ProcessId, now: u64) -> Self {
        Self {
            id,
            registry: EndpointRegistry::default(),
            origins: StreamOrigins::default(),
            lookups: Lookups::default(),
            versions: ServiceVersions::default(),
            heard: HashMap::new(),
            newcomers: HashSet::new(),
            read: 0,
            next_poll: now,
            next_broadcast: now,
            checks: Vec::new(),
            inbox: Vec::new(),
            down_until: 0,
            stops_at: None,
            frozen_until: 0,
            started: now,
        }
    }

    pub fn runs(&self, now: u64) -> bool {
        self.down_until <= now && self.frozen_until <= now
    }

    /// The other gateways that it takes to be live, or all shortly after its start.
    pub fn live(&self, now: u64, all: &[ProcessId]) -> Vec<ProcessId> {
        let is_young = now < self.started + PEER_TIMEOUT_MS;
        let is_live =
            |id: &ProcessId| self.heard.get(id).is_some_and(|at| now < at + PEER_TIMEOUT_MS);
        let others = all.iter().copied().filter(|id| *id != self.id);
        others.filter(|id| is_young || is_live(id)).collect()
    }

    /// Handles a message and returns the answers.
    pub fn receive(
        &mut self,
        now: u64,
        at: Instant,
        from: ProcessId,
        message: Message,
    ) -> Vec<Message> {
        match message {
            Message::Status => {
                let last = self.heard.insert(from, now);
                if last.is_none_or(|last| last + PEER_TIMEOUT_MS <= now) {
                    self.newcomers.insert(from);
                }
            }
            Message::Known(reports) => {
                for report in reports {
                    self.origins.merge(at, report);
                }
            }
            Message::Unknown(stream) => self.lookups.record_denial(stream, from),
            Message::Asked(stream) => {
                return vec![match self.origins.report(at, stream) {
                    Some(report) => Message::Known(vec![report]),
                    None => Message::Unknown(stream),
                }];
            }
        }
        Vec::new()
    }

    /// Checks an endpoint soon, unless that is in progress.
    pub fn check_restart(&mut self, now: u64, endpoint: usize, started: u64) {
        if !self.checks.iter().any(|(e, s, ..)| (*e, *s) == (endpoint, started)) {
            self.checks.push((endpoint, started, now + 100, now + 4_000));
        }
    }
}

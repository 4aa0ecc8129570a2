//! The gateways that share the quotas, and the accrual that each of them stands for.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::core::limits::{
    ProcessId,
    shared_quota::{AccountName, StartId},
};

/// How far the part of a gateway accrues beyond its last report. Gateways that no longer hear each
/// other accrue the same part for so long: at 4.2 times the rate this is 0.8 s of the rate, within
/// the margin of 0.9 s that the bound leaves.
pub(super) const ADVANCE: Duration = Duration::from_millis(250);
/// A gateway that is silent for so long is taken for unreachable: it keeps its part of the level.
/// Three reports in a row were lost then.
pub(super) const UNREACHABLE_AFTER: Duration = Duration::from_millis(1200);
/// A silent gateway keeps its part of the rates for so long: it may run on the other side of a
/// partition.
const FORGET_AFTER: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) start: StartId,
    pub(super) sequence: u64,
    /// When it was first heard from after its start or a silence.
    pub(super) since: Instant,
    pub(super) last_heard: Instant,
    pub(super) is_reachable: bool,
    /// Charges by account, as last reported. Empty while it is unreachable.
    pub(super) charged: HashMap<AccountName, f64>,
    told_gateways: usize,
    accrued_to: Instant,
}

/// What is new about the sender of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Heard {
    /// The report is not newer than one that is known.
    Old,
    /// The gateway was reachable before.
    Again,
    /// The gateway has started, or was unreachable.
    New,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Fleet {
    pub(super) peers: HashMap<ProcessId, Peer>,
    known: usize,
    // Gateways of which this one or a reachable one knows, and the other reachable ones.
    size: usize,
    reachable: usize,
    accrued_to: Option<Instant>,
    credit: f64,
}

impl Fleet {
    /// Gateways among which the rates are divided, this one included.
    pub(super) fn size(&self) -> usize {
        self.size.max(self.known).max(1)
    }

    /// Gateways that hear each other, this one included.
    pub(super) fn reachable(&self) -> usize {
        1 + self.reachable
    }

    /// The part of each burst that these gateways may use.
    pub(super) fn part(&self) -> f64 {
        self.reachable() as f64 / self.size() as f64
    }

    pub(super) fn set_known(&mut self, known: usize) {
        self.known = known;
    }

    /// Counts the gateways after a change.
    fn recount(&mut self) {
        let reachable = self.peers.values().filter(|p| p.is_reachable);
        let told = reachable.clone().map(|p| p.told_gateways).max().unwrap_or(1);
        self.reachable = reachable.count();
        self.size = told.max(self.peers.len() + 1);
    }

    /// Accrual time of the whole fleet, in seconds, as far as gateways were heard from.
    pub(super) fn accrue(&mut self, now: Instant) -> f64 {
        let count = self.peers.len();
        self.peers.retain(|_, p| now < p.last_heard + FORGET_AFTER);
        if self.peers.len() < count {
            self.recount();
        }
        let size = self.size() as f64;
        let own = self.accrued_to.unwrap_or(now);
        let mut seconds = now.saturating_duration_since(own).as_secs_f64();
        self.accrued_to = Some(now.max(own));
        for peer in self.peers.values_mut().filter(|p| p.is_reachable) {
            let to = now.min(peer.last_heard + ADVANCE);
            seconds += to.saturating_duration_since(peer.accrued_to).as_secs_f64();
            peer.accrued_to = peer.accrued_to.max(to);
        }
        self.credit += seconds / size;
        self.credit
    }

    /// Gateways that are to be taken for unreachable, with the time of their last report.
    pub(super) fn silent(&self, now: Instant, limit: Duration) -> Vec<(ProcessId, Instant)> {
        let silent = self.peers.iter().filter(|(_, p)| p.is_reachable);
        let silent = silent.filter(|(_, p)| p.last_heard + limit <= now);
        silent.map(|(id, p)| (*id, p.last_heard)).collect()
    }

    pub(super) fn mark_unreachable(&mut self, process: ProcessId) {
        if let Some(peer) = self.peers.get_mut(&process) {
            peer.is_reachable = false;
            peer.charged = HashMap::new();
        }
        self.recount();
    }

    /// Notes a report of a gateway.
    pub(super) fn hear(
        &mut self,
        now: Instant,
        process: ProcessId,
        start: StartId,
        sequence: u64,
        gateways: usize,
    ) -> Heard {
        let known = self.peers.get_mut(&process);
        if let Some(peer) = known {
            // A clock that was set back may give a later start a lower number.
            let is_restart = peer.start != start && !peer.is_reachable;
            if !is_restart && (start, sequence) < (peer.start, peer.sequence) {
                return Heard::Old;
            }
            let again = peer.start == start && peer.is_reachable;
            let is_same = again && peer.told_gateways == gateways;
            (peer.start, peer.sequence, peer.told_gateways) = (start, sequence, gateways);
            peer.last_heard = now;
            if again {
                if !is_same {
                    self.recount();
                }
                return Heard::Again;
            }
            (peer.since, peer.accrued_to, peer.is_reachable) = (now, now, true);
            peer.charged = HashMap::new();
            self.recount();
            return Heard::New;
        }
        let peer = Peer {
            start,
            sequence,
            since: now,
            last_heard: now,
            is_reachable: true,
            charged: HashMap::new(),
            told_gateways: gateways,
            accrued_to: now,
        };
        self.peers.insert(process, peer);
        self.recount();
        Heard::New
    }
}

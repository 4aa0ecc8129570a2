//! One gateway of the fleet with its runs, checks and messages, and the troubles that may
//! disturb it.

use std::collections::{BTreeMap, HashMap};

use goldcrestpitch::core::quarantine::{CrashReport, RunGate, RunId};

use crate::{LIMIT, SEGMENT_LIMIT, workload::Request};

/// What may happen in a schedule.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trouble {
    pub stops: bool,
    pub freezes: bool,
    pub cuts: bool,
    pub loss: f64,
    pub other_crashes: bool,
}

#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    pub start: u64,
    pub down_until: u64,
}

#[derive(Clone, Debug)]
pub struct Run {
    pub id: RunId,
    pub request: Request,
    pub endpoint: usize,
    pub start: u64,
    // When the gateway gets the first data.
    pub data_at: Option<u64>,
    // When the run ends: by a crash of the endpoint for a crashing request.
    pub end_at: u64,
    pub ends_with_connection: bool,
    pub responded: bool,
}

#[derive(Clone, Debug)]
pub struct Check {
    pub endpoint: usize,
    pub start: u64,
    // The connection attempt begins, and later its result is known.
    pub connect_at: u64,
    pub result_at: u64,
    pub checked: Option<(Vec<RunId>, bool)>,
}

pub struct Gateway {
    pub gate: RunGate,
    pub runs: Vec<Run>,
    pub checks: BTreeMap<u64, Check>,
    pub inbox: Vec<(u64, CrashReport)>,
    /// Claims of other gateways that are on their way: arrival, sender, suspects.
    pub claims_inbox: Vec<(u64, usize, Vec<u64>)>,
    /// The last claims of each other gateway, and when they arrived.
    pub claims: HashMap<usize, (u64, Vec<u64>)>,
    pub restarts: Vec<(u64, usize, u64)>,
    pub stopped_until: u64,
    pub frozen_until: u64,
    pub cut_until: u64,
    pub disturbed_until: u64,
    pub next_broadcast: u64,
    pub next_expiry: u64,
    // End of the last silence of more than two seconds.
    pub silent_until: u64,
}

impl Gateway {
    pub fn new() -> Self {
        Self {
            gate: RunGate::new(LIMIT, SEGMENT_LIMIT),
            runs: Vec::new(),
            checks: BTreeMap::new(),
            inbox: Vec::new(),
            claims_inbox: Vec::new(),
            claims: HashMap::new(),
            restarts: Vec::new(),
            stopped_until: 0,
            frozen_until: 0,
            cut_until: 0,
            disturbed_until: 0,
            next_broadcast: 0,
            next_expiry: 0,
            silent_until: 0,
        }
    }

    pub fn runs_now(&self, now: u64) -> bool {
        self.stopped_until <= now && self.frozen_until <= now
    }

    pub fn is_connected(&self, now: u64) -> bool {
        self.stopped_until <= now && self.cut_until <= now
    }
}

pub fn random_trouble(seed: u64) -> Trouble {
    let mut rng = fastrand::Rng::with_seed(!seed);
    let mut trouble = Trouble {
        stops: rng.bool(),
        freezes: rng.bool(),
        cuts: rng.bool(),
        loss: 0.0,
        other_crashes: rng.bool(),
    };
    if rng.bool() {
        trouble.loss = rng.f64() * 0.3;
    }
    trouble
}

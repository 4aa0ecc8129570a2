//! Draws what callers send in a schedule with segments that crash endpoints.

use std::ops::Range;

use goldcrestpitch::core::ids::SegmentId;

use crate::workload::Causes;

pub const FIRST_SEGMENTS: usize = 3;
/// Time at which the first crashing request may come. Sound requests come before.
const CALM_UNTIL_MS: Range<u64> = 5_000..8_000;

/// Where the segments are that crash endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// One in the middle of prompts.
    Middle,
    /// Two in the middle that always come together.
    Together,
    /// Two in the middle, each in its own requests.
    Two,
    /// One in the middle, and a first segment that no sound request has.
    MiddleAndFirst,
    /// A first segment that no sound request has.
    NewFirst,
    /// A first segment that sound requests had until then.
    TurnedFirst,
}

/// Requests that crash their endpoints for one cause.
#[derive(Clone, Debug)]
pub struct Bad {
    pub cause: Causes,
    pub segments: Vec<SegmentId>,
    /// Whether the first of them is the first of the prompt.
    pub is_first: bool,
    /// First segment of the prompts; any if None.
    pub first: Option<usize>,
    pub per_s: f64,
    pub from: u64,
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub kind: Kind,
    pub firsts: [SegmentId; FIRST_SEGMENTS],
    pub seconds: Vec<SegmentId>,
    /// Powers that skew the popularity of segments.
    pub first_skew: f64,
    pub second_skew: f64,
    pub sound_per_s: f64,
    pub bad: Vec<Bad>,
    /// Index and time of the first segment that crashes endpoints from then on.
    pub turned: Option<(usize, u64)>,
    /// Share of the crashing runs whose gateway gets data before the crash.
    pub data_first: f64,
    /// Share of the responses that end with their connection.
    pub ends_with_connection: f64,
    /// Share of the requests that gateways send again after a crash.
    pub gateway_repeats: f64,
    /// Share of the other callers that come again.
    pub caller_repeats: f64,
    /// Share of the requests with a segment that no other has.
    pub unique: f64,
}

impl Kind {
    /// Whether a first segment is itself a cause.
    pub fn has_bad_first(self) -> bool {
        matches!(self, Self::MiddleAndFirst | Self::NewFirst | Self::TurnedFirst)
    }
}

impl Plan {
    pub fn new(rng: &mut fastrand::Rng) -> Self {
        let kind = random_kind(rng);
        let from = rng.u64(CALM_UNTIL_MS);
        let mut plan = Self {
            kind,
            firsts: [0; FIRST_SEGMENTS].map(|_| rng.u64(..)),
            seconds: (0..rng.usize(24..=60)).map(|_| rng.u64(..)).collect(),
            first_skew: 1.0 + rng.f64(),
            second_skew: 1.0 + 2.0 * rng.f64(),
            sound_per_s: rng.f64() * 45.0 + 15.0,
            bad: Vec::new(),
            turned: None,
            data_first: [0.0, 0.5, 1.0][rng.usize(..3)],
            ends_with_connection: [0.0, 0.3][rng.usize(..2)],
            gateway_repeats: [0.0, 0.7][rng.usize(..2)],
            caller_repeats: rng.f64(),
            unique: rng.f64(),
        };
        match kind {
            Kind::Middle => plan.add_bad(rng, from, 1, false),
            Kind::Together => plan.add_bad(rng, from, 2, false),
            Kind::NewFirst => plan.add_bad(rng, from, 1, true),
            Kind::TurnedFirst => plan.turned = Some((rng.usize(..FIRST_SEGMENTS), from)),
            Kind::Two | Kind::MiddleAndFirst => {
                plan.add_bad(rng, from, 1, false);
                let later = from + rng.u64(..3_000);
                plan.add_bad(rng, later, 1, kind == Kind::MiddleAndFirst);
            }
        }
        plan
    }

    /// All causes of crashes.
    pub fn causes(&self) -> Vec<Causes> {
        match self.turned {
            Some(_) => vec![1],
            None => self.bad.iter().map(|b| b.cause).collect(),
        }
    }

    /// First segments that sound requests share with crashing ones.
    pub fn shared_firsts(&self) -> Vec<SegmentId> {
        let shared = |index| self.bad.iter().any(|b| b.shares(index));
        (0..FIRST_SEGMENTS).filter(|i| shared(*i)).map(|i| self.firsts[i]).collect()
    }

    pub fn first_index(&self, rng: &mut fastrand::Rng) -> usize {
        (rng.f64().powf(self.first_skew) * FIRST_SEGMENTS as f64) as usize
    }

    pub fn second(&self, rng: &mut fastrand::Rng) -> SegmentId {
        self.seconds[(rng.f64().powf(self.second_skew) * self.seconds.len() as f64) as usize]
    }

    fn add_bad(&mut self, rng: &mut fastrand::Rng, from: u64, segments: usize, is_first: bool) {
        let first = if rng.bool() { Some(self.first_index(rng)) } else { None };
        self.bad.push(Bad {
            cause: 1 << self.bad.len(),
            segments: (0..segments).map(|_| rng.u64(..)).collect(),
            is_first,
            first,
            per_s: rng.f64() * 8.0 + 0.5,
            from,
        });
    }
}

impl Bad {
    fn shares(&self, first: usize) -> bool {
        !self.is_first && self.first.is_none_or(|f| f == first)
    }
}

fn random_kind(rng: &mut fastrand::Rng) -> Kind {
    match rng.u32(..10) {
        0..4 => Kind::Middle,
        4 | 5 => Kind::Together,
        6 => Kind::Two,
        7 => Kind::MiddleAndFirst,
        8 => Kind::NewFirst,
        _ => Kind::TurnedFirst,
    }
}

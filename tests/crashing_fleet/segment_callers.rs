//! Callers whose requests share segments, of which one or two crash endpoints.

use goldcrestpitch::core::ids::SegmentId;

use crate::{
    fleet::{Limits, happens},
    segment_plan::{Bad, Plan},
    workload::{Causes, Course, Repeat, Request, Workload},
};

/// Segments that gateways pass to their gates, to show that the checks can fail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Passed {
    #[default]
    All,
    None,
    First,
}

#[derive(Debug)]
pub struct SegmentCallers {
    pub plan: Plan,
    pub passed: Passed,
    next_request: u64,
}

impl SegmentCallers {
    fn request(&mut self, segments: Vec<SegmentId>) -> Request {
        self.next_request += 1;
        let fingerprint = self.next_request;
        Request { fingerprint, segments: segments.into(), causes: 0, expires_at: 0, attempt: None }
    }

    fn sound(&mut self, rng: &mut fastrand::Rng) -> Request {
        let mut segments = vec![self.plan.firsts[self.plan.first_index(rng)]];
        self.add_others(rng, &mut segments);
        self.request(segments)
    }

    fn bad(&mut self, rng: &mut fastrand::Rng, bad: &Bad) -> Request {
        let mut segments = Vec::new();
        if !bad.is_first {
            let first = bad.first.unwrap_or_else(|| self.plan.first_index(rng));
            segments.push(self.plan.firsts[first]);
        }
        self.add_others(rng, &mut segments);
        for segment in &bad.segments {
            let places = if bad.is_first { 0..=0 } else { 1..=segments.len() };
            segments.insert(rng.usize(places), *segment);
        }
        self.request(segments)
    }

    fn add_others(&mut self, rng: &mut fastrand::Rng, segments: &mut Vec<SegmentId>) {
        for _ in 0..rng.usize(0..=3) {
            let segment = self.plan.second(rng);
            if !segments.contains(&segment) {
                segments.push(segment);
            }
        }
        if rng.f64() < self.plan.unique {
            segments.push(rng.u64(..));
        }
    }
}

impl Workload for SegmentCallers {
    const LIMITS: Limits = Limits {
        length_ms: 30_000,
        max_endpoints: 18,
        // 12 datagrams of 9 reports.
        max_reports: 108,
        permit_interval_ms: 50,
        time_budget_ms: 5_000,
        followed_crashes: 0.3,
    };

    fn new(rng: &mut fastrand::Rng) -> Self {
        Self { plan: Plan::new(rng), passed: Passed::All, next_request: 1000 }
    }

    fn streams(&self) -> usize {
        1 + self.plan.bad.len()
    }

    fn arrival(&mut self, rng: &mut fastrand::Rng, now: u64, stream: usize) -> Option<Request> {
        let Some(index) = stream.checked_sub(1) else {
            return happens(rng, self.plan.sound_per_s).then(|| self.sound(rng));
        };
        let (from, per_s) = (self.plan.bad[index].from, self.plan.bad[index].per_s);
        if now < from || !happens(rng, per_s) {
            return None;
        }
        let bad = self.plan.bad[index].clone();
        Some(self.bad(rng, &bad))
    }

    fn causes(&self, request: &Request, now: u64) -> Causes {
        let mut causes = 0;
        for bad in &self.plan.bad {
            if bad.segments.iter().any(|s| request.segments.contains(s)) {
                causes |= bad.cause;
            }
        }
        if let Some((first, from)) = self.plan.turned
            && from <= now
            && request.segments.first() == Some(&self.plan.firsts[first])
        {
            causes |= 1;
        }
        causes
    }

    fn course(&self, rng: &mut fastrand::Rng, request: &Request) -> Course {
        // Earlier than the check of an endpoint that crashed meanwhile.
        let written_after = rng.u64(10..100);
        let ends_with_connection = rng.f64() < self.plan.ends_with_connection;
        if request.is_sound() {
            let is_long = rng.u32(..10) == 0;
            let length = rng.u64(if is_long { 2_500..8_000 } else { 200..2_500 });
            let (data_after, end_after) = (Some(written_after), written_after + length);
            return Course { data_after, end_after, ends_with_connection };
        }
        let has_data = rng.f64() < self.plan.data_first;
        let data_after = has_data.then_some(written_after);
        let length = if has_data { 10..200 } else { 0..20 };
        let end_after = written_after + rng.u64(length);
        Course { data_after, end_after, ends_with_connection }
    }

    /// The gateway sends the request again, or its caller comes with a new one.
    fn repeats(&mut self, rng: &mut fastrand::Rng, request: &Request) -> Vec<Repeat> {
        if rng.f64() < self.plan.gateway_repeats {
            return vec![Repeat::Gateway { delay_ms: 0, request: request.clone() }];
        }
        if self.plan.caller_repeats < rng.f64() {
            return Vec::new();
        }
        let delay_ms = rng.u64(300..1_500);
        let request = self.request(request.segments.to_vec());
        vec![Repeat::Caller { delay_ms, request }]
    }

    fn passed_segments<'a>(&self, request: &'a Request) -> &'a [SegmentId] {
        match self.passed {
            Passed::All => &request.segments,
            Passed::None => &[],
            Passed::First => request.segments.get(..1).unwrap_or_default(),
        }
    }
}

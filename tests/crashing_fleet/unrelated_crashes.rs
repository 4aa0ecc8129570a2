//! Many endpoints crash at once for a reason of their own, under requests of one application
//! whose prompts share one or more segments.

use goldcrestpitch::core::ids::SegmentId;

use crate::{
    fleet::{Fleet, Limits, happens},
    gateway::Trouble,
    outcome::Outcome,
    parallel::play_all,
    workload::{Causes, Course, Fault, Repeat, Request, Workload},
};

const SCHEDULES: u64 = 2_000;
/// From the end of the fault until requests are served again, by the platform's rules.
const RECOVER_MS: u64 = 12_000;
/// How long the gateways are down after they were killed, at most.
const RESTART_MS: u64 = 1_000;

/// All requests are sound.
#[derive(Debug)]
struct Application {
    shared: Vec<SegmentId>,
    per_s: f64,
    next_request: u64,
    // Gateways that callers use.
    gateways: usize,
    crash_at: u64,
    crashing: usize,
    down_ms: u64,
    kill_at: Option<u64>,
}

impl Application {
    /// When all endpoints and gateways run again.
    fn back_at(&self) -> u64 {
        let gateways_back_at = self.kill_at.map_or(0, |at| at + RESTART_MS);
        gateways_back_at.max(self.crash_at + self.down_ms)
    }
}

impl Workload for Application {
    const LIMITS: Limits = Limits {
        length_ms: 40_000,
        max_endpoints: 18,
        max_reports: 108,
        permit_interval_ms: 50,
        time_budget_ms: 8_000,
        followed_crashes: 0.0,
    };

    fn new(rng: &mut fastrand::Rng) -> Self {
        let crash_at = 10 * rng.u64(600..900);
        let kill_at = rng.bool().then(|| crash_at + 10 * rng.u64(20..500));
        Self {
            shared: (0..rng.usize(1..=4)).map(|_| rng.u64(..)).collect(),
            per_s: 4.0 + rng.f64() * 40.0,
            next_request: 1000,
            gateways: rng.usize(1..=5),
            crash_at,
            // Mostly all that have the application's model.
            crashing: if rng.u32(..4) == 0 { rng.usize(2..=10) } else { usize::MAX },
            down_ms: rng.u64(1_000..8_000),
            kill_at,
        }
    }

    fn streams(&self) -> usize {
        1
    }

    fn arrival(&mut self, rng: &mut fastrand::Rng, _now: u64, _stream: usize) -> Option<Request> {
        happens(rng, self.per_s).then(|| {
            self.next_request += 1;
            let (fingerprint, segments) = (self.next_request, self.shared.as_slice().into());
            Request { fingerprint, segments, causes: 0, expires_at: 0, attempt: None }
        })
    }

    fn causes(&self, _request: &Request, _now: u64) -> Causes {
        0
    }

    fn course(&self, rng: &mut fastrand::Rng, _request: &Request) -> Course {
        let data_after = rng.u64(50..800);
        let end_after = data_after + rng.u64(200..3_000);
        Course { data_after: Some(data_after), end_after, ends_with_connection: false }
    }

    fn repeats(&mut self, rng: &mut fastrand::Rng, request: &Request) -> Vec<Repeat> {
        vec![Repeat::Caller { delay_ms: rng.u64(100..1_500), request: request.clone() }]
    }

    fn used_gateways(&self) -> usize {
        self.gateways
    }

    fn fault(&self, now: u64) -> Option<Fault> {
        if now == self.crash_at {
            return Some(Fault::CrashEndpoints { count: self.crashing, down_ms: self.down_ms });
        }
        (Some(now) == self.kill_at).then_some(Fault::KillGateways)
    }
}

fn play(seed: u64) -> (Outcome, Application) {
    Fleet::<Application>::new(seed, Trouble::default()).play()
}

/// A blamed segment was refused for good where it never came alone, and where no caller used the
/// gateway that owned it.
#[test]
fn application_is_served_again_after_crashes_that_it_did_not_cause() {
    println!("seeds 0..{SCHEDULES}");
    let refused_later = |seed| {
        let (outcome, application) = play(seed);
        let from = application.back_at() + RECOVER_MS;
        let mut later = outcome.attempts.iter().filter(|a| from < a.at);
        let refused_before = outcome.attempts.iter().any(|a| a.allowed == Some(false));
        (later.any(|a| a.allowed == Some(false)), refused_before)
    };
    let results = play_all(SCHEDULES, refused_later);
    let failed: Vec<usize> = (0..results.len()).filter(|seed| results[*seed].0).collect();
    let blamed = results.iter().filter(|r| r.1).count();
    println!("schedules with refusals: {blamed}");
    assert!(0 < blamed);
    assert!(failed.is_empty(), "{} schedules, first {:?}", failed.len(), failed.first());
}

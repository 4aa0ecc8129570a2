//! The fleet in virtual time: gateways, endpoints, callers and what disturbs them.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use goldcrestpitch::core::quarantine::{CrashReport, RunEnd, RunPermit, Suspect};

use crate::{
    STABLE_WINDOW_MS,
    gateway::{Endpoint, Gateway, Run, Trouble},
    outcome::{Attempt, Crash, Outcome, Refusal, Send},
    workload::{Causes, Fault, Repeat, Request, Workload},
};

const STEP_MS: u64 = 10;
/// Rate of each trouble and of crashes for other reasons, per second.
const TROUBLES_PER_S: f64 = 0.15;
const OTHER_CRASHES_PER_S: f64 = 0.4;
/// How long killed gateways are down.
const KILL_MS: u64 = 900;
/// Longest wait of a request for its permit.
const MAX_PERMIT_WAIT_MS: u64 = 2_000;

/// Sizes of the schedules of a workload.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub length_ms: u64,
    pub max_endpoints: usize,
    /// Most reports in one message to another gateway.
    pub max_reports: usize,
    /// Interval at which a request asks again for its permit.
    pub permit_interval_ms: u64,
    /// Time after which a request is no longer sent.
    pub time_budget_ms: u64,
    /// Share of the crashes that another one follows within a second, where endpoints also
    /// crash for other reasons.
    pub followed_crashes: f64,
}

/// A request that is sent later.
struct Resend {
    at: u64,
    // None: any gateway.
    gateway: Option<usize>,
    request: Request,
    waited_ms: u64,
}

pub struct Fleet<W> {
    pub(super) rng: fastrand::Rng,
    pub(super) trouble: Trouble,
    started: Instant,
    pub(super) now: u64,
    pub(super) gateways: Vec<Gateway>,
    pub(super) endpoints: Vec<Endpoint>,
    resends: Vec<Resend>,
    other_crashes: Vec<(u64, usize)>,
    pub(super) stored: BTreeMap<Suspect, CrashReport>,
    pub(super) workload: W,
    pub(super) outcome: Outcome,
}

pub fn crash_id(endpoint: usize, start: u64) -> u64 {
    (endpoint as u64) << 32 | start
}

impl<W: Workload> Fleet<W> {
    pub fn new(seed: u64, trouble: Trouble) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let gateways = (0..rng.usize(2..=5)).map(|_| Gateway::new()).collect();
        let endpoint = Endpoint { start: 0, down_until: 0 };
        let endpoints = vec![endpoint; rng.usize(4..=W::LIMITS.max_endpoints)];
        let workload = W::new(&mut rng);
        Self {
            rng,
            trouble,
            started: Instant::now(),
            now: 0,
            gateways,
            endpoints,
            resends: Vec::new(),
            other_crashes: Vec::new(),
            stored: BTreeMap::new(),
            workload,
            outcome: Outcome::default(),
        }
    }

    pub fn workload_mut(&mut self) -> &mut W {
        &mut self.workload
    }

    pub(super) fn instant(&self) -> Instant {
        self.started + Duration::from_millis(self.now)
    }

    /// Plays the schedule and returns what it showed, with the workload.
    pub fn play(mut self) -> (Outcome, W) {
        while self.now < W::LIMITS.length_ms {
            self.now += STEP_MS;
            self.disturb();
            for stream in 0..self.workload.streams() {
                if let Some(request) = self.workload.arrival(&mut self.rng, self.now, stream) {
                    self.arrive(request);
                }
            }
            self.resend();
            self.end_runs();
            for gateway in 0..self.gateways.len() {
                if self.gateways[gateway].runs_now(self.now) {
                    self.step_gateway(gateway);
                }
            }
        }
        (self.outcome, self.workload)
    }

    fn disturb(&mut self) {
        let (now, count) = (self.now, self.gateways.len());
        match self.workload.fault(now) {
            Some(Fault::CrashEndpoints { count, down_ms }) => {
                (0..count.min(self.endpoints.len())).for_each(|e| self.crash_for(e, down_ms));
            }
            Some(Fault::KillGateways) => (0..count).for_each(|g| self.stop(g, now + KILL_MS)),
            None => {}
        }
        if self.trouble.other_crashes && happens(&mut self.rng, OTHER_CRASHES_PER_S) {
            let endpoint = self.rng.usize(..self.endpoints.len());
            self.crash(endpoint);
        }
        for (_, endpoint) in self.other_crashes.extract_if(.., |c| c.0 <= now).collect::<Vec<_>>() {
            self.crash(endpoint);
        }
        let gateway = self.rng.usize(..count);
        let length = self.rng.u64(500..4000);
        if self.trouble.stops && happens(&mut self.rng, TROUBLES_PER_S) {
            self.stop(gateway, now + length);
        }
        let state = &mut self.gateways[gateway];
        if self.trouble.freezes && happens(&mut self.rng, TROUBLES_PER_S) {
            state.frozen_until = now + length;
            state.silent_until = now + length;
            state.disturbed_until = state.disturbed_until.max(now + length + STABLE_WINDOW_MS);
        }
        if self.trouble.cuts && happens(&mut self.rng, TROUBLES_PER_S) {
            state.cut_until = now + length;
            state.silent_until = now + length;
            state.disturbed_until = state.disturbed_until.max(now + length + STABLE_WINDOW_MS);
        }
    }

    fn stop(&mut self, gateway: usize, until: u64) {
        let state = &mut self.gateways[gateway];
        *state = Gateway::new();
        state.stopped_until = until;
        state.disturbed_until = until + STABLE_WINDOW_MS;
        state.silent_until = until;
        for report in self.stored.values() {
            state.inbox.push((until + 10, report.clone()));
        }
    }

    /// A caller's request arrives at any gateway that runs.
    fn arrive(&mut self, mut request: Request) {
        let used = self.gateways.len().min(self.workload.used_gateways());
        let up: Vec<usize> = (0..used).filter(|g| self.gateways[*g].runs_now(self.now)).collect();
        if up.is_empty() {
            return;
        }
        request.causes = self.workload.causes(&request, self.now);
        request.expires_at = self.now.saturating_add(W::LIMITS.time_budget_ms);
        if let Some(first_segment) = request.segments.first().filter(|_| request.is_sound()) {
            request.attempt = Some(self.outcome.attempts.len());
            let (at, first_segment) = (self.now, *first_segment);
            self.outcome.attempts.push(Attempt { at, first_segment, allowed: None });
        }
        let gateway = up[self.rng.usize(..up.len())];
        self.send(gateway, request, 0);
    }

    fn resend(&mut self) {
        let now = self.now;
        let due: Vec<Resend> = self.resends.extract_if(.., |r| r.at <= now).collect();
        for Resend { gateway, request, waited_ms, .. } in due {
            match gateway {
                Some(gateway) => self.send(gateway, request, waited_ms),
                None => self.arrive(request),
            }
        }
    }

    fn send(&mut self, gateway: usize, mut request: Request, waited_ms: u64) {
        let (now, at) = (self.now, self.instant());
        if !self.gateways[gateway].runs_now(now) || request.expires_at <= now {
            return;
        }
        request.causes = self.workload.causes(&request, now);
        let endpoint = self.rng.usize(..self.endpoints.len());
        let Endpoint { start, down_until } = self.endpoints[endpoint];
        let segments = self.workload.passed_segments(&request);
        let gate = &mut self.gateways[gateway].gate;
        let is_trial = gate.trial(at, segments).is_some();
        let started = gate.start(at, request.fingerprint, segments, crash_id(endpoint, start));
        match started {
            Err(RunPermit::Wait) => gate.claim(at, request.fingerprint, segments),
            Err(_) => gate.record_refusal(at, request.fingerprint, segments),
            Ok(_) if is_trial => self.gateways[gateway].next_broadcast = now,
            Ok(_) => {}
        }
        match started {
            Err(RunPermit::Wait) if waited_ms < MAX_PERMIT_WAIT_MS => {
                let interval = W::LIMITS.permit_interval_ms;
                let (at, waited_ms) = (now + interval, waited_ms + interval);
                let gateway = Some(gateway);
                self.resends.push(Resend { at, gateway, request, waited_ms });
            }
            Err(permit) => self.record_refusal(&request, permit),
            Ok(id) if now < down_until => {
                self.record_decision(&mut request, true);
                self.gateways[gateway].gate.end(at, id, RunEnd::Failed);
                let (at, gateway) = (now + 20, Some(gateway));
                self.resends.push(Resend { at, gateway, request, waited_ms });
            }
            Ok(id) => {
                self.record_decision(&mut request, true);
                let course = self.workload.course(&mut self.rng, &request);
                if !request.is_sound() {
                    let calm = self.gateways[gateway].disturbed_until <= now;
                    self.outcome.sends.push(Send { at: now, causes: request.causes, calm });
                }
                self.gateways[gateway].runs.push(Run {
                    id,
                    request,
                    endpoint,
                    start,
                    data_at: course.data_after.map(|after| now + after),
                    end_at: now + course.end_after,
                    ends_with_connection: course.ends_with_connection,
                    responded: false,
                });
            }
        }
    }

    fn record_decision(&mut self, request: &mut Request, allowed: bool) {
        if let Some(attempt) = request.attempt.take() {
            self.outcome.attempts[attempt].allowed = Some(allowed);
        }
    }

    fn record_refusal(&mut self, request: &Request, permit: RunPermit) {
        self.record_decision(&mut request.clone(), false);
        if !request.is_sound() {
            return;
        }
        let last_crash = self.outcome.crashes.last();
        let settled = last_crash.is_none_or(|c| c.at + STABLE_WINDOW_MS < self.now);
        let calm = self.gateways.iter().all(|g| g.disturbed_until <= self.now);
        let waited = permit == RunPermit::Wait;
        self.outcome.refusals.push(Refusal { at: self.now, waited, later: settled && calm });
    }

    /// Sends the requests again whose endpoint has crashed.
    pub(super) fn repeat(&mut self, gateway: usize, request: &Request) {
        for repeat in self.workload.repeats(&mut self.rng, request) {
            let (gateway, delay, request) = match repeat {
                Repeat::Gateway { delay_ms, request } => (Some(gateway), delay_ms, request),
                Repeat::Caller { delay_ms, request } => (None, delay_ms, request),
            };
            self.resends.push(Resend { at: self.now + delay, gateway, request, waited_ms: 0 });
        }
    }

    fn crash(&mut self, endpoint: usize) {
        let down_ms = self.rng.u64(1500..4000);
        self.crash_for(endpoint, down_ms);
    }

    fn crash_for(&mut self, endpoint: usize, down_ms: u64) {
        let state = &mut self.endpoints[endpoint];
        if self.now < state.down_until {
            return;
        }
        let old = state.start;
        *state = Endpoint { start: old + 1, down_until: self.now + down_ms };
        for gateway in &mut self.gateways {
            let known_at = self.now + down_ms + self.rng.u64(100..2000);
            gateway.restarts.push((known_at, endpoint, old));
        }
    }

    /// Crashes the endpoints whose runs of a crashing request have come that far, also
    /// when the gateway is frozen.
    fn end_runs(&mut self) {
        let now = self.now;
        let runs = self.gateways.iter().flat_map(|g| &g.runs);
        let due = runs.filter(|r| !r.request.is_sound() && r.end_at <= now);
        let crashing: Vec<(usize, u64, Causes)> =
            due.map(|r| (r.endpoint, r.start, r.request.causes)).collect();
        for (endpoint, start, causes) in crashing {
            if self.endpoints[endpoint].start == start {
                self.crash(endpoint);
                self.outcome.crashes.push(Crash { at: now, causes });
                self.follow_crash();
            }
        }
    }

    /// Sometimes crashes another endpoint within the same second.
    fn follow_crash(&mut self) {
        let share = W::LIMITS.followed_crashes;
        if self.trouble.other_crashes && 0.0 < share && self.rng.f64() < share {
            let at = self.now + self.rng.u64(..1000);
            self.other_crashes.push((at, self.rng.usize(..self.endpoints.len())));
        }
    }
}

/// Whether an event of this rate happens within a step.
pub fn happens(rng: &mut fastrand::Rng, per_s: f64) -> bool {
    rng.f64() < per_s * (STEP_MS as f64 / 1e3)
}

//! The fleet in virtual time: gateways, endpoints and the messages between the gateways.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use goldcrestpitch::core::quarantine::{CrashReport, RunEnd, RunPermit, Suspect};

use crate::{
    LIMIT, STABLE_WINDOW_MS,
    gateway::{Check, Endpoint, Gateway, Run, Trouble},
};

const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 14_000;
/// The crashing request; all others count up from 1,000.
const POISON: u64 = 7;
const BROADCAST_MS: u64 = 800;
const REPEAT_FOR: Duration = Duration::from_secs(5);
const CHECK_DELAY_MS: u64 = 100;

/// What the schedule showed.
#[derive(Debug, Default)]
pub struct Outcome {
    // Times at which the crashing request ended an endpoint.
    pub crashes: Vec<u64>,
    // Times of its sends, and whether the gateway was undisturbed.
    pub sends: Vec<(u64, bool)>,
    pub others_refused: usize,
    // Of these, later than disturbances and lost datagrams explain.
    pub others_refused_later: usize,
    pub others_completed: usize,
}
pub struct Fleet {
    rng: fastrand::Rng,
    trouble: Trouble,
    started: Instant,
    now: u64,
    gateways: Vec<Gateway>,
    endpoints: Vec<Endpoint>,
    // Requests that a gateway retries or whose caller sends them again, with the time.
    retries: Vec<(u64, usize, u64, u32)>,
    stored: HashMap<Suspect, CrashReport>,
    next_request: u64,
    progress_first: bool,
    outcome: Outcome,
}

fn crash_id(endpoint: usize, start: u64) -> u64 {
    (endpoint as u64) << 32 | start
}

impl Fleet {
    pub fn new(seed: u64, trouble: Trouble) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let gateways = (0..rng.usize(2..=5)).map(|_| Gateway::new()).collect();
        let endpoints = vec![Endpoint { start: 0, down_until: 0 }; rng.usize(4..=12)];
        let progress_first = rng.bool();
        Self {
            rng,
            trouble,
            started: Instant::now(),
            now: 0,
            gateways,
            endpoints,
            retries: Vec::new(),
            stored: HashMap::new(),
            next_request: 1000,
            progress_first,
            outcome: Outcome::default(),
        }
    }

    fn instant(&self) -> Instant {
        self.started + Duration::from_millis(self.now)
    }

    pub fn play(mut self) -> Outcome {
        let copies_per_s = self.rng.f64() * 8.0 + 0.5;
        while self.now < LENGTH_MS {
            self.now += STEP_MS;
            self.disturb();
            let step_s = STEP_MS as f64 / 1e3;
            if self.rng.f64() < copies_per_s * step_s {
                self.arrive(POISON, 0);
            }
            if self.rng.f64() < 15.0 * step_s {
                self.next_request += 1;
                self.arrive(self.next_request, 0);
            }
            let due: Vec<_> = self.retries.extract_if(.., |r| r.0 <= self.now).collect();
            for (_, gateway, request, sends) in due {
                self.send(gateway, request, sends);
            }
            self.end_runs();
            for gateway in 0..self.gateways.len() {
                if self.gateways[gateway].runs_now(self.now) {
                    self.step_gateway(gateway);
                }
            }
        }
        self.outcome
    }

    fn disturb(&mut self) {
        let (now, count) = (self.now, self.gateways.len());
        let step_s = STEP_MS as f64 / 1e3;
        if self.trouble.other_crashes && self.rng.f64() < 0.4 * step_s {
            let endpoint = self.rng.usize(..self.endpoints.len());
            self.crash(endpoint);
        }
        let gateway = self.rng.usize(..count);
        let length = self.rng.u64(500..4000);
        if self.trouble.stops && self.rng.f64() < 0.15 * step_s {
            let state = &mut self.gateways[gateway];
            *state = Gateway::new();
            state.stopped_until = now + length;
            state.disturbed_until = now + length + STABLE_WINDOW_MS;
            state.silent_until = now + length;
            for report in self.stored.values() {
                state.inbox.push((now + length + 10, report.clone()));
            }
        }
        if self.trouble.freezes && self.rng.f64() < 0.15 * step_s {
            let state = &mut self.gateways[gateway];
            state.frozen_until = now + length;
            state.silent_until = now + length;
            state.disturbed_until = state.disturbed_until.max(now + length + STABLE_WINDOW_MS);
        }
        if self.trouble.cuts && self.rng.f64() < 0.15 * step_s {
            let state = &mut self.gateways[gateway];
            state.cut_until = now + length;
            state.silent_until = now + length;
            state.disturbed_until = state.disturbed_until.max(now + length + STABLE_WINDOW_MS);
        }
    }

    /// A caller's request arrives at any gateway that runs.
    fn arrive(&mut self, request: u64, sends: u32) {
        let up: Vec<usize> =
            (0..self.gateways.len()).filter(|g| self.gateways[*g].runs_now(self.now)).collect();
        if !up.is_empty() {
            let gateway = up[self.rng.usize(..up.len())];
            self.send(gateway, request, sends);
        }
    }

    fn send(&mut self, gateway: usize, request: u64, sends: u32) {
        let (now, at) = (self.now, self.instant());
        if !self.gateways[gateway].runs_now(now) {
            return;
        }
        let endpoint = self.rng.usize(..self.endpoints.len());
        let Endpoint { start, down_until } = self.endpoints[endpoint];
        match self.gateways[gateway].gate.start(at, request, &[], crash_id(endpoint, start)) {
            Err(RunPermit::Quarantined) => {
                let settled =
                    self.outcome.crashes.last().is_none_or(|c| c + STABLE_WINDOW_MS < now);
                let calm = self.gateways.iter().all(|g| g.disturbed_until <= now);
                let is_other = request != POISON;
                self.outcome.others_refused += usize::from(is_other);
                self.outcome.others_refused_later += usize::from(is_other && settled && calm);
            }
            // The wait of a request is bounded; later it is refused.
            Err(_) if sends < 200 => self.retries.push((now + 10, gateway, request, sends + 1)),
            Err(_) => {}
            Ok(id) if now < down_until => {
                self.gateways[gateway].gate.end(at, id, RunEnd::Failed);
                self.retries.push((now + 20, gateway, request, sends));
            }
            Ok(id) => {
                let respond_at = now + self.rng.u64(10..150);
                let length = if request == POISON { 10..300 } else { 200..2500 };
                let mut end_at = now + self.rng.u64(length);
                if request == POISON && self.progress_first {
                    end_at += 150;
                }
                if request == POISON {
                    let calm = self.gateways[gateway].disturbed_until <= now;
                    self.outcome.sends.push((now, calm));
                }
                let responded = false;
                let run = Run { id, request, endpoint, start, respond_at, end_at, responded };
                self.gateways[gateway].runs.push(run);
            }
        }
    }

    fn crash(&mut self, endpoint: usize) {
        let down = self.rng.u64(1500..4000);
        let state = &mut self.endpoints[endpoint];
        if self.now < state.down_until {
            return;
        }
        let old = state.start;
        *state = Endpoint { start: old + 1, down_until: self.now + down };
        for gateway in &mut self.gateways {
            let known_at = self.now + down + self.rng.u64(100..2000);
            gateway.restarts.push((known_at, endpoint, old));
        }
    }

    /// Crashes the endpoints whose runs of the crashing request have come that far, also
    /// when the gateway is frozen.
    fn end_runs(&mut self) {
        let due = |g: &Gateway, now: u64| -> Vec<Run> {
            g.runs.iter().filter(|r| r.request == POISON && r.end_at <= now).cloned().collect()
        };
        let crashing: Vec<Run> = self.gateways.iter().flat_map(|g| due(g, self.now)).collect();
        for run in crashing {
            if self.endpoints[run.endpoint].start == run.start {
                self.crash(run.endpoint);
                self.outcome.crashes.push(self.now);
            }
        }
    }

    fn step_gateway(&mut self, index: usize) {
        let (now, at) = (self.now, self.instant());
        let connected = |g: &Gateway| g.stopped_until <= now && g.cut_until <= now;
        let alone = self.gateways[index].cut_until > now;
        let live: Vec<usize> = (0..self.gateways.len())
            .filter(|g| *g == index || (!alone && connected(&self.gateways[*g])))
            .collect();
        let position = live.iter().position(|g| *g == index).unwrap_or(0);
        self.gateways[index].gate.set_position(position, live.len());
        let mut news = self.step_runs(index);
        news |= self.step_checks(index);
        let gateway = &mut self.gateways[index];
        for (_, endpoint, start) in gateway.restarts.extract_if(.., |r| r.0 <= now) {
            news |= !gateway.gate.resolve(at, crash_id(endpoint, start), &[], true).is_empty();
        }
        for (_, report) in gateway.inbox.extract_if(.., |m| m.0 <= now) {
            gateway.gate.merge(at, &report);
        }
        gateway.gate.expire(at);
        if news || gateway.next_broadcast <= now {
            self.broadcast(index, news);
        }
    }

    fn step_runs(&mut self, index: usize) -> bool {
        let (now, at) = (self.now, self.instant());
        let mut news = false;
        for run in std::mem::take(&mut self.gateways[index].runs) {
            let crashed = self.endpoints[run.endpoint].start != run.start;
            let gateway = &mut self.gateways[index];
            if crashed {
                let ended = gateway.gate.end(at, run.id, RunEnd::Interrupted);
                assert!(ended.needs_check);
                let delay = CHECK_DELAY_MS + self.rng.u64(1..500);
                gateway.checks.entry(crash_id(run.endpoint, run.start)).or_insert(Check {
                    endpoint: run.endpoint,
                    start: run.start,
                    connect_at: now + CHECK_DELAY_MS,
                    result_at: now + delay,
                    checked: None,
                });
                // Each request is retried at once, and later once more by its caller.
                for delay in [0, 400] {
                    self.retries.push((now + delay, index, run.request, 0));
                }
                continue;
            }
            if run.end_at <= now && run.request != POISON {
                news |= !gateway.gate.end(at, run.id, RunEnd::Completed).cleared.is_empty();
                self.outcome.others_completed += 1;
                continue;
            }
            let mut run = run;
            if run.respond_at <= now
                && !run.responded
                && (run.request != POISON || self.progress_first)
            {
                gateway.gate.record_response(at, run.id);
                run.responded = true;
            }
            gateway.runs.push(run);
        }
        news
    }

    fn step_checks(&mut self, index: usize) -> bool {
        let (now, at) = (self.now, self.instant());
        let gateway = &mut self.gateways[index];
        let mut news = false;
        let crashes: Vec<u64> = gateway.checks.keys().copied().collect();
        for crash in crashes {
            let Some(check) = gateway.checks.get_mut(&crash) else { continue };
            if check.connect_at <= now && check.checked.is_none() {
                let listening = self.endpoints[check.endpoint].down_until <= now;
                check.checked = Some((gateway.gate.unresolved(at, crash), listening));
            }
            let Some((checked, listening)) = check.checked.clone() else { continue };
            if now < check.result_at {
                continue;
            }
            let start = check.start;
            debug_assert!(start <= self.endpoints[check.endpoint].start);
            news |= !gateway.gate.resolve(at, crash, &checked, !listening).is_empty();
            if gateway.gate.needs_check(crash) {
                check.connect_at = now + CHECK_DELAY_MS;
                check.result_at = now + CHECK_DELAY_MS + 20;
                check.checked = None;
            } else {
                gateway.checks.remove(&crash);
            }
        }
        news
    }

    /// Sends reports to all others and saves those of requests close to the limit.
    fn broadcast(&mut self, index: usize, news: bool) {
        let (now, at) = (self.now, self.instant());
        let gateway = &mut self.gateways[index];
        gateway.next_broadcast = now + BROADCAST_MS;
        let recent = gateway.gate.recent_reports(at, REPEAT_FOR, LIMIT - 1);
        let all = gateway.gate.all_reports();
        for report in recent.iter().filter(|r| news && LIMIT - 1 <= r.crashes.len()) {
            self.stored.insert(report.suspect, report.clone());
        }
        if now < gateway.cut_until {
            return;
        }
        for other in (0..self.gateways.len()).filter(|o| *o != index) {
            let silent_until = self.gateways[index].silent_until;
            let peer = &mut self.gateways[other];
            if now < peer.stopped_until || now < peer.cut_until {
                continue;
            }
            // Each side notices a silence of two seconds and then sends all reports.
            let was_silent = now < peer.silent_until.max(silent_until) + 2 * BROADCAST_MS;
            for report in if was_silent { &all } else { &recent } {
                if self.trouble.loss <= self.rng.f64() {
                    peer.inbox.push((now + self.rng.u64(5..50), report.clone()));
                }
            }
        }
    }
}

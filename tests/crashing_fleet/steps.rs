//! What a gateway does in each step: ends of runs, checks of endpoints, reports.

use std::time::Duration;

use goldcrestpitch::core::quarantine::{CrashReport, RunEnd};

use crate::{
    LIMIT,
    fleet::{Fleet, crash_id},
    gateway::{Check, Run},
    workload::Workload,
};

const BROADCAST_MS: u64 = 800;
const REPEAT_FOR: Duration = Duration::from_secs(5);
const CHECK_DELAY_MS: u64 = 100;
/// A gateway without a message for this long no longer counts as live.
const PEER_TIMEOUT_MS: u64 = 2_000;
const EXPIRY_MS: u64 = 400;

impl<W: Workload> Fleet<W> {
    pub(super) fn step_gateway(&mut self, index: usize) {
        let (now, at) = (self.now, self.instant());
        let alone = self.gateways[index].cut_until > now;
        let is_live = |g: usize| g == index || (!alone && self.gateways[g].is_connected(now));
        let live: Vec<usize> = (0..self.gateways.len()).filter(|g| is_live(*g)).collect();
        let place = |gateway: usize| live.iter().position(|g| *g == gateway);
        let gateway = &mut self.gateways[index];
        for (at, sender, claims) in gateway.claims_inbox.extract_if(.., |m| m.0 <= now) {
            gateway.claims.insert(sender, (at, claims));
        }
        let heard = gateway.claims.iter().filter(|(_, (at, _))| now < at + PEER_TIMEOUT_MS);
        let others = heard.filter_map(|(sender, (_, claims))| {
            place(*sender).map(|place| (place, claims.iter().copied().collect()))
        });
        let others = others.collect();
        gateway.gate.set_position(place(index).unwrap_or(0), live.len());
        gateway.gate.set_other_claims(others);
        let mut news = self.step_runs(index);
        news |= self.step_checks(index);
        let gateway = &mut self.gateways[index];
        for (_, endpoint, start) in gateway.restarts.extract_if(.., |r| r.0 <= now) {
            news |= !gateway.gate.resolve(at, crash_id(endpoint, start), &[], true).is_empty();
        }
        for (_, report) in gateway.inbox.extract_if(.., |m| m.0 <= now) {
            gateway.gate.merge(at, &report);
        }
        if gateway.next_expiry <= now {
            gateway.next_expiry = now + EXPIRY_MS;
            gateway.gate.expire(at);
        }
        if news || gateway.next_broadcast <= now {
            self.broadcast(index, news);
        }
    }

    fn step_runs(&mut self, index: usize) -> bool {
        let (now, at) = (self.now, self.instant());
        let gateway = &mut self.gateways[index];
        for run in &mut gateway.runs {
            let is_up = self.endpoints[run.endpoint].start == run.start;
            if is_up && !run.responded && run.data_at.is_some_and(|data_at| data_at <= now) {
                gateway.gate.record_response(at, run.id);
                run.responded = true;
            }
        }
        let endpoints = &self.endpoints;
        let has_ended = |run: &mut Run| {
            let crashed = endpoints[run.endpoint].start != run.start;
            crashed || (run.end_at <= now && run.request.is_sound())
        };
        let ended: Vec<Run> = gateway.runs.extract_if(.., has_ended).collect();
        let mut news = false;
        for run in ended {
            let crashed = self.endpoints[run.endpoint].start != run.start;
            news |= self.end_run(index, &run, crashed);
        }
        news
    }

    fn end_run(&mut self, index: usize, run: &Run, crashed: bool) -> bool {
        let at = self.instant();
        let looks_complete = run.ends_with_connection && (run.responded || !crashed);
        let end = match (looks_complete, crashed) {
            (true, _) => RunEnd::Unconfirmed,
            (false, true) => RunEnd::Interrupted,
            (false, false) => RunEnd::Completed,
        };
        let ended = self.gateways[index].gate.end(at, run.id, end);
        if end != RunEnd::Completed {
            assert!(ended.needs_check);
            self.start_check(index, run);
        }
        self.outcome.completed += usize::from(!crashed);
        if crashed && !looks_complete {
            self.repeat(index, &run.request);
        }
        !ended.cleared.is_empty()
    }

    fn start_check(&mut self, index: usize, run: &Run) {
        let delay = CHECK_DELAY_MS + self.rng.u64(1..500);
        let checks = &mut self.gateways[index].checks;
        checks.entry(crash_id(run.endpoint, run.start)).or_insert(Check {
            endpoint: run.endpoint,
            start: run.start,
            connect_at: self.now + CHECK_DELAY_MS,
            result_at: self.now + delay,
            checked: None,
        });
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

    /// Sends reports to all others and saves those of suspects close to the limit.
    fn broadcast(&mut self, index: usize, news: bool) {
        let (now, at) = (self.now, self.instant());
        let gateway = &mut self.gateways[index];
        gateway.next_broadcast = now + BROADCAST_MS;
        let mut recent = gateway.gate.recent_reports(at, REPEAT_FOR, LIMIT - 1);
        for report in recent.iter().filter(|r| news && LIMIT - 1 <= r.crashes.len()) {
            self.stored.insert(report.suspect, report.clone());
        }
        if now < gateway.cut_until {
            return;
        }
        recent.truncate(W::LIMITS.max_reports);
        let claims = gateway.gate.claims(at);
        let mut all = None;
        for other in (0..self.gateways.len()).filter(|o| *o != index) {
            let gateway = &self.gateways[index];
            let peer = &self.gateways[other];
            if now < peer.stopped_until || now < peer.cut_until {
                continue;
            }
            // Each side notices a silence of two seconds and then sends all reports.
            let silent_until = peer.silent_until.max(gateway.silent_until);
            let reports = match now < silent_until + 2 * BROADCAST_MS {
                true => all.get_or_insert_with(|| gateway.gate.all_reports()),
                false => &recent,
            };
            let max = reports.len().min(W::LIMITS.max_reports);
            let reports = reports[..max].to_vec();
            self.deliver(other, reports);
            if !claims.is_empty() && self.trouble.loss <= self.rng.f64() {
                let at = now + self.rng.u64(5..50);
                self.gateways[other].claims_inbox.push((at, index, claims.clone()));
            }
        }
    }

    fn deliver(&mut self, gateway: usize, reports: Vec<CrashReport>) {
        for report in reports {
            if self.trouble.loss <= self.rng.f64() {
                let at = self.now + self.rng.u64(5..50);
                self.gateways[gateway].inbox.push((at, report));
            }
        }
    }
}

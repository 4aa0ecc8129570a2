//! The fleet in virtual time.

use std::time::{Duration, Instant};

use goldcrestpitch::core::{
    forwarding::{Change, Registration},
    ids::VersionId,
    limits::ProcessId,
    resumption::{
        HOLDERS, LookupState, Origin, OriginReport, StreamVersion, holders, resumed_version,
    },
};

use crate::{
    endpoint::Endpoint,
    gateway::{Gateway, Message},
    outcome::Outcome,
};

const STEP_MS: u64 = 20;
const LENGTH_MS: u64 = 25_000;
const EVENT_MS: u64 = 60;
const HEARTBEAT_MS: u64 = 1_200;
const POLL_MS: u64 = 800;
const BROADCAST_MS: u64 = 800;
const TICK_MS: u64 = 400;
const GRACE_MS: u64 = 3_000;
const DEADLINE_MS: u64 = 15_000;
const MAX_RETURNS: u32 = 3;
/// Longest wait of a stream for an endpoint of its version.
const MAX_WAIT_MS: u64 = 1_900;
/// Rate of each trouble, per second.
const TROUBLES_PER_S: f64 = 0.2;

#[derive(Clone, Copy, Debug, Default)]
pub struct Trouble {
    pub kills: bool,
    pub stops: bool,
    pub rolls: bool,
    pub freezes: bool,
    pub loss: f64,
}

impl Trouble {
    pub fn random(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(!seed);
        let loss = if rng.bool() { rng.f64() * 0.3 } else { 0.0 };
        let (kills, stops, rolls) = (rng.bool(), rng.bool(), rng.bool());
        Self { kills, stops, rolls, freezes: rng.bool(), loss }
    }
}

/// Where a caller's stream stands.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// The caller comes to a gateway at this time.
    Away {
        at: u64,
    },
    /// The gateway asks others for the version.
    LookingUp {
        since: u64,
    },
    Waiting {
        since: u64,
    },
    Running {
        endpoint: usize,
        started: u64,
        run_started: u64,
        version: VersionId,
        next_event: u64,
    },
    Ended,
}

#[derive(Clone, Debug)]
struct Stream {
    id: u64,
    gateway: usize,
    phase: Phase,
    version: StreamVersion,
    // The start at which the gateway took the run of this attempt to be.
    admitted: Option<(usize, u64, bool)>,
    runs: u32,
    events_left: u32,
    returns: u32,
    counts_as_resumed: bool,
    // Versions that wrote its events.
    written_by: Vec<u64>,
    deadline: u64,
}

pub struct Fleet {
    rng: fastrand::Rng,
    trouble: Trouble,
    careless: bool,
    start: Instant,
    now: u64,
    versions: u64,
    endpoints: Vec<Endpoint>,
    log: Vec<(u64, Change)>,
    gateways: Vec<Gateway>,
    ids: Vec<ProcessId>,
    streams: Vec<Stream>,
    streams_per_s: f64,
    crashes_per_s: f64,
    next_roll: Option<(u64, usize)>,
    outcome: Outcome,
}

fn start_id(endpoint: usize, started: u64) -> u64 {
    endpoint as u64 * LENGTH_MS * 2 + started
}

impl Fleet {
    pub fn new(seed: u64, trouble: Trouble) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let count = if rng.u32(..8) == 0 { rng.usize(10..=40) } else { rng.usize(1..=7) };
        let versions = rng.u64(2..=3);
        let endpoints =
            (0..rng.usize(4..=12)).map(|id| Endpoint::new(id, rng.u64(..versions), 0)).collect();
        let ids: Vec<ProcessId> = (0..count).map(|_| rng.u64(..)).collect();
        Self {
            trouble,
            careless: false,
            start: Instant::now(),
            now: 0,
            versions,
            endpoints,
            log: Vec::new(),
            gateways: ids.iter().map(|id| Gateway::new(*id, 0)).collect(),
            ids,
            streams: Vec::new(),
            streams_per_s: 2.0 + rng.f64() * 10.0,
            crashes_per_s: rng.f64() * 1.0,
            next_roll: trouble.rolls.then(|| (rng.u64(3_000..12_000), 0)),
            outcome: Outcome::default(),
            rng,
        }
    }

    /// Streams take any version, as before versions were known.
    pub fn careless(mut self) -> Self {
        self.careless = true;
        self
    }

    pub fn play(mut self) -> Outcome {
        while self.now < LENGTH_MS {
            self.now += STEP_MS;
            self.change_endpoints();
            self.disturb_gateways();
            for index in 0..self.gateways.len() {
                if self.gateways[index].runs(self.now) {
                    self.step_gateway(index);
                }
            }
            if self.now < LENGTH_MS - 6_000 && self.happens(self.streams_per_s) {
                self.begin_stream();
            }
            for index in 0..self.streams.len() {
                self.step_stream(index);
            }
            self.streams.retain(|s| s.phase != Phase::Ended);
        }
        self.outcome
    }

    fn at(&self) -> Instant {
        self.start + Duration::from_millis(self.now)
    }

    fn happens(&mut self, per_s: f64) -> bool {
        self.rng.f64() < per_s * STEP_MS as f64 / 1e3
    }

    fn change_endpoints(&mut self) {
        if self.happens(self.crashes_per_s) {
            let index = self.rng.usize(..self.endpoints.len());
            let version = if self.rng.bool() {
                self.endpoints[index].version
            } else {
                self.rng.u64(..self.versions)
            };
            let starts_at = self.now + self.rng.u64(500..4_000);
            if self.endpoints[index].is_up {
                self.endpoints[index].crash(starts_at, version);
            }
        }
        if self.happens(0.15) {
            let index = self.rng.usize(..self.endpoints.len());
            let id = self.endpoints.len();
            if self.endpoints[index].serves() {
                self.endpoints[index].drain(self.now);
                let version = self.rng.u64(..self.versions);
                self.endpoints.push(Endpoint::new(id, version, self.now));
            }
        }
        for endpoint in &mut self.endpoints {
            if endpoint.starts_at.is_some_and(|at| at <= self.now) {
                endpoint.starts_at = None;
                endpoint.is_up = true;
                endpoint.started = self.now + 1;
                endpoint.draining = false;
                endpoint.leaves_at = None;
                endpoint.next_heartbeat = self.now;
            }
            if endpoint.is_up && endpoint.leaves_at.is_some_and(|at| at <= self.now) {
                endpoint.is_up = false;
                let id = endpoint.registration().id;
                self.log.push((self.now, Change::Removed(id)));
            }
            if endpoint.is_up && endpoint.next_heartbeat <= self.now {
                endpoint.next_heartbeat = self.now + HEARTBEAT_MS;
                // A record takes a moment to reach the store.
                let at = self.now + self.rng.u64(5..60);
                self.log.push((at, Change::Registered(endpoint.registration())));
            }
        }
    }

    fn disturb_gateways(&mut self) {
        if self.trouble.kills && self.happens(TROUBLES_PER_S) {
            let index = self.rng.usize(..self.gateways.len());
            self.kill(index);
        }
        if self.trouble.stops && self.happens(TROUBLES_PER_S) {
            let index = self.rng.usize(..self.gateways.len());
            self.stop(index);
        }
        if self.trouble.freezes && self.happens(TROUBLES_PER_S) {
            let index = self.rng.usize(..self.gateways.len());
            self.gateways[index].frozen_until = self.now + self.rng.u64(300..4_000);
        }
        if let Some((at, index)) = self.next_roll
            && at <= self.now
        {
            self.stop(index);
            let next = index + 1 < self.gateways.len();
            self.next_roll = next.then(|| (self.now + self.rng.u64(500..4_000), index + 1));
        }
        for index in 0..self.gateways.len() {
            if self.gateways[index].stops_at.is_some_and(|at| at <= self.now) {
                self.kill(index);
            }
        }
    }

    /// A planned stop: it hands over what it knows.
    fn stop(&mut self, index: usize) {
        if self.gateways[index].stops_at.is_none() && self.gateways[index].runs(self.now) {
            self.gateways[index].stops_at = Some(self.now + GRACE_MS);
            let all = self.gateways[index].origins.all_reports(self.at());
            self.tell(index, all);
        }
    }

    fn kill(&mut self, index: usize) {
        let mut new = Gateway::new(self.ids[index], self.now);
        new.down_until = self.now + self.rng.u64(100..3_000);
        new.started = new.down_until;
        self.gateways[index] = new;
        for i in 0..self.streams.len() {
            if self.streams[i].gateway == index
                && !matches!(self.streams[i].phase, Phase::Away { .. })
            {
                self.caller_leaves(i);
            }
        }
    }

    fn send(&mut self, from: usize, to: ProcessId, message: Message) {
        if self.rng.f64() < self.trouble.loss {
            return;
        }
        let at = self.now + self.rng.u64(1..40);
        let from = self.gateways[from].id;
        let Some(to) = self.gateways.iter_mut().find(|g| g.id == to) else { return };
        if to.down_until <= self.now {
            to.inbox.push((at, from, message));
        }
    }

    fn tell(&mut self, index: usize, reports: Vec<OriginReport>) {
        let live = self.gateways[index].live(self.now, &self.ids);
        for report in reports {
            for holder in holders(report.stream, HOLDERS, live.iter().copied()) {
                self.send(index, holder, Message::Known(vec![report]));
            }
        }
    }

    fn step_gateway(&mut self, index: usize) {
        let (now, at) = (self.now, self.at());
        let gateway = &mut self.gateways[index];
        let (due, later) =
            std::mem::take(&mut gateway.inbox).into_iter().partition(|(t, ..)| *t <= now);
        gateway.inbox = later;
        let due: Vec<(u64, ProcessId, Message)> = due;
        for (_, from, message) in due {
            let answers = self.gateways[index].receive(now, at, from, message);
            for answer in answers {
                self.send(index, from, answer);
            }
        }
        self.poll_store(index);
        self.check_restarts(index);
        let live = self.gateways[index].live(now, &self.ids);
        for lookup in self.gateways[index].lookups.due(at, &live) {
            for process in lookup.processes {
                self.send(index, process, Message::Asked(lookup.stream));
            }
        }
        let untold = self.gateways[index].origins.take_untold(at);
        self.tell(index, untold);
        if now % TICK_MS == 0 {
            for newcomer in std::mem::take(&mut self.gateways[index].newcomers) {
                for report in self.gateways[index].origins.all_reports(at) {
                    if holders(report.stream, HOLDERS, live.iter().copied()).contains(&newcomer) {
                        self.send(index, newcomer, Message::Known(vec![report]));
                    }
                }
            }
        }
        if self.gateways[index].next_broadcast <= now {
            self.gateways[index].next_broadcast = now + BROADCAST_MS;
            for id in self.ids.clone() {
                if id != self.ids[index] {
                    self.send(index, id, Message::Status);
                }
            }
            let recent = self.gateways[index].origins.recent_reports(at);
            self.tell(index, recent);
        }
    }

    fn poll_store(&mut self, index: usize) {
        let (now, at) = (self.now, self.at());
        let gateway = &mut self.gateways[index];
        if now < gateway.next_poll {
            return;
        }
        gateway.next_poll = now + POLL_MS;
        if gateway.read == 0 && gateway.registry.is_empty() {
            gateway.versions.record_gap();
        }
        for (written, change) in &self.log[gateway.read..] {
            if now < *written {
                break;
            }
            gateway.read += 1;
            if let Change::Registered(new) = change
                && let Some(old) = gateway.registry.get(&new.id).map(|e| e.registration.started_ms)
                && old < new.started_ms
            {
                let endpoint = new.id[2..].parse().unwrap();
                gateway.origins.record_ended_start(at, start_id(endpoint, old));
            }
            gateway.registry.apply(at, change.clone(), false);
        }
        let registered = gateway.registry.iter();
        let registered = registered.map(|e| (e.registration.service.clone(), e.version()));
        gateway.versions.record(at, registered);
    }

    fn check_restarts(&mut self, index: usize) {
        let (now, at) = (self.now, self.at());
        let gateway = &mut self.gateways[index];
        for (endpoint, started, next, until) in std::mem::take(&mut gateway.checks) {
            if now < next {
                gateway.checks.push((endpoint, started, next, until));
                continue;
            }
            let found = &self.endpoints[endpoint];
            let id = found.registration().id;
            if found.is_up && found.started == started {
                gateway.registry.confirm_start(&id, started);
            } else {
                gateway.registry.doubt_start(at, &id, started);
            }
            let again = !found.is_up && gateway.registry.may_have_restarted(&id) && now < until;
            if again {
                gateway.checks.push((endpoint, started, now + 100, until));
            }
        }
    }

    fn begin_stream(&mut self) {
        self.outcome.begun += 1;
        let stream = Stream {
            id: self.rng.u64(..),
            gateway: 0,
            phase: Phase::Away { at: self.now },
            version: StreamVersion::Open,
            admitted: None,
            runs: 0,
            events_left: self.rng.u32(5..80),
            returns: 0,
            counts_as_resumed: false,
            written_by: Vec::new(),
            deadline: self.now + DEADLINE_MS,
        };
        self.streams.push(stream);
    }

    /// The caller's connection ends, and the caller may come back.
    fn caller_leaves(&mut self, index: usize) {
        let pause = self.rng.u64(100..3_000);
        let stream = &mut self.streams[index];
        stream.returns += 1;
        let is_over = MAX_RETURNS < stream.returns || stream.written_by.is_empty();
        stream.phase = if is_over { Phase::Ended } else { Phase::Away { at: self.now + pause } };
    }

    fn step_stream(&mut self, index: usize) {
        let stream = &self.streams[index];
        let is_away = matches!(stream.phase, Phase::Away { .. });
        if !is_away && !self.gateways[stream.gateway].runs(self.now) {
            return;
        }
        if stream.deadline <= self.now {
            self.streams[index].phase = Phase::Ended;
            return;
        }
        match stream.phase {
            Phase::Away { at } if at <= self.now => self.arrive(index),
            Phase::LookingUp { since } => self.look_up(index, since),
            Phase::Waiting { since } => self.select(index, since),
            Phase::Running { next_event, .. } if next_event <= self.now => self.relay(index),
            _ => {}
        }
    }

    /// The caller comes to a gateway that is in rotation.
    fn arrive(&mut self, index: usize) {
        let ready: Vec<usize> = (0..self.gateways.len())
            .filter(|g| self.gateways[*g].runs(self.now) && self.gateways[*g].stops_at.is_none())
            .filter(|g| !self.gateways[*g].registry.is_empty())
            .collect();
        let Some(gateway) = self.rng.choice(ready) else { return };
        let at = self.at();
        let stream = &mut self.streams[index];
        stream.gateway = gateway;
        stream.runs = 0;
        stream.admitted = None;
        stream.version = StreamVersion::Open;
        if stream.written_by.is_empty() || self.careless {
            stream.phase = Phase::Waiting { since: self.now };
            return;
        }
        let version = stream.written_by[0];
        let serving = self.endpoints.iter().filter(|e| e.serves() && e.version == version).count();
        stream.counts_as_resumed = 2 <= serving;
        self.outcome.resumed += usize::from(stream.counts_as_resumed);
        if self.gateways[gateway].origins.get(at, stream.id).is_none() {
            self.gateways[gateway].lookups.start(at, stream.id);
        }
        stream.phase = Phase::LookingUp { since: self.now };
    }

    fn look_up(&mut self, index: usize, since: u64) {
        let at = self.at();
        let stream = &mut self.streams[index];
        let gateway = &mut self.gateways[stream.gateway];
        let known = gateway.origins.get(at, stream.id);
        let state = gateway.lookups.state(stream.id);
        if known.is_none() && state == LookupState::Pending {
            return;
        }
        gateway.lookups.finish(stream.id);
        let only = gateway.versions.only_version(at, "llm");
        match resumed_version(known.ok_or(state), only) {
            Ok((version, _)) => {
                stream.version = StreamVersion::Fixed(version);
                stream.phase = Phase::Waiting { since };
            }
            Err(_) => self.caller_leaves(index),
        }
    }

    fn select(&mut self, index: usize, since: u64) {
        let (now, at) = (self.now, self.at());
        let stream = &self.streams[index];
        let required = stream.version.required();
        let gateway = &mut self.gateways[stream.gateway];
        let fits = gateway.registry.iter().filter(|e| e.is_usable());
        let fits: Vec<(Registration, VersionId, bool)> = fits
            .filter(|e| required.is_none_or(|version| e.version() == version))
            .map(|e| (e.registration.clone(), e.version(), e.may_have_restarted()))
            .collect();
        let mut candidates: Vec<_> = fits.iter().filter(|(.., doubted)| !doubted).collect();
        if candidates.is_empty() && required.is_none() {
            candidates = fits.iter().collect();
        }
        let Some((registration, version, _)) = self.rng.choice(candidates) else {
            if fits.is_empty() || since + MAX_WAIT_MS <= now {
                self.caller_leaves(index);
            }
            return;
        };
        let endpoint: usize = registration.id[2..].parse().unwrap();
        let (started, version) = (registration.started_ms, *version);
        if !self.endpoints[endpoint].is_up {
            gateway.registry.doubt_start(at, &registration.id, started);
            gateway.check_restart(now, endpoint, started);
            self.streams[index].runs += 1;
            if 6 < self.streams[index].runs {
                self.caller_leaves(index);
            }
            return;
        }
        let run_started = self.endpoints[endpoint].started;
        let next_event = now + self.rng.u64(60..400);
        self.streams[index].phase =
            Phase::Running { endpoint, started, run_started, version, next_event };
    }

    /// The endpoint writes an event, unless it has ended.
    fn relay(&mut self, index: usize) {
        let (now, at) = (self.now, self.at());
        let stream = &mut self.streams[index];
        let Phase::Running { endpoint, started, run_started, version, .. } = stream.phase else {
            return;
        };
        let gateway = &mut self.gateways[stream.gateway];
        let process = &self.endpoints[endpoint];
        if !process.is_up || process.started != run_started {
            gateway.check_restart(now, endpoint, started);
            stream.runs += 1;
            let may_go_on = stream.runs < 3 && stream.version != StreamVersion::Unsure;
            match may_go_on {
                true => stream.phase = Phase::Waiting { since: now },
                false => self.caller_leaves(index),
            }
            return;
        }
        if !self.careless {
            let id = process.registration().id;
            let is_first = stream.admitted.is_none_or(|(e, s, _)| (e, s) != (endpoint, started));
            let goes_on = is_first && stream.version.required().is_some();
            let is_certain = gateway.registry.is_certain_start(&id, started);
            let is_known_start = gateway.registry.is_known_start(&id, started);
            let left = Duration::from_millis(stream.deadline - now);
            let run = start_id(endpoint, started);
            if is_first {
                let confirmed = !goes_on || process.started == started;
                let admitted = stream.version.admit(version, is_certain).filter(|_| confirmed);
                let Some(admitted) = admitted else { return self.caller_leaves(index) };
                if is_certain {
                    stream.admitted = Some((endpoint, started, goes_on));
                }
                if admitted != stream.version || goes_on {
                    stream.version = admitted;
                    let origin = admitted.required().map_or(Origin::Unsure, Origin::Version);
                    gateway.origins.begin(at, stream.id, run, origin, left);
                }
            } else if !is_known_start {
                if stream.version != StreamVersion::Unsure {
                    stream.version = StreamVersion::Unsure;
                    gateway.origins.begin(at, stream.id, run, Origin::Contradictory, left);
                }
                if stream.admitted.is_some_and(|(.., goes_on)| goes_on) {
                    return self.caller_leaves(index);
                }
            }
        }
        self.deliver(index, endpoint);
    }

    fn deliver(&mut self, index: usize, endpoint: usize) {
        let version = self.endpoints[endpoint].version;
        let stream = &mut self.streams[index];
        if stream.written_by.is_empty() {
            self.outcome.begun_served += 1;
        } else if std::mem::take(&mut stream.counts_as_resumed) {
            self.outcome.resumed_served += 1;
        }
        if !stream.written_by.contains(&version) {
            stream.written_by.push(version);
            self.outcome.mixed += usize::from(stream.written_by.len() == 2);
        }
        stream.events_left -= 1;
        if let Phase::Running { next_event, .. } = &mut stream.phase {
            *next_event = self.now + EVENT_MS;
        }
        if stream.events_left == 0 {
            stream.phase = Phase::Ended;
        }
    }
}

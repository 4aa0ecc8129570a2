//! Gossip with the other gateways and with engine agents.
//!
//! Gateways exchange their status, their demand and the requests suspected of crashing
//! endpoints. Agents report the status of their engines and receive requests to load
//! and unload models and adapters.

use std::{
    collections::{HashMap, HashSet},
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use log::info;
use metrics::gauge;
use tokio::time;

use crate::{
    core::{
        forwarding::{EndpointSubset, LoadReport, Locality, ShareReport, VersionGap},
        ids::EndpointId,
        membership::Contacts,
        placement::PlannerTenure,
    },
    gateway::{
        admission, bootstrap,
        crash_reports::{self, CrashReporter},
        hellos, limits,
        planner::{self, AgentInfo, Planner},
        quotas,
        retries::ShareLog,
        shared::{self, SharedState},
        streams,
    },
    gossip::{
        Body, Demand, EngineLoad, EngineStatus, GatewayStatus, Hello, KeptSegments,
        ResidencyChange, Socket, TrialClaims, rotating_subset,
    },
    telemetry::names,
};

/// Interval at which messages to peers and agents are considered.
const SEND_INTERVAL: Duration = Duration::from_millis(400);
/// Interval of messages to an agent when there is nothing new for it.
const HELLO_INTERVAL: Duration = Duration::from_millis(1500);
/// A peer without a message for this long is no longer counted as live.
const PEER_TIMEOUT: Duration = Duration::from_millis(2000);
/// An agent without a message for this long is no longer counted as live. Three times
/// the interval at which agents send to all gateways.
const AGENT_TIMEOUT: Duration = Duration::from_millis(5500);
/// Interval of messages to all peers; the planner gets one at every send interval.
const BROADCAST_INTERVAL: Duration = Duration::from_millis(800);
/// Number of rounds after the start that all go to all peers.
const INITIAL_BROADCASTS: usize = 8;
/// The peers and agents that this gateway knows.
#[derive(Debug)]
struct PeerTracker {
    gateways: HashMap<SocketAddr, PeerInfo>,
    contacts: Contacts,
    agents: HashMap<EndpointId, AgentInfo>,
    last_hello: HashMap<EndpointId, Instant>,
    crash_reporter: CrashReporter,
    tenure: PlannerTenure,
    share_log: ShareLog,
    version_gap: VersionGap,
    // Gateways that have just started or were silent, and were not told of streams yet.
    newcomers: Vec<SocketAddr>,
    // Whether this gateway stops and has handed over what it knows of streams.
    handed_over: bool,
    started: Instant,
    // Number of other gateways in the settings.
    other_seeds: usize,
    last_broadcast: Option<Instant>,
    rounds: usize,
}

#[derive(Clone, Debug)]
struct PeerInfo {
    last_heard: Option<Instant>,
    // When the settings or a message last listed the address. Such a list may be stale,
    // so an address that stays silent is dropped some time later.
    last_listed: Instant,
    serving: bool,
    zone: String,
    demand: Vec<Demand>,
    // Suspects whose trials it claims, and when it last said so.
    claims: Option<(Instant, HashSet<u64>)>,
}

/// Sends and receives gossip until the process ends.
pub(super) async fn run(
    shared: Arc<SharedState>,
    socket: Socket,
    own: SocketAddr,
    seeds: Vec<IpAddr>,
) {
    let mut peers = PeerTracker::new(own, &seeds);
    let mut planner = Planner::default();
    let now = Instant::now();
    for seed in seeds {
        peers.add_contact(now, own, SocketAddr::new(seed, own.port()));
    }
    let mut ticks = time::interval(SEND_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                peers.expire(&shared, own);
                peers.send_to_gateways(&shared, &socket, false);
                peers.send_to_agents(&shared, &socket, own, &mut planner);
                if let Some(holder) = peers.version_gap.take_due(Instant::now(), shared.version()) {
                    tokio::spawn(bootstrap::fetch_configuration(shared.clone(), holder));
                }
            }
            () = shared.peer_update_due.notified() =>
                peers.send_to_gateways(&shared, &socket, true),
            () = shared.admission_due.notified() => admission::send_due(&shared, &socket, own),
            () = shared.limits_changed.notified() => peers.send_limits(&shared, &socket),
            () = shared.quota_report_due.notified() =>
                quotas::send(&shared, &socket, peers.gateways.keys().copied()),
            () = shared.streams_changed.notified() => peers.send_streams(&shared, &socket),
            () = shared.adapter_wanted.notified() =>
                hellos::send_adapter_requests(&shared, &socket, own),
            received = socket.receive() => {
                if let Ok((from, body)) = received {
                    peers.receive(&shared, &socket, own, from, body);
                }
            }
        }
    }
}

impl PeerTracker {
    fn new(own: SocketAddr, seeds: &[IpAddr]) -> Self {
        Self {
            gateways: HashMap::new(),
            contacts: Contacts::default(),
            agents: HashMap::new(),
            last_hello: HashMap::new(),
            crash_reporter: CrashReporter::default(),
            tenure: PlannerTenure::default(),
            share_log: ShareLog::default(),
            version_gap: VersionGap::default(),
            newcomers: Vec::new(),
            handed_over: false,
            started: Instant::now(),
            other_seeds: seeds.iter().filter(|seed| **seed != own.ip()).count(),
            last_broadcast: None,
            rounds: 0,
        }
    }

    /// Adds a gateway that the settings or the directory name.
    fn add_contact(&mut self, now: Instant, own: SocketAddr, address: SocketAddr) {
        if address != own {
            self.contacts.list(now, address);
        }
        self.add_gateway(now, own, address);
    }

    /// Adds a gateway, or notes that a known one was listed again.
    fn add_gateway(&mut self, now: Instant, own: SocketAddr, address: SocketAddr) {
        if address != own {
            let new = || PeerInfo {
                last_heard: None,
                last_listed: now,
                serving: false,
                zone: String::new(),
                demand: Vec::new(),
                claims: None,
            };
            self.gateways.entry(address).or_insert_with(new).last_listed = now;
        }
    }

    fn receive(
        &mut self,
        shared: &SharedState,
        socket: &Socket,
        own: SocketAddr,
        from: SocketAddr,
        body: Body,
    ) {
        let now = Instant::now();
        match body {
            Body::GatewayStatus(status) => {
                self.add_gateway(now, own, from);
                self.contacts.record_heard(now, from);
                let (process, share) = (limits::process_id(from), ShareReport::from(&status));
                shared.lock().retry_share.record(now, process, share);
                self.version_gap.record(now, shared.version(), status.configuration, from);
                if let Some(kept) = &status.kept {
                    shared.lock().dispatcher.kept_prompts_mut().merge(now, kept.segments());
                }
                if let Some(peer) = self.gateways.get_mut(&from) {
                    if peer.last_heard.is_none_or(|at| at + PEER_TIMEOUT <= now) {
                        // The peer may have just started and not know any gateway yet, or
                        // have missed reports.
                        self.crash_reporter.record_missed(from);
                        self.newcomers.push(from);
                        shared.peer_update_due.notify_one();
                    }
                    peer.last_heard = Some(now);
                    peer.serving = status.serving;
                    peer.demand = status.demand;
                    peer.zone = status.zone;
                }
                self.add_listed_gateways(now, own, &status.gateways);
            }
            Body::EngineStatus(status) => {
                self.add_listed_gateways(now, own, &status.gateways);
                self.receive_engine_status(shared, now, &status);
            }
            Body::EngineLoad(load) => self.receive_engine_load(shared, now, &load),
            Body::CrashReports(reports) => crash_reports::receive(shared, from, reports),
            Body::LimitReports(reports) => limits::receive(shared, from, reports),
            Body::QuotaReports(reports) => quotas::receive(shared, from, reports),
            Body::Streams(message) => streams::receive(shared, socket, from, message),
            Body::TrialClaims(claims) => {
                if let Some(peer) = self.gateways.get_mut(&from) {
                    peer.claims = Some((now, claims.suspects.into_iter().collect()));
                    self.update_position(&mut shared.lock(), now, own);
                }
            }
            Body::AdmissionAnswer(answer) => admission::receive(shared, &answer),
            Body::Hello(_) | Body::AdmissionRequest(_) | Body::Part(_) => {}
        }
    }

    fn add_listed_gateways(&mut self, now: Instant, own: SocketAddr, gateways: &[String]) {
        for address in gateways.iter().filter_map(|g| g.parse().ok()) {
            self.add_gateway(now, own, address);
        }
    }

    fn receive_engine_status(&mut self, shared: &SharedState, now: Instant, status: &EngineStatus) {
        let Ok(address) = status.engine.parse() else { return };
        let mut state = shared.lock();
        let Some(id) = state.registry.find_by_address(address).map(|e| e.id().clone()) else {
            return;
        };
        let sequence = (status.started_ms, status.sequence);
        let last = self.agents.get(&id).map(|a| a.sequence);
        if last.is_some_and(|last| sequence <= last) {
            return;
        }
        if last.is_none() {
            info!("event=agent_heard endpoint={id}");
        }
        let agent = AgentInfo {
            last_heard: now,
            sequence,
            load_sequence: sequence,
            used_memory: status.weights_mib,
            can_order: status.can_order,
            in_use: status.in_use.iter().map(|m| m.as_str().into()).collect(),
        };
        self.agents.insert(id.clone(), agent);
        state.registry.set_agent_residency(&id, Some(status.residency()));
        let loading = Some(status.loading.as_str()).filter(|model| !model.is_empty());
        state.dispatcher.record_loading(now, &id, loading.map(Into::into));
        state.dispatcher.set_admits(&id, status.admits);
        record_load(&mut state, now, &id, &EngineLoad::from(status));
        if status.draining {
            state.registry.mark_draining(&id);
        }
        drop(state);
        shared.dispatch_waiting();
    }

    fn receive_engine_load(&mut self, shared: &SharedState, now: Instant, load: &EngineLoad) {
        let Ok(address) = load.engine.parse() else { return };
        let mut state = shared.lock();
        let Some(id) = state.registry.find_by_address(address).map(|e| e.id().clone()) else {
            return;
        };
        // The load is of use only after an `EngineStatus` has reported the loaded models.
        let Some(agent) = self.agents.get_mut(&id) else { return };
        let sequence = (load.started_ms, load.sequence);
        if sequence <= agent.load_sequence {
            return;
        }
        agent.load_sequence = sequence;
        agent.last_heard = now;
        record_load(&mut state, now, &id, load);
        drop(state);
        shared.dispatch_waiting();
    }

    /// Drops silent gateways and agents and updates what depends on the live ones.
    fn expire(&mut self, shared: &SharedState, own: SocketAddr) {
        let now = Instant::now();
        self.gateways.retain(|_, peer| {
            let last = peer.last_heard.unwrap_or(peer.last_listed).max(peer.last_listed);
            now < last + PEER_TIMEOUT * 5
        });
        let mut state = shared.lock();
        for gateway in state.take_listed_gateways() {
            self.add_contact(now, own, gateway);
        }
        let silent: Vec<EndpointId> = self
            .agents
            .iter()
            .filter(|(_, agent)| agent.last_heard + AGENT_TIMEOUT < now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in silent {
            info!("event=agent_silent endpoint={id}");
            self.agents.remove(&id);
            state.dispatcher.record_loading(now, &id, None);
            state.registry.set_agent_residency(&id, None);
            state.dispatcher.set_admits(&id, false);
        }
        let live = self.live_gateways(now).count();
        state.retry_share.update(now);
        self.share_log.record(now, &state.retry_share);
        state.set_known_gateways(now, 1 + self.gateways.len().max(self.other_seeds));
        // After its start, a gateway may not yet have heard from all those with which it
        // shares connections. For one retry window it assumes that all listed ones run.
        let recently_started = now < self.started + shared.bounds().retry_window;
        let listed = self.gateways.len().max(self.other_seeds);
        let others = if recently_started { live.max(listed) } else { live };
        state.dispatcher.set_processes(1 + others);
        let position = self.update_position(&mut state, now, own);
        // One gateway deletes what all have forgotten.
        let mut forgotten = state.gate.expire(now);
        forgotten.retain(|suspect| position == 0 && state.record_change(*suspect));
        if !forgotten.is_empty() {
            shared.report_unsaved.notify_one();
        }
        let gone = self.contacts.take_forgotten(now);
        state.demand.expire(now);
        state.origins.expire(now);
        state.log_ended_rests(now);
        gauge!(names::GATEWAYS).set((1 + live) as f64);
        drop(state);
        if position == 0 && !gone.is_empty() {
            shared.delete_from_directory(gone);
        }
    }

    fn live_gateways(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&SocketAddr, &PeerInfo)> + Clone {
        let is_live =
            move |peer: &PeerInfo| peer.last_heard.is_some_and(|at| now < at + PEER_TIMEOUT);
        self.gateways.iter().filter(move |(_, peer)| is_live(peer))
    }

    /// Updates what depends on the position of this gateway among the live gateways that accept
    /// requests, ordered by region, zone and address. Returns the position.
    fn update_position(&self, state: &mut shared::State, now: Instant, own: SocketAddr) -> usize {
        let locality = state.dispatcher.locality();
        let others = self.live_gateways(now).filter(|(_, peer)| peer.serving);
        let mut ordered: Vec<_> = others
            .map(|(a, peer)| (locality.sort_key(&peer.zone), *a, peer.claims.as_ref()))
            .chain([(locality.sort_key(&locality.zone), own, None)])
            .collect();
        ordered.sort_unstable_by(|a, b| (&a.0, a.1).cmp(&(&b.0, b.1)));
        let position = ordered.iter().position(|(_, a, _)| *a == own).unwrap_or(0);
        let count = ordered.len();
        let claims = ordered.into_iter().enumerate().filter_map(|(position, (.., claims))| {
            let (at, suspects) = claims?;
            (now < *at + PEER_TIMEOUT).then(|| (position, suspects.clone()))
        });
        let claims = claims.collect();
        state.dispatcher.set_subset(EndpointSubset::new(position, count));
        state.gate.set_position(position, count);
        state.gate.set_other_claims(claims);
        position
    }

    /// Whether this gateway plans placement: among the live gateways that accept
    /// requests, the one with the lowest address does.
    fn is_planner(&self, now: Instant, own: SocketAddr, serving: bool) -> bool {
        serving && self.planner(now).is_none_or(|other| own < other)
    }

    /// Sends the status with the demand to the planner, and without it to all other
    /// gateways when a broadcast is due or `at_once` is set.
    fn send_to_gateways(&mut self, shared: &SharedState, socket: &Socket, at_once: bool) {
        let now = Instant::now();
        let serving = shared.is_ready();
        let (reports, limits, demand, zone, share, claims) = {
            let state = shared.lock();
            let reports = self.crash_reporter.take_due(now, &state.gate);
            let zone = state.dispatcher.locality().zone.to_string();
            let demand = planner::own_demand(now, &state);
            let claims = state.gate.claims(now);
            (reports, state.limit_reports(now), demand, zone, state.retry_share.report(), claims)
        };
        let broadcast = at_once || self.is_broadcast_due(now);
        if broadcast {
            self.last_broadcast = Some(now);
        }
        self.rounds += 1;
        let planner = self.planner(now);
        let live: Vec<SocketAddr> = self.live_gateways(now).map(|(address, _)| *address).collect();
        let gateways = rotating_subset(&live, self.rounds);
        let ShareReport { processes, is_informed } = share;
        let known = processes as u32;
        let configuration = shared.version().unwrap_or(0);
        let mut status = GatewayStatus {
            serving,
            demand,
            gateways,
            zone,
            known,
            is_informed,
            configuration,
            kept: None,
        };
        if broadcast {
            let room = KeptSegments::room_beside(&status);
            let kept = shared.lock().dispatcher.kept_prompts_mut().take_report(now, room);
            status.kept = KeptSegments::new(&kept);
        }
        let without_demand = GatewayStatus { demand: Vec::new(), ..status.clone() };
        let gateways = &self.gateways;
        if let Some(silent) = self.contacts.take_silent(now, |a| gateways.contains_key(&a)) {
            socket.send(silent, Body::GatewayStatus(without_demand.clone()));
        }
        for address in self.gateways.keys() {
            if planner == Some(*address) {
                socket.send(*address, Body::GatewayStatus(status.clone()));
            } else if broadcast {
                socket.send(*address, Body::GatewayStatus(without_demand.clone()));
            }
            for limits in limits.iter().filter(|_| broadcast) {
                socket.send(*address, Body::LimitReports(limits.clone()));
            }
            for reports in reports.for_peer(address, broadcast) {
                socket.send(*address, Body::CrashReports(reports.clone()));
            }
            if broadcast && !claims.is_empty() {
                let claims = TrialClaims { suspects: claims.clone() };
                socket.send(*address, Body::TrialClaims(claims));
            }
        }
        self.repeat_streams(shared, socket, broadcast);
    }

    /// Tells other gateways of the streams that have begun here, and asks about those that
    /// callers resume. One that stops hands over all that it knows.
    fn send_streams(&mut self, shared: &SharedState, socket: &Socket) {
        let now = Instant::now();
        let stops = shared.is_shutting_down() && !std::mem::replace(&mut self.handed_over, true);
        let reports = {
            let origins = &mut shared.lock().origins;
            let untold = origins.take_untold(now);
            if stops { origins.all_reports(now) } else { untold }
        };
        streams::send(shared, socket, &self.reachable_gateways(now), reports);
    }

    /// Repeats what datagrams may have lost, and hands over streams to newcomers.
    fn repeat_streams(&mut self, shared: &SharedState, socket: &Socket, broadcast: bool) {
        let now = Instant::now();
        let gateways = self.reachable_gateways(now);
        let newcomers = std::mem::take(&mut self.newcomers);
        if !newcomers.is_empty() {
            let all = shared.lock().origins.all_reports(now);
            for newcomer in newcomers {
                streams::hand_over(socket, &gateways, newcomer, &all);
            }
        }
        if broadcast {
            let mut state = shared.lock();
            let mut due = state.origins.take_untold(now);
            due.extend(state.origins.recent_reports(now));
            drop(state);
            streams::send(shared, socket, &gateways, due);
        }
    }

    /// The other gateways that are live, or for some time after the start all known ones.
    fn reachable_gateways(&self, now: Instant) -> Vec<SocketAddr> {
        if now < self.started + PEER_TIMEOUT {
            return self.gateways.keys().copied().collect();
        }
        self.live_gateways(now).map(|(address, _)| *address).collect()
    }

    /// Sends what changed of limits to all other gateways.
    fn send_limits(&self, shared: &SharedState, socket: &Socket) {
        let latest = shared.lock().limit_reports(Instant::now()).into_iter().next();
        let Some(latest) = latest else { return };
        for address in self.gateways.keys() {
            socket.send(*address, Body::LimitReports(latest.clone()));
        }
    }

    fn is_broadcast_due(&self, now: Instant) -> bool {
        let due = self.last_broadcast.is_none_or(|at| at + BROADCAST_INTERVAL <= now);
        due || self.rounds < INITIAL_BROADCASTS
    }

    /// The lowest address among the other live gateways that accept requests.
    fn planner(&self, now: Instant) -> Option<SocketAddr> {
        self.live_gateways(now).filter(|(_, peer)| peer.serving).map(|(address, _)| *address).min()
    }

    /// The demand at this gateway and all live ones.
    fn demand(&self, now: Instant, state: &shared::State) -> Vec<Demand> {
        let of_peers = self.live_gateways(now).flat_map(|(_, peer)| peer.demand.iter().cloned());
        of_peers.chain(planner::own_demand(now, state)).collect()
    }

    /// Sends a [`Hello`] to each agent for which there is news or one is due.
    fn send_to_agents(
        &mut self,
        shared: &SharedState,
        socket: &Socket,
        own: SocketAddr,
        planner: &mut Planner,
    ) {
        let now = Instant::now();
        let serving = shared.is_ready();
        // After a pause all others seem silent, and plans and demand are old.
        let may_plan = self.tenure.may_plan(now);
        let is_planner = may_plan && self.is_planner(now, own, serving);
        let mut state = shared.lock();
        let demand = if is_planner { self.demand(now, &state) } else { Vec::new() };
        let placement_changes = planner.run(now, &state, &self.agents, &demand, is_planner);
        let mut all_changes: HashMap<EndpointId, Vec<ResidencyChange>> = HashMap::new();
        for change in &placement_changes {
            all_changes
                .entry(change.engine.clone())
                .or_default()
                .extend(planner::residency_changes(change));
        }
        for (id, adapters) in hellos::adapter_requests(&state) {
            all_changes.entry(id).or_default().extend(adapters);
        }
        let mut all_used = state.dispatcher.take_in_use();
        for (id, address, engine_started_ms) in hellos::agents(&state, own) {
            let changes = all_changes.remove(&id).unwrap_or_default();
            let used = all_used.remove(&id).unwrap_or_default();
            let used_models: Vec<String> = used.iter().map(hellos::model_ref_text).collect();
            let wants_status = !self.agents.contains_key(&id);
            let due = self.last_hello.get(&id).is_none_or(|at| *at + HELLO_INTERVAL <= now);
            if is_planner || wants_status || due || !changes.is_empty() || !used_models.is_empty() {
                let hello = Hello {
                    serving,
                    is_planner,
                    changes,
                    used_models,
                    wants_status,
                    ..hellos::naming(&id, engine_started_ms)
                };
                self.last_hello.insert(id, now);
                socket.send(address, Body::Hello(hello));
            }
        }
        self.last_hello.retain(|_, at| now < *at + HELLO_INTERVAL * 2);
    }
}

fn record_load(state: &mut shared::State, now: Instant, id: &str, load: &EngineLoad) {
    if let Some(endpoint) = state.registry.get(id) {
        state.dispatcher.record_report(now, endpoint, LoadReport::from(load));
    }
}

/// Builds the locality of this gateway, its zone and the region of each zone, from its
/// settings.
pub(super) fn locality(zone: &str, regions: &[(String, String)]) -> Locality {
    let regions = regions.iter().map(|(z, r)| (z.as_str().into(), r.as_str().into()));
    Locality { zone: zone.into(), regions: regions.collect() }
}

//! What gateways tell each other and the agents beside engines.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use log::info;
use metrics::gauge;
use tokio::time;

use crate::{
    core::{
        forwarding::{Endpoint, EndpointSubset, LoadReport, Locality, ModelRef, WantedAdapter},
        ids::EndpointId,
    },
    gateway::{
        hub::{self, Hub},
        planner::{self, AgentFacts, Planner},
    },
    gossip::{
        Body, Demand, Hello, Load, Peer, Socket, State, Suspicion, Wish, WishKind, some_names,
    },
    telemetry::names,
};

/// Time between messages to a peer or an agent.
const SEND_EVERY: Duration = Duration::from_millis(400);
/// Time between greetings to an agent that has nothing else to hear.
const GREET_EVERY: Duration = Duration::from_millis(1500);
/// A peer that was not heard for so long counts no more.
const SILENT_AFTER: Duration = Duration::from_millis(2000);
/// The same for an agent. Source: three of the messages that agents send to all.
const AGENT_SILENT_AFTER: Duration = Duration::from_millis(5500);
/// Time between messages to a peer that does not plan.
const TELL_PEER_EVERY: Duration = Duration::from_millis(800);
/// Rounds after the start in which all peers are told each time.
const FIRST_ROUNDS: usize = 8;
/// How long a suspicion is told to peers.
const TELL_SUSPICIONS_FOR: Duration = Duration::from_secs(3);
/// Most suspicions in one datagram.
const MAX_SUSPICIONS: usize = 24;

/// What is known of the others.
#[derive(Debug)]
struct Others {
    gateways: HashMap<SocketAddr, Heard>,
    agents: HashMap<EndpointId, AgentFacts>,
    greeted: HashMap<EndpointId, Instant>,
    started: Instant,
    // Number of other gateways that the settings name.
    seeds: usize,
    told_all: Option<Instant>,
    rounds: usize,
}

#[derive(Clone, Debug)]
struct Heard {
    at: Option<Instant>,
    // Where the address came from may be stale; it is not asked for ever.
    named: Instant,
    serving: bool,
    zone: String,
    demand: Vec<Demand>,
}

/// Sends and receives until the process ends.
pub(super) async fn run(hub: Arc<Hub>, socket: Socket, own: SocketAddr, seeds: Vec<IpAddr>) {
    let mut others = Others::new(own, &seeds);
    let mut planner = Planner::default();
    let now = Instant::now();
    for seed in seeds {
        others.name(now, own, SocketAddr::new(seed, own.port()));
    }
    let mut ticks = time::interval(SEND_EVERY);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                others.expire(&hub, own);
                others.tell_peers(&hub, &socket, false);
                others.tell_agents(&hub, &socket, own, &mut planner);
            }
            () = hub.urgent.notified() => others.tell_peers(&hub, &socket, true),
            () = hub.wanted.notified() => tell_wanted(&hub, &socket, own),
            received = socket.receive() => {
                if let Ok((from, body)) = received {
                    others.receive(&hub, own, from, body);
                }
            }
        }
    }
}

impl Others {
    fn new(own: SocketAddr, seeds: &[IpAddr]) -> Self {
        Self {
            gateways: HashMap::new(),
            agents: HashMap::new(),
            greeted: HashMap::new(),
            started: Instant::now(),
            seeds: seeds.iter().filter(|seed| **seed != own.ip()).count(),
            told_all: None,
            rounds: 0,
        }
    }

    fn name(&mut self, now: Instant, own: SocketAddr, address: SocketAddr) {
        if address != own {
            let new = || Heard {
                at: None,
                named: now,
                serving: false,
                zone: String::new(),
                demand: Vec::new(),
            };
            self.gateways.entry(address).or_insert_with(new).named = now;
        }
    }

    fn receive(&mut self, hub: &Hub, own: SocketAddr, from: SocketAddr, body: Body) {
        let now = Instant::now();
        match body {
            Body::Peer(peer) => {
                self.name(now, own, from);
                if let Some(heard) = self.gateways.get_mut(&from) {
                    if heard.at.is_none_or(|at| at + SILENT_AFTER <= now) {
                        // It may just have started and know nobody.
                        hub.urgent.notify_one();
                    }
                    heard.at = Some(now);
                    heard.serving = peer.serving;
                    heard.demand = peer.demand;
                    heard.zone = peer.zone;
                }
                self.named(now, own, &peer.gateways);
                let mut state = hub.lock();
                for suspicion in &peer.suspicions {
                    state.suspects.merge(now, suspicion.fingerprint, suspicion.breaks);
                }
            }
            Body::State(state) => {
                self.named(now, own, &state.gateways);
                self.agent(hub, now, &state);
            }
            Body::Load(load) => self.load(hub, now, &load),
            Body::Hello(_) => {}
        }
    }

    fn named(&mut self, now: Instant, own: SocketAddr, gateways: &[String]) {
        for address in gateways.iter().filter_map(|g| g.parse().ok()) {
            self.name(now, own, address);
        }
    }

    fn agent(&mut self, hub: &Hub, now: Instant, told: &State) {
        let Ok(address) = told.engine.parse() else { return };
        let mut state = hub.lock();
        let Some(id) = state.book.find_by_address(address).map(|e| e.id().clone()) else { return };
        let number = (told.started, told.number);
        let last = self.agents.get(&id).map(|f| f.number);
        if last.is_some_and(|last| number <= last) {
            return;
        }
        if last.is_none() {
            info!("event=agent_heard endpoint={id}");
        }
        let facts = AgentFacts {
            at: now,
            number,
            load_number: number,
            taken: told.taken,
            able: told.able,
            in_use: told.in_use.iter().map(|m| m.as_str().into()).collect(),
        };
        self.agents.insert(id.clone(), facts);
        state.book.set_agent_residency(&id, Some(told.residency()));
        state.dispatcher.record_report(now, &id, LoadReport::from(&Load::from(told)));
        if told.draining {
            state.book.mark_draining(&id);
        }
        drop(state);
        hub.pump();
    }

    fn load(&mut self, hub: &Hub, now: Instant, told: &Load) {
        let Ok(address) = told.engine.parse() else { return };
        let mut state = hub.lock();
        let Some(id) = state.book.find_by_address(address).map(|e| e.id().clone()) else { return };
        // What it holds comes first, by another message.
        let Some(facts) = self.agents.get_mut(&id) else { return };
        let number = (told.started, told.number);
        if number <= facts.load_number {
            return;
        }
        facts.load_number = number;
        facts.at = now;
        state.dispatcher.record_report(now, &id, LoadReport::from(told));
        drop(state);
        hub.pump();
    }

    fn expire(&mut self, hub: &Hub, own: SocketAddr) {
        let now = Instant::now();
        self.gateways.retain(|_, h| {
            let last = h.at.unwrap_or(h.named).max(h.named);
            now < last + SILENT_AFTER * 5
        });
        let mut state = hub.lock();
        let silent: Vec<EndpointId> = self
            .agents
            .iter()
            .filter(|(_, facts)| facts.at + AGENT_SILENT_AFTER < now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in silent {
            info!("event=agent_silent endpoint={id}");
            self.agents.remove(&id);
            state.book.set_agent_residency(&id, None);
        }
        let heard = self.live(now).count();
        // Who has just started may not hear all with which it shares the budget.
        let young = now < self.started + hub.bounds().retry_window;
        let others = if young { heard.max(self.seeds) } else { heard };
        state.dispatcher.set_processes(1 + others);
        let sharing = self.sharing(now, own, state.dispatcher.locality());
        state.dispatcher.set_subset(sharing);
        state.demand.expire(now);
        gauge!(names::GATEWAYS).set((1 + heard) as f64);
    }

    fn live(&self, now: Instant) -> impl Iterator<Item = (&SocketAddr, &Heard)> + Clone {
        let heard = move |h: &Heard| h.at.is_some_and(|at| now < at + SILENT_AFTER);
        self.gateways.iter().filter(move |(_, h)| heard(h))
    }

    /// The position of this gateway among those that take requests.
    fn sharing(&self, now: Instant, own: SocketAddr, place: &Locality) -> EndpointSubset {
        let here = (place.sort_key(&place.zone), own);
        let others = self.live(now).filter(|(_, h)| h.serving);
        let before = others.clone().filter(|(a, h)| (place.sort_key(&h.zone), **a) < here).count();
        EndpointSubset::new(before, others.count() + 1)
    }

    /// The gateway with the lowest address among those that serve plans for all.
    fn plans(&self, now: Instant, own: SocketAddr, serving: bool) -> bool {
        serving && self.planner(now).is_none_or(|other| own < other)
    }

    /// Tells the peer that plans of demand, and all now and then, or at once, that
    /// this gateway is there.
    fn tell_peers(&mut self, hub: &Hub, socket: &Socket, at_once: bool) {
        let now = Instant::now();
        let serving = hub.is_ready();
        let (suspicions, demand, zone) = {
            let state = hub.lock();
            let recent = now.checked_sub(TELL_SUSPICIONS_FOR).unwrap_or(now);
            let told = state.suspects.crashed_since(recent).take(MAX_SUSPICIONS);
            let told = told.map(|(fingerprint, breaks)| Suspicion { fingerprint, breaks });
            let zone = state.dispatcher.locality().zone.to_string();
            (told.collect(), planner::own_demand(now, &state), zone)
        };
        let all = at_once || self.is_round_for_all(now);
        if all {
            self.told_all = Some(now);
        }
        self.rounds += 1;
        let planner = self.planner(now);
        let live: Vec<SocketAddr> = self.live(now).map(|(address, _)| *address).collect();
        let gateways = some_names(&live, self.rounds);
        let peer = Peer { serving, demand, suspicions, gateways, zone };
        let greeting = Peer { demand: Vec::new(), ..peer.clone() };
        for address in self.gateways.keys() {
            if planner == Some(*address) {
                socket.send(*address, Body::Peer(peer.clone()));
            } else if all {
                socket.send(*address, Body::Peer(greeting.clone()));
            }
        }
    }

    fn is_round_for_all(&self, now: Instant) -> bool {
        let due = self.told_all.is_none_or(|at| at + TELL_PEER_EVERY <= now);
        due || self.rounds < FIRST_ROUNDS
    }

    /// The live peer with the lowest address that serves.
    fn planner(&self, now: Instant) -> Option<SocketAddr> {
        self.live(now).filter(|(_, h)| h.serving).map(|(address, _)| *address).min()
    }

    /// The demand that this gateway and the others see.
    fn demand(&self, now: Instant, state: &hub::State) -> Vec<Demand> {
        let theirs = self.live(now).flat_map(|(_, h)| h.demand.iter().cloned());
        theirs.chain(planner::own_demand(now, state)).collect()
    }

    fn tell_agents(&mut self, hub: &Hub, socket: &Socket, own: SocketAddr, planner: &mut Planner) {
        let now = Instant::now();
        let serving = hub.is_ready();
        let plans = self.plans(now, own, serving);
        let mut state = hub.lock();
        let demand = if plans { self.demand(now, &state) } else { Vec::new() };
        let planned = planner.run(now, &state, &self.agents, &demand, plans);
        let mut wishes: HashMap<EndpointId, Vec<Wish>> = HashMap::new();
        for wish in &planned {
            wishes.entry(wish.engine.clone()).or_default().extend(planner::wishes_of(wish));
        }
        for (id, adapters) in adapter_wishes(&state) {
            wishes.entry(id).or_default().extend(adapters);
        }
        let mut all_used = state.dispatcher.take_in_use();
        for (id, address) in agents(&state, own) {
            let wishes = wishes.remove(&id).unwrap_or_default();
            let used = all_used.remove(&id).unwrap_or_default();
            let used: Vec<String> = used.iter().map(item_name).collect();
            let asks = !self.agents.contains_key(&id);
            let due = self.greeted.get(&id).is_none_or(|at| *at + GREET_EVERY <= now);
            if plans || asks || due || !wishes.is_empty() || !used.is_empty() {
                self.greeted.insert(id, now);
                socket.send(address, Body::Hello(Hello { serving, plans, wishes, used, asks }));
            }
        }
        self.greeted.retain(|_, at| now < *at + GREET_EVERY * 2);
    }
}

fn agents(state: &hub::State, own: SocketAddr) -> Vec<(EndpointId, SocketAddr)> {
    let engines = state.book.iter().filter(|e| {
        let service = state.table.as_ref().and_then(|t| t.service(&e.registration.service));
        service.is_some_and(|s| s.engine.is_some())
    });
    engines.map(|e| (e.id().clone(), agent_address(e, own))).collect()
}

/// Agents are on the VMs of their engines and listen at the same port as gateways.
fn agent_address(engine: &Endpoint, own: SocketAddr) -> SocketAddr {
    SocketAddr::new(engine.registration.address.ip(), own.port())
}

/// Tells the agents concerned which adapters requests wait for.
fn tell_wanted(hub: &Hub, socket: &Socket, own: SocketAddr) {
    let serving = hub.is_ready();
    let state = hub.lock();
    for (id, wishes) in adapter_wishes(&state) {
        let Some(engine) = state.book.get(&id) else { continue };
        let hello = Hello { serving, plans: false, wishes, used: Vec::new(), asks: false };
        socket.send(agent_address(engine, own), Body::Hello(hello));
    }
}

/// What the agents are asked to load for requests that wait, by engine.
fn adapter_wishes(state: &hub::State) -> HashMap<EndpointId, Vec<Wish>> {
    let mut wishes: HashMap<EndpointId, Vec<Wish>> = HashMap::new();
    for wanted in state.dispatcher.wanted_adapters() {
        wishes.entry(wanted.endpoint.clone()).or_default().push(adapter_wish(wanted));
    }
    wishes
}

/// How a model or an adapter of it is named to agents.
fn item_name((model, adapter): &ModelRef) -> String {
    adapter.as_ref().map_or_else(|| model.to_string(), |adapter| format!("{model}/{adapter}"))
}

fn adapter_wish(wanted: &WantedAdapter) -> Wish {
    Wish {
        kind: WishKind::Load.into(),
        model: wanted.model.to_string(),
        adapter: wanted.adapter.to_string(),
    }
}

/// The place of a process from its settings.
pub(super) fn place(zone: &str, regions: &[(String, String)]) -> Locality {
    let regions = regions.iter().map(|(z, r)| (z.as_str().into(), r.as_str().into()));
    Locality { zone: zone.into(), regions: regions.collect() }
}

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
        forwarding::{EndpointState, Place},
        ids::EndpointId,
    },
    gateway::hub::Hub,
    gossip::{Body, Hello, Peer, Socket, State, Suspicion, Wish, WishKind},
    telemetry::names,
};

/// Time between messages to a peer or an agent.
const SEND_EVERY: Duration = Duration::from_millis(400);
/// A peer or an agent that was not heard for so long counts no more.
const SILENT_AFTER: Duration = Duration::from_millis(2000);
/// How long a suspicion is told to peers.
const TELL_SUSPICIONS_FOR: Duration = Duration::from_secs(3);
/// Most suspicions in one datagram.
const MAX_SUSPICIONS: usize = 24;
/// Most gateways that are named in one datagram.
const MAX_NAMED: usize = 40;

/// What is known of the others.
#[derive(Debug, Default)]
struct Known {
    gateways: HashMap<SocketAddr, Heard>,
    agents: HashMap<EndpointId, (Instant, u64, u64)>,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Option<Instant>,
    // Where the address came from may be stale; it is not asked for ever.
    named: Instant,
    serving: bool,
}

/// Sends and receives until the process ends.
pub(super) async fn run(hub: Arc<Hub>, socket: Socket, own: SocketAddr, seeds: Vec<IpAddr>) {
    let mut known = Known::default();
    let now = Instant::now();
    for seed in seeds {
        known.name(now, own, SocketAddr::new(seed, own.port()));
    }
    let mut ticks = time::interval(SEND_EVERY);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                known.expire(&hub);
                send_all(&hub, &socket, &known, own);
            }
            () = hub.urgent.notified() => send_all(&hub, &socket, &known, own),
            received = socket.receive() => {
                if let Ok((from, body)) = received {
                    known.receive(&hub, own, from, body);
                }
            }
        }
    }
}

impl Known {
    fn name(&mut self, now: Instant, own: SocketAddr, address: SocketAddr) {
        if address != own {
            let new = Heard { at: None, named: now, serving: false };
            self.gateways.entry(address).or_insert(new).named = now;
        }
    }

    fn receive(&mut self, hub: &Hub, own: SocketAddr, from: SocketAddr, body: Body) {
        let now = Instant::now();
        match body {
            Body::Peer(peer) => {
                self.name(now, own, from);
                if let Some(heard) = self.gateways.get_mut(&from) {
                    heard.at = Some(now);
                    heard.serving = peer.serving;
                }
                self.named(now, own, &peer.gateways);
                let mut state = hub.lock();
                for suspicion in &peer.suspicions {
                    state.suspects.told(now, suspicion.fingerprint, suspicion.breaks);
                }
            }
            Body::State(state) => {
                self.named(now, own, &state.gateways);
                self.agent(hub, now, &state);
            }
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
        let Some(id) = state.book.at(address).map(|e| e.id().clone()) else { return };
        let last = self.agents.get(&id).map(|(_, started, number)| (*started, *number));
        if last.is_some_and(|last| (told.started, told.number) <= last) {
            return;
        }
        if last.is_none() {
            info!("event=agent_heard endpoint={id}");
        }
        self.agents.insert(id.clone(), (now, told.started, told.number));
        state.book.set_told(&id, Some(told.residency()));
        state.dispatcher.reported(now, &id, told.reported());
        if told.draining {
            state.book.set_leaving(&id);
        }
        drop(state);
        hub.pump();
    }

    fn expire(&mut self, hub: &Hub) {
        let now = Instant::now();
        self.gateways.retain(|_, h| {
            let last = h.at.unwrap_or(h.named).max(h.named);
            now < last + SILENT_AFTER * 5
        });
        let mut state = hub.lock();
        let silent: Vec<EndpointId> = self
            .agents
            .iter()
            .filter(|(_, (at, ..))| *at + SILENT_AFTER < now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in silent {
            info!("event=agent_silent endpoint={id}");
            self.agents.remove(&id);
            state.book.set_told(&id, None);
        }
        let live = 1 + self.live(now).count();
        state.processes = live;
        state.dispatcher.set_processes(live);
        state.demand.expire(now);
        gauge!(names::GATEWAYS).set(live as f64);
    }

    fn live(&self, now: Instant) -> impl Iterator<Item = SocketAddr> {
        let heard = move |h: &Heard| h.at.is_some_and(|at| now < at + SILENT_AFTER);
        self.gateways.iter().filter(move |(_, h)| heard(h)).map(|(address, _)| *address)
    }
}

fn send_all(hub: &Hub, socket: &Socket, known: &Known, own: SocketAddr) {
    let now = Instant::now();
    let serving = hub.is_ready();
    let (suspicions, agents, wishes) = {
        let state = hub.lock();
        let recent = now.checked_sub(TELL_SUSPICIONS_FOR).unwrap_or(now);
        let told = state.suspects.since(recent).take(MAX_SUSPICIONS);
        let suspicions: Vec<_> =
            told.map(|(fingerprint, breaks)| Suspicion { fingerprint, breaks }).collect();
        let engines = state.book.iter().filter(|e| {
            let service = state.table.as_ref().and_then(|t| t.service(&e.registration.service));
            service.is_some_and(|s| s.engine.is_some())
                && e.registration.state == EndpointState::Ready
        });
        let agents: Vec<SocketAddr> =
            engines.map(|e| SocketAddr::new(e.registration.address.ip(), own.port())).collect();
        (suspicions, agents, adapter_wishes(&state))
    };
    let gateways: Vec<String> =
        known.live(now).chain([own]).take(MAX_NAMED).map(|a| a.to_string()).collect();
    let peer = Peer { serving, demand: Vec::new(), suspicions, gateways };
    for address in known.gateways.keys() {
        socket.send(*address, Body::Peer(peer.clone()));
    }
    for address in agents {
        let wishes = wishes.get(&address.ip()).cloned().unwrap_or_default();
        socket.send(address, Body::Hello(Hello { serving, plans: false, wishes }));
    }
}

/// Adapters that waiting requests need, at an engine that holds their model.
fn adapter_wishes(state: &crate::gateway::hub::State) -> HashMap<IpAddr, Vec<Wish>> {
    let mut wishes: HashMap<IpAddr, Vec<Wish>> = HashMap::new();
    for wanted in state.dispatcher.missing(&state.book) {
        let Some(adapter) = &wanted.adapter else { continue };
        let of_service = state.book.iter().filter(|e| {
            e.is_usable()
                && e.registration.service == wanted.service
                && e.residency().holds(&wanted.model, None)
        });
        let now = Instant::now();
        let best = of_service.min_by_key(|e| {
            let load = state.dispatcher.load(e.id());
            (load.all_unread(now), load.all_running(now), e.id().clone())
        });
        let Some(best) = best else { continue };
        let wish = Wish {
            kind: WishKind::Load.into(),
            model: wanted.model.to_string(),
            adapter: adapter.to_string(),
        };
        wishes.entry(best.registration.address.ip()).or_default().push(wish);
    }
    wishes
}

/// The place of a process from its settings.
pub(super) fn place(zone: &str, regions: &[(String, String)]) -> Place {
    let regions = regions.iter().map(|(z, r)| (z.as_str().into(), r.as_str().into()));
    Place { zone: zone.into(), regions: regions.collect() }
}

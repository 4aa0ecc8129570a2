//! Starts stand-ins, entries and agents, and keeps hold of them.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::{net::TcpListener, time};

use crate::{
    agent,
    agent::HttpBackend,
    core::{
        config::{Action, Change, Fold, Item, ItemKind, Selector},
        ids::{Mib, Offset},
        routing,
    },
    demo::{
        ClusterSpec, Node, Site,
        listeners::{agent_address, listen, next_bed, on_own_thread},
    },
    entry::{self, EntryConfig},
    fakes::{FakeEngine, FakeLog, FakeService, FakeVmList, WeightStore},
    fleet::{ChangeError, ConfigStore, HttpVmList, Vm, VmState, submit},
    http::{StopSignal, stop_channel},
    platform::Store,
};

/// An entry of the bed.
#[derive(Debug)]
pub struct EntryNode {
    /// Its process.
    pub node: Node,
    /// Address for callers.
    pub address: SocketAddr,
    /// Its configuration.
    pub store: Arc<ConfigStore>,
}

/// An agent of the bed.
#[derive(Debug)]
pub struct AgentNode {
    /// Its process.
    pub node: Node,
    /// Its configuration.
    pub store: Arc<ConfigStore>,
}

/// A small fleet.
pub struct LocalCluster {
    /// The log.
    pub log: FakeLog,
    /// The list of VMs.
    pub vms: FakeVmList,
    /// Engines by endpoint.
    pub engines: BTreeMap<String, FakeEngine>,
    /// Plain services by name; the instances of one share their count.
    pub services: BTreeMap<String, FakeService>,
    /// Entries by name.
    pub entries: BTreeMap<String, EntryNode>,
    /// Agents by endpoint.
    pub agents: BTreeMap<String, AgentNode>,
    agent_addresses: BTreeMap<String, SocketAddr>,
    backends: BTreeMap<String, SocketAddr>,
    log_address: SocketAddr,
    vms_address: SocketAddr,
    fold: Fold,
    changes: u64,
    published: Instant,
    stop: StopSignal,
}

const CHANGE_LIMIT: Duration = Duration::from_secs(5);
const LOADS_AT_ONCE: usize = 7;

impl LocalCluster {
    /// Starts everything and waits until all entries are ready.
    ///
    /// # Errors
    /// When an address cannot be listened on or the configuration is refused.
    pub async fn start(shape: &ClusterSpec) -> io::Result<Self> {
        let (stop, stopped) = stop_channel();
        let log = FakeLog::new(shape.log_faults, shape.seed);
        let vms = FakeVmList::default();
        let (listener, log_address) = listen().await?;
        tokio::spawn(log.clone().serve(listener, stopped.clone()));
        let (listener, vms_address) = listen().await?;
        tokio::spawn(vms.clone().serve(listener, stopped.clone()));
        let mut bed = Self {
            log,
            vms,
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            entries: BTreeMap::new(),
            agents: BTreeMap::new(),
            agent_addresses: BTreeMap::new(),
            backends: BTreeMap::new(),
            log_address,
            vms_address,
            fold: Fold::default(),
            changes: 0,
            published: Instant::now(),
            stop,
        };
        bed.start_backends(shape).await?;
        bed.configure(shape).await.map_err(io::Error::other)?;
        for name in bed.backends.keys().cloned().collect::<Vec<_>>() {
            bed.start_agent(&name).await?;
        }
        for (name, site) in &shape.entries {
            bed.start_entry(name, site).await?;
        }
        bed.wait_until_propagated(CHANGE_LIMIT).await;
        Ok(bed)
    }

    async fn start_backends(&mut self, shape: &ClusterSpec) -> io::Result<()> {
        let store = WeightStore::new(LOADS_AT_ONCE);
        for spec in &shape.engines {
            let engine = FakeEngine::new(spec.traits, store.clone());
            let address = on_own_thread(engine.clone(), self.stop.subscribe()).await?;
            self.engines.insert(spec.name.clone(), engine);
            self.backends.insert(spec.name.clone(), address);
        }
        for (endpoint, service, _) in &shape.services {
            let fake = FakeService::new(shape.service_latency);
            let fake = self.services.entry(service.clone()).or_insert(fake).clone();
            let (listener, address) = listen().await?;
            tokio::spawn(fake.serve(listener, self.stop.subscribe()));
            self.backends.insert(endpoint.clone(), address);
        }
        // Agents keep their addresses over restarts, as the VMs they stand on do.
        let bed = next_bed();
        for (i, endpoint) in self.backends.keys().enumerate() {
            self.agent_addresses.insert(endpoint.clone(), agent_address(bed, i));
        }
        Ok(())
    }

    async fn configure(&mut self, shape: &ClusterSpec) -> Result<(), ChangeError> {
        for name in &shape.tenants {
            self.declare(name, Item::Tenant {}).await?;
        }
        for name in &shape.classes {
            self.declare(name, Item::Class {}).await?;
        }
        for (name, memory_mib) in &shape.models {
            self.declare(name, Item::Model { memory_mib: *memory_mib, version: 1 }).await?;
        }
        for (endpoint, service, site) in &shape.services {
            if self.fold.state().item(ItemKind::Service, service).is_none() {
                self.declare(service, Item::Service { idempotent: false }).await?;
            }
            self.declare_endpoint(endpoint, site, 0, Some(service.clone())).await?;
        }
        for spec in &shape.engines {
            self.declare_endpoint(&spec.name, &spec.site, spec.traits.memory, None).await?;
            if spec.traits.checks_fencing {
                let selector = Selector { kind: ItemKind::Endpoint, name: spec.name.clone() };
                let action = Action::Except {
                    selector,
                    key: "endpoint.checks_fencing".to_owned(),
                    value: 1,
                    reason: "the engine refuses old fencing numbers".to_owned(),
                };
                self.submit_change(action).await?;
            }
        }
        Ok(())
    }

    async fn declare_endpoint(
        &mut self,
        name: &str,
        site: &Site,
        memory_mib: Mib,
        service: Option<String>,
    ) -> Result<Offset, ChangeError> {
        let item = Item::Endpoint {
            agent: self.agent_addresses[name],
            region: site.region.clone(),
            zone: site.zone.clone(),
            memory_mib,
            service,
        };
        self.declare(name, item).await
    }

    async fn declare(&mut self, name: &str, item: Item) -> Result<Offset, ChangeError> {
        self.submit_change(Action::Declare { name: name.to_owned(), item }).await
    }

    /// Publishes a change on top of what was read so far, and returns its revision.
    ///
    /// # Errors
    /// The verdict on the change.
    pub async fn submit_change(&mut self, action: Action) -> Result<Offset, ChangeError> {
        self.changes += 1;
        self.published = Instant::now();
        let change = Change {
            id: format!("bed-{}", self.changes),
            operator: "bed".to_owned(),
            base: self.fold.state().path_revision(&action.path()),
            action,
        };
        submit(&self.log, &mut self.fold, &change, CHANGE_LIMIT).await
    }

    /// Starts the agent of an endpoint, or starts it again.
    ///
    /// # Errors
    /// When its address is taken.
    pub async fn start_agent(&mut self, endpoint: &str) -> io::Result<()> {
        let address = self.agent_addresses[endpoint];
        let backend = self.backends[endpoint];
        let (log, vms) = (self.log_address, self.vms_address);
        let name = endpoint.to_owned();
        let start = move || async move {
            let listener = TcpListener::bind(address).await?;
            let process = agent::start(
                name.as_str().into(),
                listener,
                HttpBackend::new(backend),
                Store::new(log),
                HttpVmList::new(vms),
            )?;
            let store = process.store().clone();
            Ok((process, store))
        };
        let stop = |process: agent::AgentProcess<HttpBackend, Store>| process.stop();
        let (node, store) = Node::spawn(endpoint, start, stop).await?;
        self.vms.put(vm(endpoint, address, false));
        self.agents.insert(endpoint.to_owned(), AgentNode { node, store });
        Ok(())
    }

    /// Starts an entry.
    ///
    /// # Errors
    /// When no address can be listened on.
    pub async fn start_entry(&mut self, name: &str, site: &Site) -> io::Result<()> {
        let (log, vms) = (self.log_address, self.vms_address);
        let config = EntryConfig {
            name: name.into(),
            site: routing::Site { region: site.region.clone(), zone: site.zone.clone() },
            drain_notice: Duration::from_millis(100),
        };
        let start = move || async move {
            let (callers, address) = listen().await?;
            let (peers, peer) = listen().await?;
            let (log, vms) = (Store::new(log), HttpVmList::new(vms));
            let process = entry::start(config, callers, peers, log, vms)?;
            let store = process.store().clone();
            Ok((process, (address, peer, store)))
        };
        let stop = |process: entry::EntryProcess<Store>| process.stop();
        let (node, (address, peer, store)) = Node::spawn(name, start, stop).await?;
        self.vms.put(vm(name, peer, true));
        self.entries.insert(name.to_owned(), EntryNode { node, address, store });
        Ok(())
    }

    /// Ends an agent as when its VM fails.
    pub async fn kill_agent(&mut self, endpoint: &str) {
        if let Some(agent) = self.agents.remove(endpoint) {
            agent.node.kill().await;
        }
    }

    /// Stops an agent gracefully; false when it took longer than the limit.
    pub async fn drain_agent(&mut self, endpoint: &str, limit: Duration) -> bool {
        self.vms.leave(endpoint);
        let Some(agent) = self.agents.remove(endpoint) else {
            return false;
        };
        agent.node.stop(limit).await
    }

    /// Ends an entry as when its VM fails.
    pub async fn kill_entry(&mut self, name: &str) {
        self.vms.remove(name);
        if let Some(entry) = self.entries.remove(name) {
            entry.node.kill().await;
        }
    }

    /// Stops an entry gracefully; false when it took longer than the limit.
    pub async fn stop_entry(&mut self, name: &str, limit: Duration) -> bool {
        self.vms.leave(name);
        let Some(entry) = self.entries.remove(name) else {
            return false;
        };
        entry.node.stop(limit).await
    }

    /// Configurations of all processes.
    pub fn stores(&self) -> Vec<Arc<ConfigStore>> {
        let entries = self.entries.values().map(|e| e.store.clone());
        entries.chain(self.agents.values().map(|a| a.store.clone())).collect()
    }

    /// Waits until every process has the last change; returns the time since it was sent.
    pub async fn wait_until_propagated(&self, limit: Duration) -> Option<Duration> {
        let revision = self.fold.state().revision;
        let began = Instant::now();
        while began.elapsed() < limit {
            if self.stores().iter().all(|s| revision <= s.revision()) {
                return Some(self.published.elapsed());
            }
            time::sleep(Duration::from_millis(1)).await;
        }
        None
    }

    /// Waits until the engines hold what the plan places on them.
    pub async fn wait_until_loaded(&self, limit: Duration) -> bool {
        let began = Instant::now();
        while began.elapsed() < limit {
            let plan = crate::core::placement::static_plan(self.fold.state());
            let loaded = plan.replicas.iter().all(|(model, engines)| {
                engines.iter().all(|e| self.engines.get(&**e).is_none_or(|e| e.holds(model)))
            });
            if loaded {
                return true;
            }
            time::sleep(Duration::from_millis(10)).await;
        }
        false
    }

    /// Takes away limits that a measurement would otherwise run into.
    ///
    /// # Errors
    /// The verdict on a change.
    pub async fn remove_limits(&mut self) -> Result<(), ChangeError> {
        let limits = [
            ("tenant.rate_per_s", 1_000_000),
            ("tenant.concurrency", 100_000),
            ("endpoint.max_running", 10_000),
            ("endpoint.queue_limit", 10_000),
        ];
        for (key, value) in limits {
            self.submit_change(Action::Set { key: key.to_owned(), value }).await?;
        }
        self.wait_until_propagated(CHANGE_LIMIT).await;
        Ok(())
    }

    /// Address of the engine or service of an endpoint.
    pub fn backend_address(&self, endpoint: &str) -> SocketAddr {
        self.backends[endpoint]
    }

    /// Address of the list of VMs, for other processes.
    pub fn vms_address(&self) -> SocketAddr {
        self.vms_address
    }

    /// Address of the log, for other processes.
    pub fn log_address(&self) -> SocketAddr {
        self.log_address
    }

    /// Ends everything.
    pub async fn shutdown(mut self) {
        for (_, entry) in std::mem::take(&mut self.entries) {
            entry.node.kill().await;
        }
        for (_, agent) in std::mem::take(&mut self.agents) {
            agent.node.kill().await;
        }
        self.stop.send_replace(true);
    }
}

fn vm(name: &str, address: SocketAddr, entry: bool) -> Vm {
    Vm { name: name.into(), address, entry, state: VmState::Live }
}

//! Starts the fakes, entries and agents of a local cluster, and stops and restarts them.

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
        listeners::{agent_address, listen, next_cluster_number, serve_on_thread},
    },
    entry::{self, EntryConfig},
    fakes::{FakeEngine, FakeLog, FakeService, FakeVmList, WeightStore},
    fleet::{ChangeError, ConfigStore, HttpVmList, Vm, VmState, submit},
    http::{StopSignal, stop_channel},
    platform::Store,
};

/// A running entry.
#[derive(Debug)]
pub struct EntryNode {
    /// The node that runs its process.
    pub node: Node,
    /// Address that clients send requests to.
    pub address: SocketAddr,
    /// The configuration that it has read.
    pub store: Arc<ConfigStore>,
}

/// A running agent.
#[derive(Debug)]
pub struct AgentNode {
    /// The node that runs its process.
    pub node: Node,
    /// The configuration that it has read.
    pub store: Arc<ConfigStore>,
}

/// A cluster of fakes, entries and agents on loopback.
pub struct LocalCluster {
    /// The fake log.
    pub log: FakeLog,
    /// The fake list of VMs.
    pub vms: FakeVmList,
    /// Fake engines by endpoint.
    pub engines: BTreeMap<String, FakeEngine>,
    /// Fake services by name; all instances of a service share one count of runs.
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
    change_count: u64,
    submitted_at: Instant,
    stop: StopSignal,
}

const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);
const CONCURRENT_LOADS: usize = 7;

impl LocalCluster {
    /// Starts all processes and waits until they have read the configuration, for at most
    /// `CHANGE_TIMEOUT`.
    ///
    /// # Errors
    /// When an address cannot be bound or the configuration is rejected.
    pub async fn start(spec: &ClusterSpec) -> io::Result<Self> {
        let (stop, stopped) = stop_channel();
        let log = FakeLog::new(spec.log_faults, spec.seed);
        let vms = FakeVmList::default();
        let (listener, log_address) = listen().await?;
        tokio::spawn(log.clone().serve(listener, stopped.clone()));
        let (listener, vms_address) = listen().await?;
        tokio::spawn(vms.clone().serve(listener, stopped.clone()));
        let mut cluster = Self {
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
            change_count: 0,
            submitted_at: Instant::now(),
            stop,
        };
        cluster.start_backends(spec).await?;
        cluster.configure(spec).await.map_err(io::Error::other)?;
        for name in cluster.backends.keys().cloned().collect::<Vec<_>>() {
            cluster.start_agent(&name).await?;
        }
        for (name, site) in &spec.entries {
            cluster.start_entry(name, site).await?;
        }
        cluster.wait_until_propagated(CHANGE_TIMEOUT).await;
        Ok(cluster)
    }

    async fn start_backends(&mut self, spec: &ClusterSpec) -> io::Result<()> {
        let store = WeightStore::new(CONCURRENT_LOADS);
        for engine_spec in &spec.engines {
            let engine = FakeEngine::new(engine_spec.profile, store.clone());
            let address = serve_on_thread(engine.clone(), self.stop.subscribe()).await?;
            self.engines.insert(engine_spec.name.clone(), engine);
            self.backends.insert(engine_spec.name.clone(), address);
        }
        for (endpoint, service, _) in &spec.services {
            let fake = FakeService::new(spec.service_latency);
            let fake = self.services.entry(service.clone()).or_insert(fake).clone();
            let (listener, address) = listen().await?;
            tokio::spawn(fake.serve(listener, self.stop.subscribe()));
            self.backends.insert(endpoint.clone(), address);
        }
        // An agent keeps its address when it restarts, as a VM does.
        let cluster_number = next_cluster_number();
        for (index, endpoint) in self.backends.keys().enumerate() {
            self.agent_addresses.insert(endpoint.clone(), agent_address(cluster_number, index));
        }
        Ok(())
    }

    async fn configure(&mut self, spec: &ClusterSpec) -> Result<(), ChangeError> {
        for name in &spec.tenants {
            self.declare(name, Item::Tenant {}).await?;
        }
        for name in &spec.classes {
            self.declare(name, Item::Class {}).await?;
        }
        for (name, memory_mib) in &spec.models {
            self.declare(name, Item::Model { memory_mib: *memory_mib, version: 1 }).await?;
        }
        for (endpoint, service, site) in &spec.services {
            if self.fold.state().item(ItemKind::Service, service).is_none() {
                self.declare(service, Item::Service { idempotent: false }).await?;
            }
            self.declare_endpoint(endpoint, site, 0, Some(service.clone())).await?;
        }
        for engine_spec in &spec.engines {
            self.declare_endpoint(
                &engine_spec.name,
                &engine_spec.site,
                engine_spec.profile.memory,
                None,
            )
            .await?;
            if engine_spec.profile.checks_fencing {
                let selector =
                    Selector { kind: ItemKind::Endpoint, name: engine_spec.name.clone() };
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

    /// Submits a configuration change based on the revision read so far, and returns its
    /// offset in the log.
    ///
    /// # Errors
    /// When the change is rejected.
    pub async fn submit_change(&mut self, action: Action) -> Result<Offset, ChangeError> {
        self.change_count += 1;
        self.submitted_at = Instant::now();
        let change = Change {
            id: format!("bed-{}", self.change_count),
            operator: "bed".to_owned(),
            base: self.fold.state().path_revision(&action.path()),
            action,
        };
        submit(&self.log, &mut self.fold, &change, CHANGE_TIMEOUT).await
    }

    /// Starts or restarts the agent of an endpoint.
    ///
    /// # Errors
    /// When its address is in use.
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
        self.vms.put(live_vm(endpoint, address, false));
        self.agents.insert(endpoint.to_owned(), AgentNode { node, store });
        Ok(())
    }

    /// Starts an entry and adds it to the list of VMs.
    ///
    /// # Errors
    /// When no address can be bound.
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
        self.vms.put(live_vm(name, peer, true));
        self.entries.insert(name.to_owned(), EntryNode { node, address, store });
        Ok(())
    }

    /// Kills an agent without a graceful stop, as a VM failure does. It stays in the list of VMs.
    pub async fn kill_agent(&mut self, endpoint: &str) {
        if let Some(agent) = self.agents.remove(endpoint) {
            agent.node.kill().await;
        }
    }

    /// Stops an agent gracefully; returns false when it has not ended within the timeout.
    pub async fn drain_agent(&mut self, endpoint: &str, timeout: Duration) -> bool {
        self.vms.mark_leaving(endpoint);
        let Some(agent) = self.agents.remove(endpoint) else {
            return false;
        };
        agent.node.stop(timeout).await
    }

    /// Kills an entry without a graceful stop, as a VM failure does, and removes it from the
    /// list of VMs.
    pub async fn kill_entry(&mut self, name: &str) {
        self.vms.remove(name);
        if let Some(entry) = self.entries.remove(name) {
            entry.node.kill().await;
        }
    }

    /// Stops an entry gracefully; returns false when it has not ended within the timeout.
    pub async fn stop_entry(&mut self, name: &str, timeout: Duration) -> bool {
        self.vms.mark_leaving(name);
        let Some(entry) = self.entries.remove(name) else {
            return false;
        };
        entry.node.stop(timeout).await
    }

    /// The configuration stores of all entries and agents.
    pub fn stores(&self) -> Vec<Arc<ConfigStore>> {
        let entries = self.entries.values().map(|entry| entry.store.clone());
        entries.chain(self.agents.values().map(|agent| agent.store.clone())).collect()
    }

    /// Waits until every entry and agent has applied the last change, and returns the time
    /// since it was submitted; `None` after the timeout.
    pub async fn wait_until_propagated(&self, timeout: Duration) -> Option<Duration> {
        let revision = self.fold.state().revision;
        let started_at = Instant::now();
        while started_at.elapsed() < timeout {
            if self.stores().iter().all(|store| revision <= store.revision()) {
                return Some(self.submitted_at.elapsed());
            }
            time::sleep(Duration::from_millis(1)).await;
        }
        None
    }

    /// Waits until every engine has loaded the models that the plan places on it; returns
    /// false after the timeout.
    pub async fn wait_until_loaded(&self, timeout: Duration) -> bool {
        let started_at = Instant::now();
        while started_at.elapsed() < timeout {
            let plan = crate::core::placement::static_plan(self.fold.state());
            let loaded = plan.replicas.iter().all(|(model, engines)| {
                engines.iter().all(|e| self.engines.get(&**e).is_none_or(|e| e.has_loaded(model)))
            });
            if loaded {
                return true;
            }
            time::sleep(Duration::from_millis(10)).await;
        }
        false
    }

    /// Raises the rate, concurrency and queue limits so far that a benchmark does not reach
    /// them.
    ///
    /// # Errors
    /// When a change is rejected.
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
        self.wait_until_propagated(CHANGE_TIMEOUT).await;
        Ok(())
    }

    /// Address of the engine or service instance behind an endpoint.
    pub fn backend_address(&self, endpoint: &str) -> SocketAddr {
        self.backends[endpoint]
    }

    /// Address at which other processes read the list of VMs.
    pub fn vms_address(&self) -> SocketAddr {
        self.vms_address
    }

    /// Address at which other processes read and append to the log.
    pub fn log_address(&self) -> SocketAddr {
        self.log_address
    }

    /// Kills all entries and agents and stops the fakes.
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

fn live_vm(name: &str, address: SocketAddr, entry: bool) -> Vm {
    Vm { name: name.into(), address, entry, state: VmState::Live }
}

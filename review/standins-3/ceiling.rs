//! Loads from the weight store while the gateway that plans is stopped and started.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    engine::{self, Engine, Model, SERVICE, World},
    fleet::{self, Ports, Process, Recorder},
    http::{self, Request},
    store::Store,
};

const GATEWAYS: u8 = 5;
const ENGINES: u8 = 18;
/// Machines with empty engines that are added: 0.75 of the spare ones, of which there are as many as engines.
const ADDED: u8 = 14;
/// Two for each engine, also for the added ones.
const MODELS: usize = 64;
const LOADS_PER_S: f64 = 2.4;
const WINDOW_MS: u64 = 5000;
const FACTOR: f64 = 1.1;
/// How long the case goes on after the first stop.
const LENGTH: Duration = Duration::from_secs(16);
/// How much later than the first loads that the other one has ordered it is started.
const RESTART_AFTER: Duration = Duration::from_millis(800);
const GRACE: Duration = Duration::from_secs(8);

fn gateway_ip(i: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 31, 0, 10 + i)
}

fn engine_ip(i: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 31, 1, 10 + i)
}

fn models() -> Vec<Model> {
    let model = |i| Model { name: format!("m{i}"), mb: 34_300, load_s: 4.0, disk_s: 1.0 };
    (0..MODELS).map(model).collect()
}

/// What each engine holds at the start: two models, so that the others find no room.
fn initial_models(i: u8) -> Vec<String> {
    vec![format!("m{i}"), format!("m{}", i + ENGINES)]
}

pub fn run(record: &Recorder, trouble: bool) -> Verdict {
    let ports = Ports::find();
    let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    if std::fs::create_dir_all(&folder).is_err() {
        return Verdict::NotRun;
    }
    let verdict = play(record, trouble, ports, &folder);
    let _ = std::fs::remove_dir_all(&folder);
    verdict
}

fn play(record: &Recorder, trouble: bool, ports: Ports, folder: &std::path::Path) -> Verdict {
    let store = Store::default();
    let listener = TcpListener::bind((Ipv4Addr::new(127, 31, 2, 1), 0)).unwrap();
    let store_address = listener.local_addr().unwrap();
    store.serve(listener);
    let models = models();
    store.put("keyed.op", "config", &engine::configuration(7, &models, LOADS_PER_S));
    let (shared_store, record_) = (store.clone(), record.clone());
    let world = Arc::new(World {
        models,
        store: shared_store,
        record: record_,
        store_loads: Mutex::default(),
    });
    let seeds: Vec<Ipv4Addr> = (0..3).map(gateway_ip).collect();
    let gateway_text = |i: u8, first| {
        fleet::gateway_settings(
            &format!("g{i}"),
            gateway_ip(i),
            ports,
            &seeds,
            store_address,
            first,
        )
    };
    let mut gateways: Vec<Process> = (0..GATEWAYS)
        .map(|i| Process::new(folder, &format!("g{i}"), "gateway", &gateway_text(i, true)))
        .collect();
    let agent = |i: u8| {
        let text = fleet::agent_settings(
            &format!("a{i}"),
            SERVICE,
            engine_ip(i),
            ports,
            store_address,
            true,
        );
        Process::new(folder, &format!("a{i}"), "engine-agent", &text)
    };
    let mut agents: Vec<Process> = (0..ENGINES).map(agent).collect();
    let start_engine = |i: u8, holds: &[String]| {
        Engine::start(&world, &format!("i-{i}"), engine_ip(i), ports.engine, holds)
    };
    let mut engines: Vec<Arc<Engine>> =
        (0..ENGINES).map(|i| start_engine(i, &initial_models(i))).collect();
    gateways.iter_mut().for_each(Process::start);
    agents.iter_mut().for_each(Process::start);
    let ready = |i: u8| SocketAddr::from((gateway_ip(i), ports.ready));
    let until = Instant::now() + Duration::from_secs(15);
    while !(0..GATEWAYS).all(|i| fleet::is_ready(ready(i))) {
        if until <= Instant::now() {
            record.add("the gateways did not become ready");
            return Verdict::NotRun;
        }
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(Duration::from_secs(8));
    let traffic = Traffic::start(record, ports);
    thread::sleep(Duration::from_secs(4));
    // Planned work: machines with empty engines are added to the system.
    record.add(format!("add engines={ADDED}"));
    engines.extend((ENGINES..ENGINES + ADDED).map(|i| start_engine(i, &[])));
    agents.extend((ENGINES..ENGINES + ADDED).map(|i| {
        let mut agent = agent(i);
        agent.start();
        agent
    }));
    thread::sleep(Duration::from_millis(4500));
    // Planned work: the gateway that plans the placement is stopped and started again.
    let until = Instant::now() + LENGTH;
    if trouble {
        record.add("sigterm gateway=g0");
        gateways[0].stop(GRACE);
        record.add("gateway g0 has ended");
        gateways[0].set_settings(&gateway_text(0, false));
        // Another one plans meanwhile. It is started when that one has ordered loads.
        let since = record.ms();
        let has_ordered = || world.store_loads.lock().unwrap().last().is_some_and(|l| since < l.0);
        while !has_ordered() && Instant::now() < until {
            thread::sleep(Duration::from_millis(20));
        }
        thread::sleep(RESTART_AFTER);
        gateways[0].start();
        record.add("start gateway=g0");
    }
    thread::sleep(until.saturating_duration_since(Instant::now()));
    if !gateways.iter_mut().all(Process::is_running) {
        record.add("a gateway has ended by itself");
    }
    let (sent, served) = traffic.stop();
    record.add(format!("traffic sent={sent} served={served}"));
    let mut loads: Vec<u64> = world.store_loads.lock().unwrap().iter().map(|l| l.0).collect();
    loads.sort_unstable();
    let in_window =
        |from: &u64| loads.iter().filter(|at| (*from..from + WINDOW_MS).contains(at)).count();
    let most = loads.iter().map(|from| (in_window(from), *from)).max().unwrap_or((0, 0));
    let ceiling = LOADS_PER_S * WINDOW_MS as f64 / 1e3 * FACTOR + 3.0;
    record.add(format!(
        "loads={} most={} in 5 s from {} ceiling={ceiling:.1}",
        loads.len(),
        most.0,
        most.1
    ));
    println!(
        "loads={} most={} ceiling={ceiling:.1} sent={sent} served={served}",
        loads.len(),
        most.0
    );
    drop((engines, agents, gateways));
    if loads.is_empty() || served == 0 {
        return Verdict::NotRun;
    }
    if ceiling < most.0 as f64 { Verdict::Broken } else { Verdict::Held }
}

/// Clients that send a few requests each second to gateways in rotation.
struct Traffic {
    stop: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
    served: Arc<AtomicU64>,
}

impl Traffic {
    fn start(record: &Recorder, ports: Ports) -> Self {
        let traffic = Self { stop: Arc::default(), sent: Arc::default(), served: Arc::default() };
        let rotation: Arc<Mutex<Vec<u8>>> = Arc::new(Mutex::new((0..GATEWAYS).collect()));
        let (in_rotation, stop) = (rotation.clone(), traffic.stop.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let ready =
                    (0..GATEWAYS).filter(|i| fleet::is_ready((gateway_ip(*i), ports.ready).into()));
                let ready: Vec<u8> = ready.collect();
                if !ready.is_empty() {
                    *in_rotation.lock().unwrap() = ready;
                }
                thread::sleep(Duration::from_secs(1));
            }
        });
        for client in 0..4u64 {
            let (stop, sent, served) =
                (traffic.stop.clone(), traffic.sent.clone(), traffic.served.clone());
            let (rotation, record) = (rotation.clone(), record.clone());
            thread::spawn(move || {
                let mut n = client;
                while !stop.load(Ordering::Relaxed) {
                    let known = rotation.lock().unwrap().clone();
                    let gateway = known[n as usize % known.len()];
                    let id = format!("c{client}-{n}");
                    let answered = ask((gateway_ip(gateway), ports.listen).into(), &id, n);
                    sent.fetch_add(1, Ordering::Relaxed);
                    served.fetch_add(u64::from(answered == 200), Ordering::Relaxed);
                    record.add(format!("request id={id} gateway=g{gateway} status={answered}"));
                    n += 4;
                    thread::sleep(Duration::from_millis(300));
                }
            });
        }
        traffic
    }

    fn stop(self) -> (u64, u64) {
        self.stop.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(500));
        (self.sent.load(Ordering::Relaxed), self.served.load(Ordering::Relaxed))
    }
}

/// Sends a request for one of the models and returns the status; 0 without a complete answer.
fn ask(gateway: SocketAddr, id: &str, n: u64) -> u16 {
    let headers = [
        ("Host", "assist.example".to_owned()),
        ("X-Request-Id", id.to_owned()),
        ("X-Model", format!("m{}", n % u64::from(ENGINES))),
        ("X-Token-Counts", "460,80".to_owned()),
        ("X-Prompt-Prefix", format!("5c1e07a2:200,{:x}:260", 0x9000 + n)),
        ("X-Deadline-Ms", "15000".to_owned()),
        ("Connection", "close".to_owned()),
    ];
    let request = Request {
        method: "POST".into(),
        target: "/drafts/new".into(),
        headers: headers.into_iter().map(|(k, v)| (k.to_owned(), v)).collect(),
        body: b"draft".to_vec(),
    };
    http::call(gateway, &request, Duration::from_secs(6)).map_or(0, |r| r.status)
}

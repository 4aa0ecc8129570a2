//! The project's own processes, started as the deploy file says, and their platform.

use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::{Engine, LateOrders, Model, Spec},
    http,
    record::Record,
    store::Store,
};

const PROGRAM: &str = "target/release/goldcrestpitch";

/// A route of the operator's configuration.
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub timeout_ms: u32,
    pub target_ms: u32,
    pub attempts: u32,
    pub service: &'static str,
}

pub struct Fleet {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub port: u16,
    pub gateways: Vec<SocketAddr>,
    folder: PathBuf,
    children: Arc<Mutex<Vec<(String, Child)>>>,
    // Role, name and settings of each process.
    programs: Mutex<Vec<(String, String, String)>>,
}

/// A case ends after this time whatever happens.
const LONGEST: Duration = Duration::from_secs(115);

impl Drop for Fleet {
    fn drop(&mut self) {
        end_all(&self.children);
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn end_all(children: &Mutex<Vec<(String, Child)>>) {
    for (_, child) in children.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

fn ip(group: u8, index: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, group, index as u8 + 1))
}

/// A port that is free on all addresses that the case uses, with the three after it.
fn free_port() -> u16 {
    for attempt in 0..200u16 {
        let seed = std::process::id() as u16;
        let port = 21_000 + (seed.wrapping_mul(31).wrapping_add(attempt.wrapping_mul(97))) % 10_000;
        let is_free = |group| {
            (0..32).all(|i| {
                let ip = ip(group, i);
                (0..4).all(|p| TcpListener::bind((ip, port + p)).is_ok())
                    && UdpSocket::bind((ip, port + 2)).is_ok()
            })
        };
        if [31, 32, 33].into_iter().all(is_free) {
            return port;
        }
    }
    panic!("no free port")
}

impl Fleet {
    /// Starts the store.
    pub fn new(record: &Arc<Record>) -> Self {
        let port = free_port();
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Store::start((ip(31, 0), port).into());
        let children: Arc<Mutex<Vec<(String, Child)>>> = Arc::default();
        let watched = children.clone();
        thread::spawn(move || {
            thread::sleep(LONGEST);
            println!("the case takes too long");
            end_all(&watched);
            std::process::exit(2)
        });
        Self {
            record: record.clone(),
            store,
            port,
            gateways: Vec::new(),
            folder,
            children,
            programs: Mutex::default(),
        }
    }

    /// Writes the operator's configuration. `services` are name, connections and the models
    /// of its engines.
    pub fn configure(
        &self,
        version: u32,
        routes: &[Route],
        services: &[(&str, u32, Option<&Spec>)],
    ) {
        let route = |r: &Route| {
            format!(
                "{{\"Name\":\"r{}\",\"Host\":\"ficu95.example\",\"PathPrefix\":\"{}\",\
                 \"RouteType\":\"{}\",\"TimeoutMs\":{},\"TargetLatencyMs\":{},\"Priority\":1,\
                 \"Service\":\"{}\",\"MaxAttempts\":{},\"Resumable\":{}{}}}",
                r.prefix.replace('/', "-"),
                r.prefix,
                r.kind,
                r.timeout_ms,
                r.target_ms,
                r.service,
                r.attempts,
                r.kind == "streaming" && 1 < r.attempts,
                if r.kind == "streaming" { ",\"GapAimMs\":300" } else { "" },
            )
        };
        let model = |m: &Model| {
            format!(
                "{{\"Name\":\"{}\",\"WeightsMb\":{},\"LoadS\":{},\"Adapters\":20,\
                 \"AdapterMb\":40.0,\"WarmS\":0.78,\"DiskS\":{}}}",
                m.name,
                m.weights_mb,
                m.load.as_secs_f64(),
                m.disk_load.as_secs_f64(),
            )
        };
        let service = |(name, connections, spec): &(&str, u32, Option<&Spec>)| {
            let engine = spec.map_or(String::new(), |s| {
                let models: Vec<String> = s.models.iter().flatten().map(model).collect();
                format!(
                    ",\"Engine\":{{\"Slots\":{},\"KvCapacity\":157677,\"KvTokenBytes\":131072,\
                     \"Stride\":2,\"Cap\":12,\"WeightsMb\":{},\"AdapterSlots\":{},\
                     \"LoadsPerS\":1.8,\"HostMb\":57000.0,\"DiskMb\":170000.0,\"Models\":[{}]}}",
                    s.slots,
                    s.weights_mb,
                    s.adapter_slots,
                    models.join(",")
                )
            });
            format!(
                "{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConns\":{connections},\
                 \"Protocol\":\"h1\",\"Tls\":false{engine}}}"
            )
        };
        let routes: Vec<String> = routes.iter().map(route).collect();
        let services: Vec<String> = services.iter().map(service).collect();
        let text = format!(
            "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\
             \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\
             \"HeaderTimeoutMs\":5000,\"IdleTimeoutMs\":10000}}}}",
            routes.join(","),
            services.join(",")
        );
        self.store.put("keyed.op", "config", text.as_bytes());
    }

    pub fn engine_address(&self, index: usize) -> SocketAddr {
        (ip(32, index), self.port).into()
    }

    /// Creates an engine that has yet to start.
    pub fn engine(&self, spec: Spec, late_orders: Box<LateOrders>) -> Arc<Engine> {
        Engine::new(spec, &self.store, &self.record, late_orders)
    }

    fn spawn(&self, role: &str, name: &str, settings: String) {
        let mut programs = self.programs.lock().unwrap();
        if programs.iter().all(|(_, known, _)| known != name) {
            let later = settings.replace("first_start = true", "first_start = false");
            programs.push((role.to_owned(), name.to_owned(), later));
        }
        drop(programs);
        let file = self.folder.join(format!("{name}.ini"));
        fs::write(&file, settings).expect("the settings file can be written");
        let log = self.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log).expect("a log file");
        let mut command = Command::new(PROGRAM);
        command.arg(role).env_clear().env("GOLDCRESTPITCH_SETTINGS", &file);
        command.stdin(Stdio::null()).stderr(log.try_clone().unwrap()).stdout(log);
        let child = command.spawn().unwrap_or_else(|err| {
            println!("{PROGRAM} {role}: {err}");
            std::process::exit(2)
        });
        self.record.say(&format!("{name} is started: {PROGRAM} {role}"));
        self.children.lock().unwrap().push((name.to_owned(), child));
    }

    /// Starts the agent beside an engine.
    pub fn start_agent(&self, index: usize, service: &str) {
        let (ip, port) = (ip(32, index), self.port);
        let settings = format!(
            "[engine_agent]\nname = side-{index}\nservice = {service}\nengine = {ip}:{port}\n\
             peer_listen = {ip}:{}\nadmin_listen = {ip}:{}\n\n[store]\naddress = {}\n",
            port + 2,
            port + 3,
            self.store_address(),
        );
        self.spawn("engine-agent", &format!("side-{index}"), settings);
    }

    /// The final fault of a day: all processes are killed, and start again later.
    pub fn kill_all(&self, down: Duration) {
        self.record.say("all processes get SIGKILL");
        end_all(&self.children);
        self.children.lock().unwrap().clear();
        thread::sleep(down);
        let programs = self.programs.lock().unwrap().clone();
        for (role, name, settings) in programs {
            self.spawn(&role, &name, settings);
        }
    }

    fn store_address(&self) -> SocketAddr {
        (ip(31, 0), self.port).into()
    }

    /// Starts gateways and waits until they are ready.
    pub fn start_gateways(&mut self, count: usize) {
        let port = self.port;
        let seeds: Vec<String> =
            (0..count).map(|i| format!("{}:{}", ip(33, i), port + 3)).collect();
        for index in 0..count {
            let ip = ip(33, index);
            let settings = format!(
                "[gateway]\nname = edge-{index}\nzone = muenchen-a\nzones = muenchen-a=muenchen\n\
                 listen = {ip}:{port}\nready_listen = {ip}:{}\npeer_listen = {ip}:{}\n\
                 admin_listen = {ip}:{}\nseeds = {}\nfirst_start = true\n\n[store]\naddress = {}\n\n\
                 [bounds]\nretry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 58\ngrace_s = 8\n",
                port + 1,
                port + 2,
                port + 3,
                seeds.join(","),
                self.store_address(),
            );
            self.spawn("gateway", &format!("edge-{index}"), settings);
            self.gateways.push((ip, port).into());
        }
        let until = Instant::now() + Duration::from_secs(10);
        for gateway in &self.gateways {
            let ready = SocketAddr::new(gateway.ip(), port + 1);
            let is_ready = || {
                let patience = Duration::from_secs(1);
                http::call(ready, "GET", "/-/ready", &[], b"", patience).status == 200
            };
            while !is_ready() {
                if until < Instant::now() {
                    println!("a gateway is not ready");
                    // Processes are ended on the way out.
                    panic!("not ready");
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        self.record.say("all gateways are ready");
    }

    /// Sends a signal to a process that this fleet has started.
    pub fn signal(&self, name: &str, signal: &str) {
        self.record.say(&format!("{name} gets SIG{signal}"));
        let children = self.children.lock().unwrap();
        let pid = children.iter().find(|(n, _)| n == name).map(|(_, c)| c.id()).unwrap();
        let sent = Command::new("sh").arg("-c").arg(format!("kill -{signal} {pid}")).status();
        if !sent.is_ok_and(|s| s.success()) {
            panic!("no signal");
        }
    }

    /// Copies the log lines of all processes that contain one of these texts to the record.
    pub fn quote_logs(&self, texts: &[&str], most: usize) {
        let names: Vec<String> =
            self.children.lock().unwrap().iter().map(|(n, _)| n.clone()).collect();
        for name in names {
            let text = fs::read_to_string(self.folder.join(format!("{name}.log")));
            let text = text.unwrap_or_default();
            let lines = text.lines().filter(|l| texts.iter().any(|t| l.contains(t)));
            for line in lines.take(most) {
                self.record.add(&format!("log of {name}: {line}"));
            }
        }
    }
}

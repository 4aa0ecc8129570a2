//! Starts the project's processes on loopback addresses and ends them.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{self, Request};

const PROGRAM: &str = "target/release/goldcrestpitch";
pub const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Processes that were started and not waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that are left.
pub fn kill_all() {
    for pid in STARTED.lock().unwrap().drain(..) {
        // SAFETY: the process was started here and was not waited for.
        unsafe { kill(pid as i32, SIGKILL) };
    }
}

/// Lines of what was sent, answered and run, in milliseconds since the start.
#[derive(Clone)]
pub struct Recorder {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
    path: PathBuf,
}

impl Recorder {
    pub fn new(folder: &Path) -> Self {
        Self { started: Instant::now(), lines: Arc::default(), path: folder.join("record.txt") }
    }

    pub fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn add(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} {}", self.ms(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    pub fn save(&self) {
        let _ = fs::write(&self.path, self.lines.lock().unwrap().join("\n") + "\n");
    }
}

/// Ports that are free on all loopback addresses of a case.
#[derive(Clone, Copy)]
pub struct Ports {
    pub listen: u16,
    pub ready: u16,
    pub peer: u16,
    pub admin: u16,
    pub engine: u16,
}

impl Ports {
    pub fn find() -> Self {
        let mut found = Vec::new();
        while found.len() < 5 {
            let listener = TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0)).unwrap();
            let port = listener.local_addr().unwrap().port();
            if UdpSocket::bind((Ipv4Addr::UNSPECIFIED, port)).is_ok() && !found.contains(&port) {
                found.push(port);
            }
        }
        Self {
            listen: found[0],
            ready: found[1],
            peer: found[2],
            admin: found[3],
            engine: found[4],
        }
    }
}

pub struct Process {
    name: String,
    command: Vec<String>,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Prepares a process with a settings file in the folder.
    pub fn new(folder: &Path, name: &str, role: &str, settings: &str) -> Self {
        let path = folder.join(format!("{name}.ini"));
        fs::write(&path, settings).unwrap();
        Self {
            name: name.to_owned(),
            command: vec![PROGRAM.to_owned(), role.to_owned()],
            settings: path,
            log: folder.join(format!("{name}.log")),
            child: None,
        }
    }

    pub fn set_settings(&self, settings: &str) {
        fs::write(&self.settings, settings).unwrap();
    }

    pub fn start(&mut self) {
        let log = fs::File::options().create(true).append(true).open(&self.log).unwrap();
        let errors = log.try_clone().unwrap();
        let child = Command::new(&self.command[0])
            .args(&self.command[1..])
            .env_clear()
            .env("GOLDCRESTPITCH_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.child = child.inspect_err(|err| eprintln!("{}: {err}", self.name)).ok();
        STARTED.lock().unwrap().extend(self.child.as_ref().map(Child::id));
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the process was started here and was not waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Ends the process as the platform does: SIGTERM, and SIGKILL after the grace period.
    pub fn stop(&mut self, grace: Duration) {
        self.signal(SIGTERM);
        let until = Instant::now() + grace;
        while let Some(child) = &mut self.child {
            let pid = child.id();
            let mut started = STARTED.lock().unwrap();
            if matches!(child.try_wait(), Ok(Some(_))) {
                started.retain(|known| *known != pid);
                break;
            }
            drop(started);
            if until <= Instant::now() {
                let _ = child.kill();
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.child = None;
    }

    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let pid = child.id();
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|known| *known != pid);
        }
    }
}

/// Settings of a gateway, as the platform renders them from `deploy/gateway.ini`.
pub fn gateway_settings(
    name: &str,
    ip: Ipv4Addr,
    ports: Ports,
    seeds: &[Ipv4Addr],
    store: SocketAddr,
    first_start: bool,
) -> String {
    let Ports { listen, ready, peer, admin, .. } = ports;
    let seeds: Vec<String> = seeds.iter().map(|s| format!("{s}:{admin}")).collect();
    format!(
        "[gateway]\nname = {name}\nzone = a\nzones = a=r\nlisten = {ip}:{listen}\n\
         ready_listen = {ip}:{ready}\npeer_listen = {ip}:{peer}\nadmin_listen = {ip}:{admin}\n\
         seeds = {}\nfirst_start = {first_start}\n\n[store]\naddress = {store}\n\n[bounds]\n\
         retry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 58\ngrace_s = 8\n\n\
         [limits]\nmemory_mb = 260\nmax_descriptors = 4100\n",
        seeds.join(",")
    )
}

/// Settings of an engine agent, as the platform renders them from `deploy/engine-agent.ini`.
pub fn agent_settings(
    name: &str,
    service: &str,
    ip: Ipv4Addr,
    ports: Ports,
    store: SocketAddr,
    first_start: bool,
) -> String {
    let Ports { peer, admin, engine, .. } = ports;
    format!(
        "[engine_agent]\nname = {name}\nservice = {service}\nengine = {ip}:{engine}\n\
         peer_listen = {ip}:{peer}\nadmin_listen = {ip}:{admin}\nadmits = true\n\
         first_start = {first_start}\n\n[store]\naddress = {store}\n"
    )
}

/// Whether a gateway answers the probe of the platform's balancer.
pub fn is_ready(address: SocketAddr) -> bool {
    let request = Request {
        method: "GET".into(),
        target: "/-/ready".into(),
        headers: vec![("Host".into(), "ready".into()), ("Connection".into(), "close".into())],
        ..Request::default()
    };
    http::call(address, &request, Duration::from_millis(900)).is_ok_and(|r| r.status == 200)
}

//! BUDGET: the only seed is down at the first start, so that the gateways do not find each other,
//! and engines fail a part of their requests. Each gateway spends half of the allowance of all.

use std::{
    collections::HashSet,
    env, fs,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Outcome,
    common::{
        ClientConnection, Engine, Ports, Process, Recorder, Store, address, free_ports,
        gateway_settings, is_ready,
    },
};

const WINDOW_MS: u64 = 10_000;
const RATIO: f64 = 0.2;
const SLACK: f64 = 58.0;
/// Requests in a hundred that the engines fail: x of `srv_grey` in the site file.
const FAILS: u64 = 45;
const TRAFFIC_MS: u64 = 40_000;
const GATEWAYS: [(&str, &str, &str); 5] = [
    ("edge-muenchen-a-1", "muenchen-a", "127.0.81.1"),
    ("edge-muenchen-a-2", "muenchen-a", "127.0.81.2"),
    ("edge-nuernberg-a-1", "nuernberg-a", "127.0.81.3"),
    ("edge-nuernberg-a-2", "nuernberg-a", "127.0.81.4"),
    ("edge-augsburg-a-1", "augsburg-a", "127.0.81.5"),
];
const ZONES: [&str; 3] = ["muenchen-a", "nuernberg-a", "augsburg-a"];
const CLIENTS: usize = 20;
/// Together the clients send about 40 requests a second.
const PAUSE: Duration = Duration::from_millis(460);

const CONFIG: &str = r#"{"Version":7,"Routes":[
{"Name":"r-lookup","Host":"desk.example","PathPrefix":"/lookup/","RouteType":"idempotent",
"TimeoutMs":1500,"TargetLatencyMs":200,"Priority":2,"Service":"desk","MaxAttempts":2}],
"Services":[{"Name":"desk","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
"IdleTimeoutMs":15000}}"#;

pub fn play(folder: &str, trouble: bool) -> Outcome {
    let recorder = Recorder::new(&format!("{folder}/record.txt"));
    let free = free_ports(6);
    let ports = Ports { front: free[0], ready: free[1], control: free[2], peers: free[3] };
    let store_at = address("127.0.80.1", free[4]);
    let store = Store::start(store_at, recorder.clone());
    store.append("keyed.op", "config", CONFIG.replace('\n', "").as_bytes());
    let engines: Vec<_> = (0..3)
        .map(|i| {
            let at = address(&format!("127.0.82.{}", i + 1), free[5]);
            let (id, work) = (format!("i-desk-{i}"), Duration::from_millis(15));
            Engine::start(&id, at, "desk", ZONES[i], work, &store, &recorder)
        })
        .collect();
    let temporary = env::temp_dir().join(format!("lone-gateways-{}", std::process::id()));
    if fs::create_dir_all(&temporary).is_err() {
        return Outcome::CouldNotRun("no temporary folder".to_owned());
    }
    let logs = temporary.to_string_lossy().into_owned();
    // Nothing listens at the address of a machine that is down.
    let seed = if trouble { "127.0.81.200" } else { GATEWAYS[0].2 };
    let mut gateways: Vec<Process> = Vec::new();
    for (name, zone, ip) in GATEWAYS {
        let settings = gateway_settings(name, zone, ip, ports, &[seed], store_at, true);
        gateways.push(Process::start("gateway", name, &logs, &settings));
    }
    while !GATEWAYS.iter().all(|(.., ip)| is_ready(address(ip, ports.ready))) {
        if 10_000 < recorder.ms() {
            return Outcome::CouldNotRun("the gateways are not ready".to_owned());
        }
        thread::sleep(Duration::from_millis(100));
    }
    // On the users' machines, traffic starts 10 s after them.
    recorder.sleep_until(recorder.ms() + 10_000);
    recorder.note("traffic begins");
    engines.iter().for_each(|engine| engine.fails.store(FAILS, Ordering::Relaxed));
    let begin = recorder.ms();
    let (ends, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let sent: Arc<Mutex<Vec<u64>>> = Arc::default();
    for client in 0..CLIENTS {
        let (ends, served) = (ends.clone(), served.clone());
        let (sent, recorder) = (sent.clone(), recorder.clone());
        let front = address(GATEWAYS[client % GATEWAYS.len()].2, ports.front);
        thread::spawn(move || {
            let mut connection = ClientConnection::new(front);
            thread::sleep(PAUSE * client as u32 / CLIENTS as u32);
            for number in 0.. {
                if ends.load(Ordering::Relaxed) {
                    return;
                }
                let id = format!("q{client}-{number}");
                recorder.note(&format!("sent id={id}"));
                sent.lock().unwrap().push(recorder.ms());
                let request = format!(
                    "GET /lookup/{client}-{number} HTTP/1.1\r\nHost: desk.example\r\n\
                     X-Request-Id: {id}\r\nX-Deadline-Ms: 3000\r\n\r\n"
                );
                let answer = connection.call(&request, Duration::from_secs(3));
                let text = answer.map_or_else(|err| err.to_string(), |a| a.status().to_string());
                if text == "200" {
                    served.fetch_add(1, Ordering::Relaxed);
                }
                recorder.note(&format!("answer id={id} {text}"));
                thread::sleep(PAUSE);
            }
        });
    }
    recorder.sleep_until(begin + TRAFFIC_MS);
    ends.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(500));
    let ended = gateways.iter_mut().map(Process::has_ended).filter(|ended| *ended).count();
    drop(gateways);
    let _ = fs::remove_dir_all(&temporary);
    let sent = sent.lock().unwrap().clone();
    let repeats = repeats(&format!("{folder}/record.txt"));
    let mut worst = (f64::MIN, 0, 0, 0);
    for from in (begin..begin + TRAFFIC_MS - WINDOW_MS).step_by(100) {
        let count = |times: &[u64], from: u64| {
            times.iter().filter(|at| (from..from + WINDOW_MS).contains(at)).count()
        };
        let requests = [from, from.saturating_sub(WINDOW_MS), from.saturating_sub(WINDOW_MS / 2)];
        let requests = requests.into_iter().map(|from| count(&sent, from)).max().unwrap_or(0);
        let repeated = count(&repeats, from);
        let excess = repeated as f64 - (RATIO * requests as f64 + SLACK);
        if worst.0 < excess {
            worst = (excess, from, repeated, requests);
        }
    }
    let (excess, from, repeated, requests) = worst;
    let text = format!(
        "result worst window from {from} ms: {repeated} repeated arrivals for {requests} requests, \
         {excess:.1} above the budget; sent={} served={} ended={ended}",
        sent.len(),
        served.load(Ordering::Relaxed)
    );
    recorder.note(&text);
    println!("{text}");
    if served.load(Ordering::Relaxed) * 4 < sent.len() as u64 || 0 < ended {
        return Outcome::CouldNotRun("the system does not serve".to_owned());
    }
    if 0.0 < excess { Outcome::Broken } else { Outcome::Held }
}

/// When engines got a request that had arrived at one before.
fn repeats(record: &str) -> Vec<u64> {
    let text = fs::read_to_string(record).unwrap_or_default();
    let mut seen = HashSet::new();
    let runs = text.lines().filter_map(|line| {
        let (at, rest) = line.trim_start().split_once(' ')?;
        let id = rest.strip_prefix("run ")?.split_once("id=")?.1;
        (!seen.insert(id.to_owned())).then(|| at.parse().ok())?
    });
    runs.collect()
}

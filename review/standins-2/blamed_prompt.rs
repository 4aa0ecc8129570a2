//! RECOVER: shortly after all processes of the system were killed and are back, all engines of the
//! model service crash once and come back. From then on every request is refused.

use std::{
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
        ClientConnection, Ports, Process, Recorder, Store, address, agent_settings, free_ports,
        gateway_settings, is_ready,
    },
    model_engine::ModelEngine,
};

const RECOVER_MS: u64 = 12_000;
/// Traffic before the final fault.
const BEFORE_MS: u64 = 10_000;
/// How long the processes are down in the final fault.
const DOWN_MS: u64 = 500;
/// When the engines crash, after the first event that a client gets again.
const CRASH_AFTER_MS: u64 = 600;
const ENGINES_DOWN_MS: u64 = 4_500;
/// Traffic that is judged, from `RECOVER_MS` after all machines and engines are back.
const JUDGED_MS: u64 = 25_000;
const GATEWAYS: [(&str, &str, &str); 5] = [
    ("edge-muenchen-a-1", "muenchen-a", "127.0.75.1"),
    ("edge-muenchen-a-2", "muenchen-a", "127.0.75.2"),
    ("edge-nuernberg-a-1", "nuernberg-a", "127.0.75.3"),
    ("edge-nuernberg-a-2", "nuernberg-a", "127.0.75.4"),
    ("edge-augsburg-a-1", "augsburg-a", "127.0.75.5"),
];
const ZONES: [&str; 3] = ["muenchen-a", "nuernberg-a", "augsburg-a"];
const ENGINES: usize = 12;
const CLIENTS: usize = 80;
const MODEL: &str = "daka510000";
const SERVICE: &str = "planner";

const CONFIG: &str = r#"{"Version":7,"Routes":[
{"Name":"r-draft","Host":"planner.example","PathPrefix":"/draft/","RouteType":"streaming",
"TimeoutMs":15000,"TargetLatencyMs":1200,"Priority":1,"Service":"planner","MaxAttempts":2,
"SessionAffinity":true,"Resumable":true,"GapAimMs":300}],
"Services":[{"Name":"planner","HealthPath":"/health","MaxConns":630,"Protocol":"h1","Tls":false,
"Engine":{"Slots":128,"KvCapacity":157677,"KvTokenBytes":131072,"LinkMbps":130000.0,"Moves":true,
"Backups":true,"Stride":2,"Cap":12,"HostMb":57000.0,"DiskMb":170000.0,"PinMs":4000.0,
"HoldMs":2000.0,"handle_s":5.0,"Models":[{"Name":"daka510000","WeightsMb":34300.0,"LoadS":5.4,
"Adapters":0,"AdapterMb":40.0,"WarmS":0.78,"DiskS":1.1}],
"WeightsMb":83000.0,"AdapterSlots":8,"LoadsPerS":1.8}}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
"IdleTimeoutMs":15000}}"#;

/// What became of the requests: when each was sent, and whether it was served.
#[derive(Default)]
struct Seen {
    requests: Mutex<Vec<(u64, bool)>>,
    refused: AtomicU64,
}

impl Seen {
    /// The numbers of requests that were sent in this time, and of those that were served.
    fn between(&self, from: u64, until: u64) -> (usize, usize) {
        let requests = self.requests.lock().unwrap();
        let sent = requests.iter().filter(|(at, _)| (from..until).contains(at));
        let served = sent.clone().filter(|(_, served)| *served).count();
        (sent.count(), served)
    }
}

fn start_processes(folder: &str, ports: Ports, app: u16, store: &str, first: bool) -> Vec<Process> {
    let store = store.parse().unwrap();
    let seeds = ["127.0.75.1", "127.0.75.3", "127.0.75.5"];
    let mut processes = Vec::new();
    for (name, zone, ip) in GATEWAYS {
        let settings = gateway_settings(name, zone, ip, ports, &seeds, store, first);
        processes.push(Process::start("gateway", name, folder, &settings));
    }
    for engine in 0..ENGINES {
        let (name, ip) = (format!("side-{engine}"), engine_ip(engine));
        let settings = agent_settings(&name, SERVICE, &ip, app, ports, store);
        processes.push(Process::start("engine-agent", &name, folder, &settings));
    }
    processes
}

fn engine_ip(engine: usize) -> String {
    format!("127.0.76.{}", engine + 1)
}

pub fn play(folder: &str, trouble: bool) -> Outcome {
    let recorder = Recorder::new(&format!("{folder}/record.txt"));
    let free = free_ports(6);
    let ports = Ports { front: free[0], ready: free[1], control: free[2], peers: free[3] };
    let app = free[5];
    let store_at = address("127.0.74.1", free[4]);
    let store = Store::start(store_at, recorder.clone());
    store.append("keyed.op", "config", CONFIG.replace('\n', "").as_bytes());
    let start_engine = |engine: usize, life: usize| {
        let at = address(&engine_ip(engine), app);
        let loaded: &[&str] = if life == 0 { &[MODEL] } else { &[] };
        let id = format!("i-{engine}-{life}");
        let zone = ZONES[engine % ZONES.len()];
        ModelEngine::start(&id, at, SERVICE, zone, loaded, &[MODEL], &store, &recorder)
    };
    let engines: Vec<_> = (0..ENGINES).map(|engine| start_engine(engine, 0)).collect();
    let temporary = env::temp_dir().join(format!("blamed-prompt-{}", std::process::id()));
    if fs::create_dir_all(&temporary).is_err() {
        return Outcome::CouldNotRun("no temporary folder".to_owned());
    }
    let logs = temporary.to_string_lossy().into_owned();
    let store_text = store_at.to_string();
    let mut processes = start_processes(&logs, ports, app, &store_text, true);
    let all_ready = || GATEWAYS.iter().all(|(.., ip)| is_ready(address(ip, ports.ready)));
    let wait_for_ready = || {
        let until = recorder.ms() + 10_000;
        while !all_ready() {
            if until < recorder.ms() {
                return false;
            }
            thread::sleep(Duration::from_millis(20));
        }
        true
    };
    if !wait_for_ready() {
        return Outcome::CouldNotRun("the gateways are not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    recorder.note("traffic begins");
    let begin = recorder.ms();
    let (ends, seen) = (Arc::new(AtomicBool::new(false)), Arc::new(Seen::default()));
    for client in 0..CLIENTS {
        let (ends, seen, recorder) = (ends.clone(), seen.clone(), recorder.clone());
        thread::spawn(move || run_client(client, ports.front, &ends, &seen, &recorder));
    }
    recorder.sleep_until(begin + BEFORE_MS);
    let fault = recorder.ms();
    recorder.note("final fault: all processes are killed");
    processes.iter_mut().for_each(Process::kill);
    thread::sleep(Duration::from_millis(DOWN_MS));
    drop(std::mem::take(&mut processes));
    processes = start_processes(&logs, ports, app, &store_text, false);
    if !wait_for_ready() {
        return Outcome::CouldNotRun("the gateways are not ready again".to_owned());
    }
    let back = recorder.ms();
    recorder.note("all processes are back");
    let mut lives = Vec::new();
    let crash_after = env::var("CRASH_AFTER_MS").ok().and_then(|ms| ms.parse().ok());
    recorder.sleep_until(back + crash_after.unwrap_or(CRASH_AFTER_MS));
    if trouble {
        engines.iter().for_each(|engine| engine.crash(&store));
        thread::sleep(Duration::from_millis(ENGINES_DOWN_MS));
        lives.extend((0..ENGINES).map(|engine| start_engine(engine, 1)));
    } else {
        thread::sleep(Duration::from_millis(ENGINES_DOWN_MS));
    }
    if env::var("RESTART_AGAIN").is_ok() {
        thread::sleep(Duration::from_secs(8));
        recorder.note("all processes are restarted once more");
        drop(std::mem::take(&mut processes));
        processes = start_processes(&logs, ports, app, &store_text, false);
    }
    let judged_from = recorder.ms() + RECOVER_MS;
    recorder.sleep_until(judged_from + JUDGED_MS);
    let judged_until = recorder.ms() - 3000;
    ends.store(true, Ordering::Relaxed);
    let ended = processes.iter_mut().map(Process::has_ended).filter(|ended| *ended).count();
    drop(processes);
    if env::var("KEEP_LOGS").is_err() {
        let _ = fs::remove_dir_all(&temporary);
    }
    let (sent_before, served_before) = seen.between(begin, fault - 3000);
    let (sent, served) = seen.between(judged_from, judged_until);
    let text = format!(
        "result before: sent={sent_before} served={served_before}; later than RecoverS after \
         machines and engines are back: sent={sent} served={served}; refused in all={} ended={ended}",
        seen.refused.load(Ordering::Relaxed)
    );
    recorder.note(&text);
    println!("{text}");
    if served_before * 4 < sent_before || sent == 0 || 0 < ended {
        return Outcome::CouldNotRun("the system does not serve before the fault".to_owned());
    }
    if served * 4 < sent { Outcome::Broken } else { Outcome::Held }
}

fn run_client(client: usize, front: u16, ends: &AtomicBool, seen: &Seen, recorder: &Recorder) {
    let ip = GATEWAYS[client % GATEWAYS.len()].2;
    let mut connection = ClientConnection::new(address(ip, front));
    thread::sleep(Duration::from_millis(25 * client as u64));
    for number in 0.. {
        if ends.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("c{client}-{number}");
        // A prompt that all requests share, one of the site, and the request's own part.
        let site = 0xb0 + (client * 7 + number) % 50;
        let own = 0x10_0000 + client * 10_000 + number;
        let request = format!(
            "POST /draft/{number} HTTP/1.1\r\nHost: planner.example\r\nX-Request-Id: {id}\r\n\
             X-Model: {MODEL}\r\nX-Token-Counts: 1460,80\r\n\
             X-Prompt-Prefix: a5:210,{site:x}:140,{own:x}:1110\r\n\
             X-Deadline-Ms: 15000\r\nContent-Length: 0\r\n\r\n"
        );
        let sent_at = recorder.ms();
        recorder.note(&format!("sent id={id} to={ip}"));
        let answer = connection.call(&request, Duration::from_secs(15));
        let mut pause = 300;
        let text = match answer {
            Ok(answer) => {
                let served = answer.status() == 200;
                if served {
                    pause = 200;
                } else {
                    seen.refused.fetch_add(1, Ordering::Relaxed);
                    let after = answer.header("retry-after").and_then(|a| a.parse::<f64>().ok());
                    pause = after.map_or(pause, |s| (s * 1e3) as u64).clamp(300, 4000);
                }
                seen.requests.lock().unwrap().push((sent_at, served));
                format!(
                    "{} {}",
                    answer.status(),
                    String::from_utf8_lossy(match served {
                        true => b"",
                        false => &answer.body,
                    })
                )
            }
            Err(err) => {
                seen.requests.lock().unwrap().push((sent_at, false));
                err.to_string()
            }
        };
        recorder.note(&format!("answer id={id} {text}"));
        thread::sleep(Duration::from_millis(pause));
    }
}

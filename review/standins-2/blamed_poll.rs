//! RECOVER: all engines of a plain service crash once and come back. A request that many display
//! boards send is refused from then on, also after all processes of the system were restarted.

use std::{
    env, fs,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
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

const RECOVER_MS: u64 = 12_000;
/// When the engines crash, after the beginning of traffic.
const CRASH_AT_MS: u64 = 15_000;
const ENGINES_DOWN_MS: u64 = 4_500;
/// The final fault, after the beginning of traffic, and how long the processes are down in it.
const FAULT_AT_MS: u64 = 27_000;
const DOWN_MS: u64 = 500;
const JUDGED_MS: u64 = 15_000;
const GATEWAYS: [(&str, &str, &str); 5] = [
    ("edge-ishikari-a-1", "muenchen-a", "127.0.78.1"),
    ("edge-ishikari-a-2", "muenchen-a", "127.0.78.2"),
    ("edge-otaru-a-1", "nuernberg-a", "127.0.78.3"),
    ("edge-otaru-a-2", "nuernberg-a", "127.0.78.4"),
    ("edge-chitose-a-1", "augsburg-a", "127.0.78.5"),
];
const ZONES: [&str; 3] = ["muenchen-a", "nuernberg-a", "augsburg-a"];
const ENGINES: usize = 3;
/// Work of a request on an engine: the largest on the users' sheets.
const WORK: Duration = Duration::from_millis(60);
const CLIENTS: usize = 36;
/// Pause of a board between two reads.
const PAUSE: Duration = Duration::from_millis(100);

const CONFIG: &str = r#"{"Version":7,"Routes":[
{"Name":"r-board","Host":"desk.example","PathPrefix":"/board/","RouteType":"idempotent",
"TimeoutMs":2500,"TargetLatencyMs":400,"Priority":2,"Service":"desk","MaxAttempts":2}],
"Services":[{"Name":"desk","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
"IdleTimeoutMs":15000}}"#;

type Seen = Mutex<Vec<(u64, bool)>>;

fn between(seen: &Seen, from: u64, until: u64) -> (usize, usize) {
    let requests = seen.lock().unwrap();
    let sent = requests.iter().filter(|(at, _)| (from..until).contains(at));
    let served = sent.clone().filter(|(_, served)| *served).count();
    (sent.count(), served)
}

fn start_gateways(folder: &str, ports: Ports, store: &str, first: bool) -> Vec<Process> {
    let store = store.parse().unwrap();
    let seeds = ["127.0.78.1", "127.0.78.3", "127.0.78.5"];
    let start = |(name, zone, ip): (&str, &str, &str)| {
        let settings = gateway_settings(name, zone, ip, ports, &seeds, store, first);
        Process::start("gateway", name, folder, &settings)
    };
    GATEWAYS.into_iter().map(start).collect()
}

pub fn play(folder: &str, trouble: bool) -> Outcome {
    let recorder = Recorder::new(&format!("{folder}/record.txt"));
    let free = free_ports(6);
    let ports = Ports { front: free[0], ready: free[1], control: free[2], peers: free[3] };
    let store_at = address("127.0.77.1", free[4]);
    let store = Store::start(store_at, recorder.clone());
    store.append("keyed.op", "config", CONFIG.replace('\n', "").as_bytes());
    let start_engine = |engine: usize, life: usize| {
        let at = address(&format!("127.0.79.{}", engine + 1), free[5]);
        let id = format!("i-desk-{engine}-{life}");
        Engine::start(&id, at, "desk", ZONES[engine], WORK, &store, &recorder)
    };
    let engines: Vec<_> = (0..ENGINES).map(|engine| start_engine(engine, 0)).collect();
    let temporary = env::temp_dir().join(format!("blamed-poll-{}", std::process::id()));
    if fs::create_dir_all(&temporary).is_err() {
        return Outcome::CouldNotRun("no temporary folder".to_owned());
    }
    let logs = temporary.to_string_lossy().into_owned();
    let store_text = store_at.to_string();
    let mut gateways = start_gateways(&logs, ports, &store_text, true);
    let wait_for_ready = || {
        let until = recorder.ms() + 10_000;
        while !GATEWAYS.iter().all(|(.., ip)| is_ready(address(ip, ports.ready))) {
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
    thread::sleep(Duration::from_secs(1));
    recorder.note("traffic begins");
    let begin = recorder.ms();
    let (ends, seen) = (Arc::new(AtomicBool::new(false)), Arc::new(Seen::default()));
    for client in 0..CLIENTS {
        let (ends, seen, recorder) = (ends.clone(), seen.clone(), recorder.clone());
        thread::spawn(move || run_board(client, ports.front, &ends, &seen, &recorder));
    }
    recorder.sleep_until(begin + CRASH_AT_MS);
    let mut lives = Vec::new();
    if trouble {
        engines.iter().for_each(|engine| engine.crash(&store, &recorder));
        thread::sleep(Duration::from_millis(ENGINES_DOWN_MS));
        lives.extend((0..ENGINES).map(|engine| start_engine(engine, 1)));
        recorder.note("all engines are back");
    }
    recorder.sleep_until(begin + FAULT_AT_MS);
    let fault = recorder.ms();
    recorder.note("final fault: all processes are killed");
    gateways.iter_mut().for_each(Process::kill);
    thread::sleep(Duration::from_millis(DOWN_MS));
    drop(std::mem::take(&mut gateways));
    gateways = start_gateways(&logs, ports, &store_text, false);
    if !wait_for_ready() {
        return Outcome::CouldNotRun("the gateways are not ready again".to_owned());
    }
    recorder.note("all processes are back");
    let judged_from = recorder.ms() + RECOVER_MS;
    recorder.sleep_until(judged_from + JUDGED_MS);
    ends.store(true, Ordering::Relaxed);
    let ended = gateways.iter_mut().map(Process::has_ended).filter(|ended| *ended).count();
    drop(gateways);
    if env::var("KEEP_LOGS").is_err() {
        let _ = fs::remove_dir_all(&temporary);
    }
    let (sent_before, served_before) = between(&seen, begin, fault);
    let (sent, served) = between(&seen, judged_from, judged_from + JUDGED_MS - 3000);
    let text = format!(
        "result before: sent={sent_before} served={served_before}; later than RecoverS after \
         the machines are back: sent={sent} served={served}; ended={ended}"
    );
    recorder.note(&text);
    println!("{text}");
    if served_before * 4 < sent_before || sent == 0 || 0 < ended {
        return Outcome::CouldNotRun("a quarter was not served before the fault".to_owned());
    }
    if served * 4 < sent { Outcome::Broken } else { Outcome::Held }
}

fn run_board(client: usize, front: u16, ends: &AtomicBool, seen: &Seen, recorder: &Recorder) {
    let ip = GATEWAYS[client % GATEWAYS.len()].2;
    let mut connection = ClientConnection::new(address(ip, front));
    thread::sleep(Duration::from_millis(7 * client as u64));
    for number in 0.. {
        if ends.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("b{client}-{number}");
        let request = format!(
            "GET /board/sapporo HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: 2500\r\n\r\n"
        );
        let sent_at = recorder.ms();
        recorder.note(&format!("sent id={id} to={ip}"));
        let answer = connection.call(&request, Duration::from_millis(2500));
        let served = answer.as_ref().is_ok_and(|answer| answer.status() == 200);
        seen.lock().unwrap().push((sent_at, served));
        let text = match &answer {
            Ok(answer) if served => answer.status().to_string(),
            Ok(answer) => {
                format!("{} {}", answer.status(), String::from_utf8_lossy(&answer.body))
            }
            Err(err) => err.to_string(),
        };
        recorder.note(&format!("answer id={id} {text}"));
        let after = answer.ok().and_then(|a| a.header("retry-after")?.parse::<f64>().ok());
        let wait = after.map_or(PAUSE, |s| Duration::from_secs_f64(s.clamp(0.1, 2.0)));
        thread::sleep(if served { PAUSE } else { wait.max(Duration::from_millis(300)) });
    }
}

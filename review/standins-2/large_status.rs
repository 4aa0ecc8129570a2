//! RECOVER: all machines lose power, the engines' too. Each engine has many small models on its
//! disk, so that the status of its agent is larger than a datagram may be: no gateway ever hears of
//! the agent, and the empty engines get no order to load a model.

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
        ClientConnection, Ports, Process, Recorder, Store, address, agent_settings, free_ports,
        gateway_settings, is_ready,
    },
    model_engine::ModelEngine,
};

const RECOVER_MS: u64 = 12_000;
const BEFORE_MS: u64 = 10_000;
/// `power_off_all` in the site file.
const DOWN_MS: u64 = 1_400;
const JUDGED_MS: u64 = 20_000;
const GATEWAYS: [(&str, &str, &str); 3] = [
    ("edge-muenchen-a-1", "muenchen-a", "127.0.87.1"),
    ("edge-nuernberg-a-1", "nuernberg-a", "127.0.87.2"),
    ("edge-augsburg-a-1", "augsburg-a", "127.0.87.3"),
];
const ZONES: [&str; 3] = ["muenchen-a", "nuernberg-a", "augsburg-a"];
const ENGINES: usize = 3;
const CLIENTS: usize = 12;
const SERVICE: &str = "planner";
/// What `DiskMb` of the sheet, 170,000, holds of models of 3,000 MB.
const ON_DISK: usize = 56;
/// Models that callers use; each engine holds all of them.
const IN_USE: usize = 8;

fn model(number: usize) -> String {
    format!("stundenwerk-roster-draft-{number:04}")
}

fn config() -> String {
    let models: Vec<String> = (0..ON_DISK)
        .map(|number| {
            format!(
                "{{\"Name\":\"{}\",\"WeightsMb\":3000.0,\"LoadS\":1.2,\"Adapters\":0,\
                 \"AdapterMb\":40.0,\"WarmS\":0.54,\"DiskS\":0.7}}",
                model(number)
            )
        })
        .collect();
    format!(
        "{{\"Version\":7,\"Routes\":[{{\"Name\":\"r-draft\",\"Host\":\"planner.example\",\
         \"PathPrefix\":\"/draft/\",\"RouteType\":\"streaming\",\"TimeoutMs\":15000,\
         \"TargetLatencyMs\":1200,\"Priority\":1,\"Service\":\"planner\",\"MaxAttempts\":2,\
         \"SessionAffinity\":true,\"Resumable\":true,\"GapAimMs\":300}}],\
         \"Services\":[{{\"Name\":\"planner\",\"HealthPath\":\"/health\",\"MaxConns\":630,\
         \"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{{\"Slots\":128,\"KvCapacity\":157677,\
         \"KvTokenBytes\":131072,\"LinkMbps\":130000.0,\"Stride\":2,\"HostMb\":57000.0,\
         \"DiskMb\":170000.0,\"Models\":[{}],\"WeightsMb\":83000.0,\"AdapterSlots\":8,\
         \"LoadsPerS\":1.8}}}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        models.join(",")
    )
}

type Seen = Mutex<Vec<(u64, bool)>>;

fn between(seen: &Seen, from: u64, until: u64) -> (usize, usize) {
    let requests = seen.lock().unwrap();
    let sent = requests.iter().filter(|(at, _)| (from..until).contains(at));
    let served = sent.clone().filter(|(_, served)| *served).count();
    (sent.count(), served)
}

fn engine_ip(engine: usize) -> String {
    format!("127.0.88.{}", engine + 1)
}

fn start_processes(folder: &str, ports: Ports, app: u16, store: &str, first: bool) -> Vec<Process> {
    let store = store.parse().unwrap();
    let seeds = GATEWAYS.map(|(.., ip)| ip);
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

pub fn play(folder: &str, trouble: bool) -> Outcome {
    let recorder = Recorder::new(&format!("{folder}/record.txt"));
    // For comparison: the same with few models on the disks.
    let on_disk = env::var("ON_DISK").ok().and_then(|n| n.parse().ok()).unwrap_or(ON_DISK);
    let free = free_ports(6);
    let ports = Ports { front: free[0], ready: free[1], control: free[2], peers: free[3] };
    let store_at = address("127.0.86.1", free[4]);
    let store = Store::start(store_at, recorder.clone());
    store.append("keyed.op", "config", config().as_bytes());
    let names: Vec<String> = (0..ON_DISK).map(model).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let start_engine = |engine: usize, life: usize| {
        let at = address(&engine_ip(engine), free[5]);
        let loaded = if life == 0 { &names[..IN_USE] } else { &[] };
        let (id, disk) = (format!("i-{engine}-{life}"), &names[..on_disk]);
        ModelEngine::start(&id, at, SERVICE, ZONES[engine], loaded, disk, &store, &recorder)
    };
    let engines: Vec<_> = (0..ENGINES).map(|engine| start_engine(engine, 0)).collect();
    let temporary = env::temp_dir().join(format!("large-status-{}", std::process::id()));
    if fs::create_dir_all(&temporary).is_err() {
        return Outcome::CouldNotRun("no temporary folder".to_owned());
    }
    let logs = temporary.to_string_lossy().into_owned();
    let store_text = store_at.to_string();
    let mut processes = start_processes(&logs, ports, free[5], &store_text, true);
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
    let mut lives = Vec::new();
    if trouble {
        recorder.note("final fault: all machines lose power");
        processes.iter_mut().for_each(Process::kill);
        engines.iter().for_each(|engine| engine.crash(&store));
        thread::sleep(Duration::from_millis(DOWN_MS));
        lives.extend((0..ENGINES).map(|engine| start_engine(engine, 1)));
        processes = start_processes(&logs, ports, free[5], &store_text, false);
        if !wait_for_ready() {
            return Outcome::CouldNotRun("the gateways are not ready again".to_owned());
        }
        recorder.note("all machines are back");
    }
    let judged_from = recorder.ms() + RECOVER_MS;
    recorder.sleep_until(judged_from + JUDGED_MS);
    ends.store(true, Ordering::Relaxed);
    let ended = processes.iter_mut().map(Process::has_ended).filter(|ended| *ended).count();
    drop(processes);
    if env::var("KEEP_LOGS").is_err() {
        let _ = fs::remove_dir_all(&temporary);
    }
    let (sent_before, served_before) = between(&seen, begin, fault - 3000);
    let (sent, served) = between(&seen, judged_from, judged_from + JUDGED_MS - 3000);
    let text = format!(
        "result before: sent={sent_before} served={served_before}; later than RecoverS after \
         the machines are back: sent={sent} served={served}; ended={ended}"
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
    thread::sleep(Duration::from_millis(60 * client as u64));
    for number in 0.. {
        if ends.load(Ordering::Relaxed) {
            return;
        }
        let (id, model) = (format!("s{client}-{number}"), model((client + number) % IN_USE));
        let own = 0x10_0000 + client * 10_000 + number;
        let request = format!(
            "POST /draft/{number} HTTP/1.1\r\nHost: planner.example\r\nX-Request-Id: {id}\r\n\
             X-Model: {model}\r\nX-Token-Counts: 1460,80\r\n\
             X-Prompt-Prefix: a{:x}:210,{own:x}:1250\r\n\
             X-Deadline-Ms: 15000\r\nContent-Length: 0\r\n\r\n",
            (client + number) % IN_USE
        );
        let sent_at = recorder.ms();
        recorder.note(&format!("sent id={id} to={ip} model={model}"));
        let answer = connection.call(&request, Duration::from_secs(15));
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
        let wait = after.map_or(0.3, |seconds| seconds.clamp(0.3, 4.0));
        thread::sleep(Duration::from_secs_f64(if served { 0.2 } else { wait }));
    }
}

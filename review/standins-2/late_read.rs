//! DRAIN: the store is silent for some seconds; when it has been stable again for its window, an
//! engine leaves, and gateways keep sending to it.

use std::{
    env, fs,
    sync::{
        Arc,
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

const STABLE_WINDOW_MS: u64 = 4000;
const DRAIN_MS: u64 = 2500;
/// Start and length of the outage, after all gateways are ready.
const OUTAGE_AT_MS: u64 = 5000;
const OUTAGE_MS: u64 = 3500;
/// The engine leaves so long after the window in which the store is stable again has begun.
const LEAVES_AFTER_MS: u64 = 100;
/// How long the engine goes on after its entry was removed.
const SERVES_ON_MS: u64 = 8000;
const GATEWAYS: [(&str, &str, &str); 5] = [
    ("edge-muenchen-a-1", "muenchen-a", "127.0.71.1"),
    ("edge-muenchen-a-2", "muenchen-a", "127.0.71.2"),
    ("edge-nuernberg-a-1", "nuernberg-a", "127.0.71.3"),
    ("edge-nuernberg-a-2", "nuernberg-a", "127.0.71.4"),
    ("edge-augsburg-a-1", "augsburg-a", "127.0.71.5"),
];
const CLIENTS_PER_GATEWAY: usize = 4;
/// Pause of a client between two requests: the 20 clients send about 90 requests a second.
const PAUSE: Duration = Duration::from_millis(200);

const CONFIG: &str = r#"{"Version":7,"Routes":[
{"Name":"r-lookup","Host":"desk.example","PathPrefix":"/lookup/","RouteType":"idempotent",
"TimeoutMs":1500,"TargetLatencyMs":200,"Priority":2,"Service":"desk","MaxAttempts":2}],
"Services":[{"Name":"desk","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
"IdleTimeoutMs":15000}}"#;

pub fn play(folder: &str, trouble: bool) -> Outcome {
    let recorder = Recorder::new(&format!("{folder}/record.txt"));
    let ports = free_ports(6);
    let gateway_ports =
        Ports { front: ports[0], ready: ports[1], control: ports[2], peers: ports[3] };
    let store_at = address("127.0.70.1", ports[4]);
    let store = Store::start(store_at, recorder.clone());
    store.append("keyed.op", "config", CONFIG.replace('\n', "").as_bytes());
    let zones = ["muenchen-a", "nuernberg-a", "augsburg-a"];
    let engines: Vec<Arc<Engine>> = (0..3)
        .map(|i| {
            let at = address(&format!("127.0.72.{}", i + 1), ports[5]);
            let (id, work) = (format!("i-desk-{i}"), Duration::from_millis(15));
            Engine::start(&id, at, "desk", zones[i], work, &store, &recorder)
        })
        .collect();
    let temporary = env::temp_dir().join(format!("late-read-{}", std::process::id()));
    if fs::create_dir_all(&temporary).is_err() {
        return Outcome::CouldNotRun("no temporary folder".to_owned());
    }
    let logs = temporary.to_string_lossy().into_owned();
    let seeds = ["127.0.71.1", "127.0.71.3", "127.0.71.5"];
    let mut gateways: Vec<Process> = Vec::new();
    for (name, zone, ip) in GATEWAYS {
        let settings = gateway_settings(name, zone, ip, gateway_ports, &seeds, store_at, true);
        gateways.push(Process::start("gateway", name, &logs, &settings));
        thread::sleep(Duration::from_millis(50));
    }
    let all_ready = || GATEWAYS.iter().all(|(.., ip)| is_ready(address(ip, gateway_ports.ready)));
    while !all_ready() {
        if 10_000 < recorder.ms() {
            return Outcome::CouldNotRun("the gateways are not ready".to_owned());
        }
        thread::sleep(Duration::from_millis(100));
    }
    let begin = recorder.ms();
    recorder.note("all gateways are ready");
    let ends = Arc::new(AtomicBool::new(false));
    let (sent, served) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    for (gateway, (name, _, ip)) in GATEWAYS.iter().enumerate() {
        for client in 0..CLIENTS_PER_GATEWAY {
            let (recorder, ends) = (recorder.clone(), ends.clone());
            let (sent, served) = (sent.clone(), served.clone());
            let front = address(ip, gateway_ports.front);
            thread::spawn(move || {
                let mut connection = ClientConnection::new(front);
                thread::sleep(PAUSE * client as u32 / CLIENTS_PER_GATEWAY as u32);
                for number in 0.. {
                    if ends.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("q{gateway}-{client}-{number}");
                    recorder.note(&format!("sent id={id} to={name}"));
                    sent.fetch_add(1, Ordering::Relaxed);
                    let request = format!(
                        "GET /lookup/{number} HTTP/1.1\r\nHost: desk.example\r\n\
                         X-Request-Id: {id}\r\nX-Deadline-Ms: 3000\r\n\r\n"
                    );
                    let answer = connection.call(&request, Duration::from_secs(3));
                    let text = answer.map_or_else(
                        |err| err.to_string(),
                        |a| {
                            if a.status() == 200 {
                                served.fetch_add(1, Ordering::Relaxed);
                            }
                            a.status().to_string()
                        },
                    );
                    recorder.note(&format!("answer id={id} {text}"));
                    thread::sleep(PAUSE);
                }
            });
        }
    }
    recorder.sleep_until(begin + OUTAGE_AT_MS);
    if trouble {
        store.silent.store(true, Ordering::Relaxed);
        recorder.note("store is silent");
        recorder.sleep_until(begin + OUTAGE_AT_MS + OUTAGE_MS);
        store.silent.store(false, Ordering::Relaxed);
        recorder.note("store answers again");
    }
    recorder.sleep_until(begin + OUTAGE_AT_MS + OUTAGE_MS + STABLE_WINDOW_MS + LEAVES_AFTER_MS);
    let leaving = &engines[1];
    leaving.remove_entry(&store, &recorder);
    let gone_at = leaving.gone_at.load(Ordering::Relaxed);
    recorder.sleep_until(gone_at + DRAIN_MS + 20);
    let before = leaving.arrivals.load(Ordering::Relaxed);
    recorder.sleep_until(gone_at + SERVES_ON_MS);
    let late = leaving.arrivals.load(Ordering::Relaxed) - before;
    leaving.stopped.store(true, Ordering::Relaxed);
    ends.store(true, Ordering::Relaxed);
    let ended = gateways.iter_mut().map(Process::has_ended).filter(|ended| *ended).count();
    drop(gateways);
    let _ = fs::remove_dir_all(&temporary);
    let (sent, served) = (sent.load(Ordering::Relaxed), served.load(Ordering::Relaxed));
    let text = format!(
        "result sent={sent} served={served} engine={} late_arrivals={late} ended={ended}",
        leaving.id
    );
    recorder.note(&text);
    println!("{text}");
    if served * 2 < sent || 0 < ended {
        return Outcome::CouldNotRun("the system does not serve".to_owned());
    }
    if 0 < late { Outcome::Broken } else { Outcome::Held }
}

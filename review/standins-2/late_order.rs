//! LIMIT: an order without an answer is carried out late, after the VM of the engine has lost power:
//! the agent has forgotten the order, and the engine has the same id and the same count again.

use std::{
    env, fs,
    sync::Arc,
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    thread,
    time::Duration,
};

use crate::{
    Outcome,
    common::{
        ClientConnection, Ports, Process, Recorder, Store, address, agent_settings, free_ports,
        gateway_settings, is_ready,
    },
    model_engine::{LateOrders, ModelEngine},
};

const SERVICE: &str = "planner";
const GATEWAY: (&str, &str, &str) = ("edge-muenchen-a-1", "muenchen-a", "127.0.84.1");
const ENGINE_IP: &str = "127.0.85.1";
/// Before an order is carried out late: `applied_late` takes 2 to 12 s.
const LATE_BY: Duration = Duration::from_secs(11);
/// How long the VM is without power.
const POWER_LOSS: Duration = Duration::from_millis(4500);
const MODELS: [&str; 4] = ["daka510000", "rada7437b5", "ravo486f6a", "gopu49ded4"];

fn config() -> String {
    let models: Vec<String> = MODELS
        .iter()
        .map(|name| {
            format!(
                "{{\"Name\":\"{name}\",\"WeightsMb\":34300.0,\"LoadS\":5.4,\"Adapters\":20,\
                 \"AdapterMb\":40.0,\"WarmS\":0.78,\"DiskS\":1.1}}"
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

pub fn play(folder: &str, trouble: bool) -> Outcome {
    let recorder = Recorder::new(&format!("{folder}/record.txt"));
    let free = free_ports(6);
    let ports = Ports { front: free[0], ready: free[1], control: free[2], peers: free[3] };
    let store_at = address("127.0.83.1", free[4]);
    let store = Store::start(store_at, recorder.clone());
    store.append("keyed.op", "config", config().as_bytes());
    let engine_at = address(ENGINE_IP, free[5]);
    let late = Arc::new(LateOrders::new(LATE_BY));
    let start_engine = |loaded: &[&str]| {
        let engine = ModelEngine::start(
            "i-1", engine_at, SERVICE, GATEWAY.1, loaded, &MODELS, &store, &recorder,
        );
        engine.carries_out(&late);
        engine
    };
    let engine = start_engine(&[MODELS[0], MODELS[1]]);
    let temporary = env::temp_dir().join(format!("late-order-{}", std::process::id()));
    if fs::create_dir_all(&temporary).is_err() {
        return Outcome::CouldNotRun("no temporary folder".to_owned());
    }
    let logs = temporary.to_string_lossy().into_owned();
    let (name, zone, ip) = GATEWAY;
    let settings = gateway_settings(name, zone, ip, ports, &[ip], store_at, true);
    let mut gateway = Process::start("gateway", name, &logs, &settings);
    let settings = agent_settings("side-1", SERVICE, ENGINE_IP, free[5], ports, store_at);
    let mut agent = Process::start("engine-agent", "side-1", &logs, &settings);
    while !is_ready(address(ip, ports.ready)) {
        if 10_000 < recorder.ms() {
            return Outcome::CouldNotRun("the gateway is not ready".to_owned());
        }
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_secs(4));
    let ends = Arc::new(AtomicBool::new(false));
    // The model and the adapter that the second client asks for; the first asks for MODELS[0].
    let wanted = Arc::new(AtomicUsize::new(0));
    let served = Arc::new(AtomicUsize::new(0));
    for client in 0..2 {
        let (ends, wanted) = (ends.clone(), wanted.clone());
        let (served, recorder) = (served.clone(), recorder.clone());
        let front = address(ip, ports.front);
        thread::spawn(move || {
            let mut connection = ClientConnection::new(front);
            for number in 0.. {
                if ends.load(Ordering::Relaxed) {
                    return;
                }
                let model = match (client, wanted.load(Ordering::Relaxed)) {
                    (0, _) => MODELS[0].to_owned(),
                    (_, 0) => format!("{}/a1", MODELS[0]),
                    (_, which) => MODELS[which].to_owned(),
                };
                let id = format!("l{client}-{number}");
                recorder.note(&format!("sent id={id} model={model}"));
                let request = format!(
                    "POST /draft/{number} HTTP/1.1\r\nHost: planner.example\r\n\
                     X-Request-Id: {id}\r\nX-Model: {model}\r\nX-Token-Counts: 1460,80\r\n\
                     X-Prompt-Prefix: a5:210,{:x}:1250\r\nX-Deadline-Ms: 15000\r\n\
                     Content-Length: 0\r\n\r\n",
                    0x1000 * (client + 1) + number
                );
                // The second client leaves when nothing comes for two seconds.
                let patience = Duration::from_secs(if client == 0 { 15 } else { 2 });
                let answer = connection.call(&request, patience);
                let text = answer.map_or_else(|err| err.to_string(), |a| a.status().to_string());
                if text == "200" {
                    served.fetch_add(1, Ordering::Relaxed);
                }
                recorder.note(&format!("answer id={id} {text}"));
                thread::sleep(Duration::from_millis(500));
            }
        });
    }
    // An adapter is loaded, then another model is asked for, which displaces the idle one.
    thread::sleep(Duration::from_secs(6));
    if trouble {
        late.take_next_load(MODELS[2]);
    }
    wanted.store(2, Ordering::Relaxed);
    let until = recorder.ms() + 15_000;
    while trouble && !late.has_taken() {
        if until < recorder.ms() {
            return Outcome::CouldNotRun("no order to load the model came".to_owned());
        }
        thread::sleep(Duration::from_millis(10));
    }
    if !trouble {
        thread::sleep(Duration::from_secs(4));
    }
    thread::sleep(Duration::from_millis(300));
    recorder.note("the VM of the engine loses power");
    wanted.store(3, Ordering::Relaxed);
    engine.crash(&store);
    agent.kill();
    thread::sleep(POWER_LOSS);
    let engine = start_engine(&[]);
    let settings = agent_settings("side-1", SERVICE, ENGINE_IP, free[5], ports, store_at);
    agent = Process::start("engine-agent", "side-1", &logs, &settings);
    thread::sleep(LATE_BY + Duration::from_secs(3));
    ends.store(true, Ordering::Relaxed);
    let ended = gateway.has_ended() || agent.has_ended();
    drop((gateway, agent));
    let _ = fs::remove_dir_all(&temporary);
    let over = engine.is_over_memory();
    let text = format!(
        "result served={} loaded={:?} over_memory={over} ended={ended}",
        served.load(Ordering::Relaxed),
        engine.loaded()
    );
    recorder.note(&text);
    println!("{text}");
    if served.load(Ordering::Relaxed) < 5 || ended {
        return Outcome::CouldNotRun("the system does not serve".to_owned());
    }
    if over { Outcome::Broken } else { Outcome::Held }
}

//! An entry of another writer in the store, at the address of an engine, after the final fault.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    engine::{self, Model, SERVICE},
    fleet::{self, Ports, Process, Recorder},
    limit::{self, Engine},
    store::Store,
};

const GATEWAY: Ipv4Addr = Ipv4Addr::new(127, 33, 0, 10);
const ENGINE: Ipv4Addr = Ipv4Addr::new(127, 33, 1, 10);
const DOWN: Duration = Duration::from_millis(1400);
const RECOVER: Duration = Duration::from_secs(12);
const BEFORE: Duration = Duration::from_secs(6);
const AFTER: Duration = Duration::from_secs(8);
/// How much later than the engine the other writer starts.
const WRITER_LATER: Duration = Duration::from_millis(1000);

pub fn run(record: &Recorder, trouble: bool) -> Verdict {
    let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    if std::fs::create_dir_all(&folder).is_err() {
        return Verdict::NotRun;
    }
    let verdict = play(record, trouble, &folder);
    let _ = std::fs::remove_dir_all(&folder);
    verdict
}

fn play(record: &Recorder, trouble: bool, folder: &std::path::Path) -> Verdict {
    let ports = Ports::find();
    let store = Store::default();
    let listener = TcpListener::bind((Ipv4Addr::new(127, 33, 2, 1), 0)).unwrap();
    let store_address = listener.local_addr().unwrap();
    store.serve(listener);
    let model = |i| Model { name: format!("m{i}"), mb: 34_300, load_s: 4.0, disk_s: 1.0 };
    let models = [model(1)];
    store.put("keyed.op", "config", &engine::configuration(7, &models, 5.0));
    let gateway_text =
        |first| fleet::gateway_settings("g0", GATEWAY, ports, &[GATEWAY], store_address, first);
    let agent_text =
        |first| fleet::agent_settings("a0", SERVICE, ENGINE, ports, store_address, first);
    let mut gateway = Process::new(folder, "g0", "gateway", &gateway_text(true));
    let mut agent = Process::new(folder, "a0", "engine-agent", &agent_text(true));
    let address = SocketAddr::from((ENGINE, ports.engine));
    let tested = Engine::start(record, &store, "i-0", address, false);
    gateway.start();
    agent.start();
    if !limit::wait(Duration::from_secs(20), || tested.models() == 1) {
        record.add("the model was not loaded");
        return Verdict::NotRun;
    }
    // When each request was sent, and whether it was served.
    let results: Arc<Mutex<Vec<(Instant, bool)>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    for client in 0..4u64 {
        let (results, stop, record) = (results.clone(), stop.clone(), record.clone());
        thread::spawn(move || {
            let mut n = 0;
            while !stop.load(Ordering::Relaxed) {
                n += 1;
                let sent_at = Instant::now();
                let (id, model) = (format!("c{client}-{n}"), "m1".to_owned());
                let number = client * 100_000 + n;
                let status = limit::ask((GATEWAY, ports.listen).into(), &id, &model, number);
                record.add(format!("request id={id} model={model} status={status}"));
                results.lock().unwrap().push((sent_at, status == 200));
                thread::sleep(Duration::from_millis(250));
            }
        });
    }
    let begun = Instant::now();
    thread::sleep(BEFORE);
    record.add("all lose power");
    let fault = Instant::now();
    gateway.signal(9);
    agent.signal(9);
    tested.lose_power();
    gateway.stop(Duration::from_millis(1));
    agent.stop(Duration::from_millis(1));
    thread::sleep(DOWN);
    gateway.set_settings(&gateway_text(false));
    agent.set_settings(&agent_text(false));
    tested.come_back();
    gateway.start();
    agent.start();
    record.add("all are back");
    let back = Instant::now();
    thread::sleep(WRITER_LATER);
    if trouble {
        let born = limit::unix_ms();
        let (store, stop, record) = (store.clone(), stop.clone(), record.clone());
        thread::spawn(move || {
            let mut seq = 0;
            while !stop.load(Ordering::Relaxed) {
                let entry = format!(
                    "{{\"Service\":\"host-metrics\",\"Address\":\"{address}\",\"Zone\":\"a\",\
                     \"Version\":\"v1\",\"Slots\":1,\"State\":\"ready\",\"ColdLeftMs\":0,\
                     \"Seq\":{seq},\"born\":{born}}}"
                );
                if seq == 0 {
                    record.add(format!("another writer: servers/x-1 {entry}"));
                }
                store.put("keyed.servers", "x-1", &entry);
                seq += 1;
                thread::sleep(Duration::from_millis(1200));
            }
        });
    }
    thread::sleep((RECOVER + AFTER).saturating_sub(WRITER_LATER));
    stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(300));
    let share = |from: Instant, until: Instant| {
        let results = results.lock().unwrap();
        let sent: Vec<bool> =
            results.iter().filter(|r| from <= r.0 && r.0 < until).map(|r| r.1).collect();
        (sent.iter().filter(|served| **served).count(), sent.len())
    };
    let before = share(begun, fault);
    let after = share(back + RECOVER, Instant::now());
    let text = format!("before={before:?} after={after:?} models={}", tested.models());
    record.add(&text);
    println!("{text}");
    drop((gateway, agent));
    let is_quarter = |(served, sent): (usize, usize)| sent <= 4 * served;
    if before.1 == 0 || after.1 == 0 || !is_quarter(before) {
        return Verdict::NotRun;
    }
    if is_quarter(after) { Verdict::Held } else { Verdict::Broken }
}

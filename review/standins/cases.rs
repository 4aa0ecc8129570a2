//! The cases. Each returns how the rule was broken, if it was.

use std::{
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    clients::{Clients, Kind},
    engine::{Engine, Model, Order, Spec},
    fleet::{Fleet, Route},
    record::Record,
};

const LLM: &str = "planner-assist";
const APP: &str = "shift-desk";
const MODELS: [&str; 9] = [
    "daka510000",
    "rada7437b5",
    "ravo486f6a",
    "gopu49ded4",
    "base151689",
    "xada684e3e",
    "puvo87bda8",
    "tika1376c0",
    "nymi57a71f",
];
/// Bound `RecoverS` of the site.
const RECOVER_S: f64 = 12.0;

const STREAMS: Route = Route {
    prefix: "/lohu930/",
    kind: "streaming",
    timeout_ms: 15_000,
    target_ms: 1200,
    attempts: 2,
    service: LLM,
};

/// Cleared to play the final fault of a case alone, without the crash of engines or servers.
static CRASHES: AtomicBool = AtomicBool::new(true);

fn crashes() -> bool {
    CRASHES.load(Ordering::SeqCst)
}

pub fn play(name: &str, record: &Arc<Record>, trouble: bool) -> Option<String> {
    let case = name.strip_suffix("-final-fault-only");
    CRASHES.store(case.is_none(), Ordering::SeqCst);
    match case.unwrap_or(name) {
        "late-order" => late_order(record, trouble),
        "crash-while-loading" => crash_while_loading(record, trouble),
        // Four engines crash one after the other, each twice, without a final fault.
        "crashes-one-by-one" => crashes_one_by_one(record, trouble),
        "shared-prompt" => shared_prompt(record, trouble, true, 2, "5c1e07a2:95,91bd3f06:60"),
        // Without the final fault.
        "shared-prompt-crash-only" => {
            shared_prompt(record, trouble, false, 2, "5c1e07a2:95,91bd3f06:60")
        }
        // One shared part, and all callers at one of two gateways.
        "shared-prompt-one-gateway" => shared_prompt(record, trouble, false, 1, "5c1e07a3:155"),
        // One shared part, and callers at both gateways.
        "shared-prompt-one-part" => shared_prompt(record, trouble, false, 2, "5c1e07a3:155"),
        "polled-page" => polled_page(record, trouble, true),
        // Without the final fault.
        "polled-page-crash-only" => polled_page(record, trouble, false),
        "frozen-agent" => frozen_agent(record, trouble),
        // An entry of KNOWN-RED.txt: requests that crash engines share a part with sound ones.
        "crashing-prompts" => crashing_prompts(record, trouble, false),
        // The same after the part was sound and all processes were killed.
        "crashing-prompts-after-restart" => crashing_prompts(record, trouble, true),
        other => panic!("no case {other}"),
    }
}

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// Waits until something holds.
fn wait_for(text: &str, longest: f64, holds: impl Fn() -> bool) {
    let until = Instant::now() + Duration::from_secs_f64(longest);
    while !holds() {
        assert!(Instant::now() < until, "not within {longest} s: {text}");
        thread::sleep(ms(5));
    }
}

/// An engine of the site's sheet: 83 GB, 8 places for adapters, models of 34.3 GB that load in
/// 5.4 s, or 1.1 s from the disk.
fn engine_spec(fleet: &Fleet, index: usize, models: usize) -> Spec {
    let model = |name: &&str| Model {
        name: (*name).to_owned(),
        weights_mb: 34_300.0,
        load: ms(5400),
        disk_load: ms(1100),
    };
    Spec {
        name: format!("engine-{index}"),
        service: LLM.to_owned(),
        address: fleet.engine_address(index),
        slots: 128,
        models: Some(MODELS[..models].iter().map(model).collect()),
        weights_mb: 83_000.0,
        adapter_slots: 8,
        adapter_mb: 40.0,
        first: ms(250),
        events: 20,
        event_interval: ms(40),
    }
}

fn never_late(_: &Order) -> Option<Duration> {
    None
}

/// Headers of a prompt: parts that others share, and one of its own.
fn prompt(number: u64, model: &str, shared: &str) -> Vec<(String, String)> {
    vec![
        ("X-Model".to_owned(), model.to_owned()),
        ("X-Token-Counts".to_owned(), "1460,172".to_owned()),
        ("X-Prompt-Prefix".to_owned(), format!("{shared},{:x}:1110", 0xe440_0000 + number)),
    ]
}

fn stream_kind(
    name: &'static str,
    headers: impl Fn(u64) -> Vec<(String, String)> + Send + Sync + 'static,
) -> Kind {
    let (method, path, deadline) = ("POST", "/lohu930/2f", ms(15_000));
    Kind { name, method, path, deadline, headers: Arc::new(headers), events: 20 }
}

/// Rule RECOVER: of the requests sent later than `RecoverS` after all are back, less than a
/// quarter is served, though a quarter or more was before.
fn judge_recovery(
    record: &Record,
    clients: &Clients,
    before: (f64, f64),
    after: (f64, f64),
) -> Option<String> {
    let (sent_before, served_before) = clients.served(before.0, before.1);
    let (sent_after, served_after) = clients.served(after.0, after.1);
    record.say(&format!(
        "from {:.1} s to {:.1} s: sent {sent_before}, served {served_before}, by status {}",
        before.0,
        before.1,
        clients.statuses(before.0, before.1)
    ));
    record.say(&format!(
        "from {:.1} s to {:.1} s: sent {sent_after}, served {served_after}, by status {}",
        after.0,
        after.1,
        clients.statuses(after.0, after.1)
    ));
    assert!(10 <= sent_before && 10 <= sent_after, "too few requests");
    assert!(sent_before <= 4 * served_before, "the fleet served too little before");
    (4 * served_after < sent_after).then(|| {
        format!(
            "RECOVER: of {sent_after} requests sent later than {RECOVER_S} s after all were back, \
             {served_after} were served; before, {served_before} of {sent_before}"
        )
    })
}

// ---- LIMIT: a late order reaches the engine after its restart -------------------------------

fn late_order(record: &Arc<Record>, trouble: bool) -> Option<String> {
    const ENGINES: usize = 4;
    let [a, b, c] = [MODELS[0], MODELS[1], MODELS[2]];
    let mut fleet = Fleet::new(record);
    let left_out = Arc::new(AtomicUsize::new(0));
    let count = left_out.clone();
    // The first order to load C gets no answer and is carried out later, within 2 to 12 s.
    let late = move |order: &Order| {
        let is_first = || count.fetch_add(1, Ordering::SeqCst) == 0;
        let chosen = trouble && order.opcode == "load" && order.model == MODELS[2] && is_first();
        chosen.then(|| ms(10_500))
    };
    let specs: Vec<Spec> = (0..ENGINES).map(|i| engine_spec(&fleet, i, 9)).collect();
    let engine = fleet.engine(specs[0].clone(), Box::new(late));
    fleet.configure(7, &[STREAMS], &[(LLM, 630, Some(&specs[0]))]);
    // Copies of earlier loads lie on its disk. There is room for two of the three models.
    engine.fill_disk(&[a, b, c]);
    engine.start(&[a, b]);
    fleet.start_agent(0, LLM);
    // The other engines are full of models that are in use.
    for (i, spec) in specs.iter().enumerate().skip(1) {
        let other = fleet.engine(spec.clone(), Box::new(never_late));
        other.start(&MODELS[1 + 2 * i..3 + 2 * i]);
        fleet.start_agent(i, LLM);
    }
    fleet.start_gateways(1);
    let clients = Clients::new(record, &fleet.gateways);
    sleep(2.0);
    let a_kind = stream_kind("A", |n| prompt(n, MODELS[0], "5c1e07a2:350"));
    clients.send_steadily(a_kind, 2.0, || false);
    let others = stream_kind("other", |n| brief(n, MODELS[3 + n as usize % 6], "7d20c3e1:155"));
    clients.send_steadily(others, 8.0, || false);
    sleep(3.0);
    // A caller uses an adapter of A.
    clients.send(&stream_kind("A/a1", |n| prompt(n, "daka510000/a1", "91bd:350")));
    wait_for("the adapter is used", 8.0, || clients.served_of("A/a1") == 1);
    sleep(3.0);
    // A caller asks for C. Nobody has used B, which makes way.
    clients.send(&stream_kind("C", |n| prompt(n, MODELS[2], "77aa:350")));
    wait_for("C is served", 12.0, || clients.served_of("C") == 1);
    if trouble {
        engine.crash();
        sleep(1.5);
        engine.start(&[]);
    }
    // Callers ask for B.
    let b_kind = stream_kind("B", |n| prompt(n, MODELS[1], "0c0c:350"));
    clients.send_steadily(b_kind, 2.0, || false);
    let until = Instant::now() + ms(14_000);
    while Instant::now() < until && engine.over_limit().is_empty() {
        sleep(0.1);
    }
    record.say(&format!("engine-0 holds {:?}, Seq {}", engine.loaded(), engine.seq()));
    sleep(1.0);
    clients.stop();
    fleet.quote_logs(&["event=order ", "event=engine_"], 200);
    engine.over_limit().first().map(|text| format!("LIMIT: {text}"))
}

// ---- RECOVER: an engine crashes during the first load after its start ------------------------

fn crash_while_loading(record: &Arc<Record>, trouble: bool) -> Option<String> {
    let mut fleet = Fleet::new(record);
    let spec = engine_spec(&fleet, 0, 2);
    let engine = fleet.engine(spec.clone(), Box::new(never_late));
    fleet.configure(7, &[STREAMS], &[(LLM, 630, Some(&spec))]);
    engine.start(&MODELS[..2]);
    fleet.start_agent(0, LLM);
    fleet.start_gateways(2);
    let clients = Clients::new(record, &fleet.gateways);
    sleep(2.0);
    let began = record.seconds();
    let kind = stream_kind("draft", |n| brief(n, MODELS[n as usize % 2], "5c1e07a2:155"));
    clients.send_steadily(kind, 8.0, || false);
    sleep(6.0);
    let fault = record.seconds();
    if trouble {
        // All machines lose power, that of the engine too.
        engine.crash();
        fleet.kill_all(ms(1400));
        engine.start(&[]);
        // The engine crashes once more, while it loads its first model.
        wait_for("a load begins", 15.0, || engine.loading().is_some());
        sleep(0.5);
        if crashes() {
            engine.crash();
            sleep(2.0);
            engine.start(&[]);
        }
    }
    let back = record.seconds();
    sleep(RECOVER_S);
    let judged_from = record.seconds();
    sleep(25.0);
    let judged_until = record.seconds();
    record.say(&format!("engine-0 holds {:?}, Seq {}", engine.loaded(), engine.seq()));
    sleep(2.0);
    clients.stop();
    record.say(&format!("all machines and the engine were back at {back:.1} s"));
    fleet.quote_logs(&["event=order ", "event=engine_"], 200);
    judge_recovery(record, &clients, (began, fault), (judged_from, judged_until))
}

// ---- RECOVER: four engines crash so, one at a time (a variant) --------------------------------

fn crashes_one_by_one(record: &Arc<Record>, trouble: bool) -> Option<String> {
    const ENGINES: usize = 4;
    let mut fleet = Fleet::new(record);
    let specs: Vec<Spec> = (0..ENGINES).map(|i| engine_spec(&fleet, i, 8)).collect();
    let engines: Vec<Arc<Engine>> =
        specs.iter().map(|s| fleet.engine(s.clone(), Box::new(never_late))).collect();
    fleet.configure(7, &[STREAMS], &[(LLM, 630, Some(&specs[0]))]);
    for (i, engine) in engines.iter().enumerate() {
        engine.start(&MODELS[2 * i..2 * i + 2]);
        fleet.start_agent(i, LLM);
    }
    fleet.start_gateways(2);
    let clients = Clients::new(record, &fleet.gateways);
    sleep(2.0);
    let began = record.seconds();
    let kind = stream_kind("draft", |n| prompt(n, MODELS[n as usize % 8], "5c1e07a2:350"));
    clients.send_steadily(kind, 8.0, || false);
    sleep(5.0);
    let first_fault = record.seconds();
    for engine in engines.iter().filter(|_| trouble) {
        // At most a quarter of the engines is down at a time, each for 2 s.
        engine.crash();
        sleep(2.0);
        engine.start(&[]);
        wait_for("a load begins", 15.0, || engine.loading().is_some());
        sleep(0.5);
        engine.crash();
        sleep(2.0);
        engine.start(&[]);
    }
    let back = record.seconds();
    sleep(RECOVER_S);
    let judged_from = record.seconds();
    sleep(15.0);
    let judged_until = record.seconds();
    for (i, engine) in engines.iter().enumerate() {
        record.say(&format!("engine-{i} holds {:?}, Seq {}", engine.loaded(), engine.seq()));
    }
    sleep(2.0);
    clients.stop();
    record.say(&format!("all engines were back at {back:.1} s"));
    fleet.quote_logs(&["event=order ", "event=engine_"], 200);
    judge_recovery(record, &clients, (began, first_fault), (judged_from, judged_until))
}

// ---- RECOVER: prompts share two parts, and the engines of their model crash at once -----------

fn shared_prompt(
    record: &Arc<Record>,
    trouble: bool,
    final_fault: bool,
    used_gateways: usize,
    shared: &'static str,
) -> Option<String> {
    const ENGINES: usize = 30;
    // A share of 0.17 of the engines.
    const CRASHING: usize = 5;
    let mut fleet = Fleet::new(record);
    let specs: Vec<Spec> = (0..ENGINES).map(|i| engine_spec(&fleet, i, 8)).collect();
    let engines: Vec<Arc<Engine>> =
        specs.iter().map(|s| fleet.engine(s.clone(), Box::new(never_late))).collect();
    fleet.configure(7, &[STREAMS], &[(LLM, 630, Some(&specs[0]))]);
    for (i, engine) in engines.iter().enumerate() {
        // The busy model is on five engines, each of the others on some of the rest.
        let others = [MODELS[1 + i % 7], MODELS[1 + (i + 1) % 7]];
        engine.start(if i < CRASHING { &MODELS[..1] } else { &others });
        fleet.start_agent(i, LLM);
    }
    fleet.start_gateways(2);
    let clients = Clients::new(record, &fleet.gateways[..used_gateways]);
    sleep(2.0);
    let began = record.seconds();
    // The instructions and the examples of one application, as in PROTOCOL.md.
    let briefs = stream_kind("brief", move |n| brief(n, MODELS[0], shared));
    clients.send_steadily(briefs, 25.0, || false);
    let others = stream_kind("other", |n| brief(n, MODELS[1 + n as usize % 7], "7d20c3e1:155"));
    clients.send_steadily(others, 4.0, || false);
    sleep(6.0);
    let mut fault = record.seconds();
    if trouble {
        for engine in engines[..CRASHING].iter().filter(|_| crashes()) {
            engine.crash();
        }
        if final_fault {
            sleep(1.0);
            fault = record.seconds();
            fleet.kill_all(ms(900));
            sleep(2.6);
        } else {
            sleep(4.5);
        }
        for engine in engines[..CRASHING].iter().filter(|_| crashes()) {
            engine.start(&[]);
        }
    }
    let back = record.seconds();
    sleep(RECOVER_S);
    let judged_from = record.seconds();
    sleep(30.0);
    let judged_until = record.seconds();
    for (i, engine) in engines.iter().enumerate() {
        record.say(&format!("engine-{i} holds {:?}, Seq {}", engine.loaded(), engine.seq()));
    }
    sleep(2.0);
    clients.stop();
    record.say(&format!("all machines and engines were back at {back:.1} s"));
    let logs = ["event=endpoint_crashed", "event=suspect", "event=order "];
    fleet.quote_logs(&logs, 60);
    judge_recovery(record, &clients, (began, fault), (judged_from, judged_until))
}

/// Headers of a short prompt.
fn brief(number: u64, model: &str, shared: &str) -> Vec<(String, String)> {
    vec![
        ("X-Model".to_owned(), model.to_owned()),
        ("X-Token-Counts".to_owned(), "646,70".to_owned()),
        ("X-Prompt-Prefix".to_owned(), format!("{shared},{:x}:491", 0xe440_0000 + number)),
    ]
}

// ---- RECOVER: one page is polled, and three of twelve servers crash at once --------------------

fn polled_page(record: &Arc<Record>, trouble: bool, final_fault: bool) -> Option<String> {
    const SERVERS: usize = 12;
    // A quarter of the servers.
    const CRASHING: usize = 3;
    let mut fleet = Fleet::new(record);
    let spec = |i| Spec {
        name: format!("server-{i}"),
        service: APP.to_owned(),
        address: fleet.engine_address(i),
        slots: 6,
        models: None,
        weights_mb: 0.0,
        adapter_slots: 0,
        adapter_mb: 0.0,
        first: ms(100),
        events: 0,
        event_interval: ms(0),
    };
    let servers: Vec<Arc<Engine>> =
        (0..SERVERS).map(|i| fleet.engine(spec(i), Box::new(never_late))).collect();
    let lookups = Route {
        prefix: "/cufi504/",
        kind: "idempotent",
        timeout_ms: 3000,
        target_ms: 200,
        attempts: 2,
        service: APP,
    };
    fleet.configure(7, &[lookups], &[(APP, 110, None)]);
    for server in &servers {
        server.start(&[]);
    }
    fleet.start_gateways(2);
    let clients = Clients::new(record, &fleet.gateways);
    sleep(2.0);
    let began = record.seconds();
    let kind = Kind {
        name: "lookup",
        method: "GET",
        path: "/cufi504/fi50/2f",
        deadline: ms(3000),
        headers: Arc::new(|_| Vec::new()),
        events: 0,
    };
    clients.send_steadily(kind, 240.0, || false);
    sleep(6.0);
    let mut fault = record.seconds();
    if trouble {
        for server in servers[..CRASHING].iter().filter(|_| crashes()) {
            server.crash();
        }
        sleep(2.0);
        for server in servers[..CRASHING].iter().filter(|_| crashes()) {
            server.start(&[]);
        }
    }
    if trouble && final_fault {
        sleep(2.0);
        fault = record.seconds();
        fleet.kill_all(ms(900));
    }
    let back = record.seconds();
    sleep(RECOVER_S);
    let judged_from = record.seconds();
    sleep(20.0);
    let judged_until = record.seconds();
    sleep(1.0);
    clients.stop();
    record.say(&format!("all machines and servers were back at {back:.1} s"));
    fleet.quote_logs(&["event=endpoint_crashed", "event=suspect"], 200);
    judge_recovery(record, &clients, (began, fault), (judged_from, judged_until))
}

// ---- RECOVER: an agent is frozen while its engine is replaced ---------------------------------

fn frozen_agent(record: &Arc<Record>, trouble: bool) -> Option<String> {
    let mut fleet = Fleet::new(record);
    let spec = engine_spec(&fleet, 0, 1);
    let engine = fleet.engine(spec.clone(), Box::new(never_late));
    fleet.configure(7, &[STREAMS], &[(LLM, 630, Some(&spec))]);
    engine.start(&MODELS[..1]);
    fleet.start_agent(0, LLM);
    fleet.start_gateways(2);
    let clients = Clients::new(record, &fleet.gateways);
    sleep(2.0);
    let began = record.seconds();
    let kind = stream_kind("draft", |n| prompt(n, MODELS[0], "5c1e07a2:350"));
    clients.send_steadily(kind, 8.0, || false);
    sleep(5.0);
    let fault = record.seconds();
    // The engine is replaced as planned: it drains, exits and starts again.
    engine.drain();
    sleep(0.3);
    if trouble {
        fleet.signal("side-0", "STOP");
    }
    sleep(3.0);
    engine.exit();
    sleep(0.5);
    engine.start(&[]);
    sleep(3.5);
    if trouble {
        fleet.signal("side-0", "CONT");
    }
    let back = record.seconds();
    sleep(RECOVER_S);
    let judged_from = record.seconds();
    sleep(20.0);
    let judged_until = record.seconds();
    record.say(&format!("engine-0 holds {:?}, Seq {}", engine.loaded(), engine.seq()));
    sleep(2.0);
    clients.stop();
    record.say(&format!("all was back at {back:.1} s"));
    fleet.quote_logs(&["event=order ", "event=endpoint_", "event=agent_"], 200);
    judge_recovery(record, &clients, (began, fault), (judged_from, judged_until))
}

// ---- An entry of KNOWN-RED.txt: sound requests beside some that crash engines -----------------

fn crashing_prompts(record: &Arc<Record>, trouble: bool, restart: bool) -> Option<String> {
    const ENGINES: usize = 6;
    const SHARED: &str = "5c1e07a3:155";
    let mut fleet = Fleet::new(record);
    let specs: Vec<Spec> = (0..ENGINES).map(|i| engine_spec(&fleet, i, 1)).collect();
    let engines: Vec<Arc<Engine>> =
        specs.iter().map(|s| fleet.engine(s.clone(), Box::new(never_late))).collect();
    fleet.configure(7, &[STREAMS], &[(LLM, 630, Some(&specs[0]))]);
    for (i, engine) in engines.iter().enumerate() {
        engine.start(&MODELS[..1]);
        fleet.start_agent(i, LLM);
    }
    fleet.start_gateways(2);
    // An engine that has crashed is back two seconds later.
    for engine in engines {
        thread::spawn(move || loop {
            sleep(0.1);
            if !engine.is_up() {
                sleep(2.0);
                engine.start(&[]);
            }
        });
    }
    let clients = Clients::new(record, &fleet.gateways);
    sleep(2.0);
    let sound = stream_kind("sound", |n| brief(n, MODELS[0], SHARED));
    if restart {
        for _ in 0..20 {
            clients.send(&sound);
            sleep(0.2);
        }
        sleep(2.0);
        fleet.kill_all(ms(900));
        sleep(2.0);
    }
    // Two requests crash each engine that begins to run them, and come again.
    for _ in 0..8 {
        for part in ["dead0", "dead1"].into_iter().filter(|_| trouble) {
            let kind = stream_kind("crashing", move |_| {
                let mut headers = brief(0, MODELS[0], SHARED);
                headers[2].1 = format!("{SHARED},{part}:491");
                headers
            });
            clients.send(&kind);
            sleep(1.0);
        }
    }
    sleep(12.0);
    let from = record.seconds();
    clients.send_steadily(sound, 5.0, || false);
    sleep(30.0);
    let until = record.seconds();
    sleep(2.0);
    clients.stop();
    let (sent, served) = clients.served(from, until);
    let statuses = clients.statuses(from, until);
    record.say(&format!("sound requests: sent {sent}, served {served}, by status {statuses}"));
    fleet.quote_logs(&["event=endpoint_crashed", "event=suspect"], 100);
    (4 * served < sent).then(|| format!("of {sent} sound requests {served} were served"))
}

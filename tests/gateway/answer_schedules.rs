//! Random schedules of refusals, breaks, restarts and copies of earlier answers. The environment
//! variable `ANSWER_SCHEDULES` sets the number of seeds.

use std::{
    collections::{BTreeMap, BTreeSet},
    env, mem, thread,
    time::Duration,
};

use fastrand::Rng;
use goldcrestpitch::{
    fakes::{FakeLog, LogFaults},
    gateway::{AccountSettings, Bounds},
    platform::REGISTRATIONS,
};
use tokio::{io::AsyncWriteExt, sync::watch, time};

use crate::{
    copying_endpoint::{
        CopiesWithoutId, CopyingEndpoint, Record, SharedRecord, is_stream, success_body,
    },
    explained::{install_capture_logger, lines_for_request},
    run,
    test_gateway::{
        BOUNDS, Response, TestGateway, http_request, read_response, registration, route, routes,
    },
};

const SCHEDULES: u64 = 12;
const THREADS: u64 = 3;
/// Failing seeds whose trace is printed.
const TRACED: usize = 3;
const CALLERS: u64 = 4;
const REQUESTS: u64 = 14;
const SERVICES: [&str; 4] = ["desk", "desk", "desk", "other"];
/// Path prefixes by the share of the requests.
const PREFIXES: [&str; 10] = [
    "/book/", "/book/", "/book/", "/order/", "/order/", "/stream/", "/stream/", "/read/",
    "/resume/", "/resume/",
];

#[derive(Clone, Copy, Debug)]
struct Scenario {
    /// Prefix of the request ids.
    name: &'static str,
    without_id: CopiesWithoutId,
    /// Whether a fifth of the requests have the id of the caller's last one.
    repeats_ids: bool,
}

/// A request of a caller and what came of it.
#[derive(Debug)]
struct Call {
    id: String,
    path: String,
    /// `None` if the caller left or the connection was closed without an answer.
    response: Option<Response>,
}

impl Call {
    fn must_run_once(&self) -> bool {
        ["/book/", "/order/", "/stream/"].iter().any(|p| self.path.starts_with(p))
    }

    /// Whether the caller was told that the request does not run.
    fn is_refused(&self) -> bool {
        self.response.as_ref().is_some_and(|r| matches!(r.status, 408 | 421 | 429 | 503))
    }

    fn is_served(&self) -> bool {
        self.response.as_ref().is_some_and(|r| r.status == 200 && r.complete)
    }

    /// Whether the answer belongs to another request.
    fn is_answer_to_another(&self) -> bool {
        let Some(response) = &self.response else { return false };
        let (id, signature) = (&self.id, format!("s-{}", self.id));
        let is_other = |name: &str, own: &str| response.header(name).is_some_and(|v| v != own);
        if is_other("x-request-id", id) || is_other("x-response-signature", &signature) {
            return true;
        }
        let body = response.text();
        let expected = success_body(id, &self.path);
        match response.status {
            200 if response.complete => body != expected,
            200 => !is_stream(&self.path) || !expected.starts_with(&body),
            500 => body != format!("{id} {} failed", self.path),
            _ => false,
        }
    }
}

/// What came of a schedule.
struct Outcome {
    seed: u64,
    calls: Vec<Call>,
    record: Record,
    violations: BTreeSet<(&'static str, String)>,
}

impl Outcome {
    fn new(seed: u64, calls: Vec<Call>, record: Record) -> Self {
        let mut by_id = BTreeMap::<&str, Vec<&Call>>::new();
        for call in &calls {
            by_id.entry(&call.id).or_default().push(call);
        }
        let mut violations = BTreeSet::new();
        for (id, calls) in by_id {
            let mut add = |what| violations.insert((what, id.to_owned()));
            let runs = record.runs.get(id).copied().unwrap_or(0) as usize;
            let refused = calls.iter().filter(|c| c.is_refused()).count();
            if calls[0].must_run_once() {
                if calls.len() < runs {
                    add("ran twice");
                } else if calls.len() - refused < runs {
                    add("ran though refused");
                }
            }
            if calls.iter().any(|c| c.is_answer_to_another()) {
                add("answer to another request");
            }
            if runs == 0 && calls.iter().any(|c| c.is_served()) {
                add("served without a run");
            }
        }
        violations
            .extend(record.received_twice.iter().map(|id| ("twice on a connection", id.clone())));
        Self { seed, calls, record, violations }
    }

    /// The log lines and the endpoints' events of the requests in violations.
    fn trace(&self) -> String {
        let ids: BTreeSet<&String> = self.violations.iter().map(|(_, id)| id).collect();
        let mut text = String::new();
        for id in ids {
            let statuses = self.calls.iter().filter(|c| c.id == *id);
            let statuses: Vec<_> =
                statuses.map(|c| (&c.path, c.response.as_ref().map(|r| r.status))).collect();
            text += &format!("seed {} request {id}: {statuses:?}\n", self.seed);
            let wanted = ["event=sent", "response ", "event=not_", "event=broken", "event=refused"];
            let lines = lines_for_request(id);
            let lines = lines.iter().filter(|l| wanted.iter().any(|w| l.contains(w)));
            lines.for_each(|l| text += &format!("  {l}\n"));
            let named = format!("id={id} ");
            let events = self.record.trace.iter().filter(|l| l.contains(&named));
            events.for_each(|l| text += &format!("  {l}\n"));
        }
        text
    }
}

/// Sends the requests of one caller one after another on kept connections.
async fn call_in_turn(
    gateway: &TestGateway,
    name: String,
    mut rng: Rng,
    repeats_ids: bool,
) -> Vec<Call> {
    let mut calls: Vec<Call> = Vec::new();
    let mut connection = None;
    for i in 0..REQUESTS {
        let pause = if rng.f64() < 0.03 { 500 } else { rng.u64(0..15) };
        time::sleep(Duration::from_millis(pause)).await;
        let mut prefix = PREFIXES[rng.usize(0..PREFIXES.len())];
        let mut id = format!("{name}-{i}");
        if let Some(last) = calls.last().filter(|_| repeats_ids && rng.u32(0..5) == 0) {
            id = last.id.clone();
            prefix = PREFIXES.iter().find(|p| last.path.starts_with(*p)).unwrap();
        }
        let path = format!("{prefix}{name}-{i}");
        let deadline = [300, 600, 1500][rng.usize(0..3)];
        let headers = format!("x-request-id: {id}\r\nx-deadline-ms: {deadline}\r\n");
        let (method, body) = match prefix {
            "/read/" => ("GET", String::new()),
            _ if rng.u32(0..20) == 0 => ("POST", "x".repeat(50_000)),
            _ => ("POST", format!("body of {id}")),
        };
        let leaves_after = if rng.f64() < 0.03 { rng.u64(0..20) } else { 20_000 };
        let (mut socket, mut buf) = match connection.take() {
            Some(kept) => kept,
            None => (gateway.connect().await, Vec::new()),
        };
        let text = http_request(method, &path, &headers, &body);
        let mut response = None;
        if socket.write_all(text.as_bytes()).await.is_ok() {
            let reading = read_response(&mut socket, &mut buf);
            let read = time::timeout(Duration::from_millis(leaves_after), reading).await;
            response = read.ok().filter(|r| r.status != 0);
        }
        let closes = |r: &Response| r.header("connection").is_some_and(|v| v == "close");
        if response.as_ref().is_some_and(|r| r.complete && !closes(r)) {
            connection = Some((socket, buf));
        }
        calls.push(Call { id, path, response });
    }
    calls
}

/// Restarts endpoints until the schedule ends.
async fn restart_endpoints(
    gateway: &TestGateway,
    endpoints: &[CopyingEndpoint],
    mut rng: Rng,
    end: watch::Receiver<bool>,
) {
    let mut ids: Vec<String> = (0..endpoints.len()).map(|i| format!("i-{i}")).collect();
    let mut starts = 1;
    let register = async |id: &str, i: usize, born: u64, service: &str| {
        let mut text = registration(endpoints[i].address, "ready", born);
        text["Service"] = service.into();
        gateway.store.put(REGISTRATIONS, id, text.to_string().as_bytes()).await.unwrap();
    };
    while !*end.borrow() {
        time::sleep(Duration::from_millis(rng.u64(30..120))).await;
        starts += 1;
        let i = rng.usize(0..endpoints.len());
        let service = if rng.u32(0..6) == 0 { SERVICES[3 - i] } else { SERVICES[i] };
        let resets = rng.u32(0..3) == 0;
        if rng.u32(0..5) == 0 {
            endpoints[i].restart(&ids[i], resets);
            register(&ids[i], i, starts, service).await;
            continue;
        }
        let new = format!("i-{i}-{starts}");
        let old = mem::replace(&mut ids[i], new.clone());
        let is_registered_late = rng.bool();
        if is_registered_late {
            endpoints[i].restart(&new, resets);
            time::sleep(Duration::from_millis(rng.u64(0..40))).await;
        }
        if rng.u32(0..4) == 0 {
            gateway.unregister(&old).await;
        }
        register(&new, i, starts, service).await;
        time::sleep(Duration::from_millis(rng.u64(0..40))).await;
        if !is_registered_late {
            endpoints[i].restart(&new, resets);
        }
        time::sleep(Duration::from_millis(rng.u64(0..100))).await;
        gateway.unregister(&old).await;
    }
}

/// Waits until the endpoints have ended their work.
async fn work_ends(record: &SharedRecord) {
    let mut idle = 0;
    while idle < 10 {
        time::sleep(Duration::from_millis(5)).await;
        idle = if record.lock().unwrap().active == 0 { idle + 1 } else { 0 };
    }
}

async fn play(seed: u64, scenario: Scenario) -> Outcome {
    let mut rng = Rng::with_seed(seed);
    let record = SharedRecord::default();
    let mut endpoints = Vec::new();
    for i in 0..SERVICES.len() {
        let id = format!("i-{i}");
        let endpoint =
            CopyingEndpoint::start(i, &id, rng.fork(), record.clone(), scenario.without_id).await;
        endpoints.push(endpoint);
    }
    // The retry budget would hide most later attempts.
    let bounds = Bounds { retry_slack: 1000.0, ..BOUNDS };
    let log = FakeLog::new(LogFaults::default(), seed);
    let (peer, accounts) = ("127.0.0.1:0".parse().unwrap(), AccountSettings::default());
    let gateway = TestGateway::start_with_bounds(log, peer, Vec::new(), accounts, bounds).await;
    let mut order = route("/order/", "non_idempotent", 1);
    order["Service"] = "other".into();
    gateway.configure(1, &[routes(), vec![order]].concat()).await;
    for (i, service) in SERVICES.into_iter().enumerate() {
        let mut text = registration(endpoints[i].address, "ready", 1);
        text["Service"] = service.into();
        let (id, text) = (format!("i-{i}"), text.to_string());
        gateway.store.put(REGISTRATIONS, &id, text.as_bytes()).await.unwrap();
    }
    gateway.wait_for_version(1).await;
    gateway.wait_for_endpoints(SERVICES.len()).await;

    let (end, ends) = watch::channel(false);
    let restarting = restart_endpoints(&gateway, &endpoints, rng.fork(), ends);
    let callers = (0..CALLERS).map(|caller| {
        let name = format!("{}{seed}c{caller}", scenario.name);
        call_in_turn(&gateway, name, rng.fork(), scenario.repeats_ids)
    });
    let calling = async {
        let calls = futures_util::future::join_all(callers).await;
        end.send(true).unwrap();
        calls.into_iter().flatten().collect()
    };
    let (calls, ()) = tokio::join!(calling, restarting);
    work_ends(&record).await;
    let record = mem::take(&mut *record.lock().unwrap());
    Outcome::new(seed, calls, record)
}

/// Plays the schedules and fails if one of them breaks a rule.
fn check_schedules(scenario: Scenario) {
    install_capture_logger();
    let count = env::var("ANSWER_SCHEDULES").ok().and_then(|n| n.parse().ok());
    let count = count.unwrap_or(SCHEDULES);
    let play_seeds = |thread: u64| {
        let mut outcomes = Vec::new();
        for seed in (thread..count).step_by(THREADS as usize) {
            run(async { outcomes.push(play(seed, scenario).await) });
        }
        outcomes
    };
    let mut outcomes: Vec<Outcome> = thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|t| scope.spawn(move || play_seeds(t))).collect();
        threads.into_iter().flat_map(|t| t.join().expect("a schedule panicked")).collect()
    });
    outcomes.sort_by_key(|o| o.seed);

    let sum = |of: &dyn Fn(&Outcome) -> u32| outcomes.iter().map(of).sum::<u32>();
    let calls = sum(&|o| o.calls.len() as u32);
    let served = sum(&|o| o.calls.iter().filter(|c| c.is_served()).count() as u32);
    let refused = sum(&|o| o.calls.iter().filter(|c| c.is_refused()).count() as u32);
    let copies = sum(&|o| o.record.copies);
    let copies_without_id = sum(&|o| o.record.copies_without_id);
    let restarts = sum(&|o| o.record.restarts);
    println!(
        "{scenario:?}, seeds 0..{count}: {calls} requests, {served} served, {refused} refused; endpoints: {} \
         refusals, {} breaks, {copies} copies, {copies_without_id} of them without id, {restarts} \
         restarts",
        sum(&|o| o.record.refusals),
        sum(&|o| o.record.breaks),
    );
    let failing: Vec<_> = outcomes.iter().filter(|o| !o.violations.is_empty()).collect();
    let mut found = BTreeMap::new();
    for (what, _) in failing.iter().flat_map(|o| &o.violations) {
        *found.entry(what).or_insert(0) += 1;
    }
    println!("{found:?}");
    for outcome in &failing {
        println!("seed {}: {:?}", outcome.seed, outcome.violations);
    }
    failing.iter().take(TRACED).for_each(|o| println!("{}", o.trace()));
    let seeds: Vec<_> = failing.iter().map(|o| o.seed).collect();
    assert!(failing.is_empty(), "{} of {count} seeds fail: {seeds:?}", failing.len());

    assert!(outcomes.iter().all(|o| o.calls.iter().any(Call::is_served)));
    assert!(calls < 4 * served, "{served} of {calls} requests served");
    assert!(0 < refused && 0 < copies_without_id && copies_without_id < copies && 0 < restarts);
}

#[test]
fn copies_of_answers_are_not_counted_for_other_requests() {
    let without_id = CopiesWithoutId::Refusals;
    check_schedules(Scenario { name: "c", without_id, repeats_ids: false });
}

#[test]
fn copies_of_answers_are_not_counted_for_later_requests_with_the_same_id() {
    let without_id = CopiesWithoutId::Refusals;
    check_schedules(Scenario { name: "r", without_id, repeats_ids: true });
}

#[test]
fn answers_without_an_id_are_not_counted_for_other_requests() {
    let without_id = CopiesWithoutId::All;
    check_schedules(Scenario { name: "w", without_id, repeats_ids: false });
}

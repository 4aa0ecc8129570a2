//! Waiting, refusing and choosing, in virtual time.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use goldcrestpitch::core::{
    forwarding::{
        Change, Decision, Dispatcher, EndpointRegistry, EndpointState, EndpointSubset, EngineSpec,
        LoadReport, LoadedModel, Locality, ModelSpec, RefusalReason, Registration, Requirements,
        Residency, Route, RouteKind, RouteTable, Service, Ticket, WeightedService,
    },
    ids::EndpointId,
};

const TARGET: Duration = Duration::from_millis(1000);
const READ_TOKENS_PER_MS: f64 = 19.2;

fn route(priority: u8) -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        kind: RouteKind::Streaming { resumable: true },
        timeout: Duration::from_secs(15),
        target: TARGET,
        priority,
        shares: vec![WeightedService { service: "llm".into(), weight: 1 }],
        max_attempts: 2,
    }
}

fn table() -> RouteTable {
    let model = ModelSpec {
        weights_size: 34,
        adapter_size: 1,
        load_time: Duration::from_millis(5400),
        disk_load_time: Duration::from_millis(1100),
    };
    let models = ["m", "n"].map(|name| (name.into(), model.clone()));
    let engine = EngineSpec {
        slots: 64,
        kv_tokens: 120_000,
        weights_memory: 83,
        adapter_slots: 8,
        loads_per_s: 1.8,
        models: HashMap::from(models),
    };
    let llm = Service { name: "llm".into(), max_connections: 600, engine: Some(engine) };
    let desk = Service { name: "desk".into(), max_connections: 100, engine: None };
    RouteTable::new(1, vec![route(1)], vec![llm, desk], None)
}

fn engine(id: &str, zone: &str, held: &[(&str, &[&str])]) -> Registration {
    let held = held.iter().map(|(name, adapters)| LoadedModel {
        name: (*name).into(),
        adapters: adapters.iter().map(|a| Arc::from(*a)).collect(),
    });
    Registration {
        id: id.into(),
        service: "llm".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: zone.into(),
        state: EndpointState::Ready,
        slots: 64,
        started_ms: 1,
        order_seq: 0,
        residency: Residency {
            loaded: held.collect(),
            cached: Vec::new(),
            order_in_progress: false,
        },
    }
}

fn book(engines: &[Registration]) -> EndpointRegistry {
    let mut book = EndpointRegistry::default();
    for engine in engines {
        book.apply(Instant::now(), Change::Registered(engine.clone()), false);
    }
    book
}

fn needs(model: &str, adapter: Option<&str>, tokens: u32) -> Requirements {
    Requirements {
        model: Some(model.into()),
        adapter: adapter.map(Into::into),
        prompt_tokens: tokens,
        output_tokens: 100,
        prompt_segments: Vec::new(),
    }
}

struct Gateway {
    dispatcher: Dispatcher,
    table: RouteTable,
    book: EndpointRegistry,
    target: Duration,
    now: Instant,
}

impl Gateway {
    fn new(engines: &[Registration]) -> Self {
        let regions = HashMap::from([("east".into(), "r1".into()), ("west".into(), "r2".into())]);
        let place = Locality { zone: "east".into(), regions };
        Self {
            dispatcher: Dispatcher::new(place, 5),
            table: table(),
            book: book(engines),
            target: TARGET,
            now: Instant::now(),
        }
    }

    fn ask(&mut self, priority: u8, needs: Requirements) -> Ticket {
        let deadline = self.now + Duration::from_secs(15);
        let route = Route { target: self.target, ..route(priority) };
        self.dispatcher.enqueue(self.now, &route, "llm".into(), needs, deadline, Vec::new())
    }

    fn poll(&mut self) -> HashMap<Ticket, Decision> {
        self.dispatcher.poll(self.now, &self.table, &self.book).into_iter().collect()
    }

    fn pass(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
    }
}

fn sent_to(decisions: &HashMap<Ticket, Decision>, ticket: Ticket) -> Option<&EndpointId> {
    match decisions.get(&ticket)? {
        Decision::Send(endpoint) => Some(endpoint),
        Decision::Refuse(..) => None,
    }
}

#[test]
fn in_a_burst_the_unread_prompts_of_an_engine_are_bounded() {
    let engines = [engine("a", "east", &[("m", &[])]), engine("b", "east", &[("m", &[])])];
    let mut gateway = Gateway::new(&engines);
    let tickets: Vec<Ticket> = (0..40).map(|_| gateway.ask(1, needs("m", None, 900))).collect();
    let decisions = gateway.poll();
    for id in ["a", "b"] {
        let unread = gateway.dispatcher.load(id).pending_prompt_tokens();
        // Two steps that read them stay under a pause of 300 ms.
        assert!(unread as f64 / READ_TOKENS_PER_MS < 300.0, "{id}: {unread}");
        assert!(0 < unread);
    }
    let sent = tickets.iter().filter(|t| sent_to(&decisions, **t).is_some()).count();
    assert!(sent < tickets.len());
    assert!(decisions.values().all(|v| matches!(v, Decision::Send(_))), "the others wait");
}

#[test]
fn a_prompt_that_is_larger_than_the_bound_is_served_like_others() {
    let mut gateway = Gateway::new(&[engine("a", "east", &[("m", &[])])]);
    let large = gateway.ask(1, needs("m", None, 9_000));
    assert!(sent_to(&gateway.poll(), large).is_some());
}

#[test]
fn the_more_urgent_goes_first_and_among_equals_who_can_be_on_time() {
    let mut gateway = Gateway::new(&[engine("a", "east", &[("m", &[])])]);
    gateway.target = Duration::from_secs(3);
    let mut before = gateway.ask(1, needs("m", None, 3_500));
    assert!(sent_to(&gateway.poll(), before).is_some());
    let late = gateway.ask(1, needs("m", None, 3_500));
    gateway.pass(2_500);
    let in_time = gateway.ask(1, needs("m", None, 3_500));
    let less = gateway.ask(2, needs("m", None, 3_500));
    let urgent = gateway.ask(0, needs("m", None, 3_500));
    assert!(gateway.poll().is_empty(), "the engine is still reading");
    let mut order = Vec::new();
    for _ in 0..4 {
        gateway.dispatcher.record_first_response(gateway.now, before);
        gateway.pass(300);
        let decisions = gateway.poll();
        assert_eq!(decisions.len(), 1, "{order:?}");
        before = *decisions.keys().next().unwrap();
        order.push(before);
    }
    assert_eq!(order, [urgent, in_time, late, less]);
}

#[test]
fn who_cannot_be_served_is_refused_and_told_when_to_come_back() {
    let mut gateway = Gateway::new(&[engine("a", "east", &[("m", &[])])]);
    gateway.ask(1, needs("m", None, 4_000));
    gateway.poll();
    let waits = gateway.ask(1, needs("m", None, 1_500));
    assert!(gateway.poll().is_empty());
    gateway.pass(2_500);
    let decisions = gateway.poll();
    let Some(Decision::Refuse(RefusalReason::Full, delay)) = decisions.get(&waits) else {
        panic!("{decisions:?}");
    };
    assert!(Duration::from_millis(500) < *delay);
}

#[test]
fn what_streams_see_within_their_pause_is_bounded_also_when_prompts_are_read_fast() {
    let mut gateway = Gateway::new(&[engine("a", "east", &[("m", &[])])]);
    let mut sent: Vec<(u64, u64)> = Vec::new();
    let mut rng = fastrand::Rng::with_seed(3);
    for at in 0..4_000 {
        gateway.pass(1);
        let tokens = rng.u32(100..1_500);
        let ticket = gateway.ask(1, needs("m", None, tokens));
        if sent_to(&gateway.poll(), ticket).is_some() {
            sent.push((at, u64::from(tokens)));
            // It is read at once, so that nothing is ever unread.
            gateway.dispatcher.record_first_response(gateway.now, ticket);
        }
        gateway.dispatcher.finish(ticket);
    }
    for (i, (from, _)) in sent.iter().enumerate() {
        let within = sent[i..].iter().take_while(|(at, _)| *at < from + 300);
        let tokens: u64 = within.map(|(_, tokens)| tokens).sum();
        assert!(tokens as f64 / READ_TOKENS_PER_MS < 300.0, "{tokens} at {from}");
    }
    // The bound does not idle the engine: it reads most of the time.
    let all: u64 = sent.iter().map(|(_, tokens)| tokens).sum();
    assert!(0.6 < all as f64 / READ_TOKENS_PER_MS / 4_000.0, "{all}");
}

#[test]
fn processes_divide_the_engines_and_leave_some_room_to_each_other() {
    let engines = ["a", "b", "c", "d"].map(|id| engine(id, "east", &[("m", &[])]));
    let mut own: Vec<HashMap<String, u32>> = Vec::new();
    for position in 0..2 {
        let mut gateway = Gateway::new(&engines);
        gateway.dispatcher.set_subset(EndpointSubset::new(position, 2));
        let tickets: Vec<_> = (0..40).map(|_| gateway.ask(1, needs("m", None, 800))).collect();
        let decisions = gateway.poll();
        let mut sent = HashMap::new();
        for endpoint in tickets.iter().filter_map(|t| sent_to(&decisions, *t)) {
            *sent.entry(endpoint.to_string()).or_insert(0) += 800;
        }
        own.push(sent);
    }
    for id in ["a", "b", "c", "d"] {
        let all: u32 = own.iter().map(|sent| sent.get(id).copied().unwrap_or(0)).sum();
        // Both burst at the same moment, without a word of each other.
        assert!(f64::from(all) / READ_TOKENS_PER_MS < 300.0, "{id}: {all} of {own:?}");
        assert!(0 < all, "{id} is idle");
    }
}

#[test]
fn a_request_waits_for_a_model_within_its_time() {
    let mut gateway = Gateway::new(&[engine("a", "east", &[("m", &[])])]);
    let waits = gateway.ask(1, needs("n", None, 100));
    gateway.pass(4_000);
    assert!(gateway.poll().is_empty());
    let wanted = gateway.dispatcher.unserved_models(&gateway.book);
    assert_eq!(wanted.get(&("llm".into(), "n".into())), Some(&1));
    // An engine has loaded it.
    gateway.book.set_agent_residency("a", Some(engine("a", "east", &[("n", &[])]).residency));
    assert!(sent_to(&gateway.poll(), waits).is_some());
    let never = gateway.ask(1, needs("m", None, 100));
    gateway.pass(7_000);
    assert!(matches!(gateway.poll()[&never], Decision::Refuse(RefusalReason::NotResident, _)));
}

#[test]
fn what_cannot_be_served_at_all_is_refused_at_once() {
    let mut gateway = Gateway::new(&[engine("a", "east", &[("m", &[])])]);
    let unknown = gateway.ask(1, needs("none", None, 100));
    assert!(matches!(gateway.poll()[&unknown], Decision::Refuse(RefusalReason::UnknownModel, _)));
}

#[test]
fn an_adapter_is_loaded_where_the_wait_is_shortest() {
    let engines = [engine("a", "east", &[("m", &["x"])]), engine("b", "east", &[("m", &[])])];
    let mut gateway = Gateway::new(&engines);
    // The engine that holds the adapter serves while it is free.
    let first = gateway.ask(1, needs("m", Some("x"), 2_500));
    assert_eq!(sent_to(&gateway.poll(), first).unwrap().as_ref(), "a");
    // Then the other is asked to load it, once for all that wait.
    let second = gateway.ask(1, needs("m", Some("x"), 2_500));
    gateway.ask(1, needs("m", Some("x"), 2_500));
    assert!(gateway.poll().is_empty());
    let wanted: Vec<_> =
        gateway.dispatcher.wanted_adapters().map(|w| w.endpoint.to_string()).collect();
    assert_eq!(wanted, ["b"]);
    gateway.book.set_agent_residency("b", Some(engine("b", "east", &[("m", &["x"])]).residency));
    assert_eq!(sent_to(&gateway.poll(), second).unwrap().as_ref(), "b");
}

#[test]
fn the_near_engine_is_chosen_until_it_is_busier_than_the_way() {
    let engines = [engine("far", "west", &[("m", &[])]), engine("near", "east", &[("m", &[])])];
    let mut gateway = Gateway::new(&engines);
    let first = gateway.ask(1, needs("m", None, 1_900));
    assert_eq!(sent_to(&gateway.poll(), first).unwrap().as_ref(), "near");
    let second = gateway.ask(1, needs("m", None, 1_900));
    assert_eq!(sent_to(&gateway.poll(), second).unwrap().as_ref(), "far");
}

#[test]
fn a_slow_engine_gets_less() {
    let engines = [engine("a", "east", &[("m", &[])]), engine("b", "east", &[("m", &[])])];
    let mut gateway = Gateway::new(&engines);
    let mut sent = HashMap::new();
    for _ in 0..200 {
        let ticket = gateway.ask(1, needs("m", None, 600));
        gateway.ask(1, needs("m", None, 600));
        for (ticket, decision) in gateway.poll() {
            let Decision::Send(endpoint) = decision else { continue };
            *sent.entry(endpoint.to_string()).or_insert(0) += 1;
            // Engine b takes ten times as long to the first token.
            gateway.pass(if &*endpoint == "b" { 1_200 } else { 60 });
            gateway.dispatcher.record_first_response(gateway.now, ticket);
            gateway.dispatcher.finish(ticket);
        }
        gateway.dispatcher.finish(ticket);
    }
    assert!(sent["b"] < sent["a"], "{sent:?}");
}

#[test]
fn the_load_of_other_gateways_counts_while_reports_are_fresh() {
    let engines = [engine("a", "east", &[("m", &[])]), engine("b", "east", &[("m", &[])])];
    let mut gateway = Gateway::new(&engines);
    let busy = LoadReport {
        active: 30,
        queued: 3,
        awaiting_first_token: 3,
        kv_used: 1,
        kv_total: 100,
        ..LoadReport::default()
    };
    gateway.dispatcher.record_report(gateway.now, &"a".into(), busy);
    for _ in 0..3 {
        let ticket = gateway.ask(1, needs("m", None, 100));
        assert_eq!(sent_to(&gateway.poll(), ticket).unwrap().as_ref(), "b");
        gateway.dispatcher.finish(ticket);
    }
    // An old report says nothing of now.
    gateway.pass(5_000);
    assert_eq!(gateway.dispatcher.load("a").total_running(gateway.now), 0);
}

#[test]
fn a_full_memory_takes_no_further_request() {
    let mut gateway = Gateway::new(&[engine("a", "east", &[("m", &[])])]);
    let full = LoadReport { active: 9, kv_used: 95, kv_total: 100, ..LoadReport::default() };
    gateway.dispatcher.record_report(gateway.now, &"a".into(), full);
    gateway.ask(1, needs("m", None, 100));
    assert!(gateway.poll().is_empty());
}

#[test]
fn when_the_process_stops_waiting_ends() {
    let mut gateway = Gateway::new(&[engine("a", "east", &[("m", &[])])]);
    let waits = gateway.ask(1, needs("n", None, 100));
    gateway.dispatcher.set_wait_limit(gateway.now + Duration::from_millis(500));
    gateway.pass(600);
    assert!(matches!(gateway.poll()[&waits], Decision::Refuse(RefusalReason::NotResident, _)));
}

#[test]
fn many_rare_models_are_all_told_to_the_planner() {
    let mut gateway = Gateway::new(&[engine("a", "east", &[])]);
    for model in ["m", "n", "m"] {
        gateway.ask(1, needs(model, None, 100));
    }
    let unserved = gateway.dispatcher.unserved_models(&gateway.book);
    assert_eq!(unserved[&("llm".into(), "m".into())], 2);
    assert_eq!(unserved[&("llm".into(), "n".into())], 1);
}

#[test]
fn an_endpoint_that_stands_still_gets_hardly_a_request() {
    let engines = [engine("still", "east", &[("m", &[])]), engine("far", "west", &[("m", &[])])];
    let mut gateway = Gateway::new(&engines);
    let mut to_still = Vec::new();
    for millis in (0..6_000).step_by(50) {
        gateway.pass(50);
        gateway.dispatcher.record_report(gateway.now, &"far".into(), LoadReport::default());
        let ticket = gateway.ask(1, needs("m", None, 100));
        match sent_to(&gateway.poll(), ticket).unwrap().as_ref() {
            // No answer ever comes from it, and its agent stands still as well.
            "still" => to_still.push(millis),
            _ => {
                gateway.dispatcher.record_first_response(gateway.now, ticket);
                gateway.dispatcher.finish(ticket);
            }
        }
    }
    assert!(!to_still.is_empty());
    assert!(to_still.iter().all(|at| *at < 1_000), "{to_still:?}");
}

#[test]
fn an_engine_whose_agent_is_dead_is_used_while_it_answers() {
    let mut gateway = Gateway::new(&[engine("a", "east", &[("m", &[])])]);
    let mut silent = 0;
    for _ in 0..100 {
        let ticket = gateway.ask(1, needs("m", None, 100));
        assert!(sent_to(&gateway.poll(), ticket).is_some());
        gateway.pass(200);
        silent += u32::from(gateway.dispatcher.load("a").is_unresponsive(gateway.now));
        gateway.dispatcher.record_first_response(gateway.now, ticket);
        // Its stream goes on for long, which owes no first part.
        gateway.pass(2_000);
        silent += u32::from(gateway.dispatcher.load("a").is_unresponsive(gateway.now));
        gateway.dispatcher.finish(ticket);
    }
    assert_eq!(silent, 0);
}

#[test]
fn an_endpoint_in_whose_place_another_answers_gets_no_request() {
    let engines = [engine("old", "east", &[("m", &[])]), engine("live", "west", &[("m", &[])])];
    let mut gateway = Gateway::new(&engines);
    let first = gateway.ask(1, needs("m", None, 100));
    assert_eq!(sent_to(&gateway.poll(), first).unwrap().as_ref(), "old");
    gateway.dispatcher.record_misdirected(gateway.now, &"old".into());
    // The agent of the other lives: it only lacked what was asked for.
    gateway.dispatcher.record_report(gateway.now, &"live".into(), LoadReport::default());
    gateway.dispatcher.record_misdirected(gateway.now, &"live".into());
    for _ in 0..20 {
        let ticket = gateway.ask(1, needs("m", None, 100));
        assert_eq!(sent_to(&gateway.poll(), ticket).unwrap().as_ref(), "live");
        gateway.dispatcher.finish(ticket);
    }
    // When all are gone, requests wait for the next registrations.
    gateway.pass(1_600);
    gateway.dispatcher.record_misdirected(gateway.now, &"live".into());
    gateway.ask(1, needs("m", None, 100));
    assert!(gateway.poll().is_empty());
}

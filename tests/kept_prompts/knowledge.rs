//! What is believed to be kept.

use std::time::{Duration, Instant};

use goldcrestpitch::core::forwarding::{
    Decision, Dispatcher, EndpointRegistry, KeptPrompts, LoadReport, ReportedSegment, chain,
};

use crate::setup::{engine_id, locality, registered, registry, requirements, route, table};

const SESSION: [(u64, u32); 3] = [(1, 400), (2, 600), (3, 100)];

fn report(kv_used: u64) -> LoadReport {
    LoadReport { kv_used, kv_total: 100_000, ..LoadReport::default() }
}

fn recorded(now: Instant) -> KeptPrompts {
    let mut kept = KeptPrompts::default();
    kept.record_first_event(now, "i-0", &chain(&requirements(&SESSION)));
    kept
}

fn kept_of(kept: &KeptPrompts, now: Instant) -> u32 {
    kept.kept_tokens(now, "i-0", &requirements(&SESSION))
}

/// Guards against segments that count although running requests have taken their memory.
#[test]
fn segments_yield_to_running_requests() {
    let now = Instant::now();
    let registry = registry(now, 1);
    let engine = registry.get("i-0").unwrap();
    let mut kept = recorded(now);
    kept.record_report(engine, &report(10_000));
    assert_eq!(kept_of(&kept, now), 1_100);
    let later = now + Duration::from_secs(1);
    let other = requirements(&[(7, 900), (8, 100)]);
    kept.record_first_event(later, "i-0", &chain(&other));
    kept.record_report(engine, &report(99_000));
    assert_eq!(kept_of(&kept, later), 0);
    assert_eq!(kept.kept_tokens(later, "i-0", &other), 1_000);
    kept.record_report(engine, &report(100_000));
    assert!(kept.is_empty());
}

/// Guards against knowledge that outlives the engine's memory: a restart, an unloaded model, an
/// engine that is gone, or a long time without use.
#[test]
fn knowledge_ends_with_the_memory() {
    let now = Instant::now();
    let mut registry = registry(now, 1);
    let known = |registry: &EndpointRegistry| {
        let mut kept = recorded(now);
        kept.record_report(registry.get("i-0").unwrap(), &report(0));
        assert_eq!(kept_of(&kept, now), 1_100);
        kept
    };
    let (mut restarted, mut reported, mut unloaded, mut gone) =
        (known(&registry), known(&registry), known(&registry), known(&registry));
    assert_eq!(kept_of(&gone, now + Duration::from_secs(89)), 1_100);
    assert_eq!(kept_of(&gone, now + Duration::from_secs(90)), 0);
    gone.retain_registered(&EndpointRegistry::default());
    assert!(gone.is_empty());
    gone = known(&registry);
    gone.record_restart("i-0");
    assert!(gone.is_empty());
    registry.apply(now, registered(0, 1, &["n"]), false);
    unloaded.record_report(registry.get("i-0").unwrap(), &report(0));
    assert!(unloaded.is_empty());
    registry.apply(now, registered(0, 2, &["m"]), false);
    restarted.retain_registered(&registry);
    assert!(restarted.is_empty());
    reported.record_report(registry.get("i-0").unwrap(), &report(0));
    assert!(reported.is_empty());
}

/// Guards against segments of another model, adapter or order that count.
#[test]
fn only_the_same_chain_counts() {
    let now = Instant::now();
    let kept = recorded(now);
    let tokens = |segments: &[(u64, u32)]| kept.kept_tokens(now, "i-0", &requirements(segments));
    assert_eq!(tokens(&[(1, 400), (2, 600), (9, 100)]), 1_000);
    assert_eq!(tokens(&[(2, 600), (1, 400)]), 0);
    assert_eq!(tokens(&[(1, 400), (3, 100)]), 400);
    let mut other = requirements(&SESSION);
    other.adapter = Some("a".into());
    assert_eq!(kept.kept_tokens(now, "i-0", &other), 0);
    other.adapter = None;
    other.model = Some("n".into());
    assert_eq!(kept.kept_tokens(now, "i-0", &other), 0);
}

/// Guards against reports of segments that no other request shares, or that repeat.
#[test]
fn shared_segments_are_told_once_newest_first() {
    let now = Instant::now();
    let mut kept = recorded(now);
    let alone = requirements(&[(50, 300)]);
    kept.record_first_event(now, "i-0", &chain(&alone));
    let expected = chain(&requirements(&SESSION));
    let told = kept.take_report(now, 1);
    assert_eq!(told.iter().map(|r| r.segment).collect::<Vec<_>>(), [expected[1]]);
    let mut other = KeptPrompts::default();
    other.merge(now, told);
    // The first segment was not reported, so the second one is of no use.
    assert_eq!(kept_of(&other, now), 0);
    other.merge(now, kept.take_report(now, 24));
    assert_eq!(kept_of(&other, now), 1_000);
    // Knowledge from others is older.
    assert_eq!(kept_of(&other, now + Duration::from_millis(89_600)), 0);
    kept.record_first_event(now, "i-0", &expected);
    assert_eq!(kept.take_report(now, 24), []);
    let later = now + Duration::from_secs(5);
    kept.record_first_event(later, "i-0", &expected);
    assert_eq!(kept.take_report(later, 24).len(), 2);
    // What was merged is not told on.
    assert_eq!(other.take_report(later, 24), []);
}

/// Guards against a gateway that runs out of memory in a large fleet or by what others report.
#[test]
fn memory_is_bounded() {
    let now = Instant::now();
    let mut kept = KeptPrompts::default();
    for i in 0..200_000_u64 {
        let prompt = requirements(&[(i, 100), (i, 100)]);
        kept.record_first_event(now, &engine_id(i as usize % 600), &chain(&prompt));
    }
    assert!(kept.len() <= 600 * 109, "{}", kept.len());
    assert!(kept.take_report(now, usize::MAX).len() <= 256);
    let segment = chain(&requirements(&SESSION))[0];
    let reported = |engine| ReportedSegment { engine, segment };
    kept.merge(now, (0..100_000).map(reported));
    assert!(kept.len() <= 600 * 109 + 2_048, "{}", kept.len());
}

/// Guards against a request whose prompt may not have been prefilled and counts as kept.
#[test]
fn a_request_without_a_first_event_keeps_nothing() {
    let now = Instant::now();
    let (table, registry) = (table(), registry(now, 1));
    let mut dispatcher = Dispatcher::new(locality(), 1);
    for responds in [false, true] {
        let prompt = requirements(&SESSION);
        let deadline = now + Duration::from_secs(9);
        let ticket =
            dispatcher.enqueue(now, &route(), "llm".into(), prompt, deadline, vec![], None);
        let decision = dispatcher.poll_new(now, ticket, &table, &registry);
        assert!(matches!(decision, Some(Decision::Send(_))), "{decision:?}");
        if responds {
            dispatcher.record_first_response(now, ticket);
        }
        dispatcher.finish(ticket);
        assert_eq!(kept_of(dispatcher.kept_prompts(), now), if responds { 1_100 } else { 0 });
    }
}

//! Results of applying configuration records, and agreement between processes.

use goldcrestpitch::{
    core::config::{
        Action, ApplyResult, Change, Crash, Fold, Item, ItemKind, Key, Record, Scope, Selector,
        Snapshot,
    },
    errors::Code,
};
use proptest::prelude::*;

fn change(base: u64, action: Action) -> Vec<u8> {
    let change = Change { id: "c".into(), operator: "op".into(), base, action };
    serde_json::to_vec(&Record::Change(change)).unwrap()
}

fn set(key: &str, value: u64) -> Action {
    Action::Set { key: key.into(), value }
}

fn except(selector: &str, key: &str, value: u64, reason: &str) -> Action {
    let selector = selector.parse().unwrap();
    Action::Except { selector, key: key.into(), value, reason: reason.into() }
}

fn declare(name: &str, item: Item) -> Action {
    Action::Declare { name: name.into(), item }
}

fn engine(memory_mib: u64) -> Item {
    let agent = "127.0.0.1:1".parse().unwrap();
    Item::Endpoint { agent, region: "r".into(), zone: "z".into(), memory_mib, service: None }
}

fn code(result: ApplyResult) -> Option<Code> {
    match result {
        ApplyResult::Rejected(refusal) => Some(refusal.code),
        _ => None,
    }
}

#[test]
fn one_of_two_concurrent_changes_is_accepted() {
    let mut fold = Fold::default();
    assert_eq!(fold.apply(1, &change(0, set("tenant.weight", 5))), ApplyResult::Accepted);
    assert_eq!(fold.apply(2, &change(1, set("tenant.weight", 6))), ApplyResult::Accepted);
    let second = fold.apply(3, &change(1, set("tenant.weight", 7)));
    assert_eq!(code(second), Some(Code::StaleBase));
    assert_eq!(fold.state().value(Key::Weight, &Scope::default()), 6);
}

#[test]
fn each_invalid_record_is_rejected_with_its_code() {
    let mut fold = Fold::default();
    let mut offset = 0;
    let mut code_of = |action| {
        offset += 1;
        code(fold.apply(offset, &change(0, action)))
    };
    assert_eq!(code_of(declare("t", Item::Tenant {})), None);
    assert_eq!(code_of(set("no.such_key", 1)), Some(Code::UnknownKey));
    assert_eq!(code_of(set("class.priority", 10)), Some(Code::BadValue));
    let no_reason = except("tenant=t", "tenant.weight", 1, " ");
    assert_eq!(code_of(no_reason), Some(Code::MissingReason));
    let absent = except("tenant=other", "tenant.weight", 1, "because");
    assert_eq!(code_of(absent), Some(Code::BadSelector));
    let wrong_kind = except("class=t", "tenant.weight", 1, "because");
    assert_eq!(code_of(wrong_kind), Some(Code::BadSelector));
    let drop = Action::Drop { selector: "tenant=t".parse().unwrap(), key: "tenant.weight".into() };
    assert_eq!(code_of(drop), Some(Code::NothingToDrop));
    let retire = Action::Retire { kind: ItemKind::Model, name: "m".into() };
    assert_eq!(code_of(retire), Some(Code::NothingToDrop));
    assert_eq!(code_of(declare("a b", Item::Tenant {})), Some(Code::BadValue));
    let orphan = Item::Adapter { model: "m".into(), memory_mib: 1 };
    assert_eq!(code_of(declare("a", orphan)), Some(Code::BadSelector));
    assert_eq!(code(fold.apply(99, b"{\"record\":\"new\"}")), Some(Code::UnreadableRecord));
    let extra = br#"{"record":"change","id":"1","operator":"o","base":0,"later":1,
        "action":{"do":"set","key":"tenant.weight","value":7}}"#;
    assert_eq!(code(fold.apply(100, extra)), Some(Code::UnreadableRecord));
}

#[test]
fn changes_that_leave_too_little_memory_for_replicas_are_rejected() {
    let mut fold = Fold::default();
    let model = Item::Model { memory_mib: 50, version: 1 };
    assert_eq!(fold.apply(1, &change(0, declare("m", model))), ApplyResult::Accepted);
    assert_eq!(fold.apply(2, &change(0, declare("e1", engine(100)))), ApplyResult::Accepted);
    let two = except("model=m", "model.min_replicas", 2, "festival");
    assert_eq!(code(fold.apply(3, &change(0, two.clone()))), Some(Code::DoesNotFit));
    assert_eq!(fold.apply(4, &change(0, declare("e2", engine(100)))), ApplyResult::Accepted);
    assert_eq!(fold.apply(5, &change(0, two)), ApplyResult::Accepted);
    let retire = Action::Retire { kind: ItemKind::Endpoint, name: "e2".into() };
    assert_eq!(code(fold.apply(6, &change(4, retire))), Some(Code::DoesNotFit));
}

#[test]
fn retiring_an_item_removes_its_exceptions() {
    let mut fold = Fold::default();
    fold.apply(1, &change(0, declare("t", Item::Tenant {})));
    fold.apply(2, &change(0, except("tenant=t", "tenant.weight", 9, "trial")));
    let scope = Scope { tenant: Some("t"), ..Scope::default() };
    assert_eq!(fold.state().value(Key::Weight, &scope), 9);
    let retire = Action::Retire { kind: ItemKind::Tenant, name: "t".into() };
    assert_eq!(fold.apply(3, &change(1, retire)), ApplyResult::Accepted);
    fold.apply(4, &change(3, declare("t", Item::Tenant {})));
    assert_eq!(fold.state().value(Key::Weight, &scope), 100);
}

fn any_action() -> impl Strategy<Value = Action> {
    let selector = Selector { kind: ItemKind::Tenant, name: "t".into() };
    let drop = Action::Drop { selector, key: "tenant.weight".into() };
    prop_oneof![
        (0u64..12).prop_map(|v| set("class.priority", v)),
        (0u64..12).prop_map(|v| except("tenant=t", "tenant.weight", v, "why")),
        Just(drop),
        Just(declare("t", Item::Tenant {})),
        Just(Action::Retire { kind: ItemKind::Tenant, name: "t".into() }),
    ]
}

fn any_record() -> impl Strategy<Value = Vec<u8>> {
    let crash = |suspects| Record::Crash(Crash { endpoint: "e".into(), suspects });
    let cleared = |fingerprint| Record::Cleared { fingerprint };
    let fingerprint = prop_oneof![0u64..3, Just(u64::MAX)];
    prop_oneof![
        4 => (any_action(), 0u64..8).prop_map(|(action, base)| change(base, action)),
        2 => prop::collection::vec(fingerprint.clone(), 1..4)
            .prop_map(move |suspects| serde_json::to_vec(&crash(suspects)).unwrap()),
        1 => fingerprint.prop_map(move |f| serde_json::to_vec(&cleared(f)).unwrap()),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    /// A process that starts from a snapshot, or receives old states and records again,
    /// ends in the same state as one that read every record.
    #[test]
    fn late_reader_reaches_the_same_state(
        records in prop::collection::vec(any_record(), 1..40),
        cut in 0usize..40,
        stale in 0usize..40,
    ) {
        let mut full = Fold::default();
        let mut states = Vec::new();
        for (i, record) in records.iter().enumerate() {
            full.apply(i as u64 + 1, record);
            states.push(full.state().as_ref().clone());
        }
        let cut = cut % records.len();
        let snapshot = Record::Snapshot(Snapshot { state: states[cut].clone() });
        let mut late_reader = Fold::default();
        // A snapshot record may appear anywhere in the stream after the records it includes.
        let bytes = serde_json::to_vec(&snapshot).unwrap();
        let Ok(Record::Snapshot(read)) = serde_json::from_slice(&bytes) else {
            return Err(TestCaseError::fail("the snapshot cannot be decoded"));
        };
        prop_assert!(late_reader.adopt(read.state));
        let mut last = late_reader.state().revision;
        for (i, record) in records.iter().enumerate() {
            late_reader.adopt(states[stale % records.len()].clone());
            late_reader.apply(i as u64 + 1, record);
            prop_assert!(last <= late_reader.state().revision);
            last = late_reader.state().revision;
        }
        prop_assert_eq!(late_reader.state(), full.state());
    }
}

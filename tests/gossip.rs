//! Messages at the size of the grown deployments.

use goldcrestpitch::gossip::{Body, Datagram, Demand, Held, Hello, Peer, State, Suspicion};
use goldcrestpitch::gossip::{MAX_DATAGRAM_BYTES, Wish, WishKind};
use prost::Message;

fn size(body: Body) -> usize {
    Datagram { body: Some(body) }.encode_to_vec().len()
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("10.10.100.{i}:8300")).collect()
}

fn model(i: usize) -> String {
    format!("model-name-{i:04}")
}

#[test]
fn what_gateways_tell_each_other_fits_a_datagram() {
    let demand = |i| Demand {
        service: "language-model".into(),
        model: model(i),
        tokens_per_s: 12_345.6,
        waiting: 99,
    };
    let suspicion = |i| Suspicion { fingerprint: u64::MAX - i, breaks: 2 };
    let peer = Peer {
        serving: true,
        demand: (0..20).map(demand).collect(),
        suspicions: (0..24).map(suspicion).collect(),
        gateways: names(8),
        zone: "muenchen-a".into(),
    };
    let bytes = size(Body::Peer(peer));
    assert!(bytes <= MAX_DATAGRAM_BYTES, "{bytes}");
}

#[test]
fn what_an_agent_tells_of_a_full_engine_fits_a_datagram() {
    let held = |i| Held { name: model(i), adapters: (0..8).map(|a| format!("a{a}")).collect() };
    let state = State {
        engine: "10.10.100.100:8300".into(),
        number: u64::MAX,
        held: (0..5).map(held).collect(),
        at_hand: (0..16).map(model).collect(),
        gateways: names(8),
        loading: model(7),
        started: u64::MAX,
        taken: 83_000,
        able: true,
        in_use: (0..5).map(model).collect(),
        kv_used: 100_000,
        kv_total: 100_000,
        recent_tokens: 10_000,
        ..State::default()
    };
    let bytes = size(Body::State(state));
    assert!(bytes <= MAX_DATAGRAM_BYTES, "{bytes}");
}

#[test]
fn what_a_gateway_wishes_of_an_agent_fits_a_datagram() {
    let wish = |i| Wish { kind: WishKind::Load.into(), model: model(i), adapter: "a17".into() };
    let hello = Hello {
        serving: true,
        plans: true,
        wishes: (0..16).map(wish).collect(),
        used: (0..13).map(|i| format!("{}/a17", model(i))).collect(),
        asks: true,
    };
    let bytes = size(Body::Hello(hello));
    assert!(bytes <= MAX_DATAGRAM_BYTES, "{bytes}");
}

//! Messages that grow with the deployment arrive whole or not at all, whatever their size.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use goldcrestpitch::gossip::{
    AdmissionRequest, Body, ChangeKind, Datagram, Demand, EngineStatus, GatewayStatus, Hello,
    LimitReport, LimitReports, LoadedModel, MAX_DATAGRAM_BYTES, PartAssembler, PartSplitter,
    ResidencyChange, Streams, TrialClaims,
};
use proptest::{prelude::*, test_runner::RngSeed};
use prost::Message;

/// What makes messages large.
#[derive(Clone, Debug)]
struct Deployment {
    models: usize,
    adapters: usize,
    gateways: usize,
    suspects: usize,
    name_bytes: usize,
}

impl Deployment {
    fn name(&self, i: usize) -> String {
        format!("{i:0width$}", width = self.name_bytes)
    }

    fn names(&self, count: usize) -> Vec<String> {
        (0..count).map(|i| self.name(i)).collect()
    }

    /// Each kind of message whose length grows.
    fn messages(&self) -> Vec<Body> {
        let loaded = |i| LoadedModel { name: self.name(i), adapters: self.names(self.adapters) };
        let change = |i| ResidencyChange {
            kind: ChangeKind::Load.into(),
            model: self.name(i),
            adapter: self.name(i),
        };
        let demand = |i| Demand { model: self.name(i), waiting: 9, ..Demand::default() };
        let limit = |i| LimitReport { endpoint: self.name(i), sent: 7, ..LimitReport::default() };
        let suspects: Vec<u64> = (0..self.suspects as u64).map(|i| u64::MAX - i).collect();
        vec![
            Body::EngineStatus(EngineStatus {
                sequence: 7,
                loaded: (0..self.models.min(4)).map(loaded).collect(),
                cached: self.names(self.models),
                in_use: self.names(self.models),
                ..EngineStatus::default()
            }),
            Body::GatewayStatus(GatewayStatus {
                demand: (0..self.models).map(demand).collect(),
                gateways: self.names(self.gateways),
                ..GatewayStatus::default()
            }),
            Body::Hello(Hello {
                changes: (0..self.models).map(change).collect(),
                used_models: self.names(self.models),
                ..Hello::default()
            }),
            Body::LimitReports(LimitReports { reports: (0..self.gateways).map(limit).collect() }),
            Body::TrialClaims(TrialClaims { suspects: suspects.clone() }),
            Body::Streams(Streams { asked: suspects, ..Streams::default() }),
            Body::AdmissionRequest(AdmissionRequest::default()),
        ]
    }
}

fn deployments() -> impl Strategy<Value = Deployment> {
    (0_usize..1000, 0_usize..30, 0_usize..340, 0_usize..2000, 1_usize..64).prop_map(
        |(models, adapters, gateways, suspects, name_bytes)| Deployment {
            models,
            adapters,
            gateways,
            suspects,
            name_bytes,
        },
    )
}

fn sender(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn decode(datagram: &[u8]) -> Body {
    assert!(datagram.len() <= MAX_DATAGRAM_BYTES, "{} bytes", datagram.len());
    Datagram::decode(datagram).unwrap().body.unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Datagrams of all messages of two senders arrive in any order, some of them twice.
    #[test]
    fn messages_of_any_deployment_arrive_whole(deployment in deployments(), seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let messages = deployment.messages();
        let mut datagrams = Vec::new();
        for port in [1, 2] {
            let splitter = PartSplitter::default();
            for message in &messages {
                let parts = splitter.encode(message.clone()).unwrap();
                datagrams.extend(parts.into_iter().map(|part| (port, part)));
            }
        }
        rng.shuffle(&mut datagrams);
        let mut assembler = PartAssembler::default();
        let now = Instant::now();
        let mut arrived: Vec<(u16, Body)> = Vec::new();
        for (port, datagram) in &datagrams {
            for _ in 0..if rng.f64() < 0.1 { 2 } else { 1 } {
                let joined = assembler.accept(now, sender(*port), decode(datagram));
                let new = joined.map(|body| (*port, body)).filter(|new| !arrived.contains(new));
                arrived.extend(new);
            }
        }
        prop_assert_eq!(arrived.len(), 2 * messages.len());
        prop_assert!(arrived.iter().all(|(_, body)| messages.contains(body)));
    }

    /// Two messages that follow each other lose datagrams: each arrives as it was sent, or not at
    /// all.
    #[test]
    fn missing_part_is_not_taken_for_an_empty_list(deployment in deployments(), seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let splitter = PartSplitter::default();
        let older = deployment.messages();
        let newer = Deployment { models: deployment.models / 2, ..deployment }.messages();
        let (mut assembler, now) = (PartAssembler::default(), Instant::now());
        for (older, newer) in older.into_iter().zip(newer) {
            let both = [older.clone(), newer.clone()];
            let parts = both.iter().map(|body| splitter.encode(body.clone()).unwrap());
            let mut datagrams: Vec<Vec<u8>> = parts.flatten().collect();
            datagrams.retain(|_| rng.f64() < 0.8);
            rng.shuffle(&mut datagrams);
            for datagram in &datagrams {
                if let Some(body) = assembler.accept(now, sender(1), decode(datagram)) {
                    prop_assert!(both.contains(&body));
                }
            }
        }
    }
}

fn large_hello() -> Body {
    let used_models = (0..100).map(|i| format!("a-model-with-a-long-name-{i:04}")).collect();
    Body::Hello(Hello { used_models, ..Hello::default() })
}

#[test]
fn parts_that_arrive_seconds_apart_are_not_joined() {
    let parts = PartSplitter::default().encode(large_hello()).unwrap();
    let (mut assembler, now) = (PartAssembler::default(), Instant::now());
    let (last, others) = parts.split_last().unwrap();
    for part in others {
        assert_eq!(assembler.accept(now, sender(1), decode(part)), None);
    }
    let later = now + Duration::from_secs(2);
    assert_eq!(assembler.accept(later, sender(1), decode(last)), None);
}

#[test]
fn parts_of_two_starts_of_a_sender_are_not_joined() {
    let [older, newer] = [0; 2].map(|_| PartSplitter::default().encode(large_hello()).unwrap());
    let (mut assembler, now) = (PartAssembler::default(), Instant::now());
    assert_eq!(assembler.accept(now, sender(1), decode(&older[0])), None);
    for part in &newer[1..] {
        assert_eq!(assembler.accept(now, sender(1), decode(part)), None);
    }
    assert_eq!(assembler.accept(now, sender(1), decode(&newer[0])), Some(large_hello()));
}

#[test]
fn parts_that_never_become_whole_take_up_little_memory() {
    let (mut assembler, now) = (PartAssembler::default(), Instant::now());
    for _ in 0..10_000 {
        let parts = PartSplitter::default().encode(large_hello()).unwrap();
        assert_eq!(assembler.accept(now, sender(1), decode(&parts[0])), None);
    }
    assert!(assembler.kept_bytes() <= 1024 * 1024);
    // Later messages still arrive.
    let parts = PartSplitter::default().encode(large_hello()).unwrap();
    let joined: Vec<_> =
        parts.iter().filter_map(|p| assembler.accept(now, sender(1), decode(p))).collect();
    assert_eq!(joined, [large_hello()]);
}

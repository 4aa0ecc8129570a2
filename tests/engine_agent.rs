//! The process beside an engine, before a stand-in of it on loopback.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use goldcrestpitch::{
    engine_agent::{self, EngineAgent, EngineAgentConfig},
    fakes::{FakeLog, LogFaults},
    gossip::{Body, ChangeKind, EngineStatus, Hello, ResidencyChange, Socket},
    http,
    platform::{CONFIGURATION, Store},
};
use hyper::{Request, StatusCode, body::Incoming};
use serde_json::json;
use tokio::{net::TcpListener, time};

/// What the stand-in of an engine counts, and how it answers orders.
#[derive(Debug, Default)]
struct Engine {
    reports: AtomicUsize,
    orders: AtomicUsize,
    // Orders are answered only after two more reports.
    slow_orders: AtomicBool,
    // Each report tells of other requests.
    changes: AtomicBool,
}

impl Engine {
    async fn answer(&self, req: Request<Incoming>) -> http::Reply {
        if req.uri().path() == "/-/report" {
            let number = self.reports.fetch_add(1, Ordering::SeqCst);
            let active = if self.changes.load(Ordering::SeqCst) { number % 50 } else { 0 };
            let report = json!({
                "Stage": "on", "Models": [], "Busy": false, "Seq": 0, "Queued": 0,
                "Active": active,
                "KvUsed": 0, "KvTotal": 1000, "Runs": [],
            });
            return http::json(StatusCode::OK, &report);
        }
        let before = self.reports.load(Ordering::SeqCst);
        while self.slow_orders.load(Ordering::SeqCst)
            && self.reports.load(Ordering::SeqCst) < before + 2
        {
            time::sleep(Duration::from_millis(5)).await;
        }
        self.orders.fetch_add(1, Ordering::SeqCst);
        http::text(StatusCode::ACCEPTED, "")
    }
}

struct Bed {
    engine: Arc<Engine>,
    gateway: Socket,
    agent: EngineAgent,
    agent_at: SocketAddr,
    _stop: [http::StopSignal; 2],
}

impl Bed {
    async fn start() -> Self {
        let log = FakeLog::new(LogFaults::default(), 3);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let store = listener.local_addr().unwrap();
        let (stop_log, stopped) = http::stop_channel();
        tokio::spawn(log.serve(listener, stopped));
        let configuration = json!({
            "Version": 1, "Routes": [],
            "Services": [{ "Name": "llm", "MaxConns": 10, "Engine": {
                "Slots": 8, "KvCapacity": 1000, "WeightsMb": 100.0, "AdapterSlots": 2,
                "LoadsPerS": 1.0, "Models": [{ "Name": "m", "WeightsMb": 40.0, "LoadS": 1.0 }],
            }}],
        });
        let text = configuration.to_string();
        Store::new(store).put(CONFIGURATION, "config", text.as_bytes()).await.unwrap();

        let engine = Arc::new(Engine::default());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let engine_at = listener.local_addr().unwrap();
        let (stop_engine, stopped) = http::stop_channel();
        let handler = {
            let engine = engine.clone();
            move |req| {
                let engine = engine.clone();
                async move { Ok::<_, http::ReplyAborted>(engine.answer(req).await) }
            }
        };
        tokio::spawn(http::serve(listener, handler, stopped));

        let gateway = Socket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let socket = Socket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let agent_at = socket.local_address().unwrap();
        let config = EngineAgentConfig {
            name: "side-1".into(),
            service: "llm".into(),
            engine: engine_at,
            store,
        };
        let agent = engine_agent::start(config, socket);
        Self { engine, gateway, agent, agent_at, _stop: [stop_log, stop_engine] }
    }

    fn greet(&self, changes: Vec<ResidencyChange>) {
        let hello = Hello {
            serving: true,
            is_planner: true,
            changes,
            used_models: Vec::new(),
            wants_status: false,
        };
        self.gateway.send(self.agent_at, Body::Hello(hello));
    }

    /// The next state that the agent tells, greeting it meanwhile.
    async fn next_state(&self, changes: &[ResidencyChange]) -> EngineStatus {
        loop {
            self.greet(changes.to_vec());
            let received = time::timeout(Duration::from_millis(100), self.gateway.receive()).await;
            if let Ok(Ok((_, Body::EngineStatus(state)))) = received {
                return state;
            }
        }
    }
}

/// Runs a test on one thread, and ends it if it hangs.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let done = runtime.block_on(async { time::timeout(Duration::from_secs(60), test).await });
    assert!(done.is_ok(), "the test did not end");
}

#[test]
fn an_idle_engine_is_told_of_again_and_again() {
    run(async {
        let bed = Bed::start().await;
        // Nothing changes at the engine, and every state is news that it lives.
        let mut last = 0;
        for _ in 0..4 {
            let state = bed.next_state(&[]).await;
            assert!(last < state.sequence, "{} after {last}", state.sequence);
            last = state.sequence;
        }
        while !bed.next_state(&[]).await.can_order {}
        bed.agent.stop();
    });
}

#[test]
fn an_order_without_an_answer_delays_no_report() {
    run(async {
        let bed = Bed::start().await;
        bed.engine.slow_orders.store(true, Ordering::SeqCst);
        let load = ResidencyChange {
            kind: ChangeKind::Load.into(),
            model: "m".into(),
            adapter: String::new(),
        };
        while bed.engine.orders.load(Ordering::SeqCst) == 0 {
            bed.next_state(std::slice::from_ref(&load)).await;
        }
        bed.agent.stop();
    });
}

#[test]
fn only_the_gateway_that_plans_moves_models() {
    run(async {
        let bed = Bed::start().await;
        while !bed.next_state(&[]).await.can_order {}
        let load = ResidencyChange {
            kind: ChangeKind::Load.into(),
            model: "m".into(),
            adapter: String::new(),
        };
        for _ in 0..4 {
            // From a gateway that does not say that it plans.
            let other = Socket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
            let changes = vec![load.clone()];
            let hello = Hello {
                serving: true,
                is_planner: false,
                changes,
                used_models: Vec::new(),
                wants_status: false,
            };
            other.send(bed.agent_at, Body::Hello(hello));
            bed.next_state(&[]).await;
        }
        assert_eq!(bed.engine.orders.load(Ordering::SeqCst), 0);
        while bed.engine.orders.load(Ordering::SeqCst) == 0 {
            bed.next_state(std::slice::from_ref(&load)).await;
        }
        bed.agent.stop();
    });
}

#[test]
fn only_gateways_that_use_the_engine_hear_of_its_load() {
    run(async {
        let bed = Bed::start().await;
        bed.engine.changes.store(true, Ordering::SeqCst);
        let other = Socket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let greet = |socket: &Socket, used: &[&str]| {
            let used = used.iter().map(ToString::to_string).collect();
            let hello = Hello {
                serving: true,
                is_planner: false,
                changes: Vec::new(),
                used_models: used,
                wants_status: false,
            };
            socket.send(bed.agent_at, Body::Hello(hello));
        };
        let (mut loads, mut states_of_other) = (0, 0);
        while loads < 12 || states_of_other == 0 {
            greet(&bed.gateway, &["m"]);
            greet(&other, &[]);
            tokio::select! {
                Ok((_, body)) = bed.gateway.receive() => {
                    loads += u32::from(matches!(body, Body::EngineLoad(_)));
                }
                Ok((_, body)) = other.receive() => match body {
                    Body::EngineStatus(_) => states_of_other += 1,
                    body => panic!("{body:?} to a gateway that does not use the engine"),
                },
                () = time::sleep(Duration::from_millis(100)) => {}
            }
        }
        bed.agent.stop();
    });
}

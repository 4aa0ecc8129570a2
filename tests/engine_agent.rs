//! Tests of the engine agent with a fake engine on loopback.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use goldcrestpitch::{
    core::residency::{EngineOrder, Operation, OrderAnswer},
    engine_agent::{self, EngineAgent, EngineAgentConfig},
    fakes::{FakeLog, LogCopy, LogFaults},
    gossip::{Body, ChangeKind, EngineStatus, Hello, ResidencyChange, Socket},
    http,
    platform::{CONFIGURATION, EngineClient, STATUS, Store},
};
use hyper::{Request, StatusCode};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time,
};

/// Id of the fake engine.
const ENGINE: &str = "i-7";

/// Counts the requests to a fake engine and controls how it answers.
#[derive(Debug, Default)]
struct FakeEngine {
    reports: AtomicUsize,
    orders: AtomicUsize,
    // Orders are answered only after two more reports have been read.
    slow_orders: AtomicBool,
    // Models on the engine's disk.
    on_disk: AtomicUsize,
    // Each report has another number of active requests.
    load_changes: AtomicBool,
    // The engine that the last order named.
    ordered: Mutex<Option<String>>,
    // The fencing token of the last order.
    fence: Mutex<Option<u64>>,
}

impl FakeEngine {
    async fn answer(&self, req: Request<http::RequestBody>) -> http::Reply {
        if req.uri().path() == "/-/report" {
            let number = self.reports.fetch_add(1, Ordering::SeqCst);
            let active = if self.load_changes.load(Ordering::SeqCst) { number % 50 } else { 0 };
            let on_disk: Vec<String> =
                (0..self.on_disk.load(Ordering::SeqCst)).map(model_on_disk).collect();
            let report = json!({
                "Stage": "on", "Models": [], "Busy": false, "Seq": 0, "Queued": 0,
                "Active": active, "AtHand": { "InMemory": [], "OnDisk": on_disk },
                "KvUsed": 0, "KvTotal": 1000, "Runs": [],
            });
            return http::json(StatusCode::OK, &report);
        }
        let reports_before = self.reports.load(Ordering::SeqCst);
        while self.slow_orders.load(Ordering::SeqCst)
            && self.reports.load(Ordering::SeqCst) < reports_before + 2
        {
            time::sleep(Duration::from_millis(5)).await;
        }
        let ordered = req.headers().get("x-expect-instance");
        let ordered = ordered.map(|id| id.to_str().unwrap().to_owned());
        let is_other = ordered.as_ref().is_some_and(|id| id != ENGINE);
        *self.ordered.lock().unwrap() = ordered;
        let body = http::read_body(req.into_body(), 10_000, Duration::from_secs(5)).await.unwrap();
        let order: serde_json::Value = serde_json::from_slice(&body).unwrap();
        *self.fence.lock().unwrap() = order["Fence"].as_u64();
        self.orders.fetch_add(1, Ordering::SeqCst);
        if is_other {
            return http::text(StatusCode::MISDIRECTED_REQUEST, "");
        }
        http::text(StatusCode::ACCEPTED, "")
    }
}

fn model_on_disk(i: usize) -> String {
    format!("a-model-with-a-long-name-{i:04}")
}

struct Fixture {
    log: FakeLog,
    // The log before the agent started.
    log_copy: LogCopy,
    engine: Arc<FakeEngine>,
    gateway: Socket,
    agent: EngineAgent,
    config: EngineAgentConfig,
    engine_address: SocketAddr,
    agent_address: SocketAddr,
    _stop: [http::StopSignal; 2],
}

impl Fixture {
    async fn start() -> Self {
        let log = FakeLog::new(LogFaults::default(), 3);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let store = listener.local_addr().unwrap();
        let (stop_log, stopped) = http::stop_channel();
        tokio::spawn(log.clone().serve(listener, stopped));
        let configuration = json!({
            "Version": 1, "Routes": [],
            "Services": [{ "Name": "llm", "MaxConns": 10, "Engine": {
                "Slots": 8, "KvCapacity": 1000, "WeightsMb": 100.0, "AdapterSlots": 2,
                "LoadsPerS": 1.0, "Models": [{ "Name": "m", "WeightsMb": 40.0, "LoadS": 1.0 }],
            }}],
        });
        let text = configuration.to_string();
        Store::new(store).put(CONFIGURATION, "config", text.as_bytes()).await.unwrap();
        let log_copy = log.copy();

        let engine = Arc::new(FakeEngine::default());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let engine_address = listener.local_addr().unwrap();
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
        let agent_address = socket.local_address().unwrap();
        let config = EngineAgentConfig {
            name: "side-1".into(),
            service: "llm".into(),
            engine: engine_address,
            store,
            admits: false,
            first_start: false,
        };
        let agent = engine_agent::start(config.clone(), socket);
        Self {
            log,
            log_copy,
            config,
            engine,
            gateway,
            agent,
            engine_address,
            agent_address,
            _stop: [stop_log, stop_engine],
        }
    }

    /// Stops the agent and starts it again.
    async fn restart_agent(&mut self) {
        let socket = Socket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        self.agent_address = socket.local_address().unwrap();
        let agent = engine_agent::start(self.config.clone(), socket);
        std::mem::replace(&mut self.agent, agent).stop();
    }

    /// Waits for the next order and returns its fencing token.
    async fn next_fence(&self) -> u64 {
        let load = ResidencyChange {
            kind: ChangeKind::Load.into(),
            model: "m".into(),
            adapter: String::new(),
        };
        *self.engine.fence.lock().unwrap() = None;
        loop {
            self.next_status(std::slice::from_ref(&load)).await;
            if let Some(fence) = *self.engine.fence.lock().unwrap() {
                return fence;
            }
        }
    }

    fn send_hello(&self, changes: Vec<ResidencyChange>) {
        let hello = Hello {
            serving: true,
            is_planner: true,
            changes,
            engine_id: ENGINE.into(),
            ..Hello::default()
        };
        self.gateway.send(self.agent_address, Body::Hello(hello));
    }

    /// The next status from the agent, to which a hello is sent until it arrives.
    async fn next_status(&self, changes: &[ResidencyChange]) -> EngineStatus {
        loop {
            self.send_hello(changes.to_vec());
            let received = time::timeout(Duration::from_millis(100), self.gateway.receive()).await;
            if let Ok(Ok((_, Body::EngineStatus(status)))) = received {
                return status;
            }
        }
    }
}

/// Runs a test on a single-threaded runtime and fails it if it hangs.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let result = runtime.block_on(async { time::timeout(Duration::from_secs(60), test).await });
    assert!(result.is_ok(), "the test timed out");
}

#[test]
fn status_of_an_idle_engine_is_repeated() {
    run(async {
        let fixture = Fixture::start().await;
        // Although nothing changes at the engine, each status has a new sequence number, which
        // shows gateways that the engine is alive.
        let mut last_sequence = 0;
        for _ in 0..4 {
            let status = fixture.next_status(&[]).await;
            assert!(last_sequence < status.sequence, "{} after {last_sequence}", status.sequence);
            last_sequence = status.sequence;
        }
        while !fixture.next_status(&[]).await.can_order {}
        fixture.agent.stop();
    });
}

// Guards against an engine that stays empty after a loss of power: with many models on its disk
// the status was larger than a datagram, and no gateway ever heard of its agent.
#[test]
fn status_of_an_engine_with_many_models_on_its_disk_reaches_gateways() {
    run(async {
        let fixture = Fixture::start().await;
        for count in [60, 300] {
            fixture.engine.on_disk.store(count, Ordering::SeqCst);
            while fixture.next_status(&[]).await.cached.len() != count {}
        }
        let status = fixture.next_status(&[]).await;
        assert_eq!(status.cached, (0..300).map(model_on_disk).collect::<Vec<_>>());
        fixture.agent.stop();
    });
}

// Guards against orders of which the next process of the agent does not know.
#[test]
fn engine_is_recorded_before_it_gets_an_order() {
    run(async {
        let mut fixture = Fixture::start().await;
        for _ in 0..2 {
            fixture.engine.orders.store(0, Ordering::SeqCst);
            fixture.next_fence().await;
            let store = Store::new(fixture.config.store);
            let records = store.newest_records(STATUS).await.unwrap().records;
            let record = records.iter().find(|r| r.key == "side-1").unwrap();
            let value: serde_json::Value =
                serde_json::from_slice(record.value.as_ref().unwrap()).unwrap();
            // The second process keeps what the first has recorded.
            assert!(value["engines"].as_array().unwrap().iter().any(|e| e["id"] == ENGINE));
            fixture.restart_agent().await;
        }
        fixture.agent.stop();
    });
}

#[test]
fn an_unanswered_order_does_not_block_reports() {
    run(async {
        let fixture = Fixture::start().await;
        fixture.engine.slow_orders.store(true, Ordering::SeqCst);
        let load = ResidencyChange {
            kind: ChangeKind::Load.into(),
            model: "m".into(),
            adapter: String::new(),
        };
        while fixture.engine.orders.load(Ordering::SeqCst) == 0 {
            fixture.next_status(std::slice::from_ref(&load)).await;
        }
        fixture.agent.stop();
    });
}

#[test]
fn fencing_tokens_grow_after_the_store_has_lost_the_earlier_start() {
    run(async {
        let mut fixture = Fixture::start().await;
        fixture.next_fence().await;
        fixture.restart_agent().await;
        let before = fixture.next_fence().await;
        fixture.log.restore(fixture.log_copy.clone());
        fixture.restart_agent().await;
        let after = fixture.next_fence().await;
        assert!(before < after, "{before}, then {after}");
    });
}

/// An order without the engine's id that arrives late is carried out by the next engine there.
#[test]
fn orders_name_the_engine() {
    run(async {
        let fixture = Fixture::start().await;
        let load = ResidencyChange {
            kind: ChangeKind::Load.into(),
            model: "m".into(),
            adapter: String::new(),
        };
        while fixture.engine.orders.load(Ordering::SeqCst) == 0 {
            fixture.next_status(std::slice::from_ref(&load)).await;
        }
        assert_eq!(fixture.engine.ordered.lock().unwrap().as_deref(), Some(ENGINE));
        let client = EngineClient::new(fixture.engine_address, "side-1");
        let order = |endpoint: &str| EngineOrder {
            endpoint: Some(endpoint.into()),
            operation: Operation::Load,
            model: "m".into(),
            adapter: None,
            expected: 0,
            fence: 7,
        };
        assert_eq!(client.order(&order("i-6")).await, Ok(OrderAnswer::OtherEndpoint));
        assert_eq!(client.order(&order(ENGINE)).await, Ok(OrderAnswer::Accepted));
        fixture.agent.stop();
    });
}

#[test]
fn only_the_planner_can_request_model_loads() {
    run(async {
        let fixture = Fixture::start().await;
        while !fixture.next_status(&[]).await.can_order {}
        let load = ResidencyChange {
            kind: ChangeKind::Load.into(),
            model: "m".into(),
            adapter: String::new(),
        };
        for _ in 0..4 {
            // A gateway that does not announce itself as planner.
            let other = Socket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
            let changes = vec![load.clone()];
            let hello = Hello {
                serving: true,
                is_planner: false,
                changes,
                used_models: Vec::new(),
                wants_status: false,
                ..Hello::default()
            };
            other.send(fixture.agent_address, Body::Hello(hello));
            fixture.next_status(&[]).await;
        }
        assert_eq!(fixture.engine.orders.load(Ordering::SeqCst), 0);
        while fixture.engine.orders.load(Ordering::SeqCst) == 0 {
            fixture.next_status(std::slice::from_ref(&load)).await;
        }
        fixture.agent.stop();
    });
}

#[test]
fn load_is_sent_only_to_gateways_that_use_the_engine() {
    run(async {
        let fixture = Fixture::start().await;
        fixture.engine.load_changes.store(true, Ordering::SeqCst);
        let other = Socket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let send_hello = |socket: &Socket, used: &[&str]| {
            let used_models = used.iter().map(ToString::to_string).collect();
            let hello = Hello {
                serving: true,
                is_planner: false,
                changes: Vec::new(),
                used_models,
                wants_status: false,
                ..Hello::default()
            };
            socket.send(fixture.agent_address, Body::Hello(hello));
        };
        let (mut load_messages, mut status_messages) = (0, 0);
        while load_messages < 12 || status_messages == 0 {
            send_hello(&fixture.gateway, &["m"]);
            send_hello(&other, &[]);
            tokio::select! {
                Ok((_, body)) = fixture.gateway.receive() => {
                    load_messages += u32::from(matches!(body, Body::EngineLoad(_)));
                }
                Ok((_, body)) = other.receive() => match body {
                    Body::EngineStatus(_) => status_messages += 1,
                    body => panic!("{body:?} sent to a gateway that does not use the engine"),
                },
                () = time::sleep(Duration::from_millis(100)) => {}
            }
        }
        fixture.agent.stop();
    });
}

/// The engine sends a second copy of its last report, late: on a connection on which an order has
/// just been sent. The agent took it for the answer to the order.
#[test]
fn a_late_copy_of_a_report_is_not_taken_for_the_answer_to_an_order() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let client = EngineClient::new(listener.local_addr().unwrap(), "side-1");
        tokio::spawn(async move {
            loop {
                let (socket, _) = listener.accept().await.unwrap();
                tokio::spawn(repeat_reports(socket));
            }
        });
        let order = EngineOrder {
            endpoint: None,
            operation: Operation::Load,
            model: "m".into(),
            adapter: None,
            expected: 0,
            fence: 7,
        };
        for _ in 0..3 {
            assert_eq!(client.report().await.unwrap().order_seq, 3);
            assert_eq!(client.order(&order).await, Ok(OrderAnswer::Conflict));
        }
    });
}

/// Answers reports, and orders with 409, but first with a copy of the report that this connection
/// had before.
async fn repeat_reports(mut socket: TcpStream) {
    let report = r#"{"Models":[],"Busy":false,"Seq":3}"#;
    let report = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{report}", report.len());
    let refusal = "HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n";
    let mut sent_report = false;
    let mut buf = Vec::new();
    while matches!(socket.read_buf(&mut buf).await, Ok(1..)) {
        let text = String::from_utf8_lossy(&buf).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let is_order = head.starts_with("POST");
        if is_order && !body.ends_with('}') {
            continue;
        }
        buf.clear();
        if is_order && sent_report {
            socket.write_all(report.as_bytes()).await.unwrap();
        }
        let answer = if is_order { refusal } else { &report };
        if socket.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        sent_report |= !is_order;
    }
}

/// An answer without the fields of a report, such as one that was meant for another call, showed an
/// engine without models.
#[test]
fn an_answer_that_is_no_report_shows_no_empty_engine() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let client = EngineClient::new(listener.local_addr().unwrap(), "side-1");
        let (_stop, stopped) = http::stop_channel();
        let handler =
            |_| async { Ok::<_, http::ReplyAborted>(http::json(StatusCode::OK, &json!({}))) };
        tokio::spawn(http::serve(listener, handler, stopped));
        assert!(client.report().await.is_err());
    });
}

//! A gateway before a stand-in of the platform's store.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use goldcrestpitch::{
    fakes::{FakeLog, LogFaults},
    gateway::{self, Bounds, Gateway, GatewayConfig, Listeners},
    gossip::Socket,
    http,
    platform::{CONFIGURATION, REGISTRATIONS, Store},
};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time,
};

use crate::endpoint::Endpoint;

pub const HOST: &str = "a.example";

/// A gateway with its store.
pub struct Bed {
    pub log: FakeLog,
    pub store: Store,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub peer: SocketAddr,
    pub gateway: Gateway,
    _stop: http::StopSignal,
}

/// An answer as a caller gets it.
#[derive(Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// The answer came to its regular end.
    pub whole: bool,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8(self.body.clone()).unwrap()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

/// A route of the service `desk` with a prefix of its own for each kind.
pub fn route(prefix: &str, kind: &str, attempts: u32) -> Value {
    json!({
        "Name": prefix, "Host": HOST, "PathPrefix": prefix, "RouteType": kind,
        "TimeoutMs": 1500, "TargetLatencyMs": 400, "Priority": 1, "Service": "desk",
        "MaxAttempts": attempts, "Resumable": prefix == "/resume/",
    })
}

/// The usual routes.
pub fn routes() -> Vec<Value> {
    vec![
        route("/read/", "idempotent", 2),
        route("/book/", "non_idempotent", 1),
        route("/stream/", "streaming", 1),
        route("/resume/", "streaming", 2),
    ]
}

pub fn configuration(version: u64, routes: &[Value]) -> Value {
    json!({
        "Version": version, "Routes": routes,
        "Services": [
            { "Name": "desk", "HealthPath": "/health", "MaxConns": 100 },
            { "Name": "other", "HealthPath": "/health", "MaxConns": 100 },
        ],
        "Limits": { "MaxHeaderBytes": 16384, "MaxBodyBytes": 100_000,
                    "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000 },
    })
}

pub fn registration(address: SocketAddr, state: &str, born: u64) -> Value {
    json!({
        "Service": "desk", "Address": address.to_string(), "Zone": "east", "Version": "v1",
        "Slots": 6, "State": state, "ColdLeftMs": 0, "Seq": 0, "born": born,
    })
}

impl Bed {
    /// A gateway that knows neither routes nor endpoints.
    pub async fn empty() -> Self {
        let log = FakeLog::new(LogFaults::default(), 7);
        Self::beside(log, "127.0.0.1:0".parse().unwrap(), Vec::new()).await
    }

    /// A gateway with an address for peers, some of which it is told.
    pub async fn beside(log: FakeLog, peer: SocketAddr, seeds: Vec<IpAddr>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (stop, stopped) = http::stop_channel();
        tokio::spawn(log.clone().serve(listener, stopped));
        let callers = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let ready = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (callers_at, ready_at) = (callers.local_addr().unwrap(), ready.local_addr().unwrap());
        let bootstrap = TcpListener::bind(peer).await.unwrap();
        let peer_address = bootstrap.local_addr().unwrap();
        let peers = Socket::bind(peer_address).await.unwrap();
        let config = GatewayConfig {
            zone: "east".into(),
            regions: vec![("east".into(), "r".into())],
            store: address,
            seeds,
            bounds: Bounds {
                retry_ratio: 0.2,
                retry_window: Duration::from_secs(10),
                retry_slack: 4.0,
                grace: Duration::from_secs(4),
            },
        };
        let listeners = Listeners { callers, ready, peers, peer_address, bootstrap };
        let gateway = gateway::start(config, listeners);
        let store = Store::new(address);
        Self {
            log,
            store,
            callers: callers_at,
            ready: ready_at,
            peer: peer_address,
            gateway,
            _stop: stop,
        }
    }

    /// A gateway with the usual routes before endpoints, which it knows.
    pub async fn start(endpoints: &[&Endpoint]) -> Self {
        let bed = Self::empty().await;
        bed.serve(endpoints).await;
        bed
    }

    /// Makes the usual routes and endpoints known.
    pub async fn serve(&self, endpoints: &[&Endpoint]) {
        self.configure(1, &routes()).await;
        for (i, endpoint) in endpoints.iter().enumerate() {
            self.register(&format!("i-{i}"), endpoint.address, "ready", 1).await;
        }
        self.wait_version(1).await;
        self.wait_endpoints(endpoints.len()).await;
    }

    pub async fn configure(&self, version: u64, routes: &[Value]) {
        let text = configuration(version, routes).to_string();
        self.store.put(CONFIGURATION, "config", text.as_bytes()).await.unwrap();
    }

    pub async fn register(&self, id: &str, address: SocketAddr, state: &str, born: u64) {
        let text = registration(address, state, born).to_string();
        self.store.put(REGISTRATIONS, id, text.as_bytes()).await.unwrap();
    }

    pub async fn unregister(&self, id: &str) {
        self.store.put(REGISTRATIONS, id, b"").await.unwrap();
    }

    pub async fn wait_version(&self, version: u64) {
        self.wait(|bed| bed.gateway.shared().version() == Some(version)).await;
    }

    pub async fn wait_endpoints(&self, usable: usize) {
        self.wait(|bed| bed.gateway.shared().usable_endpoints() == usable).await;
    }

    pub async fn wait(&self, done: impl Fn(&Self) -> bool) {
        while !done(self) {
            time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Calls on a connection of its own.
    pub async fn call(&self, method: &str, path: &str, more: &str, body: &str) -> Answer {
        let mut socket = self.connect().await;
        socket.write_all(request(method, path, more, body).as_bytes()).await.unwrap();
        read_answer(&mut socket, &mut Vec::new()).await
    }

    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.callers).await.unwrap()
    }

    pub async fn is_ready(&self) -> bool {
        let mut socket = TcpStream::connect(self.ready).await.unwrap();
        socket.write_all(b"GET /-/ready HTTP/1.1\r\nhost: r\r\n\r\n").await.unwrap();
        read_answer(&mut socket, &mut Vec::new()).await.status == 200
    }
}

/// A request with the id `q1` unless `more` names another.
pub fn request(method: &str, path: &str, more: &str, body: &str) -> String {
    let id = if more.contains("x-request-id") { "" } else { "x-request-id: q1\r\n" };
    let deadline = if more.contains("x-deadline-ms") { "" } else { "x-deadline-ms: 3000\r\n" };
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n{id}{deadline}{more}content-length: {}\r\n\r\n\
         {body}",
        body.len()
    )
}

/// Reads one answer; `buf` keeps what came after it.
pub async fn read_answer(socket: &mut TcpStream, buf: &mut Vec<u8>) -> Answer {
    let mut answer = Answer::default();
    let head_end = loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        if !matches!(socket.read_buf(buf).await, Ok(1..)) {
            return answer;
        }
    };
    let head = String::from_utf8(buf.drain(..head_end).collect()).unwrap();
    let mut lines = head.lines();
    answer.status = lines.next().unwrap().split(' ').nth(1).unwrap().parse().unwrap();
    let pairs = lines.filter_map(|l| l.split_once(':'));
    answer.headers = pairs.map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned())).collect();
    if let Some(length) = answer.header("content-length").map(|l| l.parse::<usize>().unwrap()) {
        while buf.len() < length {
            if !matches!(socket.read_buf(buf).await, Ok(1..)) {
                answer.body.append(buf);
                return answer;
            }
        }
        answer.body = buf.drain(..length).collect();
        answer.whole = true;
        return answer;
    }
    read_chunks(socket, buf, &mut answer).await;
    answer
}

async fn read_chunks(socket: &mut TcpStream, buf: &mut Vec<u8>, answer: &mut Answer) {
    loop {
        while let Some(at) = buf.windows(2).position(|w| w == b"\r\n") {
            let size = std::str::from_utf8(&buf[..at]).unwrap();
            let size = usize::from_str_radix(size, 16).unwrap();
            if buf.len() < at + 2 + size + 2 {
                break;
            }
            let chunk: Vec<u8> = buf.drain(..at + 2 + size + 2).collect();
            if size == 0 {
                answer.whole = true;
                return;
            }
            answer.body.extend_from_slice(&chunk[at + 2..at + 2 + size]);
        }
        if !matches!(socket.read_buf(buf).await, Ok(1..)) {
            return;
        }
    }
}

//! Runs a gateway against a fake of the platform's store and sends it requests.

use std::{
    collections::HashMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use goldcrestpitch::{
    core::limits::ProcessLimits,
    fakes::{FakeLog, LogFaults},
    gateway::{self, AccountSettings, Bounds, Gateway, GatewayConfig, Listeners},
    gossip::Socket,
    http,
    platform::{CONFIGURATION, REGISTRATIONS, Store},
};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    time,
};

use crate::scripted_endpoint::ScriptedEndpoint;

pub const HOST: &str = "a.example";

pub const BOUNDS: Bounds = Bounds {
    retry_ratio: 0.2,
    retry_window: Duration::from_secs(10),
    retry_slack: 4.0,
    grace: Duration::from_secs(4),
};

/// A running gateway and its store.
pub struct TestGateway {
    /// The log, with an access of its own for this gateway.
    pub log: FakeLog,
    /// The operator's and the endpoints' client of the log.
    pub store: Store,
    pub client_address: SocketAddr,
    pub ready_address: SocketAddr,
    pub peer_address: SocketAddr,
    pub process: Gateway,
    _stop: http::StopSignal,
}

/// A response as a client receives it.
#[derive(Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the whole response was received, up to its content length or last chunk.
    pub complete: bool,
}

impl Response {
    pub fn text(&self) -> String {
        String::from_utf8(self.body.clone()).unwrap()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

/// A route to the service `desk`; only the prefix `/resume/` has resumable streams.
pub fn route(prefix: &str, kind: &str, attempts: u32) -> Value {
    json!({
        "Name": prefix, "Host": HOST, "PathPrefix": prefix, "RouteType": kind,
        "TimeoutMs": 1500, "TargetLatencyMs": 400, "Priority": 1, "Service": "desk",
        "MaxAttempts": attempts, "Resumable": prefix == "/resume/",
    })
}

/// The default routes.
pub fn routes() -> Vec<Value> {
    vec![
        route("/read/", "idempotent", 2),
        route("/book/", "non_idempotent", 1),
        route("/stream/", "streaming", 1),
        route("/resume/", "streaming", 2),
    ]
}

pub fn configuration(version: u64, routes: &[Value], services: &[&str]) -> Value {
    let service = |name| json!({ "Name": name, "HealthPath": "/health", "MaxConns": 100 });
    let services: Vec<Value> = services.iter().map(service).collect();
    json!({
        "Version": version, "Routes": routes, "Services": services,
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

impl TestGateway {
    /// Starts a gateway without routes and endpoints.
    pub async fn start_unconfigured() -> Self {
        let log = FakeLog::new(LogFaults::default(), 7);
        Self::start_with(log, "127.0.0.1:0".parse().unwrap(), Vec::new()).await
    }

    /// Starts a gateway that listens for peers on `peer` and asks those at `seeds` for their
    /// state.
    pub async fn start_with(log: FakeLog, peer: SocketAddr, seeds: Vec<IpAddr>) -> Self {
        Self::start_with_accounts(log, peer, seeds, AccountSettings::default()).await
    }

    /// Like [`Self::start_with`], with settings of the client accounts.
    pub async fn start_with_accounts(
        log: FakeLog,
        peer: SocketAddr,
        seeds: Vec<IpAddr>,
        accounts: AccountSettings,
    ) -> Self {
        Self::start_with_bounds(log, peer, seeds, accounts, BOUNDS).await
    }

    /// Like [`Self::start_with_accounts`], with bounds on retries.
    pub async fn start_with_bounds(
        log: FakeLog,
        peer: SocketAddr,
        seeds: Vec<IpAddr>,
        accounts: AccountSettings,
        bounds: Bounds,
    ) -> Self {
        let (stop, stopped) = http::stop_channel();
        let operator_address = serve_log(&log.with_own_access(), &stopped).await;
        let log = log.with_own_access();
        let address = serve_log(&log, &stopped).await;
        let clients = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let ready = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (client_address, ready_address) =
            (clients.local_addr().unwrap(), ready.local_addr().unwrap());
        let (bootstrap, peers) = bind_both(peer).await;
        let peer_address = bootstrap.local_addr().unwrap();
        let config = GatewayConfig {
            zone: "east".into(),
            regions: vec![("east".into(), "r".into())],
            store: address,
            seeds,
            first_start: true,
            bounds,
            accounts,
            limits: ProcessLimits::default(),
        };
        let listeners = Listeners { callers: clients, ready, peers, peer_address, bootstrap };
        let process = gateway::start(config, listeners);
        let store = Store::new(operator_address);
        Self { log, store, client_address, ready_address, peer_address, process, _stop: stop }
    }

    /// Starts another gateway on the VM with this number, which knows this one and its routes.
    pub async fn start_peer(&self, vm: u8) -> Self {
        let vm = IpAddr::V4(Ipv4Addr::new(127, 0, 0, vm));
        let address = SocketAddr::new(vm, self.peer_address.port());
        let seeds = vec![self.peer_address.ip()];
        let peer = Self::start_with(self.log.clone(), address, seeds).await;
        peer.wait_for_version(1).await;
        peer
    }

    /// Starts gateways that know each other and the endpoints.
    pub async fn start_fleet(count: u8, endpoints: &[ScriptedEndpoint]) -> Vec<Self> {
        let mut gateways = vec![Self::start(&endpoints.iter().collect::<Vec<_>>()).await];
        for vm in 2..=count {
            let gateway = gateways[0].start_peer(vm).await;
            gateway.wait_for_endpoints(endpoints.len()).await;
            gateways.push(gateway);
        }
        gateways
    }

    /// Starts a gateway and waits until it knows the default routes and the endpoints.
    pub async fn start(endpoints: &[&ScriptedEndpoint]) -> Self {
        let gateway = Self::start_unconfigured().await;
        gateway.set_up(endpoints).await;
        gateway
    }

    /// Writes the default routes and the endpoints to the store and waits until the gateway
    /// knows them.
    pub async fn set_up(&self, endpoints: &[&ScriptedEndpoint]) {
        self.configure(1, &routes()).await;
        for (i, endpoint) in endpoints.iter().enumerate() {
            self.register(&format!("i-{i}"), endpoint.address, "ready", 1).await;
        }
        self.wait_for_version(1).await;
        self.wait_for_endpoints(endpoints.len()).await;
    }

    pub async fn configure(&self, version: u64, routes: &[Value]) {
        self.configure_services(version, routes, &["desk", "other"]).await;
    }

    pub async fn configure_services(&self, version: u64, routes: &[Value], services: &[&str]) {
        let text = configuration(version, routes, services).to_string();
        self.store.put(CONFIGURATION, "config", text.as_bytes()).await.unwrap();
    }

    pub async fn register(&self, id: &str, address: SocketAddr, state: &str, born: u64) {
        let text = registration(address, state, born).to_string();
        self.store.put(REGISTRATIONS, id, text.as_bytes()).await.unwrap();
    }

    /// Registers an endpoint of a software version.
    pub async fn register_version(&self, id: &str, address: SocketAddr, version: &str, born: u64) {
        let mut registration = registration(address, "ready", born);
        registration["Version"] = version.into();
        let text = registration.to_string();
        self.store.put(REGISTRATIONS, id, text.as_bytes()).await.unwrap();
    }

    pub async fn unregister(&self, id: &str) {
        self.store.put(REGISTRATIONS, id, b"").await.unwrap();
    }

    pub async fn wait_for_version(&self, version: u64) {
        self.wait_until(|gateway| gateway.process.shared().version() == Some(version)).await;
    }

    pub async fn wait_for_endpoints(&self, usable: usize) {
        self.wait_until(|gateway| gateway.process.shared().usable_endpoints() == usable).await;
    }

    pub async fn wait_until(&self, done: impl Fn(&Self) -> bool) {
        while !done(self) {
            time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Sends a request on a new connection and reads the response.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        extra_headers: &str,
        body: &str,
    ) -> Response {
        let mut socket = self.connect().await;
        socket.write_all(http_request(method, path, extra_headers, body).as_bytes()).await.unwrap();
        read_response(&mut socket, &mut Vec::new()).await
    }

    /// Like [`Self::send`], from another address of the loopback network.
    pub async fn send_from(
        &self,
        caller: IpAddr,
        method: &str,
        path: &str,
        extra_headers: &str,
        body: &str,
    ) -> Response {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind(SocketAddr::new(caller, 0)).unwrap();
        let mut socket = socket.connect(self.client_address).await.unwrap();
        socket.write_all(http_request(method, path, extra_headers, body).as_bytes()).await.unwrap();
        read_response(&mut socket, &mut Vec::new()).await
    }

    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.client_address).await.unwrap()
    }

    pub async fn is_ready(&self) -> bool {
        let mut socket = TcpStream::connect(self.ready_address).await.unwrap();
        socket.write_all(b"GET /-/ready HTTP/1.1\r\nhost: r\r\n\r\n").await.unwrap();
        read_response(&mut socket, &mut Vec::new()).await.status == 200
    }
}

async fn serve_log(log: &FakeLog, stop: &http::Stop) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(log.clone().serve(listener, stop.clone()));
    address
}

/// Binds the TCP and the UDP port of this number; any number that is free for both if it is 0.
async fn bind_both(address: SocketAddr) -> (TcpListener, Socket) {
    loop {
        let listener = TcpListener::bind(address).await.unwrap();
        match Socket::bind(listener.local_addr().unwrap()).await {
            Ok(socket) => return (listener, socket),
            Err(err) => assert_eq!(address.port(), 0, "{address}: {err}"),
        }
    }
}

/// A request with the id `q1` and a deadline of 3000 ms unless `extra_headers` sets others.
pub fn http_request(method: &str, path: &str, extra_headers: &str, body: &str) -> String {
    let id = if extra_headers.contains("x-request-id") { "" } else { "x-request-id: q1\r\n" };
    let deadline =
        if extra_headers.contains("x-deadline-ms") { "" } else { "x-deadline-ms: 3000\r\n" };
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n{id}{deadline}{extra_headers}content-length: {}\r\n\r\n\
         {body}",
        body.len()
    )
}

/// Reads one response; `buf` keeps the bytes after it.
pub async fn read_response(socket: &mut TcpStream, buf: &mut Vec<u8>) -> Response {
    let mut response = Response::default();
    let head_end = loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        if !matches!(socket.read_buf(buf).await, Ok(1..)) {
            return response;
        }
    };
    let head = String::from_utf8(buf.drain(..head_end).collect()).unwrap();
    let mut lines = head.lines();
    response.status = lines.next().unwrap().split(' ').nth(1).unwrap().parse().unwrap();
    let pairs = lines.filter_map(|l| l.split_once(':'));
    response.headers = pairs.map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned())).collect();
    if let Some(length) = response.header("content-length").map(|l| l.parse::<usize>().unwrap()) {
        while buf.len() < length {
            if !matches!(socket.read_buf(buf).await, Ok(1..)) {
                response.body.append(buf);
                return response;
            }
        }
        response.body = buf.drain(..length).collect();
        response.complete = true;
        return response;
    }
    read_chunks(socket, buf, &mut response).await;
    response
}

async fn read_chunks(socket: &mut TcpStream, buf: &mut Vec<u8>, response: &mut Response) {
    loop {
        while let Some(at) = buf.windows(2).position(|w| w == b"\r\n") {
            let size = std::str::from_utf8(&buf[..at]).unwrap();
            let size = usize::from_str_radix(size, 16).unwrap();
            if buf.len() < at + 2 + size + 2 {
                break;
            }
            let chunk: Vec<u8> = buf.drain(..at + 2 + size + 2).collect();
            if size == 0 {
                response.complete = true;
                return;
            }
            response.body.extend_from_slice(&chunk[at + 2..at + 2 + size]);
        }
        if !matches!(socket.read_buf(buf).await, Ok(1..)) {
            return;
        }
    }
}

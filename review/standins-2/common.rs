//! Stand-ins for the platform's store, for engines of a plain service and for clients, as
//! PROTOCOL.md describes them. Standard library only.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::File,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// The record of a run, with times in milliseconds since its start.
pub struct Recorder {
    start: Instant,
    file: Mutex<File>,
}

impl Recorder {
    pub fn new(path: &str) -> Arc<Self> {
        let file = File::create(path).expect("the record can be created");
        Arc::new(Self { start: Instant::now(), file: Mutex::new(file) })
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:>8} {text}\n", self.ms());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Waits until this many milliseconds after the start.
    pub fn sleep_until(&self, ms: u64) {
        while self.ms() < ms {
            thread::sleep(Duration::from_millis((ms - self.ms()).clamp(1, 50)));
        }
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A message with its headers; names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn query(&self, key: &str) -> Option<&str> {
        let (_, query) = self.path().split_once('?')?;
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.into_iter().find(|(k, _)| *k == key).map(|(_, v)| v)
    }
}

/// Reads a message with a length or in chunks; `None` at the end of the connection.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first_line = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    if let Some(length) = message.header("content-length").and_then(|l| l.parse().ok()) {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if message.header("transfer-encoding").is_some_and(|t| t.contains("chunked")) {
        loop {
            line.clear();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim_end(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    Ok(Some(message))
}

pub fn write_response(
    stream: &mut impl Write,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Serves each connection in a thread of its own.
pub fn serve(
    address: SocketAddr,
    stopped: Arc<AtomicBool>,
    handle: impl Fn(TcpStream) + Send + Sync + 'static,
) {
    let listener = TcpListener::bind(address).unwrap_or_else(|err| {
        eprintln!("cannot listen on {address}: {err}");
        std::process::exit(2)
    });
    listener.set_nonblocking(true).unwrap();
    let handle = Arc::new(handle);
    thread::spawn(move || {
        while !stopped.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let handle = handle.clone();
                    thread::spawn(move || handle(stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    });
}

/// Records of a keyed topic, from offset 0 on.
#[derive(Default)]
struct TopicLog {
    records: Vec<(String, Vec<u8>)>,
}

/// The platform's store: the keyed topics of its log.
pub struct Store {
    topics: Mutex<BTreeMap<String, TopicLog>>,
    appended: Condvar,
    // Calls get no answer, and writes of others do not arrive.
    pub silent: AtomicBool,
    recorder: Arc<Recorder>,
}

impl Store {
    pub fn start(address: SocketAddr, recorder: Arc<Recorder>) -> Arc<Self> {
        let store = Arc::new(Self {
            topics: Mutex::default(),
            appended: Condvar::new(),
            silent: AtomicBool::new(false),
            recorder,
        });
        let server = store.clone();
        serve(address, Arc::default(), move |stream| {
            let _ = server.serve_connection(stream);
        });
        store
    }

    /// Appends a record; without a value, the key is dropped. Returns its offset.
    pub fn append(&self, topic: &str, key: &str, value: &[u8]) -> u64 {
        let mut topics = self.topics.lock().unwrap();
        let log = topics.entry(topic.to_owned()).or_default();
        log.records.push((key.to_owned(), value.to_vec()));
        let offset = log.records.len() as u64 - 1;
        self.appended.notify_all();
        offset
    }

    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Relaxed)
    }

    fn serve_connection(&self, stream: TcpStream) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            if self.is_silent() {
                return hold(reader);
            }
            let answer = self.answer(&request);
            if self.is_silent() {
                // The answer is lost, and nothing further comes on this connection.
                return hold(reader);
            }
            let (status, kind, body) = answer;
            write_response(&mut writer, status, &[("Content-Type", kind)], &body)?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (&'static str, &'static str, Vec<u8>) {
        let topic = request.query("Topic").unwrap_or("").to_owned();
        let path = request.path().split('?').next().unwrap_or("");
        match path {
            "/-/log-read" => {
                let number = |key| request.query(key).and_then(|v| v.parse().ok()).unwrap_or(0);
                let (from, wait) = (number("From"), number("WaitMs"));
                ("200 OK", "application/octet-stream", self.read(&topic, from, wait))
            }
            "/-/log-newest" => ("200 OK", "application/json", self.newest(&topic).into_bytes()),
            "/-/log-append" => {
                let mut offset = None;
                let mut rest = &request.body[..];
                while 4 <= rest.len() {
                    let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
                    let record = &rest[4..4 + length];
                    let key_length = usize::from(record[0]);
                    let key = String::from_utf8_lossy(&record[1..1 + key_length]).into_owned();
                    let at = self.append(&topic, &key, &record[1 + key_length..]);
                    self.recorder.note(&format!("store topic={topic} key={key} offset={at}"));
                    offset.get_or_insert(at);
                    rest = &rest[4 + length..];
                }
                let offset = offset.unwrap_or(0);
                let body = format!("{{\"Offset\":{offset},\"End\":{}}}", offset + 1);
                ("200 OK", "application/json", body.into_bytes())
            }
            _ => ("404 Not Found", "text/plain", Vec::new()),
        }
    }

    fn read(&self, topic: &str, from: u64, wait_ms: u64) -> Vec<u8> {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut topics = self.topics.lock().unwrap();
        loop {
            let log = topics.entry(topic.to_owned()).or_default();
            let end = log.records.len() as u64;
            let left = until.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() || self.is_silent() {
                let mut body = Vec::new();
                body.extend_from_slice(&end.to_be_bytes());
                body.extend_from_slice(&0u64.to_be_bytes());
                for (key, value) in log.records.iter().skip(from as usize) {
                    body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(value);
                }
                return body;
            }
            let slice = left.min(Duration::from_millis(50));
            topics = self.appended.wait_timeout(topics, slice).unwrap().0;
        }
    }

    fn newest(&self, topic: &str) -> String {
        let mut topics = self.topics.lock().unwrap();
        let log = topics.entry(topic.to_owned()).or_default();
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in log.records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items: Vec<String> = newest
            .iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Offset\":{offset}}}")
            })
            .collect();
        let end = log.records.len();
        format!("{{\"items\":[{}],\"HasMore\":false,\"End\":{end}}}", items.join(","))
    }
}

/// Reads and answers nothing more until the peer closes.
pub fn hold(mut reader: impl Read) -> io::Result<()> {
    let mut buf = [0; 4096];
    while 0 < reader.read(&mut buf)? {}
    Ok(())
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut three = [0; 3];
        three[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, three[0], three[1], three[2]]);
        for i in 0..4 {
            match i <= chunk.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * i)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// An engine of a plain service.
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    pub born: u64,
    pub work: Duration,
    pub registers: AtomicBool,
    // Requests in a hundred that it fails.
    pub fails: AtomicU64,
    pub stopped: Arc<AtomicBool>,
    pub arrivals: AtomicU64,
    // Milliseconds of the record at which the store accepted that it is gone.
    pub gone_at: AtomicU64,
    sequence: AtomicU64,
    streams: Mutex<Vec<TcpStream>>,
}

impl Engine {
    pub fn start(
        id: &str,
        address: SocketAddr,
        service: &str,
        zone: &str,
        work: Duration,
        store: &Arc<Store>,
        recorder: &Arc<Recorder>,
    ) -> Arc<Self> {
        let engine = Arc::new(Self {
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            zone: zone.to_owned(),
            born: unix_ms(),
            work,
            registers: AtomicBool::new(true),
            fails: AtomicU64::new(0),
            stopped: Arc::default(),
            arrivals: AtomicU64::new(0),
            gone_at: AtomicU64::new(u64::MAX),
            sequence: AtomicU64::new(0),
            streams: Mutex::default(),
        });
        let (server, record) = (engine.clone(), recorder.clone());
        serve(address, engine.stopped.clone(), move |stream| {
            if let Ok(copy) = stream.try_clone() {
                server.streams.lock().unwrap().push(copy);
            }
            let _ = server.serve_connection(stream, &record);
        });
        let (beating, store) = (engine.clone(), store.clone());
        thread::spawn(move || {
            loop {
                beating.register(&store);
                thread::sleep(Duration::from_millis(1200));
            }
        });
        engine
    }

    /// Ends the process at once: all connections break, and new ones are refused. The entry is
    /// removed after three heartbeats of silence.
    pub fn crash(&self, store: &Arc<Store>, recorder: &Recorder) {
        self.stopped.store(true, Ordering::Relaxed);
        self.registers.store(false, Ordering::Relaxed);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        recorder.note(&format!("engine={} crashes", self.id));
        let (store, id) = (store.clone(), self.id.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(3600));
            store.append("keyed.servers", &id, b"");
        });
    }

    fn register(&self, store: &Store) {
        if !self.registers.load(Ordering::Relaxed) || store.is_silent() {
            return;
        }
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let Self { id, address, service, zone, born, .. } = self;
        let entry = format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
             \"Version\":\"v1\",\"Slots\":6,\"State\":\"ready\",\"ColdLeftMs\":0,\
             \"Seq\":{sequence},\"born\":{born}}}"
        );
        store.append("keyed.servers", id, entry.as_bytes());
    }

    /// Removes the entry for good, without a report that it drains.
    pub fn remove_entry(&self, store: &Store, recorder: &Recorder) {
        self.registers.store(false, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(5));
        store.append("keyed.servers", &self.id, b"");
        self.gone_at.store(recorder.ms(), Ordering::Relaxed);
        recorder.note(&format!("store engine={} entry removed, accepted", self.id));
    }

    fn serve_connection(&self, stream: TcpStream, recorder: &Recorder) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            if self.stopped.load(Ordering::Relaxed) {
                return Ok(());
            }
            if request.path() == "/health" {
                write_response(&mut writer, "200 OK", &[("X-Instance-Id", &self.id)], b"")?;
                continue;
            }
            let request_id = request.header("x-request-id").unwrap_or("").to_owned();
            if request.header("x-expect-instance").is_some_and(|id| id != self.id) {
                let headers = [("X-Request-Id", &*request_id), ("X-Not-Executed", "1")];
                write_response(&mut writer, "421 Misdirected Request", &headers, b"")?;
                continue;
            }
            self.arrivals.fetch_add(1, Ordering::Relaxed);
            recorder.note(&format!("run engine={} id={request_id}", self.id));
            thread::sleep(self.work);
            let signature = format!("{}.{request_id}", self.id);
            let headers = [
                ("X-Request-Id", &*request_id),
                ("X-Response-Signature", &*signature),
                ("Keep-Alive", "timeout=5"),
            ];
            // Spreads the failures evenly over the requests.
            let number = self.arrivals.load(Ordering::Relaxed);
            let status = match (number * 37) % 100 < self.fails.load(Ordering::Relaxed) {
                true => "500 Internal Server Error",
                false => "200 OK",
            };
            write_response(&mut writer, status, &headers, &[b'x'; 800])?;
        }
        Ok(())
    }
}

/// A process of the project, killed when dropped.
pub struct Process {
    pub name: String,
    child: Child,
}

impl Process {
    /// Starts a role with the command of the deploy file.
    pub fn start(role: &str, name: &str, folder: &str, settings: &str) -> Self {
        let path = format!("{folder}/{name}.ini");
        std::fs::write(&path, settings).expect("the settings can be written");
        let log = File::create(format!("{folder}/{name}.log")).expect("the log can be created");
        let child = Command::new("target/release/goldcrestpitch")
            .arg(role)
            .env_clear()
            .env("GOLDCRESTPITCH_SETTINGS", &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn();
        let child = child.unwrap_or_else(|err| {
            eprintln!("cannot start {role}: {err}");
            std::process::exit(2)
        });
        Self { name: name.to_owned(), child }
    }

    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args([&format!("-{signal}"), &id]).status();
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Ports of the gateways; the same on all machines.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub peers: u16,
}

/// Chooses ports that are free now on a loopback address.
pub fn free_ports(count: usize) -> Vec<u16> {
    let bind = |_| TcpListener::bind("127.0.0.1:0").expect("a free port");
    let listeners: Vec<TcpListener> = (0..count).map(bind).collect();
    listeners.iter().map(|l| l.local_addr().unwrap().port()).collect()
}

/// The settings of a gateway, as the platform renders `deploy/gateway.ini`.
pub fn gateway_settings(
    name: &str,
    zone: &str,
    ip: &str,
    ports: Ports,
    seeds: &[&str],
    store: SocketAddr,
    first_start: bool,
) -> String {
    let Ports { front, ready, control, peers } = ports;
    let seeds: Vec<String> = seeds.iter().map(|ip| format!("{ip}:{control}")).collect();
    format!(
        "[gateway]\nname = {name}\nzone = {zone}\n\
         zones = muenchen-a=muenchen,nuernberg-a=nuernberg,augsburg-a=augsburg\n\
         listen = {ip}:{front}\nready_listen = {ip}:{ready}\npeer_listen = {ip}:{peers}\n\
         admin_listen = {ip}:{control}\nseeds = {}\nfirst_start = {first_start}\n\n\
         [store]\naddress = {store}\n\n\
         [bounds]\nretry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 58\ngrace_s = 8\n\n\
         [accounts]\n\n[limits]\nmemory_mb = 260\nmax_descriptors = 4100\n",
        seeds.join(",")
    )
}

/// A request of a client on a kept connection.
pub struct ClientConnection {
    address: SocketAddr,
    stream: Option<(TcpStream, BufReader<TcpStream>)>,
}

impl ClientConnection {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, stream: None }
    }

    /// Sends a request and reads the answer. The connection is closed after an error.
    pub fn call(&mut self, request: &str, timeout: Duration) -> io::Result<Message> {
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            self.stream = Some((stream.try_clone()?, BufReader::new(stream)));
        }
        let Some((mut writer, mut reader)) = self.stream.take() else { unreachable!() };
        reader.get_ref().set_read_timeout(Some(timeout))?;
        writer.write_all(request.as_bytes())?;
        let answer = read_message(&mut reader)?;
        let answer = answer.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
        if answer.header("connection") != Some("close") {
            self.stream = Some((writer, reader));
        }
        Ok(answer)
    }
}

/// Whether a node says that it is ready.
pub fn is_ready(address: SocketAddr) -> bool {
    let request = "GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
    let answer = ClientConnection::new(address).call(request, Duration::from_millis(500));
    answer.is_ok_and(|answer| answer.status() == 200)
}

pub fn address(ip: &str, port: u16) -> SocketAddr {
    format!("{ip}:{port}").parse().unwrap()
}

/// The settings of an engine agent, as the platform renders `deploy/engine-agent.ini`.
pub fn agent_settings(
    name: &str,
    service: &str,
    ip: &str,
    app: u16,
    ports: Ports,
    store: SocketAddr,
) -> String {
    let Ports { control, peers, .. } = ports;
    format!(
        "[engine_agent]\nname = {name}\nservice = {service}\nengine = {ip}:{app}\n\
         peer_listen = {ip}:{peers}\nadmin_listen = {ip}:{control}\nadmits = true\n\n\
         [store]\naddress = {store}\n"
    )
}

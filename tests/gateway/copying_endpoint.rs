//! An endpoint whose behaviour is drawn from a seed: it refuses, fails, breaks off, starts again
//! under a new id at its address, and sends copies of earlier answers.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use fastrand::Rng;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::AbortHandle,
    time,
};

use crate::scripted_endpoint::{ReceivedRequest, events, read_request};

/// Number of events of each stream.
pub const EVENTS: u32 = 4;

/// What the endpoints of a schedule received and did.
#[derive(Debug, Default)]
pub struct Record {
    /// Number of runs by request id.
    pub runs: HashMap<String, u32>,
    /// Ids that were received more than once on one connection.
    pub received_twice: Vec<String>,
    pub refusals: u32,
    pub breaks: u32,
    pub copies: u32,
    pub copies_without_id: u32,
    pub restarts: u32,
    /// Requests that are being answered.
    pub active: u32,
    /// What happened to each request, in order.
    pub trace: Vec<String>,
}

pub type SharedRecord = Arc<Mutex<Record>>;

/// A complete answer.
#[derive(Clone, Debug)]
struct Answer {
    id: String,
    status: &'static str,
    /// Sent with pauses between them.
    parts: Vec<String>,
}

impl Answer {
    fn is_refusal(&self) -> bool {
        !matches!(self.status, "200 OK" | "500 Failed")
    }
}

/// The copies that may lack the request id of their answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopiesWithoutId {
    Refusals,
    All,
}

/// How the work on a request goes on after its answer is due.
enum End {
    Answered,
    /// The connection ends after this many parts of the answer.
    Broken(usize),
}

struct Server {
    number: usize,
    rng: Mutex<Rng>,
    record: SharedRecord,
    without_id: CopiesWithoutId,
    /// The id under which it runs requests.
    id: Mutex<String>,
    resets: Notify,
}

/// A running endpoint.
pub struct CopyingEndpoint {
    pub address: SocketAddr,
    server: Arc<Server>,
    task: AbortHandle,
}

impl Drop for CopyingEndpoint {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl CopyingEndpoint {
    pub async fn start(
        number: usize,
        id: &str,
        rng: Rng,
        record: SharedRecord,
        without_id: CopiesWithoutId,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = Arc::new(Server {
            number,
            rng: Mutex::new(rng),
            record,
            without_id,
            id: Mutex::new(id.to_owned()),
            resets: Notify::new(),
        });
        let accepting = server.clone();
        let task = tokio::spawn(async move {
            for connection in 0.. {
                let Ok((socket, _)) = listener.accept().await else { return };
                tokio::spawn(accepting.clone().serve(socket, connection));
            }
        });
        Self { address, server, task: task.abort_handle() }
    }

    /// Runs requests for this id from now on. Its connections stay open, as with an address
    /// that is passed on, or are reset.
    pub fn restart(&self, id: &str, resets: bool) {
        *self.server.id.lock().unwrap() = id.to_owned();
        self.server.record.lock().unwrap().restarts += 1;
        if resets {
            self.server.resets.notify_waiters();
        }
    }
}

/// Counts a request as being answered until dropped.
struct Active(SharedRecord);

impl Active {
    fn new(record: &SharedRecord) -> Self {
        record.lock().unwrap().active += 1;
        Self(record.clone())
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.lock().unwrap().active -= 1;
    }
}

impl Server {
    fn chance(&self, probability: f64) -> bool {
        self.rng.lock().unwrap().f64() < probability
    }

    async fn pause(&self, max_ms: u64) {
        let pause = self.rng.lock().unwrap().u64(0..=max_ms);
        if 0 < pause {
            time::sleep(Duration::from_millis(pause)).await;
        }
    }

    fn trace(&self, connection: usize, what: &str) {
        let line = format!("endpoint={} its_connection={connection} {what}", self.number);
        self.record.lock().unwrap().trace.push(line);
    }

    async fn serve(self: Arc<Self>, mut socket: TcpStream, connection: usize) {
        let is_reset = tokio::select! {
            () = self.serve_requests(&mut socket, connection) => self.chance(0.5),
            () = self.resets.notified() => true,
        };
        if is_reset {
            let _ = socket.set_zero_linger();
        }
    }

    /// Serves requests until the connection is to end.
    async fn serve_requests(&self, socket: &mut TcpStream, connection: usize) {
        let mut buf = Vec::new();
        let mut earlier = Vec::new();
        let mut received = HashSet::new();
        if self.chance(0.02) {
            self.pause(5).await;
            return;
        }
        loop {
            if self.chance(0.02) {
                // Ends while a request is read.
                let read = socket.read(&mut [0; 40]).await;
                self.record.lock().unwrap().breaks += u32::from(matches!(read, Ok(1..)));
                return;
            }
            let Some(request) = read_request(socket, &mut buf).await else { return };
            let id = request.id().to_owned();
            if id.is_empty() {
                let head = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                let _ = socket.write_all(head.as_bytes()).await;
                continue;
            }
            let _active = Active::new(&self.record);
            let is_first = received.insert(id.clone());
            if !is_first {
                self.record.lock().unwrap().received_twice.push(id.clone());
            }
            let (answer, end, pause) = self.process(&request, connection, is_first);
            let is_sent = self.answer(socket, connection, &answer, end, pause, &earlier).await;
            if !is_sent {
                return;
            }
            earlier.push(answer);
            if self.chance(0.1) {
                self.pause(20).await;
                if !self.send_copy(socket, connection, &earlier, None).await {
                    return;
                }
            }
            if self.chance(0.04) {
                self.pause(10).await;
                self.trace(connection, &format!("ends after the answer to {id}"));
                return;
            }
        }
    }

    /// Refuses or runs a request. Returns its answer, how that ends, and the time before it.
    fn process(
        &self,
        request: &ReceivedRequest,
        connection: usize,
        is_first: bool,
    ) -> (Answer, End, u64) {
        let mut rng = self.rng.lock().unwrap();
        let id = request.id().to_owned();
        let own = self.id.lock().unwrap().clone();
        let expected = request.header("x-expect-instance").unwrap_or("-");
        let trace = |what: &str| {
            let ids = format!("id={id} for={expected} own={own} is_first={is_first}");
            self.trace(connection, &format!("{what} {ids}"));
        };
        let refused = match rng.u32(0..6) {
            _ if expected != own => Some("421 Misdirected Request"),
            0 => Some("503 Busy"),
            1 => Some("429 Slow"),
            _ => None,
        };
        if let Some(status) = refused {
            trace(&format!("refuses ({status})"));
            self.record.lock().unwrap().refusals += 1;
            let head = head(&mut rng, status, &id, "x-not-executed: 1\r\ncontent-length: 0\r\n");
            return (Answer { id, status, parts: vec![head] }, End::Answered, 1);
        }
        if rng.f64() < 0.02 {
            trace("breaks off without a run");
            self.record.lock().unwrap().breaks += 1;
            let answer = Answer { id, status: "-", parts: Vec::new() };
            return (answer, End::Broken(0), 3);
        }
        let pause = if rng.f64() < 0.04 { 500 } else { rng.u64(0..6) };
        let answer = match rng.f64() < 0.08 {
            true => failure(&mut rng, request),
            false => success(&mut rng, request),
        };
        let breaks = rng.f64() < 0.05;
        let end = match breaks {
            true => End::Broken(rng.usize(0..answer.parts.len())),
            false => End::Answered,
        };
        trace(&format!("runs (answer {}, breaks={breaks})", answer.status));
        let mut record = self.record.lock().unwrap();
        record.breaks += u32::from(breaks);
        *record.runs.entry(id).or_default() += 1;
        (answer, end, pause)
    }

    /// Sends an answer, perhaps after the copy of an earlier one. Returns whether the connection
    /// is still in order.
    async fn answer(
        &self,
        socket: &mut TcpStream,
        connection: usize,
        answer: &Answer,
        end: End,
        pause: u64,
        earlier: &[Answer],
    ) -> bool {
        if self.chance(0.35) {
            self.pause(3).await;
            if !self.send_copy(socket, connection, earlier, Some(&answer.id)).await {
                return false;
            }
        }
        self.pause(pause).await;
        let after_parts = match end {
            End::Answered => answer.parts.len(),
            End::Broken(after_parts) => after_parts,
        };
        for part in &answer.parts[..after_parts] {
            if socket.write_all(part.as_bytes()).await.is_err() {
                return false;
            }
            if 1 < answer.parts.len() {
                self.pause(4).await;
            }
        }
        matches!(end, End::Answered)
    }

    /// Sends the copy of an earlier answer, of one to the request with this id if there is one.
    async fn send_copy(
        &self,
        socket: &mut TcpStream,
        connection: usize,
        earlier: &[Answer],
        id: Option<&str>,
    ) -> bool {
        let (text, what) = {
            let mut rng = self.rng.lock().unwrap();
            let own: Vec<_> = earlier.iter().filter(|a| Some(&*a.id) == id).collect();
            let Some(copied) = rng.choice(own).or_else(|| rng.choice(earlier)) else {
                return true;
            };
            let mut text = copied.parts.concat();
            let may_lack_id = copied.is_refusal() || self.without_id == CopiesWithoutId::All;
            let without_id = may_lack_id && rng.f64() < 0.3;
            let mut record = self.record.lock().unwrap();
            record.copies += 1;
            if without_id {
                record.copies_without_id += 1;
                text = text.replacen(&format!("x-request-id: {}\r\n", copied.id), "", 1);
            }
            let (due, status) = (id.unwrap_or("-"), copied.status);
            let what = format!(
                "copy of the answer {status} to id={} without_id={without_id} due id={due} ",
                copied.id
            );
            (text, what)
        };
        self.trace(connection, &what);
        socket.write_all(text.as_bytes()).await.is_ok()
    }
}

fn head(rng: &mut Rng, status: &str, id: &str, extra_headers: &str) -> String {
    let persistence = match rng.u32(0..20) {
        0 => "connection: close\r\n",
        1 => "keep-alive: timeout=0\r\n",
        2..4 => "keep-alive: timeout=1\r\n",
        4..8 => "",
        _ => "keep-alive: timeout=5\r\n",
    };
    format!(
        "HTTP/1.1 {status}\r\nx-request-id: {id}\r\nx-response-signature: s-{id}\r\n\
         {persistence}{extra_headers}\r\n"
    )
}

fn whole(rng: &mut Rng, status: &str, id: &str, body: &str) -> String {
    head(rng, status, id, &format!("content-length: {}\r\n", body.len())) + body
}

fn failure(rng: &mut Rng, request: &ReceivedRequest) -> Answer {
    let (id, status) = (request.id(), "500 Failed");
    let body = format!("{id} {} failed", request.path);
    Answer { id: id.to_owned(), status, parts: vec![whole(rng, status, id, &body)] }
}

/// The body of the successful answer to a request.
pub fn success_body(id: &str, path: &str) -> String {
    match is_stream(path) {
        true => stream_events(id, path, 0).concat(),
        false => format!("{id} {path} fine"),
    }
}

pub fn is_stream(path: &str) -> bool {
    path.starts_with("/stream/") || path.starts_with("/resume/")
}

fn stream_events(id: &str, path: &str, first: u32) -> Vec<String> {
    let event = |i| events(i..i + 1).replace(&format!("t{i}"), &format!("{id} {path} t{i}"));
    (first..EVENTS).map(event).collect()
}

fn success(rng: &mut Rng, request: &ReceivedRequest) -> Answer {
    let (id, status) = (request.id(), "200 OK");
    let parts = if is_stream(&request.path) {
        let last: Option<u32> = request.header("last-event-id").and_then(|t| t.parse().ok());
        let events = stream_events(id, &request.path, last.map_or(0, |i| i + 1));
        let chunks = events.iter().map(|e| format!("{:x}\r\n{e}\r\n", e.len()));
        let framing = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
        let head = head(rng, status, id, framing);
        [head].into_iter().chain(chunks).chain(["0\r\n\r\n".to_owned()]).collect()
    } else {
        vec![whole(rng, status, id, &success_body(id, &request.path))]
    };
    Answer { id: id.to_owned(), status, parts }
}

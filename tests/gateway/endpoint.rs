//! An endpoint that answers by a script, byte for byte.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::AbortHandle,
    time,
};

/// A request as the endpoint got it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// How many came before at this endpoint.
    pub nth: usize,
    pub method: String,
    pub path: String,
    /// Names in lower case; the last value of each.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Bytes that came after the request before it was answered.
    pub connection: usize,
}

impl Seen {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn id(&self) -> &str {
        self.header("x-request-id").unwrap_or("")
    }
}

/// What the endpoint does next.
#[derive(Clone, Debug)]
pub enum Step {
    Send(Vec<u8>),
    Pause(Duration),
    /// Waits for the test.
    Until(Arc<Notify>),
    /// Waits until the peer closes, and counts that.
    Hang,
    Close,
    Reset,
    /// Stops listening and resets, as a crash does.
    Crash,
}

type Script = Arc<dyn Fn(&Seen) -> Vec<Step> + Send + Sync>;

#[derive(Debug, Default)]
struct Record {
    seen: Mutex<Vec<Seen>>,
    changed: Notify,
    left: AtomicUsize,
    connections: AtomicUsize,
}

/// A running endpoint.
pub struct Endpoint {
    pub address: SocketAddr,
    record: Arc<Record>,
    task: AbortHandle,
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Endpoint {
    pub async fn start(script: impl Fn(&Seen) -> Vec<Step> + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let record = Arc::new(Record::default());
        let script: Script = Arc::new(script);
        let kept = record.clone();
        let crash = Arc::new(Notify::new());
        let task = tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = crash.notified() => return,
                };
                let Ok((socket, _)) = accepted else { return };
                let number = kept.connections.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(serve(socket, number, script.clone(), kept.clone(), crash.clone()));
            }
        });
        Self { address, record, task: task.abort_handle() }
    }

    /// Two endpoints: the first request at either is answered by one script, all
    /// others by the other, so that it does not matter which is chosen.
    pub async fn pair(
        first: impl Fn(&Seen) -> Vec<Step> + Send + Sync + 'static,
        then: impl Fn(&Seen) -> Vec<Step> + Send + Sync + 'static,
    ) -> [Self; 2] {
        let asked = AtomicUsize::new(0);
        let script = Arc::new(move |seen: &Seen| match asked.fetch_add(1, Ordering::Relaxed) {
            0 => first(seen),
            _ => then(seen),
        });
        let (a, b) = (script.clone(), script);
        [Self::start(move |seen| a(seen)).await, Self::start(move |seen| b(seen)).await]
    }

    /// Requests so far.
    pub fn seen(&self) -> Vec<Seen> {
        self.record.seen.lock().unwrap().clone()
    }

    /// Connections so far.
    pub fn connections(&self) -> usize {
        self.record.connections.load(Ordering::Relaxed)
    }

    /// Waits until so many requests came.
    pub async fn wait_seen(&self, count: usize) {
        self.wait(|r| count <= r.seen.lock().unwrap().len()).await;
    }

    /// Waits until so many hanging requests were given up by the peer.
    pub async fn wait_left(&self, count: usize) {
        self.wait(|r| count <= r.left.load(Ordering::Relaxed)).await;
    }

    async fn wait(&self, done: impl Fn(&Record) -> bool) {
        loop {
            let changed = self.record.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if done(&self.record) {
                return;
            }
            changed.await;
        }
    }
}

async fn serve(
    mut socket: TcpStream,
    connection: usize,
    script: Script,
    record: Arc<Record>,
    crash: Arc<Notify>,
) {
    let mut buf = Vec::new();
    while let Some(mut seen) = read_request(&mut socket, &mut buf).await {
        seen.connection = connection;
        let steps = {
            let mut all = record.seen.lock().unwrap();
            seen.nth = all.len();
            all.push(seen.clone());
            script(&seen)
        };
        record.changed.notify_waiters();
        for step in steps {
            match step {
                Step::Send(bytes) => {
                    if socket.write_all(&bytes).await.is_err() {
                        return;
                    }
                }
                Step::Pause(pause) => time::sleep(pause).await,
                Step::Until(told) => told.notified().await,
                Step::Hang => {
                    let _ = socket.read(&mut [0; 64]).await;
                    record.left.fetch_add(1, Ordering::Relaxed);
                    record.changed.notify_waiters();
                    return;
                }
                Step::Close => return,
                Step::Reset | Step::Crash => {
                    if matches!(step, Step::Crash) {
                        crash.notify_one();
                    }
                    socket.set_zero_linger().unwrap();
                    return;
                }
            }
        }
    }
}

async fn read_request(socket: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Seen> {
    let head_end = loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        if socket.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8(buf[..head_end].to_vec()).unwrap();
    buf.drain(..head_end);
    let mut lines = head.lines();
    let mut first = lines.next()?.split(' ');
    let (method, path) = (first.next()?.to_owned(), first.next()?.to_owned());
    let pairs = lines.filter_map(|l| l.split_once(':'));
    let headers: HashMap<String, String> =
        pairs.map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned())).collect();
    let length: usize = headers.get("content-length").map_or(0, |l| l.parse().unwrap());
    while buf.len() < length {
        if socket.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    }
    let body = buf.drain(..length).collect();
    Some(Seen { nth: 0, method, path, headers, body, connection: 0 })
}

/// The head of an answer to a request, with the headers that endpoints set.
pub fn head(status: &str, id: &str, more: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nx-request-id: {id}\r\nx-response-signature: s-{id}\r\n\
         keep-alive: timeout=5\r\n{more}\r\n"
    )
}

/// A whole answer.
pub fn answer(status: &str, id: &str, body: &str) -> Vec<Step> {
    let length = format!("content-length: {}\r\n", body.len());
    vec![Step::Send((head(status, id, &length) + body).into_bytes())]
}

/// An answer that says that the request has not run.
pub fn not_run(id: &str) -> Vec<Step> {
    let more = "x-not-executed: 1\r\ncontent-length: 0\r\n";
    vec![Step::Send(head("503 Busy", id, more).into_bytes())]
}

/// The head of a stream in chunks.
pub fn stream_head(id: &str) -> Step {
    let more = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
    Step::Send(head("200 OK", id, more).into_bytes())
}

/// One chunk.
pub fn chunk(text: &str) -> Step {
    Step::Send(format!("{:x}\r\n{text}\r\n", text.len()).into_bytes())
}

/// Events with ids.
pub fn events(ids: std::ops::Range<u32>) -> String {
    ids.map(|i| format!("id: {i}\ndata: t{i}\n\n")).collect()
}

/// The end of a stream in chunks.
pub fn end() -> Step {
    Step::Send(b"0\r\n\r\n".to_vec())
}

/// An endpoint that answers every request well.
pub async fn good() -> Endpoint {
    Endpoint::start(|seen| answer("200 OK", seen.id(), "fine")).await
}

//! An endpoint that sends scripted responses, byte for byte.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    sync::Notify,
    task::AbortHandle,
    time,
};

/// A request as the endpoint received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Number of requests that this endpoint received before.
    pub index: usize,
    pub method: String,
    pub path: String,
    /// Names in lower case; the last value of a repeated header.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Number of the connection at this endpoint, from 0.
    pub connection: usize,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn id(&self) -> &str {
        self.header("x-request-id").unwrap_or("")
    }
}

/// A step of the script for one request.
#[derive(Clone, Debug)]
pub enum Step {
    Send(Vec<u8>),
    Pause(Duration),
    /// Waits until the test notifies.
    WaitFor(Arc<Notify>),
    /// Waits until the peer closes the connection, and counts the disconnect.
    Hang,
    Close,
    Reset,
    /// Resets the connection and stops listening, like a crashed process.
    Crash,
    /// Like [`Self::Crash`], and ends the other connections of the endpoint too.
    CrashAll,
    /// Closes the connection in order and stops listening: the kernel does that for a
    /// process that ends and has read all it was sent.
    Exit,
    /// Stops listening and leaves the connection open, like a VM that lost power.
    Vanish,
    /// Waits until the peer closes the connection and stops listening.
    CrashAfterDisconnect,
}

const LISTEN_BACKLOG: u32 = 1024;

type Script = Arc<dyn Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync>;

#[derive(Debug, Default)]
struct ServerState {
    requests: Mutex<Vec<ReceivedRequest>>,
    changed: Notify,
    disconnects: AtomicUsize,
    connections: AtomicUsize,
    crashed: AtomicBool,
    all_connections_end: Notify,
}

/// A running endpoint.
pub struct ScriptedEndpoint {
    pub address: SocketAddr,
    state: Arc<ServerState>,
    task: AbortHandle,
    // Keeps endpoints of other tests from getting the port of one that has crashed.
    _reserved_port: TcpSocket,
}

impl Drop for ScriptedEndpoint {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ScriptedEndpoint {
    pub async fn start(
        script: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        Self::start_at("127.0.0.1:0".parse().unwrap(), script).await
    }

    /// Starts an endpoint at the address of one that has crashed.
    pub async fn start_at(
        address: SocketAddr,
        script: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        let socket = port_socket(address);
        let address = socket.local_addr().unwrap();
        let reserved_port = port_socket(address);
        let listener = socket.listen(LISTEN_BACKLOG).unwrap();
        let state = Arc::new(ServerState::default());
        let script: Script = Arc::new(script);
        let task_state = state.clone();
        let crash = Arc::new(Notify::new());
        let task = tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = crash.notified() => return,
                };
                let Ok((socket, _)) = accepted else { return };
                let number = task_state.connections.fetch_add(1, Ordering::Relaxed);
                let state = task_state.clone();
                let (script, crash) = (script.clone(), crash.clone());
                tokio::spawn(async move {
                    tokio::select! {
                        () = serve_connection(socket, number, script, state.clone(), crash) => {}
                        () = state.all_connections_end.notified() => {}
                    }
                });
            }
        });
        Self { address, state, task: task.abort_handle(), _reserved_port: reserved_port }
    }

    /// Starts two endpoints with shared scripts: `first` answers the first request to either
    /// of them and `rest` all others, so that it does not matter which one is selected.
    pub async fn pair(
        first: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
        rest: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
    ) -> [Self; 2] {
        let request_count = AtomicUsize::new(0);
        let script = Arc::new(move |request: &ReceivedRequest| {
            match request_count.fetch_add(1, Ordering::Relaxed) {
                0 => first(request),
                _ => rest(request),
            }
        });
        let (a, b) = (script.clone(), script);
        [Self::start(move |request| a(request)).await, Self::start(move |request| b(request)).await]
    }

    /// The requests received so far.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.state.requests.lock().unwrap().clone()
    }

    /// Whether it ended by [`Step::CrashAll`].
    pub fn has_crashed(&self) -> bool {
        self.state.crashed.load(Ordering::Relaxed)
    }

    /// Number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.state.connections.load(Ordering::Relaxed)
    }

    /// Waits until `count` requests were received.
    pub async fn wait_for_requests(&self, count: usize) {
        self.wait_until(|r| count <= r.requests.lock().unwrap().len()).await;
    }

    /// Waits until the endpoints have received `count` requests together.
    pub async fn wait_for_total(endpoints: &[Self], count: usize) {
        while endpoints.iter().map(|e| e.requests().len()).sum::<usize>() < count {
            time::sleep(Duration::from_millis(2)).await;
        }
    }

    /// Waits until the peer closed the connections of `count` requests in [`Step::Hang`].
    pub async fn wait_for_disconnects(&self, count: usize) {
        self.wait_until(|r| count <= r.disconnects.load(Ordering::Relaxed)).await;
    }

    async fn wait_until(&self, done: impl Fn(&ServerState) -> bool) {
        loop {
            let changed = self.state.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if done(&self.state) {
                return;
            }
            changed.await;
        }
    }
}

/// A socket that shares its port with another one of the same endpoint.
fn port_socket(address: SocketAddr) -> TcpSocket {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseport(true).unwrap();
    socket.bind(address).unwrap();
    socket
}

async fn serve_connection(
    mut socket: TcpStream,
    connection: usize,
    script: Script,
    state: Arc<ServerState>,
    crash: Arc<Notify>,
) {
    let mut buf = Vec::new();
    while let Some(mut request) = read_request(&mut socket, &mut buf).await {
        request.connection = connection;
        let steps = {
            let mut requests = state.requests.lock().unwrap();
            request.index = requests.len();
            requests.push(request.clone());
            script(&request)
        };
        state.changed.notify_waiters();
        for step in steps {
            match step {
                Step::Send(bytes) => {
                    if socket.write_all(&bytes).await.is_err() {
                        return;
                    }
                }
                Step::Pause(pause) => time::sleep(pause).await,
                Step::WaitFor(notify) => notify.notified().await,
                Step::Hang => {
                    let _ = socket.read(&mut [0; 64]).await;
                    state.disconnects.fetch_add(1, Ordering::Relaxed);
                    state.changed.notify_waiters();
                    return;
                }
                Step::Close => return,
                Step::Exit => {
                    crash.notify_one();
                    return;
                }
                Step::CrashAll => {
                    crash.notify_one();
                    socket.set_zero_linger().unwrap();
                    state.crashed.store(true, Ordering::Relaxed);
                    state.all_connections_end.notify_waiters();
                    return;
                }
                Step::Vanish | Step::CrashAfterDisconnect => {
                    if matches!(step, Step::Vanish) {
                        crash.notify_one();
                    }
                    let _ = socket.read(&mut [0; 64]).await;
                    crash.notify_one();
                    return;
                }
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

/// Reads one request; `buf` keeps the bytes after it.
pub async fn read_request(socket: &mut TcpStream, buf: &mut Vec<u8>) -> Option<ReceivedRequest> {
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
    Some(ReceivedRequest { index: 0, method, path, headers, body, connection: 0 })
}

/// The head of a response, with the headers that every endpoint sets.
pub fn response_head(status: &str, id: &str, extra_headers: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nx-request-id: {id}\r\nx-response-signature: s-{id}\r\n\
         keep-alive: timeout=5\r\n{extra_headers}\r\n"
    )
}

/// A complete response.
pub fn http_response(status: &str, id: &str, body: &str) -> Vec<Step> {
    let length = format!("content-length: {}\r\n", body.len());
    vec![Step::Send((response_head(status, id, &length) + body).into_bytes())]
}

/// A response that says that the request was not executed.
pub fn not_executed(id: &str) -> Vec<Step> {
    let extra_headers = "x-not-executed: 1\r\ncontent-length: 0\r\n";
    vec![Step::Send(response_head("503 Busy", id, extra_headers).into_bytes())]
}

/// The head of a chunked event stream.
pub fn stream_head(id: &str) -> Step {
    let extra_headers = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
    Step::Send(response_head("200 OK", id, extra_headers).into_bytes())
}

/// The head of an event stream that has neither length nor chunks.
pub fn unframed_stream_head(id: &str) -> Step {
    let content_type = "content-type: text/event-stream\r\n";
    Step::Send(response_head("200 OK", id, content_type).into_bytes())
}

/// A chunk of a chunked body.
pub fn chunk(text: &str) -> Step {
    Step::Send(format!("{:x}\r\n{text}\r\n", text.len()).into_bytes())
}

/// Events with the given ids.
pub fn events(ids: std::ops::Range<u32>) -> String {
    ids.map(|i| format!("id: {i}\ndata: t{i}\n\n")).collect()
}

/// The last chunk of a chunked body.
pub fn last_chunk() -> Step {
    Step::Send(b"0\r\n\r\n".to_vec())
}

/// An endpoint that answers every request with 200.
pub async fn healthy_endpoint() -> ScriptedEndpoint {
    ScriptedEndpoint::start(|request| http_response("200 OK", request.id(), "fine")).await
}

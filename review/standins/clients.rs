//! Clients that send requests at a steady rate, each on a connection of its own.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use crate::{http, record::Record};

/// How a request ended.
#[derive(Clone)]
pub struct End {
    pub kind: &'static str,
    /// Seconds since the start of the record at which it was sent.
    pub sent: f64,
    pub status: u16,
    /// A success with the whole body of the engine.
    pub served: bool,
}

/// What a kind of request looks like.
#[derive(Clone)]
pub struct Kind {
    pub name: &'static str,
    pub method: &'static str,
    pub path: &'static str,
    pub deadline: Duration,
    /// Of a request with this number.
    pub headers: Arc<dyn Fn(u64) -> Vec<(String, String)> + Send + Sync>,
    /// Events of a whole stream; 0 if the answer is none.
    pub events: usize,
}

pub struct Clients {
    record: Arc<Record>,
    gateways: Vec<SocketAddr>,
    next: AtomicU64,
    ends: Mutex<Vec<End>>,
    open: AtomicU64,
    stopped: AtomicBool,
}

impl Clients {
    pub fn new(record: &Arc<Record>, gateways: &[SocketAddr]) -> Arc<Self> {
        Arc::new(Self {
            record: record.clone(),
            gateways: gateways.to_vec(),
            next: AtomicU64::new(1),
            ends: Mutex::default(),
            open: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
        })
    }

    /// Sends requests of a kind at this rate until [`Self::stop`] or until `is_over`.
    pub fn send_steadily(
        self: &Arc<Self>,
        kind: Kind,
        per_s: f64,
        is_over: impl Fn() -> bool + Send + 'static,
    ) {
        let clients = self.clone();
        thread::spawn(move || {
            while !clients.stopped.load(Ordering::SeqCst) && !is_over() {
                clients.send(&kind);
                thread::sleep(Duration::from_secs_f64(1.0 / per_s));
            }
        });
    }

    /// Sends one request without waiting for its answer.
    pub fn send(self: &Arc<Self>, kind: &Kind) {
        let (clients, kind) = (self.clone(), kind.clone());
        let number = self.next.fetch_add(1, Ordering::SeqCst);
        self.open.fetch_add(1, Ordering::SeqCst);
        thread::spawn(move || {
            clients.request(&kind, number);
            clients.open.fetch_sub(1, Ordering::SeqCst);
        });
    }

    fn request(&self, kind: &Kind, number: u64) {
        let gateway = self.gateways[number as usize % self.gateways.len()];
        let id = format!("{number:016x}");
        let mut headers = vec![
            ("Host".to_owned(), "ficu95.example".to_owned()),
            ("X-Request-Id".to_owned(), id.clone()),
            ("X-Deadline-Ms".to_owned(), kind.deadline.as_millis().to_string()),
        ];
        headers.extend((kind.headers)(number));
        let sent = self.record.seconds();
        let name = kind.name;
        self.record.add(&format!(
            "client sends id={id} {name} {} {} to {gateway}",
            kind.method, kind.path
        ));
        let seen = http::call(gateway, kind.method, kind.path, &headers, b"", kind.deadline);
        let events = String::from_utf8_lossy(&seen.body).matches("data: ").count();
        let served = (200..300).contains(&seen.status)
            && seen.complete
            && seen.header("X-Response-Signature").is_some()
            && events == kind.events;
        self.record.add(&format!(
            "client answered id={id} {name} status={} complete={} events={events} served={served} {}{}",
            seen.status,
            seen.complete,
            seen.error,
            if 400 <= seen.status { String::from_utf8_lossy(&seen.body) } else { "".into() },
        ));
        self.ends.lock().unwrap().push(End { kind: kind.name, sent, status: seen.status, served });
    }

    /// Ends all sending and waits for the answers.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        for _ in 0..400 {
            if self.open.load(Ordering::SeqCst) == 0 {
                break;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Number of requests sent in a span of time, and of those that were served.
    pub fn served(&self, from: f64, until: f64) -> (usize, usize) {
        let ends = self.ends.lock().unwrap();
        let sent: Vec<&End> = ends.iter().filter(|e| from <= e.sent && e.sent < until).collect();
        (sent.len(), sent.iter().filter(|e| e.served).count())
    }

    /// Number of requests of a kind that were served so far.
    pub fn served_of(&self, kind: &str) -> usize {
        self.ends.lock().unwrap().iter().filter(|e| e.kind == kind && e.served).count()
    }

    /// The statuses of the requests sent in a span of time.
    pub fn statuses(&self, from: f64, until: f64) -> String {
        let ends = self.ends.lock().unwrap();
        let mut counts = std::collections::BTreeMap::<u16, usize>::new();
        for end in ends.iter().filter(|e| from <= e.sent && e.sent < until) {
            *counts.entry(end.status).or_default() += 1;
        }
        format!("{counts:?}")
    }
}

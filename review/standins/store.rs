//! A stand-in for the platform's store: a log with keyed topics.

use std::{
    collections::{BTreeMap, HashMap},
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{self, Request};

/// An engine writes to the store this often; its entry is removed after three intervals of
/// silence.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

#[derive(Default)]
struct Inner {
    topics: HashMap<String, Vec<Vec<u8>>>,
    last_beat: HashMap<String, Instant>,
}

#[derive(Default)]
pub struct Store {
    inner: Mutex<Inner>,
    appended: Condvar,
}

impl Store {
    pub fn start(address: SocketAddr) -> Arc<Self> {
        let store = Arc::new(Self::default());
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let reaper = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(50));
            reaper.remove_silent();
        });
        store
    }

    /// Writes a value under a key, or drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value);
        self.append(topic, vec![record]);
    }

    /// The heartbeat of an engine.
    pub fn beat(&self, id: &str, value: &[u8]) {
        self.inner.lock().unwrap().last_beat.insert(id.to_owned(), Instant::now());
        self.put("keyed.servers", id, value);
    }

    /// Removes the entry of an engine that has left.
    pub fn remove(&self, id: &str) {
        self.inner.lock().unwrap().last_beat.remove(id);
        self.put("keyed.servers", id, b"");
    }

    fn remove_silent(&self) {
        let inner = self.inner.lock().unwrap();
        let silent = inner.last_beat.iter().filter(|(_, at)| HEARTBEAT * 3 < at.elapsed());
        let silent: Vec<String> = silent.map(|(id, _)| id.clone()).collect();
        drop(inner);
        for id in silent {
            self.remove(&id);
        }
    }

    fn append(&self, topic: &str, records: Vec<Vec<u8>>) -> (usize, usize) {
        let mut inner = self.inner.lock().unwrap();
        let all = inner.topics.entry(topic.to_owned()).or_default();
        let offset = all.len();
        all.extend(records);
        let end = all.len();
        self.appended.notify_all();
        (offset, end)
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let mut inner = self.inner.lock().unwrap();
        loop {
            let all = inner.topics.entry(topic.to_owned()).or_default();
            let left = until.saturating_duration_since(Instant::now());
            if from < all.len() || left.is_zero() {
                let mut page = (all.len() as u64).to_be_bytes().to_vec();
                page.extend(0u64.to_be_bytes());
                for record in all.iter().skip(from) {
                    page.extend((record.len() as u32).to_be_bytes());
                    page.extend(record);
                }
                return page;
            }
            inner = self.appended.wait_timeout(inner, left).unwrap().0;
        }
    }

    fn newest(&self, topic: &str) -> String {
        let mut inner = self.inner.lock().unwrap();
        let all = inner.topics.entry(topic.to_owned()).or_default();
        let mut newest: BTreeMap<String, (usize, &[u8])> = BTreeMap::new();
        for (offset, record) in all.iter().enumerate() {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..1 + length]).into_owned();
            let value = &record[1 + length..];
            match value.is_empty() {
                true => newest.remove(&key),
                false => newest.insert(key, (offset, value)),
            };
        }
        let items: Vec<String> = newest
            .iter()
            .map(|(key, (offset, value))| {
                format!("{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Offset\":{offset}}}", base64(value))
            })
            .collect();
        format!("{{\"items\":[{}],\"HasMore\":false,\"End\":{}}}", items.join(","), all.len())
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(req)) = http::read_request(&mut reader) {
            let (status, body) = self.handle(&req);
            if http::respond(&mut writer, status, &[], &body).is_err() {
                return;
            }
        }
    }

    fn handle(&self, req: &Request) -> (u16, Vec<u8>) {
        let topic = req.query("Topic").unwrap_or_default();
        let number = |name| req.query(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        match (req.method.as_str(), req.path()) {
            ("POST", "/-/log-append") => {
                if ["keyed.op", "keyed.servers"].contains(&topic.as_str()) {
                    return (403, Vec::new());
                }
                let (mut records, mut rest) = (Vec::new(), req.body.as_slice());
                while let Some((length, after)) = rest.split_first_chunk::<4>() {
                    let length = u32::from_be_bytes(*length) as usize;
                    if after.len() < length {
                        return (400, Vec::new());
                    }
                    records.push(after[..length].to_vec());
                    rest = &after[length..];
                }
                thread::sleep(Duration::from_millis(2));
                let (offset, end) = self.append(&topic, records);
                (200, format!("{{\"Offset\":{offset},\"End\":{end}}}").into_bytes())
            }
            ("GET", "/-/log-read") => {
                let wait = Duration::from_millis(number("WaitMs"));
                (200, self.read(&topic, number("From") as usize, wait))
            }
            ("GET", "/-/log-newest") => (200, self.newest(&topic).into_bytes()),
            _ => (404, Vec::new()),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word =
            chunk.iter().fold(0u32, |w, b| w << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * i) & 63) as usize] as char;
            out.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    out
}

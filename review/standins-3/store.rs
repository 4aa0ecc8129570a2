//! The platform's store: keyed topics of a log.

use std::{
    collections::{BTreeMap, HashMap},
    net::TcpListener,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::http::{self, Exchange, Response};

type Record = (Vec<u8>, Vec<u8>);

#[derive(Default)]
struct Topics {
    // Key and value of each record.
    by_name: HashMap<String, Vec<Record>>,
}

#[derive(Clone, Default)]
pub struct Store {
    inner: Arc<(Mutex<Topics>, Condvar)>,
}

impl Store {
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let (topics, changed) = &*self.inner;
        let mut topics = topics.lock().unwrap();
        let record = (key.as_bytes().to_vec(), value.as_bytes().to_vec());
        topics.by_name.entry(topic.to_owned()).or_default().push(record);
        changed.notify_all();
    }

    pub fn serve(&self, listener: TcpListener) {
        let store = self.clone();
        http::serve(listener, move |exchange| store.handle(exchange).map(|()| true));
    }

    fn handle(&self, exchange: &mut Exchange<'_>) -> std::io::Result<()> {
        let topic = exchange.request.query("Topic").unwrap_or_default();
        let response = match exchange.request.path() {
            "/-/log-append" => self.append(&topic, &exchange.request.body),
            "/-/log-read" => {
                let number =
                    |name| exchange.request.query(name).and_then(|v| v.parse::<u64>().ok());
                let from = number("From").unwrap_or(0) as usize;
                self.read(&topic, from, Duration::from_millis(number("WaitMs").unwrap_or(0)))
            }
            "/-/log-newest" => self.newest(&topic, exchange.request.query("after")),
            _ => Response::new(404, "{}"),
        };
        exchange.answer(&response)
    }

    fn append(&self, topic: &str, mut body: &[u8]) -> Response {
        let (topics, changed) = &*self.inner;
        let mut topics = topics.lock().unwrap();
        let records = topics.by_name.entry(topic.to_owned()).or_default();
        let offset = records.len();
        while 4 <= body.len() {
            let size = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            let record = &body[4..4 + size];
            let key = usize::from(record[0]);
            records.push((record[1..1 + key].to_vec(), record[1 + key..].to_vec()));
            body = &body[4 + size..];
        }
        let end = records.len();
        changed.notify_all();
        json(format!("{{\"Offset\":{offset},\"End\":{end}}}"))
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Response {
        let (topics, changed) = &*self.inner;
        let until = Instant::now() + wait;
        let mut guard = topics.lock().unwrap();
        loop {
            let records = guard.by_name.get(topic).map_or(&[][..], Vec::as_slice);
            let left = until.saturating_duration_since(Instant::now());
            if from < records.len() || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0u64.to_be_bytes());
                for (key, value) in records.iter().skip(from).take(2000) {
                    body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key);
                    body.extend(value);
                }
                return Response::new(200, body);
            }
            guard = changed.wait_timeout(guard, left).unwrap().0;
        }
    }

    fn newest(&self, topic: &str, after: Option<String>) -> Response {
        let topics = self.inner.0.lock().unwrap();
        let records = topics.by_name.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest: BTreeMap<String, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(String::from_utf8_lossy(key).into_owned(), (offset, value));
        }
        newest.retain(|_, (_, value)| !value.is_empty());
        let later = newest.iter().filter(|(key, _)| after.as_ref().is_none_or(|a| a < key));
        let page: Vec<_> = later.clone().take(500).collect();
        let has_more = page.len() < later.count();
        let items = page.iter().map(|(key, (offset, value))| {
            format!("{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Offset\":{offset}}}", base64(value))
        });
        let items: Vec<String> = items.collect();
        let (items, end) = (items.join(","), records.len());
        json(format!("{{\"items\":[{items}],\"HasMore\":{has_more},\"End\":{end}}}"))
    }
}

fn json(text: String) -> Response {
    Response::new(200, text).with("Content-Type", "application/json")
}

fn base64(bytes: &[u8]) -> String {
    const SET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let number =
            group.iter().fold(0u32, |n, b| (n << 8) | u32::from(*b)) << (8 * (3 - group.len()));
        for i in 0..4 {
            match i <= group.len() {
                true => out.push(SET[(number >> (18 - 6 * i)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

//! A stand-in for an engine or a plain server of a service.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{self, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex, MutexGuard,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Request},
    record::Record,
    store::{Store, HEARTBEAT},
};

/// Size and load times of a model.
#[derive(Clone)]
pub struct Model {
    pub name: String,
    pub weights_mb: f64,
    pub load: Duration,
    pub disk_load: Duration,
}

/// What an engine is, over all its lives.
#[derive(Clone)]
pub struct Spec {
    pub name: String,
    pub service: String,
    pub address: SocketAddr,
    pub slots: usize,
    /// None for a server that is no model engine.
    pub models: Option<Vec<Model>>,
    pub weights_mb: f64,
    pub adapter_slots: usize,
    pub adapter_mb: f64,
    /// Time to the first event of a stream, or to an answer.
    pub first: Duration,
    pub events: usize,
    pub event_interval: Duration,
}

/// An order as the engine reads it.
#[derive(Clone)]
pub struct Order {
    pub text: String,
    pub opcode: String,
    pub model: String,
    pub adapter: Option<String>,
    pub expected: Option<u64>,
    pub holder: String,
    pub fence: u64,
    pub expects_instance: Option<String>,
}

/// A request whose prompt has such a part of its own crashes each engine that begins to run it.
pub const CRASHING_PART: &str = ",dead";

/// Decides which orders get no answer and are carried out later, and by how much.
pub type LateOrders = dyn Fn(&Order) -> Option<Duration> + Send + Sync;

#[derive(Default)]
struct State {
    up: bool,
    draining: bool,
    id: String,
    born: u64,
    seq: u64,
    loaded: BTreeMap<String, BTreeSet<String>>,
    on_disk: BTreeSet<String>,
    // The model that is being loaded, and until when.
    loading: Option<(String, Instant)>,
    connections: Vec<TcpStream>,
    // Id, tokens, events made.
    runs: BTreeMap<u64, (String, u64, u64)>,
    last_run: u64,
    // What the engine was ordered to load beyond its memory.
    over_limit: Vec<String>,
    accepted_loads: Vec<(Instant, String)>,
}

pub struct Engine {
    pub spec: Spec,
    store: Arc<Store>,
    record: Arc<Record>,
    state: Mutex<State>,
    life: AtomicU64,
    late_orders: Box<LateOrders>,
}

impl Engine {
    pub fn new(
        spec: Spec,
        store: &Arc<Store>,
        record: &Arc<Record>,
        late_orders: Box<LateOrders>,
    ) -> Arc<Self> {
        Arc::new(Self {
            spec,
            store: store.clone(),
            record: record.clone(),
            state: Mutex::default(),
            life: AtomicU64::new(0),
            late_orders,
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Puts copies of the weights onto the engine's disk.
    pub fn fill_disk(&self, models: &[&str]) {
        self.lock().on_disk.extend(models.iter().map(|m| (*m).to_owned()));
    }

    /// Starts a new life under a new id. It holds `models`; after a restart there are none.
    pub fn start(self: &Arc<Self>, models: &[&str]) {
        let listener = TcpListener::bind(self.spec.address).expect("the engine's address is free");
        listener.set_nonblocking(true).unwrap();
        let life = self.life.fetch_add(1, Ordering::SeqCst) + 1;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let id = {
            let mut state = self.lock();
            state.up = true;
            state.draining = false;
            state.id = format!("i-{}-{life}", self.spec.name);
            state.born = born;
            state.seq = 0;
            state.loading = None;
            state.loaded = models.iter().map(|m| ((*m).to_owned(), BTreeSet::new())).collect();
            state.id.clone()
        };
        self.fill_disk(models);
        self.record.say(&format!("{} starts as {id}, holds {models:?}", self.spec.name));
        let engine = self.clone();
        thread::spawn(move || engine.accept(listener, life));
        let engine = self.clone();
        thread::spawn(move || engine.beat(life));
    }

    /// Crashes: connections break, and nothing is said any more.
    pub fn crash(&self) {
        self.record.say(&format!("{} crashes", self.spec.name));
        self.end();
    }

    fn end(&self) {
        self.life.fetch_add(1, Ordering::SeqCst);
        let mut state = self.lock();
        state.up = false;
        state.loading = None;
        state.loaded.clear();
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Reports that it leaves. It goes on serving until [`Self::exit`].
    pub fn drain(&self) {
        self.record.say(&format!("{} reports draining", self.spec.name));
        self.lock().draining = true;
        self.write_entry();
    }

    /// Ends after it was drained.
    pub fn exit(&self) {
        let id = self.lock().id.clone();
        self.record.say(&format!("{} exits", self.spec.name));
        self.end();
        self.store.remove(&id);
    }

    pub fn is_up(&self) -> bool {
        self.lock().up
    }

    pub fn loading(&self) -> Option<String> {
        self.lock().loading.as_ref().map(|(model, _)| model.clone())
    }

    pub fn seq(&self) -> u64 {
        self.lock().seq
    }

    pub fn loaded(&self) -> Vec<String> {
        self.lock().loaded.keys().cloned().collect()
    }

    pub fn over_limit(&self) -> Vec<String> {
        self.lock().over_limit.clone()
    }

    fn is_current(&self, life: u64) -> bool {
        self.life.load(Ordering::SeqCst) == life
    }

    fn beat(self: Arc<Self>, life: u64) {
        while self.is_current(life) {
            self.write_entry();
            thread::sleep(HEARTBEAT);
        }
    }

    fn write_entry(&self) {
        let mut state = self.lock();
        self.finish_load(&mut state);
        let text = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"muenchen-a\",\"Version\":\"v1\",\
             \"Slots\":{},\"State\":\"{}\",\"ColdLeftMs\":0,{}}}",
            self.spec.service,
            self.spec.address,
            self.spec.slots,
            if state.draining { "draining" } else { "ready" },
            self.common_fields(&state),
        );
        let id = state.id.clone();
        drop(state);
        self.store.beat(&id, text.as_bytes());
    }

    fn common_fields(&self, state: &State) -> String {
        let quoted = |names: &mut dyn Iterator<Item = &String>| {
            names.map(|n| format!("\"{n}\"")).collect::<Vec<_>>().join(",")
        };
        let model = |(name, adapters): (&String, &BTreeSet<String>)| {
            let adapters = quoted(&mut adapters.iter());
            format!("{{\"Name\":\"{name}\",\"Version\":1,\"Adapters\":[{adapters}]}}")
        };
        let models: Vec<String> = state.loaded.iter().map(model).collect();
        format!(
            "\"Stage\":\"prefill_decode\",\"Models\":[{}],\"Busy\":{},\"Seq\":{},\"born\":{},\
             \"AtHand\":{{\"InMemory\":[],\"OnDisk\":[{}]}}",
            models.join(","),
            state.loading.is_some(),
            state.seq,
            state.born,
            quoted(&mut state.on_disk.iter()),
        )
    }

    fn report(&self) -> String {
        let mut state = self.lock();
        self.finish_load(&mut state);
        let runs: Vec<String> = state
            .runs
            .values()
            .map(|(id, tokens, events)| format!("[\"{id}\",{tokens},{events},5]"))
            .collect();
        let used: u64 = state.runs.values().map(|r| r.1).sum();
        format!(
            "{{{},\"Queued\":0,\"Active\":{},\"KvUsed\":{used},\"KvTotal\":157677,\"Handles\":0,\
             \"State\":\"{}\",\"Coming\":[],\"Runs\":[{}]}}",
            self.common_fields(&state),
            state.runs.len(),
            if state.draining { "draining" } else { "ready" },
            runs.join(","),
        )
    }

    /// Ends a load whose time is over.
    fn finish_load(&self, state: &mut State) {
        if state.loading.as_ref().is_some_and(|(_, until)| *until <= Instant::now()) {
            let (model, _) = state.loading.take().unwrap();
            self.record.add(&format!("{} has loaded {model}", self.spec.name));
            state.on_disk.insert(model.clone());
            state.loaded.insert(model, BTreeSet::new());
        }
    }

    fn accept(self: Arc<Self>, listener: TcpListener, life: u64) {
        while self.is_current(life) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let Ok(kept) = stream.try_clone() else { continue };
                    self.lock().connections.push(kept);
                    let engine = self.clone();
                    thread::spawn(move || engine.serve(stream, life));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve(self: Arc<Self>, stream: TcpStream, life: u64) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while self.is_current(life) {
            let Ok(Some(req)) = http::read_request(&mut reader) else { return };
            if !self.is_current(life) || self.handle(&mut writer, &req, life).is_err() {
                break;
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
    }

    fn handle(self: &Arc<Self>, out: &mut TcpStream, req: &Request, life: u64) -> io::Result<()> {
        let (id, draining) = {
            let state = self.lock();
            (state.id.clone(), state.draining)
        };
        match (req.method.as_str(), req.path()) {
            ("GET", "/health") => {
                let status = if draining { 503 } else { 200 };
                http::respond(out, status, &[("X-Instance-Id", &id)], b"")
            }
            ("GET", "/-/report") => {
                let json = [("Content-Type", "application/json")];
                http::respond(out, 200, &json, self.report().as_bytes())
            }
            ("POST", "/-/order") => self.handle_order(out, req, life),
            _ => self.run(out, req, life, &id),
        }
    }

    fn handle_order(
        self: &Arc<Self>,
        out: &mut TcpStream,
        req: &Request,
        life: u64,
    ) -> io::Result<()> {
        let text = String::from_utf8_lossy(&req.body).into_owned();
        let order = Order {
            opcode: field(&text, "Opcode").unwrap_or_default(),
            model: field(&text, "Model").unwrap_or_default(),
            adapter: field(&text, "Adapter"),
            expected: field(&text, "Expected").and_then(|v| v.parse().ok()),
            holder: field(&text, "Holder").unwrap_or_default(),
            fence: field(&text, "Fence").and_then(|v| v.parse().ok()).unwrap_or(0),
            expects_instance: req.header("X-Expect-Instance").map(str::to_owned),
            text,
        };
        if let Some(delay) = (self.late_orders)(&order) {
            self.record.say(&format!(
                "{} leaves an order unanswered, to be carried out {:.1} s later: {}",
                self.spec.name,
                delay.as_secs_f64(),
                order.text
            ));
            let engine = self.clone();
            let late = order.clone();
            thread::spawn(move || {
                thread::sleep(delay);
                // It reaches whichever engine is at the address then.
                let status = engine.carry_out(&late);
                let text = &late.text;
                engine
                    .record
                    .say(&format!("late order at {}: {text} -> {status}", engine.spec.name));
            });
            // The connection stays open until the sender closes it.
            while self.is_current(life) && out.take_error().is_ok_and(|e| e.is_none()) {
                let mut byte = [0];
                out.set_read_timeout(Some(Duration::from_millis(50)))?;
                match out.peek(&mut byte) {
                    Ok(0) => break,
                    _ => thread::sleep(Duration::from_millis(20)),
                }
            }
            return Err(io::Error::other("unanswered"));
        }
        let status = self.carry_out(&order);
        self.record.add(&format!("{} order {} -> {status}", self.spec.name, order.text));
        if !self.is_current(life) {
            return Err(io::Error::other("crashed"));
        }
        http::respond(out, status, &[], b"")
    }

    /// Carries an order out if it holds at this moment, and returns the answer.
    fn carry_out(&self, order: &Order) -> u16 {
        let mut state = self.lock();
        if !state.up {
            return 0;
        }
        if order.expects_instance.as_ref().is_some_and(|id| *id != state.id) {
            return 421;
        }
        if order.holder.is_empty() || order.fence == 0 {
            return 400;
        }
        self.finish_load(&mut state);
        let model = self.spec.models.iter().flatten().find(|m| m.name == order.model).cloned();
        let Some(model) = model else { return 400 };
        if order.expected.is_some_and(|seq| seq != state.seq) {
            return 409;
        }
        let holds = state.loaded.contains_key(&model.name);
        let adapters: usize = state.loaded.values().map(BTreeSet::len).sum();
        let used = state.loaded.keys().map(|name| self.size(name)).sum::<f64>()
            + adapters as f64 * self.spec.adapter_mb;
        match (order.opcode.as_str(), &order.adapter) {
            ("load", None) if holds => return 200,
            ("load", None) => {
                if state.loading.is_some() {
                    return 409;
                }
                if self.spec.weights_mb < used + model.weights_mb {
                    let held: Vec<&String> = state.loaded.keys().collect();
                    let text = format!(
                        "{} holds {held:?} ({used} MB) and is ordered to load {} ({} MB), with \
                         room for {} MB",
                        self.spec.name, model.name, model.weights_mb, self.spec.weights_mb
                    );
                    state.over_limit.push(text.clone());
                    drop(state);
                    self.record.say(&text);
                    self.crash();
                    return 0;
                }
                state.seq += 1;
                let on_disk = state.on_disk.contains(&model.name);
                let time = if on_disk { model.disk_load } else { model.load };
                state.accepted_loads.push((Instant::now(), model.name.clone()));
                state.loading = Some((model.name, Instant::now() + time));
                202
            }
            ("unload", None) => {
                if !holds {
                    return 200;
                }
                if state.loading.is_some() {
                    return 409;
                }
                state.seq += 1;
                state.loaded.remove(&model.name);
                202
            }
            (opcode, Some(adapter)) => {
                let Some(held) = state.loaded.get_mut(&model.name) else { return 400 };
                match (opcode, held.contains(adapter)) {
                    ("load", true) | ("unload", false) => return 200,
                    ("load", false) => {
                        if self.spec.adapter_slots <= adapters {
                            let text = format!("{} has no place for {adapter}", self.spec.name);
                            state.over_limit.push(text.clone());
                            drop(state);
                            self.record.say(&text);
                            self.crash();
                            return 0;
                        }
                        held.insert(adapter.clone());
                    }
                    _ => {
                        held.remove(adapter);
                    }
                }
                state.seq += 1;
                if opcode == "load" {
                    202
                } else {
                    200
                }
            }
            _ => 400,
        }
    }

    fn size(&self, model: &str) -> f64 {
        let models = self.spec.models.iter().flatten();
        models.filter(|m| m.name == model).map(|m| m.weights_mb).sum()
    }

    fn run(&self, out: &mut TcpStream, req: &Request, life: u64, own_id: &str) -> io::Result<()> {
        let request_id = req.header("X-Request-Id").unwrap_or_default().to_owned();
        if req.header("X-Expect-Instance").is_some_and(|id| id != own_id) {
            return http::respond(out, 421, &[("X-Instance-Id", own_id)], b"");
        }
        let echo = ("X-Request-Id", request_id.as_str());
        let mut state = self.lock();
        self.finish_load(&mut state);
        if let Some(wanted) = req.header("X-Model").filter(|_| self.spec.models.is_some()) {
            let (model, adapter) = wanted.split_once('/').unwrap_or((wanted, ""));
            let held = state.loaded.get(model);
            if !held.is_some_and(|held| adapter.is_empty() || held.contains(adapter)) {
                drop(state);
                return http::respond(out, 421, &[echo], b"");
            }
        }
        if self.spec.slots <= state.runs.len() {
            drop(state);
            return http::respond(out, 503, &[echo, ("X-Not-Executed", "1")], b"");
        }
        let prompt = req.header("X-Token-Counts").and_then(|t| t.split(',').next()?.parse().ok());
        state.last_run += 1;
        let run = state.last_run;
        state.runs.insert(run, (request_id.clone(), prompt.unwrap_or(0), 0));
        drop(state);
        self.record.add(&format!(
            "{} runs id={request_id} {} {}",
            self.spec.name,
            req.target,
            req.header("X-Model").unwrap_or("")
        ));
        if req.header("X-Prompt-Prefix").is_some_and(|p| p.contains(CRASHING_PART)) {
            thread::sleep(Duration::from_millis(100));
            self.lock().runs.remove(&run);
            self.crash();
            return Err(io::Error::other("crashed"));
        }
        let result = self.answer(out, life, run, echo);
        self.lock().runs.remove(&run);
        result
    }

    fn answer(
        &self,
        out: &mut TcpStream,
        life: u64,
        run: u64,
        echo: (&str, &str),
    ) -> io::Result<()> {
        self.pause(life, self.spec.first)?;
        let signature = ("X-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1");
        if self.spec.models.is_none() {
            return http::respond(out, 200, &[echo, signature], b"the answer");
        }
        write!(
            out,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{}: {}\r\n{}: {}\r\n\
             X-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            echo.0, echo.1, signature.0, signature.1
        )?;
        for event in 1..=self.spec.events {
            let text = format!("id: {event}\ndata: word {event}\n\n");
            write!(out, "{:x}\r\n{text}\r\n", text.len())?;
            out.flush()?;
            if let Some(run) = self.lock().runs.get_mut(&run) {
                run.2 += 1;
            }
            self.pause(life, self.spec.event_interval)?;
        }
        out.write_all(b"0\r\n\r\n")?;
        out.flush()
    }

    fn pause(&self, life: u64, time: Duration) -> io::Result<()> {
        thread::sleep(time);
        if self.is_current(life) {
            Ok(())
        } else {
            Err(io::Error::other("crashed"))
        }
    }
}

/// A field of a flat JSON object.
fn field(text: &str, name: &str) -> Option<String> {
    let rest = text.split_once(&format!("\"{name}\":"))?.1.trim_start();
    let value = match rest.strip_prefix('"') {
        Some(quoted) => quoted.split('"').next()?,
        None => rest.split([',', '}']).next()?.trim(),
    };
    Some(value.to_owned())
}

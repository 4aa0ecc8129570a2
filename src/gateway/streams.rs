//! The software version of each stream: fixed with the first event that is sent to the caller,
//! told to other gateways, and looked up when a caller resumes the stream.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use log::{info, warn};
use metrics::counter;
use tokio::time;

use crate::{
    core::{
        forwarding::RouteKind,
        hash,
        ids::{CrashId, StreamId, VersionId},
        limits::ProcessId,
        resumption::{
            HOLDERS, LookupState, Origin, OriginReport, StreamVersion, holders, resumed_version,
        },
    },
    errors::{Code, Refusal},
    gateway::{
        limits::process_id,
        request::ProxiedRequest,
        restart_check,
        run::RunTarget,
        shared::{SharedState, State},
    },
    gossip::{Body, Socket, Streams},
    platform,
    telemetry::names,
};

/// Interval at which a lookup goes on without an answer.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(30);
/// When a caller may try again whose stream slow gateways may know.
const LOOKUP_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Most datagrams of streams to one gateway at a time.
const MAX_DATAGRAMS: usize = 64;

/// A run whose events the caller gets.
#[derive(Clone, Copy, Debug)]
pub(super) struct AdmittedRun {
    /// The start of its endpoint.
    start: CrashId,
    /// The caller has events of an earlier run.
    goes_on: bool,
}

/// The id of a stream, the same in all gateways.
pub(super) fn stream_id(attempt: &[u8]) -> StreamId {
    hash::stable(&[attempt])
}

impl ProxiedRequest {
    /// Whether events of a run have been sent to the caller and fixed the version.
    pub(super) fn is_admitted(&self, target: &RunTarget) -> bool {
        self.admitted.is_some_and(|admitted| admitted.start == target.crash)
    }

    /// Decides whether events of a run may be sent to the caller. The first ones fix the
    /// version.
    pub(super) async fn admit_events(&mut self, target: &RunTarget) -> bool {
        let is_first = !self.is_admitted(target);
        let goes_on = is_first && self.version.required().is_some();
        if goes_on && !restart_check::is_same_start(&self.shared, target).await {
            warn!("event=start_unconfirmed id={} endpoint={}", self.id(), target.endpoint);
            return false;
        }
        let (is_certain, is_known_start) = {
            let registry = &self.shared.lock().registry;
            let (id, started_ms) = (&target.endpoint, target.started_ms);
            (registry.is_certain_start(id, started_ms), registry.is_known_start(id, started_ms))
        };
        if let Some(admitted) = self.admitted.filter(|_| !is_first) {
            return is_known_start || self.record_other_start(target, admitted);
        }
        let Some(version) = self.version.admit(target.version, is_certain) else {
            warn!("event=version_mismatch id={} endpoint={}", self.id(), target.endpoint);
            return false;
        };
        if is_certain {
            self.admitted = Some(AdmittedRun { start: target.crash, goes_on });
        }
        if version != self.version || goes_on {
            self.version = version;
            self.record_origin(target, version.required().map_or(Origin::Unsure, Origin::Version));
        }
        true
    }

    /// Notes that the endpoint of a run had been started again before the run began. Returns
    /// whether the caller may get more events of it: its own, but not after others.
    fn record_other_start(&mut self, target: &RunTarget, admitted: AdmittedRun) -> bool {
        if self.version != StreamVersion::Unsure {
            self.version = StreamVersion::Unsure;
            self.record_origin(target, Origin::Contradictory);
        }
        !admitted.goes_on
    }

    /// Whether the rest of the stream may come from another run.
    pub(super) fn may_go_on_elsewhere(&self) -> bool {
        self.version != StreamVersion::Unsure
    }

    fn record_origin(&self, target: &RunTarget, origin: Origin) {
        if !matches!(self.route.kind, RouteKind::Streaming { resumable: true }) {
            return;
        }
        let now = Instant::now();
        let left = self.limit.left(now);
        let mut state = self.shared.lock();
        state.origins.begin(now, self.stream, target.crash, origin, left);
        let is_mixed = state.versions.only_seen_version(&self.service).is_none();
        drop(state);
        self.shared.streams_changed.notify_one();
        if is_mixed || origin == Origin::Unsure {
            let (endpoint, software) = (&target.endpoint, self.software(&target.endpoint));
            info!(
                "event=stream_bound id={} endpoint={endpoint} software={software} origin={origin:x?}",
                self.id()
            );
        }
    }

    /// Finds the version at which a stream that the caller resumes has to go on.
    ///
    /// # Errors
    /// The refusal to send to the caller.
    pub(super) async fn find_version(&mut self) -> Result<(), Refusal> {
        let first = platform::resumed_attempt(&self.outbound.headers);
        let after = self.last_event();
        let is_stream = matches!(self.route.kind, RouteKind::Streaming { .. });
        if !is_stream || (first.is_none() && after.is_none()) {
            return Ok(());
        }
        let started = Instant::now();
        let (found, source) = match first {
            Some(_) => self.look_up().await,
            None => (Err(LookupState::Unknown), "none"),
        };
        let decided = resumed_version(found, self.only_version(first.is_some()));
        let outcome = decided.map_or_else(|why| why, |(_, how)| how);
        let version = decided.ok().map(|(version, _)| version);
        let first = first.as_deref().map_or("-".into(), String::from_utf8_lossy);
        info!(
            "event=resumption id={} first={first} after={after:?} source={source} \
             outcome={outcome} version={:016x} waited_ms={}",
            self.id(),
            version.unwrap_or(0),
            started.elapsed().as_millis()
        );
        counter!(names::RESUMPTIONS, "outcome" => outcome, "source" => source).increment(1);
        if let Some(version) = version {
            self.version = StreamVersion::Fixed(version);
            return Ok(());
        }
        let text = "it is not known which software version began the stream";
        let refusal = Refusal::new(Code::VersionUnknown, text);
        Err(match found {
            Err(LookupState::TimedOut) => refusal.retry_after(LOOKUP_RETRY_AFTER),
            _ => refusal,
        })
    }

    /// The version of all endpoints that may have begun the stream. A caller that does not name
    /// the attempt which began it can't be helped by a lookup.
    fn only_version(&self, names_attempt: bool) -> Option<VersionId> {
        let versions = &self.shared.lock().versions;
        match names_attempt {
            true => versions.only_version(Instant::now(), &self.service),
            false => versions.only_seen_version(&self.service),
        }
    }

    /// What this gateway or another one knows of the stream, and which of them.
    async fn look_up(&self) -> (Result<Origin, LookupState>, &'static str) {
        let known = |state: &State| state.origins.get(Instant::now(), self.stream);
        {
            let mut state = self.shared.lock();
            if let Some(origin) = known(&state) {
                return (Ok(origin), "own");
            }
            state.lookups.start(Instant::now(), self.stream);
        }
        loop {
            let heard = self.shared.origin_heard.notified();
            self.shared.streams_changed.notify_one();
            // The result does not matter: the state is checked again in both cases.
            let _ = time::timeout(LOOKUP_INTERVAL, heard).await;
            let mut state = self.shared.lock();
            let found = known(&state);
            let lookup = state.lookups.state(self.stream);
            if found.is_some()
                || lookup != LookupState::Pending
                || self.limit.deadline() <= Instant::now()
            {
                state.lookups.finish(self.stream);
                return (found.ok_or(lookup), "peer");
            }
        }
    }
}

impl State {
    /// Whether the endpoint is an engine.
    pub(super) fn is_engine(&self, endpoint: &str) -> bool {
        let service = self.registry.get(endpoint).map(|e| &e.registration.service);
        let service = self.table.as_ref().zip(service).and_then(|(t, s)| t.service(s));
        service.is_some_and(|s| s.engine.is_some())
    }

    /// Records the versions of the registered endpoints.
    pub(super) fn record_versions(&mut self, now: Instant) {
        let registered = self.registry.iter();
        let registered = registered.map(|e| (e.registration.service.clone(), e.version()));
        self.versions.record(now, registered);
    }
}

/// Tells the gateways that are to know of them about streams, and asks about those that
/// callers resume. `known` are the other gateways.
pub(super) fn send(
    shared: &SharedState,
    socket: &Socket,
    known: &[SocketAddr],
    reports: Vec<OriginReport>,
) {
    let now = Instant::now();
    let gateways: HashMap<ProcessId, SocketAddr> =
        known.iter().map(|address| (process_id(*address), *address)).collect();
    let mut to_each: HashMap<ProcessId, Vec<OriginReport>> = HashMap::new();
    for report in reports {
        for process in holders(report.stream, HOLDERS, gateways.keys().copied()) {
            to_each.entry(process).or_default().push(report);
        }
    }
    for (process, reports) in to_each {
        send_reports(socket, gateways[&process], &reports);
    }
    let processes: Vec<ProcessId> = gateways.keys().copied().collect();
    let mut state = shared.lock();
    let lookups = state.lookups.due(now, &processes);
    drop(state);
    for lookup in lookups {
        for process in lookup.processes {
            socket.send(gateways[&process], Body::Streams(Streams::question(lookup.stream)));
        }
    }
}

/// Tells a gateway that has just started, or was silent, of the streams that it is to know.
pub(super) fn hand_over(
    socket: &Socket,
    known: &[SocketAddr],
    to: SocketAddr,
    all: &[OriginReport],
) {
    let processes: Vec<ProcessId> = known.iter().map(|address| process_id(*address)).collect();
    let newcomer = process_id(to);
    let is_holder = |report: &&OriginReport| {
        holders(report.stream, HOLDERS, processes.iter().copied()).contains(&newcomer)
    };
    let reports: Vec<OriginReport> = all.iter().filter(is_holder).copied().collect();
    send_reports(socket, to, &reports);
}

fn send_reports(socket: &Socket, to: SocketAddr, reports: &[OriginReport]) {
    for batch in Streams::batches(reports).into_iter().take(MAX_DATAGRAMS) {
        socket.send(to, Body::Streams(batch));
    }
}

/// Merges what another gateway knows, and answers its questions.
pub(super) fn receive(shared: &SharedState, socket: &Socket, from: SocketAddr, streams: Streams) {
    let now = Instant::now();
    let mut answer = Streams::default();
    let mut state = shared.lock();
    for origin in streams.known {
        let Ok(report) = OriginReport::try_from(origin) else { continue };
        if state.origins.merge(now, report) && report.origin == Origin::Contradictory {
            warn!("event=stream_origins_differ stream={:016x} from={from}", report.stream);
        }
    }
    for stream in streams.unknown {
        state.lookups.record_denial(stream, process_id(from));
    }
    for stream in streams.asked {
        match state.origins.report(now, stream) {
            Some(report) => answer.known.push(report.into()),
            None => answer.unknown.push(stream),
        }
    }
    let is_awaited = !state.lookups.is_empty();
    drop(state);
    if answer != Streams::default() {
        socket.send(from, Body::Streams(answer));
    }
    if is_awaited {
        shared.streams_changed.notify_one();
        shared.origin_heard.notify_waiters();
    }
}

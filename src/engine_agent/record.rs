//! The agent's record in the platform's store: the engines that it sends orders to, for the process
//! after it, and the source of its fencing tokens.

use std::{sync::Arc, time::Instant};

use log::{info, warn};
use metrics::counter;
use serde::{Deserialize, Serialize};
use tokio::time::{self, Duration};

use crate::{
    core::residency::EngineStart,
    engine_agent::process::SharedState,
    platform::{STATUS, Store, StoreError},
    telemetry::names,
};

/// Number of fencing tokens reserved for each record.
const TOKENS_PER_RECORD: u64 = 1_000_000;
/// Mean delay before another attempt to read or write the record.
const RETRY_DELAY: Duration = Duration::from_millis(800);
/// How long the first record waits for the engine to be named, so that one record tells both.
const ENGINE_WAIT: Duration = Duration::from_millis(2000);

#[derive(Debug, Deserialize, Serialize)]
struct RecordWire {
    role: String,
    // Start of the process in Unix milliseconds.
    started: u64,
    // None if the process did not know them all; missing in records of earlier versions.
    #[serde(default)]
    engines: Option<Vec<EngineStartWire>>,
}

#[derive(Debug, Deserialize, Serialize)]
struct EngineStartWire {
    id: String,
    // Its start in Unix milliseconds.
    started: u64,
}

impl From<&EngineStart> for EngineStartWire {
    fn from(start: &EngineStart) -> Self {
        Self { id: start.id.to_string(), started: start.started_ms }
    }
}

impl From<EngineStartWire> for EngineStart {
    fn from(wire: EngineStartWire) -> Self {
        Self { id: wire.id.as_str().into(), started_ms: wire.started }
    }
}

/// Reads the record of the process before this one, and writes one for each start of the engine.
pub(super) async fn keep(shared: Arc<SharedState>, store: Store) {
    if !shared.config.first_start {
        let starts = read_predecessor(&shared.config.name, &store).await;
        info!("event=predecessor starts={}", starts.as_ref().map_or(-1, |s| s.len() as i64));
        if let Some(starts) = starts {
            shared.lock().order_scheduler.set_predecessor_starts(starts);
        }
    }
    // Without an engine the record only brings the fencing tokens.
    let _ = time::timeout(ENGINE_WAIT, shared.record_due.notified()).await;
    let fence = write(&shared, &store).await;
    shared.lock().order_scheduler.set_fence(fence);
    loop {
        shared.record_due.notified().await;
        if shared.lock().order_scheduler.has_unrecorded_start() {
            write(&shared, &store).await;
        }
    }
}

/// The starts of engines to which earlier processes may have sent orders; none if that is not
/// known.
async fn read_predecessor(name: &str, store: &Store) -> Option<Vec<EngineStart>> {
    let newest = loop {
        counter!(names::STORE_CALLS).increment(1);
        match store.newest_records(STATUS).await {
            Ok(newest) => break newest,
            Err(err) => retry_later("predecessor_unread", &err).await,
        }
    };
    let Some(value) = newest.records.into_iter().find(|r| r.key == name).and_then(|r| r.value)
    else {
        return Some(Vec::new());
    };
    match serde_json::from_slice::<RecordWire>(&value) {
        Ok(record) => Some(record.engines?.into_iter().map(EngineStart::from).collect()),
        Err(err) => {
            warn!("event=predecessor_unreadable error=\"{err}\"");
            None
        }
    }
}

/// Writes the record and returns the first fencing token that it brings. Tokens are derived from
/// the position of the record, which is later than that of any earlier one.
async fn write(shared: &SharedState, store: &Store) -> u64 {
    loop {
        let (starts, engine) = {
            let scheduler = &shared.lock().order_scheduler;
            (scheduler.starts_to_record(Instant::now()), scheduler.engine_start())
        };
        let record = RecordWire {
            role: "engine-agent".to_owned(),
            started: shared.started_ms,
            engines: starts.as_ref().map(|s| s.iter().map(EngineStartWire::from).collect()),
        };
        let value = serde_json::to_vec(&record).unwrap_or_default();
        counter!(names::STORE_CALLS).increment(1);
        match store.put(STATUS, &shared.config.name, &value).await {
            Ok(position) => {
                let id = engine.as_ref().map_or("-", |engine| &engine.id);
                info!("event=agent_recorded position={position} engine={id}");
                shared.lock().order_scheduler.set_recorded(engine);
                return (position.sequence() + 1) * TOKENS_PER_RECORD;
            }
            Err(err) => retry_later("agent_not_recorded", &err).await,
        }
    }
}

async fn retry_later(event: &str, err: &StoreError) {
    counter!(names::STORE_FAILURES).increment(1);
    warn!("event={event} error=\"{err}\"");
    time::sleep(RETRY_DELAY.mul_f64(0.5 + fastrand::f64())).await;
}

//! Submits configuration changes of operators and reads the whole configuration. A
//! change is appended once, then its result is found by reading the log.

use std::{
    fmt,
    time::{Duration, Instant},
};

use crate::{
    core::{
        config::{ApplyResult, Change, Fold, Record, State},
        ids::Offset,
    },
    errors::{Code, Outcome, Refusal},
    fleet::{AppendError, CONFIG_STREAM, Log, LogRecord, ReadError},
};

/// Why a change was not confirmed to be in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeError(pub Refusal);

impl fmt::Display for ChangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl std::error::Error for ChangeError {}

/// Appends a change and returns its revision once it is in force.
///
/// `fold` is the configuration that was read so far; it is advanced by each record up to
/// that of the change.
///
/// # Errors
/// The refusal if the change was rejected, or [`Code::LogUnavailable`] if the record was
/// not found within `timeout`; the change may still come into force then.
pub async fn submit<L: Log>(
    log: &L,
    fold: &mut Fold,
    change: &Change,
    timeout: Duration,
) -> Result<Offset, ChangeError> {
    let payload = serde_json::to_vec(&Record::Change(change.clone())).unwrap_or_default();
    match log.append(CONFIG_STREAM, payload.into()).await {
        Err(AppendError::Refused(text)) => {
            let refusal = Refusal::new(Code::LogUnavailable, text);
            return Err(ChangeError(refusal.outcome(Outcome::NotRun)));
        }
        // If the response was lost, reading the log shows whether the record was
        // appended. Appending it again could put it in the log twice.
        Ok(_) | Err(AppendError::Uncertain(_)) => {}
    }
    let deadline = Instant::now() + timeout;
    while Instant::now() < deadline {
        let from = fold.state().revision + 1;
        let read = log.read(CONFIG_STREAM, from, Duration::from_millis(300)).await;
        let page = match read {
            Ok(page) => page,
            Err(ReadError::Expired { .. }) => break,
            Err(ReadError::Unavailable(_)) => {
                tokio::time::sleep(Duration::from_millis(100)).await;
                continue;
            }
        };
        for record in &page.records {
            let result = fold.apply(record.offset, &record.payload);
            if !is_change(&record.payload, &change.id) {
                continue;
            }
            return match result {
                ApplyResult::Rejected(refusal) => Err(ChangeError(refusal)),
                ApplyResult::Accepted | ApplyResult::NoChange => Ok(record.offset),
            };
        }
    }
    let text = format!("change {} was not found in the log", change.id);
    Err(ChangeError(Refusal::new(Code::LogUnavailable, text)))
}

/// Reads all configuration records that the log keeps.
///
/// # Errors
/// [`Code::LogUnavailable`] if the log cannot be read.
pub async fn read_records<L: Log>(log: &L) -> Result<Vec<LogRecord>, Refusal> {
    let mut records: Vec<LogRecord> = Vec::new();
    let mut from = 1;
    loop {
        match log.read(CONFIG_STREAM, from, Duration::ZERO).await {
            Ok(page) if page.records.is_empty() => return Ok(records),
            Ok(page) => {
                records.extend(page.records);
                from = records.last().map_or(from, |r| r.offset + 1);
            }
            Err(ReadError::Expired { first }) => from = first,
            Err(err) => {
                let refusal = Refusal::new(Code::LogUnavailable, err.to_string());
                return Err(refusal.outcome(Outcome::NotRun));
            }
        }
    }
}

/// Reads the whole configuration: from the first record, or from the newest snapshot if
/// the log no longer keeps the first record.
///
/// # Errors
/// [`Code::LogUnavailable`] if the log cannot be read or has no usable snapshot.
pub async fn read_config<L: Log>(log: &L) -> Result<Fold, Refusal> {
    let records = read_records(log).await?;
    let mut fold = Fold::default();
    let first_offset = records.first().map_or(1, |r| r.offset);
    if first_offset != 1 {
        let newest_snapshot = records.iter().rev().find_map(snapshot_state);
        let usable = newest_snapshot.filter(|state| first_offset <= state.revision + 1);
        let no_snapshot = || Refusal::new(Code::LogUnavailable, "the log has no usable snapshot");
        fold.adopt(usable.ok_or_else(no_snapshot)?);
    }
    for record in &records {
        fold.apply(record.offset, &record.payload);
    }
    Ok(fold)
}

/// The state in a snapshot record; `None` for other records.
pub(super) fn snapshot_state(record: &LogRecord) -> Option<State> {
    match serde_json::from_slice(&record.payload) {
        Ok(Record::Snapshot(snapshot)) => Some(snapshot.state),
        _ => None,
    }
}

/// Whether a record is the change with an id.
fn is_change(payload: &[u8], id: &str) -> bool {
    matches!(serde_json::from_slice(payload), Ok(Record::Change(c)) if c.id == id)
}

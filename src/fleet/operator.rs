//! An operator's change: appended once, then found again in the log.

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

/// Why a change is not in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeError(pub Refusal);

impl fmt::Display for ChangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl std::error::Error for ChangeError {}

/// Appends a change and returns its revision once the fold accepted it.
///
/// `fold` holds what was read so far; it is left at the verdict.
///
/// # Errors
/// The fold's own verdict, or [`Code::LogUnavailable`] when the record was not
/// found within `limit`; it may still come into force then.
pub async fn submit<L: Log>(
    log: &L,
    fold: &mut Fold,
    change: &Change,
    limit: Duration,
) -> Result<Offset, ChangeError> {
    let payload = serde_json::to_vec(&Record::Change(change.clone())).unwrap_or_default();
    match log.append(CONFIG_STREAM, payload.into()).await {
        Err(AppendError::Refused(text)) => {
            let refusal = Refusal::new(Code::LogUnavailable, text);
            return Err(ChangeError(refusal.outcome(Outcome::NotRun)));
        }
        // A lost answer is settled by reading the log, never by appending again.
        Ok(_) | Err(AppendError::Uncertain(_)) => {}
    }
    let deadline = Instant::now() + limit;
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
            let verdict = fold.apply(record.offset, &record.payload);
            if !is_own(&record.payload, &change.id) {
                continue;
            }
            return match verdict {
                ApplyResult::Rejected(refusal) => Err(ChangeError(refusal)),
                ApplyResult::Accepted | ApplyResult::NoChange => Ok(record.offset),
            };
        }
    }
    let text = format!("change {} was not found in the log", change.id);
    Err(ChangeError(Refusal::new(Code::LogUnavailable, text)))
}

/// Reads all records of the configuration that the log keeps.
///
/// # Errors
/// [`Code::LogUnavailable`].
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

/// Reads and folds the whole configuration, from the newest snapshot where records expired.
///
/// # Errors
/// [`Code::LogUnavailable`].
pub async fn read_config<L: Log>(log: &L) -> Result<Fold, Refusal> {
    let records = read_records(log).await?;
    let mut fold = Fold::default();
    let first = records.first().map_or(1, |r| r.offset);
    if first != 1 {
        let newest = records.iter().rev().find_map(snapshot_state);
        let covers = newest.filter(|state| first <= state.revision + 1);
        let missing = || Refusal::new(Code::LogUnavailable, "the log has no usable snapshot");
        fold.adopt(covers.ok_or_else(missing)?);
    }
    for record in &records {
        fold.apply(record.offset, &record.payload);
    }
    Ok(fold)
}

/// The state of a snapshot record.
pub(super) fn snapshot_state(record: &LogRecord) -> Option<State> {
    match serde_json::from_slice(&record.payload) {
        Ok(Record::Snapshot(snapshot)) => Some(snapshot.state),
        _ => None,
    }
}

fn is_own(payload: &[u8], id: &str) -> bool {
    matches!(serde_json::from_slice(payload), Ok(Record::Change(c)) if c.id == id)
}

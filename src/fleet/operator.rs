//! An operator's change: appended once, then found again in the log.

use std::{
    fmt,
    time::{Duration, Instant},
};

use crate::{
    core::{
        config::{Change, Fold, Record, Verdict},
        ids::Offset,
    },
    errors::{Code, Refusal},
    fleet::CONFIG_STREAM,
    platform::{AppendError, Log, ReadError},
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
            return Err(ChangeError(refusal.outcome(crate::errors::Outcome::NotRun)));
        }
        // A lost answer is settled by reading the log, never by appending again.
        Ok(_) | Err(AppendError::Uncertain(_)) => {}
    }
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        let from = fold.state().revision + 1;
        let read = log
            .read(CONFIG_STREAM, from, Duration::from_millis(300))
            .await;
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
                Verdict::Rejected(refusal) => Err(ChangeError(refusal)),
                Verdict::Accepted | Verdict::NoChange => Ok(record.offset),
            };
        }
    }
    let text = format!("change {} was not found in the log", change.id);
    Err(ChangeError(Refusal::new(Code::LogUnavailable, text)))
}

fn is_own(payload: &[u8], id: &str) -> bool {
    matches!(serde_json::from_slice(payload), Ok(Record::Change(c)) if c.id == id)
}

//! One partition of the idempotency keys: batches appends to its claim stream and applies the
//! records that are read to a [`ClaimTable`].

use std::time::{Duration, Instant};

use bytes::Bytes;
use log::warn;
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use crate::{
    core::{
        idempotency::{Claim, ClaimRecord, ClaimResult, ClaimTable},
        ids::Offset,
        limits::TokenBucket,
    },
    fleet::{AppendError, Log, ReadError},
};

// Claims that arrive within this time share an append.
const BATCH_DELAY: Duration = Duration::from_millis(10);
// Rate and burst of appends per partition, which bound the appends of the whole fleet.
const APPENDS_PER_SECOND: f64 = 2.5;
const APPEND_BURST: f64 = 4.0;
// Background records are appended with the next claim, or on their own after this time.
const BACKGROUND_DELAY: Duration = Duration::from_millis(500);
const MAX_BATCH_COMMANDS: usize = 256;
const APPENDS_PER_EXPIRY_READ: u32 = 64;
// A log record holds a batch of claim records. The offset of a claim record is the offset of
// its log record times this, plus its index in the batch.
const OFFSETS_PER_BATCH: Offset = 4096;
const READ_TIMEOUT: Duration = Duration::from_millis(1500);
const READ_RETRY_DELAY: Duration = Duration::from_millis(50);
const COMMAND_QUEUE_CAPACITY: usize = 4096;

enum Command {
    Claim(Claim, oneshot::Sender<ClaimResult>),
    LookUp(String, oneshot::Sender<ClaimResult>),
    /// Append a record without waiting for the result.
    Append(ClaimRecord),
}

/// Handle of the task that serves one partition.
#[derive(Clone, Debug)]
pub(super) struct ClaimPartition {
    commands: mpsc::Sender<Command>,
}

impl ClaimPartition {
    /// Starts the task. It first reads the stream when the first command arrives.
    pub(super) fn start<L: Log>(log: L, number: u64) -> Self {
        let (commands, rx) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let task = PartitionTask {
            log,
            stream: format!("claims-{number}"),
            table: ClaimTable::default(),
            next_offset: 1,
            append_limit: TokenBucket::new(APPENDS_PER_SECOND, APPEND_BURST, Instant::now()),
            appends_since_read: 0,
        };
        tokio::spawn(task.run(rx));
        Self { commands }
    }

    pub(super) async fn claim(&self, claim: Claim) -> ClaimResult {
        let (tx, rx) = oneshot::channel();
        self.send(Command::Claim(claim, tx), rx).await
    }

    pub(super) async fn look_up(&self, key: String) -> ClaimResult {
        let (tx, rx) = oneshot::channel();
        self.send(Command::LookUp(key, tx), rx).await
    }

    pub(super) fn append_in_background(&self, record: ClaimRecord) {
        if self.commands.try_send(Command::Append(record)).is_err() {
            warn!("event=claim_record_dropped reason=busy");
        }
    }

    async fn send(&self, command: Command, rx: oneshot::Receiver<ClaimResult>) -> ClaimResult {
        if self.commands.send(command).await.is_err() {
            return ClaimResult::Unavailable;
        }
        rx.await.unwrap_or(ClaimResult::Unavailable)
    }
}

struct PartitionTask<L> {
    log: L,
    stream: String,
    table: ClaimTable,
    /// Offset of the next log record to read.
    next_offset: Offset,
    append_limit: TokenBucket,
    /// Appends whose records were applied without a read, since the last read for expiry.
    appends_since_read: u32,
}

impl<L: Log> PartitionTask<L> {
    async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        while let Some(first) = commands.recv().await {
            let batch = collect_batch(first, &mut commands, &mut self.append_limit).await;
            self.execute(batch).await;
        }
    }

    async fn execute(&mut self, batch: Vec<Command>) {
        let records: Vec<ClaimRecord> = batch.iter().filter_map(record_to_append).collect();
        let appended = match records.is_empty() {
            true => Ok(None),
            false => self.append(&records).await.map(Some),
        };
        let claims: Vec<&Claim> = batch.iter().filter_map(awaited_claim).collect();
        let up_to_date = match &appended {
            // No other record came in between, so the appended ones need not be read back.
            Ok(Some(offset)) if *offset == self.next_offset => {
                self.apply_records(*offset, records);
                self.read_expiry_periodically().await;
                true
            }
            Ok(Some(offset)) => self.read_to(*offset).await,
            Ok(None) => self.read_to_end().await,
            Err(AppendError::Refused(text)) => {
                warn!("event=claims_refused stream={} error={text:?}", self.stream);
                false
            }
            // It is unknown whether the append succeeded: read the stream to find out.
            Err(AppendError::Uncertain(_)) => self.read_until_held(&claims).await,
        };
        for command in batch {
            match command {
                Command::Claim(claim, tx) => {
                    // The receiver is gone when the caller has stopped waiting.
                    let _ = tx.send(self.claim_result(&claim, up_to_date));
                }
                Command::LookUp(key, tx) => {
                    let holder = self.table.holder(&key).cloned();
                    let found = holder.map_or(ClaimResult::Free, |h| ClaimResult::Held(h.into()));
                    let _ = tx.send(if up_to_date { found } else { ClaimResult::Unavailable });
                }
                Command::Append(_) => {}
            }
        }
    }

    fn claim_result(&self, claim: &Claim, up_to_date: bool) -> ClaimResult {
        match self.table.holder(&claim.key) {
            Some(holder) if holder.claim.attempt == claim.attempt => {
                ClaimResult::Won(holder.offset)
            }
            Some(holder) if up_to_date => ClaimResult::Held(holder.clone().into()),
            _ => ClaimResult::Unavailable,
        }
    }

    async fn append(&self, records: &[ClaimRecord]) -> Result<Offset, AppendError> {
        let payload: Bytes = serde_json::to_vec(records).unwrap_or_default().into();
        self.log.append(&self.stream, payload).await
    }

    /// Reads the stream once every [`APPENDS_PER_EXPIRY_READ`] appends although no record is
    /// missing: only a read tells which records the log no longer retains, so that their keys are
    /// removed from the table.
    async fn read_expiry_periodically(&mut self) {
        self.appends_since_read += 1;
        if APPENDS_PER_EXPIRY_READ <= self.appends_since_read {
            self.appends_since_read = 0;
            // If this read fails, a later one removes the expired keys.
            let _ = self.read().await;
        }
    }

    /// Reads until the record at this offset is applied; `false` on timeout.
    async fn read_to(&mut self, offset: Offset) -> bool {
        let deadline = Instant::now() + READ_TIMEOUT;
        while self.next_offset <= offset {
            if deadline <= Instant::now() {
                return false;
            }
            if self.read().await.is_none() {
                time::sleep(READ_RETRY_DELAY).await;
            }
        }
        true
    }

    /// Reads to the end of the stream; `false` on timeout.
    async fn read_to_end(&mut self) -> bool {
        let deadline = Instant::now() + READ_TIMEOUT;
        while Instant::now() < deadline {
            match self.read().await {
                Some(end) if end <= self.next_offset => return true,
                Some(_) => {}
                None => time::sleep(READ_RETRY_DELAY).await,
            }
        }
        false
    }

    /// Reads until every claim holds its key; `false` on timeout.
    async fn read_until_held(&mut self, claims: &[&Claim]) -> bool {
        let deadline = Instant::now() + READ_TIMEOUT;
        while Instant::now() < deadline {
            let read = self.read().await.is_some();
            let table = &self.table;
            let found = |c: &&Claim| {
                table.holder(&c.key).is_some_and(|holder| holder.claim.attempt == c.attempt)
            };
            if read && claims.iter().all(found) {
                return true;
            }
            time::sleep(READ_RETRY_DELAY).await;
        }
        // A claim that was not found may still be appended, so its result is unknown. Claims that
        // were found are still reported as won.
        false
    }

    /// Reads and applies one page. Returns the end of the stream, or `None` when the log does not
    /// answer or the records at the next offset have expired.
    async fn read(&mut self) -> Option<Offset> {
        match self.log.read(&self.stream, self.next_offset, Duration::ZERO).await {
            Ok(page) => {
                for record in &page.records {
                    self.apply_payload(record.offset, &record.payload);
                    self.next_offset = record.offset + 1;
                }
                self.table.expire(page.first * OFFSETS_PER_BATCH);
                Some(page.end)
            }
            Err(ReadError::Expired { first }) => {
                self.next_offset = first;
                self.table.skip_to(first * OFFSETS_PER_BATCH - 1);
                None
            }
            Err(ReadError::Unavailable(text)) => {
                warn!("event=log_unavailable stream={} error={text:?}", self.stream);
                None
            }
        }
    }

    fn apply_payload(&mut self, offset: Offset, payload: &[u8]) {
        let records: Vec<ClaimRecord> = match serde_json::from_slice(payload) {
            Ok(records) => records,
            Err(err) => {
                warn!(
                    "event=claims_unreadable stream={} offset={offset} error=\"{err}\"",
                    self.stream
                );
                return;
            }
        };
        self.apply_records(offset, records);
    }

    fn apply_records(&mut self, offset: Offset, records: Vec<ClaimRecord>) {
        for (i, record) in records.into_iter().enumerate() {
            self.table.apply(offset * OFFSETS_PER_BATCH + i as Offset, record);
        }
        self.next_offset = offset + 1;
    }
}

/// Collects the commands of one append: those that arrive before the batch delay has passed and
/// the append limit allows the append.
async fn collect_batch(
    first: Command,
    rx: &mut mpsc::Receiver<Command>,
    append_limit: &mut TokenBucket,
) -> Vec<Command> {
    let now = time::Instant::now();
    let mut append_at = now;
    if let Err(wait) = append_limit.take(now.into_std(), 1.0) {
        append_at += wait;
        // Cannot fail: a token is available by then, and nothing else takes from this bucket.
        let _ = append_limit.take(append_at.into_std(), 1.0);
    }
    let mut has_waiter = !matches!(first, Command::Append(_));
    let mut batch_end =
        if has_waiter { append_at.max(now + BATCH_DELAY) } else { now + BACKGROUND_DELAY };
    let mut batch = vec![first];
    while batch.len() < MAX_BATCH_COMMANDS {
        let Ok(Some(command)) = time::timeout_at(batch_end, rx.recv()).await else { break };
        if !has_waiter && !matches!(command, Command::Append(_)) {
            has_waiter = true;
            batch_end = append_at.max(time::Instant::now() + BATCH_DELAY);
        }
        batch.push(command);
    }
    batch
}

fn record_to_append(command: &Command) -> Option<ClaimRecord> {
    match command {
        Command::Claim(claim, _) => Some(ClaimRecord::Claim(claim.clone())),
        Command::Append(record) => Some(record.clone()),
        Command::LookUp(..) => None,
    }
}

fn awaited_claim(command: &Command) -> Option<&Claim> {
    match command {
        Command::Claim(claim, _) => Some(claim),
        Command::LookUp(..) | Command::Append(_) => None,
    }
}

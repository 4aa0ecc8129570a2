//! One claim stream: batches appends and folds what is read.

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

// Claims that come within this time share an append.
const LINGER: Duration = Duration::from_millis(10);
// Bounds the appends of the fleet: so many a second for each partition, and a burst.
const APPENDS_PER_SECOND: f64 = 2.5;
const APPEND_BURST: f64 = 4.0;
// Records that nobody waits for go with the next claim, or alone after this time.
const TELL_LINGER: Duration = Duration::from_millis(500);
const MAX_BATCH: usize = 256;
const APPENDS_PER_READ: u32 = 64;
// Positions in a claim stream count records and, within one, claims.
const CLAIMS_PER_RECORD: Offset = 4096;
const READ_BACK_LIMIT: Duration = Duration::from_millis(1500);
const READ_AGAIN: Duration = Duration::from_millis(50);
const WAITING_REQUESTS: usize = 4096;

enum Job {
    Claim(Claim, oneshot::Sender<ClaimResult>),
    Look(String, oneshot::Sender<ClaimResult>),
    Tell(ClaimRecord),
}

/// Handle of the task that keeps one partition.
#[derive(Clone, Debug)]
pub(super) struct Partition {
    jobs: mpsc::Sender<Job>,
}

impl Partition {
    /// Starts the task; it reads the stream when the first job comes.
    pub(super) fn start<L: Log>(log: L, number: u64) -> Self {
        let (jobs, rx) = mpsc::channel(WAITING_REQUESTS);
        let keeper = Keeper {
            log,
            stream: format!("claims-{number}"),
            book: ClaimTable::default(),
            next: 1,
            rate: TokenBucket::new(APPENDS_PER_SECOND, APPEND_BURST, Instant::now()),
            unread: 0,
        };
        tokio::spawn(keeper.run(rx));
        Self { jobs }
    }

    pub(super) async fn claim(&self, claim: Claim) -> ClaimResult {
        let (tx, rx) = oneshot::channel();
        self.ask(Job::Claim(claim, tx), rx).await
    }

    pub(super) async fn look(&self, key: String) -> ClaimResult {
        let (tx, rx) = oneshot::channel();
        self.ask(Job::Look(key, tx), rx).await
    }

    pub(super) fn tell(&self, record: ClaimRecord) {
        if self.jobs.try_send(Job::Tell(record)).is_err() {
            warn!("event=claim_record_dropped reason=busy");
        }
    }

    async fn ask(&self, job: Job, rx: oneshot::Receiver<ClaimResult>) -> ClaimResult {
        if self.jobs.send(job).await.is_err() {
            return ClaimResult::Unavailable;
        }
        rx.await.unwrap_or(ClaimResult::Unavailable)
    }
}

struct Keeper<L> {
    log: L,
    stream: String,
    book: ClaimTable,
    /// Offset of the next record to read.
    next: Offset,
    rate: TokenBucket,
    /// Appends since the stream was last read.
    unread: u32,
}

impl<L: Log> Keeper<L> {
    async fn run(mut self, mut jobs: mpsc::Receiver<Job>) {
        while let Some(first) = jobs.recv().await {
            let batch = gather(first, &mut jobs, &mut self.rate).await;
            self.handle(batch).await;
        }
    }

    async fn handle(&mut self, batch: Vec<Job>) {
        let records: Vec<ClaimRecord> = batch.iter().filter_map(record).collect();
        let appended = match records.is_empty() {
            true => Ok(None),
            false => self.append(&records).await.map(Some),
        };
        let wanted: Vec<&Claim> = batch.iter().filter_map(claim).collect();
        let read = match &appended {
            // With nothing between, the own records need not be read back.
            Ok(Some(offset)) if *offset == self.next => {
                self.fold_all(*offset, records);
                self.look_for_expiry().await;
                true
            }
            Ok(Some(offset)) => self.read_to(*offset).await,
            Ok(None) => self.read_to_end().await,
            Err(AppendError::Refused(text)) => {
                warn!("event=claims_refused stream={} error={text:?}", self.stream);
                false
            }
            // A lost answer is settled by reading the records back.
            Err(AppendError::Uncertain(_)) => self.read_back(&wanted).await,
        };
        for job in batch {
            match job {
                Job::Claim(claim, tx) => {
                    // Who went away is not waiting for its verdict.
                    let _ = tx.send(self.verdict(&claim, read));
                }
                Job::Look(key, tx) => {
                    let held = self.book.holder(&key).cloned();
                    let found = held.map_or(ClaimResult::Free, |h| ClaimResult::Held(h.into()));
                    let _ = tx.send(if read { found } else { ClaimResult::Unavailable });
                }
                Job::Tell(_) => {}
            }
        }
    }

    fn verdict(&self, claim: &Claim, read: bool) -> ClaimResult {
        match self.book.holder(&claim.key) {
            Some(held) if held.claim.attempt == claim.attempt => ClaimResult::Won(held.offset),
            Some(held) if read => ClaimResult::Held(held.clone().into()),
            _ => ClaimResult::Unavailable,
        }
    }

    async fn append(&self, records: &[ClaimRecord]) -> Result<Offset, AppendError> {
        let payload: Bytes = serde_json::to_vec(records).unwrap_or_default().into();
        self.log.append(&self.stream, payload).await
    }

    /// Reads now and then although nothing is missing: a read tells which records
    /// the log no longer keeps, and their keys are forgotten.
    async fn look_for_expiry(&mut self) {
        self.unread += 1;
        if APPENDS_PER_READ <= self.unread {
            self.unread = 0;
            // A log that does not answer now is read another time.
            let _ = self.read().await;
        }
    }

    /// Reads until the record at an offset is folded in.
    async fn read_to(&mut self, offset: Offset) -> bool {
        let until = Instant::now() + READ_BACK_LIMIT;
        while self.next <= offset {
            if until <= Instant::now() {
                return false;
            }
            if self.read().await.is_none() {
                time::sleep(READ_AGAIN).await;
            }
        }
        true
    }

    /// Reads all that the stream has now.
    async fn read_to_end(&mut self) -> bool {
        let until = Instant::now() + READ_BACK_LIMIT;
        while Instant::now() < until {
            match self.read().await {
                Some(end) if end <= self.next => return true,
                Some(_) => {}
                None => time::sleep(READ_AGAIN).await,
            }
        }
        false
    }

    /// Reads until all claims stand in the book or the time is up.
    async fn read_back(&mut self, wanted: &[&Claim]) -> bool {
        let until = Instant::now() + READ_BACK_LIMIT;
        while Instant::now() < until {
            let read = self.read().await.is_some();
            let book = &self.book;
            let found = |c: &&Claim| {
                book.holder(&c.key).is_some_and(|held| held.claim.attempt == c.attempt)
            };
            if read && wanted.iter().all(found) {
                return true;
            }
            time::sleep(READ_AGAIN).await;
        }
        // Claims that others hold are certain; one's own that are missing are not.
        false
    }

    /// Reads one page and returns the end of the stream; nothing when the log does not answer.
    async fn read(&mut self) -> Option<Offset> {
        match self.log.read(&self.stream, self.next, Duration::ZERO).await {
            Ok(page) => {
                for record in &page.records {
                    self.fold(record.offset, &record.payload);
                    self.next = record.offset + 1;
                }
                self.book.expire(page.first * CLAIMS_PER_RECORD);
                Some(page.end)
            }
            Err(ReadError::Expired { first }) => {
                self.next = first;
                self.book.skip_to(first * CLAIMS_PER_RECORD - 1);
                None
            }
            Err(ReadError::Unavailable(text)) => {
                warn!("event=log_unavailable stream={} error={text:?}", self.stream);
                None
            }
        }
    }

    fn fold(&mut self, offset: Offset, payload: &[u8]) {
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
        self.fold_all(offset, records);
    }

    fn fold_all(&mut self, offset: Offset, records: Vec<ClaimRecord>) {
        for (i, record) in records.into_iter().enumerate() {
            self.book.apply(offset * CLAIMS_PER_RECORD + i as Offset, record);
        }
        self.next = offset + 1;
    }
}

/// Collects the jobs of one append: those that come while it may not be sent yet.
async fn gather(first: Job, jobs: &mut mpsc::Receiver<Job>, rate: &mut TokenBucket) -> Vec<Job> {
    let now = time::Instant::now();
    let mut earliest = now;
    if let Err(wait) = rate.take(now.into_std(), 1.0) {
        earliest += wait;
        // It is there by then: nobody else takes from this bucket.
        let _ = rate.take(earliest.into_std(), 1.0);
    }
    let mut awaited = !matches!(first, Job::Tell(_));
    let mut until = if awaited { earliest.max(now + LINGER) } else { now + TELL_LINGER };
    let mut batch = vec![first];
    while batch.len() < MAX_BATCH {
        let Ok(Some(job)) = time::timeout_at(until, jobs.recv()).await else { break };
        if !awaited && !matches!(job, Job::Tell(_)) {
            awaited = true;
            until = earliest.max(time::Instant::now() + LINGER);
        }
        batch.push(job);
    }
    batch
}

fn record(job: &Job) -> Option<ClaimRecord> {
    match job {
        Job::Claim(claim, _) => Some(ClaimRecord::Claim(claim.clone())),
        Job::Tell(record) => Some(record.clone()),
        Job::Look(..) => None,
    }
}

fn claim(job: &Job) -> Option<&Claim> {
    match job {
        Job::Claim(claim, _) => Some(claim),
        Job::Look(..) | Job::Tell(_) => None,
    }
}

//! Writes log lines without ever making the process wait for their reader.

use std::{
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::Duration,
};

use metrics::counter;

use crate::telemetry::names;

/// Lines that may wait for a slow reader.
const MAX_WAITING_LINES: usize = 2048;
/// Lines that wait so long are written together.
const GATHER_FOR: Duration = Duration::from_millis(40);
/// Longest wait for the last lines at the end of the process.
const FLUSH_LIMIT: Duration = Duration::from_millis(300);

enum Item {
    Line(String),
    Flush(SyncSender<()>),
}

/// Takes lines; those that find no room are counted and left out.
#[derive(Clone)]
pub struct LogWriter {
    tx: SyncSender<Item>,
    dropped_lines: Arc<AtomicU64>,
}

impl LogWriter {
    /// Starts a thread that writes to `out`.
    pub fn start(out: impl Write + Send + 'static) -> Self {
        let (tx, rx) = sync_channel(MAX_WAITING_LINES);
        let dropped_lines = Arc::new(AtomicU64::new(0));
        let writer = Self { tx, dropped_lines: dropped_lines.clone() };
        thread::spawn(move || write_all(out, &rx, &dropped_lines));
        writer
    }

    /// Takes a line with its end.
    pub fn line(&self, line: String) {
        if self.tx.try_send(Item::Line(line)).is_err() {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
            counter!(names::LOG_LINES_LEFT_OUT).increment(1);
        }
    }

    /// Lines that were left out so far and not reported yet.
    pub fn dropped_lines(&self) -> u64 {
        self.dropped_lines.load(Ordering::Relaxed)
    }

    /// Waits until the lines so far are written, for a short time at most.
    pub fn flush(&self) {
        let (tx, rx) = sync_channel(1);
        if self.tx.try_send(Item::Flush(tx)).is_ok() {
            // A reader that does not read must not hold up the end.
            let _ = rx.recv_timeout(FLUSH_LIMIT);
        }
    }
}

fn write_all(mut out: impl Write, rx: &Receiver<Item>, dropped_lines: &AtomicU64) {
    let mut buf = Vec::new();
    while let Ok(first) = rx.recv() {
        let mut flush = take(first, &mut buf);
        if flush.is_none() {
            thread::sleep(GATHER_FOR);
        }
        while let Ok(item) = rx.try_recv() {
            flush = take(item, &mut buf).or(flush);
        }
        let missing = dropped_lines.swap(0, Ordering::Relaxed);
        if 0 < missing {
            buf.extend_from_slice(format!("event=lines_left_out count={missing}\n").as_bytes());
        }
        // Without a reader there is nobody to tell.
        let _ = out.write_all(&buf).and_then(|()| out.flush());
        buf.clear();
        if let Some(done) = flush {
            let _ = done.send(());
        }
    }
}

fn take(item: Item, buf: &mut Vec<u8>) -> Option<SyncSender<()>> {
    match item {
        Item::Line(line) => {
            buf.extend_from_slice(line.as_bytes());
            None
        }
        Item::Flush(done) => Some(done),
    }
}

//! Writes log lines in a background thread, so that a slow reader of the log never blocks
//! the process.

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

/// Number of lines that are buffered; further lines are dropped.
const BUFFER_CAPACITY: usize = 2048;
/// Delay after the first line of a batch; lines that arrive meanwhile are written with it.
const BATCH_DELAY: Duration = Duration::from_millis(40);
/// Maximum time that `flush` waits, so that a stalled reader cannot delay process exit.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

enum Message {
    Line(String),
    /// Asks for a reply once everything before it is written.
    Flush(SyncSender<()>),
}

/// Queues log lines for a writer thread. Lines that do not fit into the buffer are dropped
/// and counted.
#[derive(Clone)]
pub struct LogWriter {
    tx: SyncSender<Message>,
    dropped_lines: Arc<AtomicU64>,
}

impl LogWriter {
    /// Starts the writer thread, which writes to `out`.
    pub fn start(out: impl Write + Send + 'static) -> Self {
        let (tx, rx) = sync_channel(BUFFER_CAPACITY);
        let dropped_lines = Arc::new(AtomicU64::new(0));
        let writer = Self { tx, dropped_lines: dropped_lines.clone() };
        thread::spawn(move || write_all(out, &rx, &dropped_lines));
        writer
    }

    /// Queues a line, which must end with a newline. Never blocks.
    pub fn line(&self, line: String) {
        if self.tx.try_send(Message::Line(line)).is_err() {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
            counter!(names::LOG_LINES_LEFT_OUT).increment(1);
        }
    }

    /// Returns the number of dropped lines that have not been reported in the log yet.
    pub fn dropped_lines(&self) -> u64 {
        self.dropped_lines.load(Ordering::Relaxed)
    }

    /// Waits until all queued lines are written, or until the flush timeout.
    pub fn flush(&self) {
        let (tx, rx) = sync_channel(1);
        if self.tx.try_send(Message::Flush(tx)).is_ok() {
            let _ = rx.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

fn write_all(mut out: impl Write, rx: &Receiver<Message>, dropped_lines: &AtomicU64) {
    let mut buf = Vec::new();
    while let Ok(first) = rx.recv() {
        let mut flush = append(first, &mut buf);
        if flush.is_none() {
            thread::sleep(BATCH_DELAY);
        }
        while let Ok(message) = rx.try_recv() {
            flush = append(message, &mut buf).or(flush);
        }
        let dropped = dropped_lines.swap(0, Ordering::Relaxed);
        if 0 < dropped {
            buf.extend_from_slice(format!("event=lines_left_out count={dropped}\n").as_bytes());
        }
        // A write error is ignored: the log is the only place where it could be reported.
        let _ = out.write_all(&buf).and_then(|()| out.flush());
        buf.clear();
        if let Some(done) = flush {
            let _ = done.send(());
        }
    }
}

/// Adds a line to `buf`; for a flush request, returns the channel for the reply.
fn append(message: Message, buf: &mut Vec<u8>) -> Option<SyncSender<()>> {
    match message {
        Message::Line(line) => {
            buf.extend_from_slice(line.as_bytes());
            None
        }
        Message::Flush(done) => Some(done),
    }
}

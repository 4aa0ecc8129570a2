//! Tests of the log writer: a slow reader of the log never blocks the process.

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, Sender, channel},
    },
};

use goldcrestpitch::telemetry::LogWriter;

/// An output that blocks its first write until it receives a signal.
struct BlockedOutput {
    unblock: Receiver<()>,
    unblocked: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if !self.unblocked {
            self.unblocked = self.unblock.recv().is_ok();
        }
        self.written.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn blocked_output() -> (BlockedOutput, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (tx, unblock) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    (BlockedOutput { unblock, unblocked: false, written: written.clone() }, tx, written)
}

#[test]
fn stalled_reader_does_not_block_and_dropped_lines_are_counted() {
    let (out, unblock, written) = blocked_output();
    let writer = LogWriter::start(out);
    let lines = 20_000;
    for i in 0..lines {
        writer.line(format!("line={i}\n"));
    }
    let dropped = writer.dropped_lines();
    assert!(0 < dropped && dropped < lines, "{dropped}");
    // Flushing gives up on a reader that stays blocked.
    writer.flush();
    unblock.send(()).unwrap();
    while !String::from_utf8_lossy(&written.lock().unwrap()).contains("event=lines_left_out") {
        std::thread::yield_now();
    }
    let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
    let kept = text.lines().filter(|l| l.starts_with("line=")).count() as u64;
    assert!(kept <= lines - dropped, "{kept} of {lines}, {dropped} dropped");
    // Only whole lines are written, and in order.
    let numbers: Vec<u64> =
        text.lines().filter_map(|l| l.strip_prefix("line=")?.parse().ok()).collect();
    assert!(numbers.is_sorted());
}

#[test]
fn flush_writes_queued_lines() {
    let (out, unblock, written) = blocked_output();
    unblock.send(()).unwrap();
    let writer = LogWriter::start(out);
    writer.line("last=1\n".to_owned());
    writer.flush();
    while written.lock().unwrap().is_empty() {
        std::thread::yield_now();
    }
    assert_eq!(*written.lock().unwrap(), b"last=1\n");
}

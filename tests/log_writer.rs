//! Log lines never hold the process up.

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, Sender, channel},
    },
};

use goldcrestpitch::telemetry::LogWriter;

/// A reader that takes nothing until it is told to.
struct Stuck {
    go: Receiver<()>,
    went: bool,
    read: Arc<Mutex<Vec<u8>>>,
}

impl Write for Stuck {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if !self.went {
            self.went = self.go.recv().is_ok();
        }
        self.read.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn stuck() -> (Stuck, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (tx, go) = channel();
    let read = Arc::new(Mutex::new(Vec::new()));
    (Stuck { go, went: false, read: read.clone() }, tx, read)
}

#[test]
fn a_reader_that_does_not_read_holds_nothing_up_and_what_is_left_out_is_counted() {
    let (out, go, read) = stuck();
    let writer = LogWriter::start(out);
    let lines = 20_000;
    for i in 0..lines {
        writer.line(format!("line={i}\n"));
    }
    let dropped = writer.dropped_lines();
    assert!(0 < dropped && dropped < lines, "{dropped}");
    // It does not wait for the reader at the end either.
    writer.flush();
    go.send(()).unwrap();
    while !String::from_utf8_lossy(&read.lock().unwrap()).contains("event=lines_left_out") {
        std::thread::yield_now();
    }
    let text = String::from_utf8(read.lock().unwrap().clone()).unwrap();
    let kept = text.lines().filter(|l| l.starts_with("line=")).count() as u64;
    assert!(kept <= lines - dropped, "{kept} of {lines}, {dropped} left out");
    // Whole lines only, in order.
    let numbers: Vec<u64> =
        text.lines().filter_map(|l| l.strip_prefix("line=")?.parse().ok()).collect();
    assert!(numbers.is_sorted());
}

#[test]
fn lines_are_written_before_the_end() {
    let (out, go, read) = stuck();
    go.send(()).unwrap();
    let writer = LogWriter::start(out);
    writer.line("last=1\n".to_owned());
    writer.flush();
    while read.lock().unwrap().is_empty() {
        std::thread::yield_now();
    }
    assert_eq!(*read.lock().unwrap(), b"last=1\n");
}

//! The record of a case: what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

pub struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { start: Instant::now(), file: Mutex::new(BufWriter::new(file)) }
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn add(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.seconds());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }

    /// Adds a line that also goes to standard output.
    pub fn say(&self, text: &str) {
        println!("{:8.3} {text}", self.seconds());
        self.add(text);
        let _ = self.file.lock().unwrap().flush();
    }
}

//! The record of a run, with times since its start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Writes timed lines to a file; clones share it.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).unwrap_or_else(|error| {
            eprintln!("{path}: {error}");
            std::process::exit(2);
        });
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(file))),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("the lock is not poisoned");
        let _ = writeln!(file, "{:9.3} s  {text}", self.start.elapsed().as_secs_f64());
    }

    pub fn flush(&self) {
        let _ = self.file.lock().expect("the lock is not poisoned").flush();
    }
}

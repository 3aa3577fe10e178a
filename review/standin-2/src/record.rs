//! What was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// The record of a run.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Adds a line.
    pub fn note(&self, line: String) {
        let ms = self.started.elapsed().as_millis();
        let mut file = self.file.lock().expect("no panic before");
        let _ = writeln!(file, "{ms:>6} ms {line}");
    }
}

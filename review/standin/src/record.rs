//! What was sent, answered and run, for `record.txt`.

use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(u128, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn note(&self, line: String) {
        let at_us = self.started.elapsed().as_micros();
        self.lines.lock().expect("not poisoned").push((at_us, line));
    }

    /// Notes a line of the summary, and prints it.
    pub fn sum(&self, line: String) {
        println!("{line}");
        self.note(format!("SUM {line}"));
    }

    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut lines = self.lines.lock().expect("not poisoned");
        lines.sort_by_key(|(at_us, _)| *at_us);
        let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
        for (at_us, line) in lines.iter() {
            writeln!(file, "{:>9.3} s  {line}", *at_us as f64 / 1e6)?;
        }
        file.flush()
    }
}

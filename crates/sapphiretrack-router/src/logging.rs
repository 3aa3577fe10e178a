//! The log: one line an event to standard output, through a bounded queue that never blocks.

use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread::Thread;
use std::time::{Duration, Instant, SystemTime};

use fern::Dispatch;
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};

use crate::events::{Event, LOG_TARGET};

/// Lines that wait for the writer: eighteen seconds of a router at sixteen times its usual load.
const QUEUED_LINES: usize = 4_096;
/// The pause between two writes. Lines are written together, since at usual load a write costs as
/// much as the lines of several requests; a router that is killed loses this much of its log.
const WRITE_PAUSE: Duration = Duration::from_millis(250);

/// How long a flush waits at most: a reader that stopped reading must not hold up the end.
const FLUSH_LIMIT: Duration = Duration::from_millis(100);
/// How often a flush looks whether all is written.
const FLUSH_CHECK: Duration = Duration::from_millis(2);

/// Lines that were dropped because the queue was full.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);
/// Lines that were put into the queue.
static QUEUED: AtomicU64 = AtomicU64::new(0);
/// Of them, those that were written.
static WRITTEN: AtomicU64 = AtomicU64::new(0);

/// How many lines were dropped so far.
pub fn dropped_log_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Starts the log of this process.
pub fn start_logging(level: LevelFilter) -> Result<(), log::SetLoggerError> {
    let (lines, queue) = sync_channel(QUEUED_LINES);
    let writer = std::thread::spawn(move || write_lines(&queue));
    let queue: Box<dyn Log> = Box::new(LineQueue {
        lines,
        writer: writer.thread().clone(),
    });
    Dispatch::new()
        .level(LevelFilter::Off)
        .level_for(LOG_TARGET, level)
        .chain(queue)
        .apply()
}

/// Turns records into lines for the writer.
struct LineQueue {
    lines: SyncSender<String>,
    writer: Thread,
}

impl Log for LineQueue {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        match self.lines.try_send(log_line(record)) {
            Ok(()) => QUEUED.fetch_add(1, Ordering::Relaxed),
            Err(_) => DROPPED_LINES.fetch_add(1, Ordering::Relaxed),
        };
    }

    /// Has the writer write at once, and waits for it.
    fn flush(&self) {
        let start = Instant::now();
        let queued = QUEUED.load(Ordering::Relaxed);
        while WRITTEN.load(Ordering::Relaxed) < queued && start.elapsed() < FLUSH_LIMIT {
            self.writer.unpark();
            std::thread::sleep(FLUSH_CHECK);
        }
    }
}

/// One line: `TIME LEVEL event=NUMBER "TEXT" key=value`.
fn log_line(record: &Record<'_>) -> String {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let time_ms = since.map_or(0, |since| since.as_millis() as u64);
    let mut line = Line(String::with_capacity(160));
    let text = record.args().to_string();
    // Writing to a string cannot fail.
    let _ = write!(line.0, "{time_ms} {} text={text:?}", record.level());
    drop(record.key_values().visit(&mut line));
    line.0.push('\n');
    line.0
}

struct Line(String);

impl<'kvs> VisitSource<'kvs> for Line {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let value = value.to_string();
        let is_plain = !value.is_empty() && !value.contains([' ', '"', '=', '\n']);
        match is_plain {
            true => write!(self.0, " {key}={value}"),
            false => write!(self.0, " {key}={value:?}"),
        }?;
        Ok(())
    }
}

/// Writes lines until the process ends. A reader that stops reading blocks only this thread.
fn write_lines(queue: &Receiver<String>) {
    let mut told = 0;
    while let Ok(mut lines) = queue.recv() {
        std::thread::park_timeout(WRITE_PAUSE);
        let mut count = 1;
        while let Ok(line) = queue.try_recv() {
            lines.push_str(&line);
            count += 1;
        }
        let dropped = dropped_log_lines();
        if dropped > told {
            let Event { number, text, .. } = Event::LOG_DROPPED;
            lines.push_str(&format!(
                "0 WARN text={text:?} event={number} total={dropped}\n"
            ));
            told = dropped;
        }
        // Nobody reads the log any more: there is nobody to tell.
        drop(std::io::stdout().write_all(lines.as_bytes()));
        drop(std::io::stdout().flush());
        WRITTEN.fetch_add(count, Ordering::Relaxed);
    }
}

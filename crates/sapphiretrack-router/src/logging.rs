//! The log: one line per event on standard output, through a bounded queue that never blocks.

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

/// The most lines that wait for the writer: eighteen seconds of a router at sixteen times its usual
/// load.
const MAX_QUEUED_LINES: usize = 4_096;
/// The pause between two writes. Lines are written in batches, since at usual load one write costs
/// as much as the lines of several requests. A router that is killed loses up to this much of its
/// log.
const WRITE_PAUSE: Duration = Duration::from_millis(250);

/// The longest that a flush waits, so that a reader that stopped reading does not delay the exit.
const FLUSH_LIMIT: Duration = Duration::from_millis(100);
/// The interval at which a flush checks whether all lines are written.
const FLUSH_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Lines that were dropped because the queue was full.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);
/// Lines that were put into the queue.
static QUEUED_LINES: AtomicU64 = AtomicU64::new(0);
/// Queued lines that were written.
static WRITTEN_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns how many lines were dropped since the process started, because the queue was full.
pub fn dropped_log_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Starts the log of this process; fails if it already has a logger.
pub fn start_logging(level: LevelFilter) -> Result<(), log::SetLoggerError> {
    let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
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

/// Formats records as lines and queues them for the writer.
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
            Ok(()) => QUEUED_LINES.fetch_add(1, Ordering::Relaxed),
            Err(_) => DROPPED_LINES.fetch_add(1, Ordering::Relaxed),
        };
    }

    /// Wakes the writer and waits until all lines queued so far are written, up to `FLUSH_LIMIT`.
    fn flush(&self) {
        let start = Instant::now();
        let queued = QUEUED_LINES.load(Ordering::Relaxed);
        while WRITTEN_LINES.load(Ordering::Relaxed) < queued && start.elapsed() < FLUSH_LIMIT {
            self.writer.unpark();
            std::thread::sleep(FLUSH_CHECK_INTERVAL);
        }
    }
}

/// Formats a record as `TIME LEVEL text="TEXT" key=value`; the first key of an event is its number.
fn log_line(record: &Record<'_>) -> String {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let time_ms = since.map_or(0, |since| since.as_millis() as u64);
    let mut line = Line(String::with_capacity(160));
    let text = record.args().to_string();
    // Writing to a `String` cannot fail.
    let _ = write!(line.0, "{time_ms} {} text={text:?}", record.level());
    drop(record.key_values().visit(&mut line));
    line.0.push('\n');
    line.0
}

struct Line(String);

impl<'kvs> VisitSource<'kvs> for Line {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let value = value.to_string();
        let is_special = |one: char| one.is_control() || matches!(one, ' ' | '"' | '=');
        let is_plain = !value.is_empty() && !value.contains(is_special);
        match is_plain {
            true => write!(self.0, " {key}={value}"),
            false => write!(self.0, " {key}={value:?}"),
        }?;
        Ok(())
    }
}

/// Writes queued lines until the process ends. A reader that stops reading blocks only this thread.
fn write_lines(queue: &Receiver<String>) {
    let mut reported = 0;
    while let Ok(mut lines) = queue.recv() {
        std::thread::park_timeout(WRITE_PAUSE);
        let mut count = 1;
        while let Ok(line) = queue.try_recv() {
            lines.push_str(&line);
            count += 1;
        }
        let dropped = dropped_log_lines();
        if dropped > reported {
            let Event { number, text, .. } = Event::LOG_LINES_DROPPED;
            lines.push_str(&format!(
                "0 WARN text={text:?} event={number} total={dropped}\n"
            ));
            reported = dropped;
        }
        // A failed write means that the log has no reader, so there is no place to report it.
        drop(std::io::stdout().write_all(lines.as_bytes()));
        drop(std::io::stdout().flush());
        WRITTEN_LINES.fetch_add(count, Ordering::Relaxed);
    }
}

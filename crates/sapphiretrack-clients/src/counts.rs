//! Counts what was refused or closed, and bounds how often it is logged.

use std::sync::atomic::{AtomicU64, Ordering};

use tokio::time::Instant;

use crate::memory::ClientEvent;

/// The interval between two log lines of one kind.
const LOG_INTERVAL_MS: u64 = 1_000;

/// What was refused or closed since the process started, so that it stays within its limits.
#[derive(Debug)]
pub struct ClientCounts {
    started: Instant,
    closed_connections: Occurrences,
    reclaimed_bodies: Occurrences,
    refused_bodies: Occurrences,
}

#[derive(Debug, Default)]
struct Occurrences {
    count: AtomicU64,
    next_log_ms: AtomicU64,
}

impl Default for ClientCounts {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            closed_connections: Occurrences::default(),
            reclaimed_bodies: Occurrences::default(),
            refused_bodies: Occurrences::default(),
        }
    }
}

impl ClientCounts {
    /// Counts an event. Returns the number of its kind if it is to be logged: one in each second.
    pub fn record(&self, event: ClientEvent) -> Option<u64> {
        let occurrences = match event {
            ClientEvent::ConnectionClosed { .. } => &self.closed_connections,
            ClientEvent::UploadReclaimed { .. } => &self.reclaimed_bodies,
            ClientEvent::UploadRefused { .. } => &self.refused_bodies,
        };
        let relaxed = Ordering::Relaxed;
        let count = occurrences.count.fetch_add(1, relaxed) + 1;
        let now_ms = self.started.elapsed().as_millis() as u64;
        let next_ms = occurrences.next_log_ms.load(relaxed);
        let later_ms = now_ms + LOG_INTERVAL_MS;
        let next = &occurrences.next_log_ms;
        let is_due = now_ms >= next_ms
            && next
                .compare_exchange(next_ms, later_ms, relaxed, relaxed)
                .is_ok();
        is_due.then_some(count)
    }

    /// Connections that were closed for others.
    pub fn closed_connections(&self) -> u64 {
        self.closed_connections.count.load(Ordering::Relaxed)
    }

    /// Bodies that gave way to others.
    pub fn reclaimed_bodies(&self) -> u64 {
        self.reclaimed_bodies.count.load(Ordering::Relaxed)
    }

    /// Bodies for which there was no memory.
    pub fn refused_bodies(&self) -> u64 {
        self.refused_bodies.count.load(Ordering::Relaxed)
    }
}

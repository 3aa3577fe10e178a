//! The requests in flight, what clients hold, and the phases of the process.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use sapphiretrack_routing::{HeldAnswers, MachineLimits};
use tokio::sync::Notify;

use crate::client_limits::ClientResources;
use crate::clock::Clock;
use crate::unusable_records::UnusableRecords;

/// What the process does, for its planned stop, the limit on memory, and its reports.
pub(crate) struct Activity {
    started_ms: u64,
    /// When the planned stop began; 0 before.
    leaving_since_ms: AtomicU64,
    /// Notified when the planned stop begins.
    leaving: Notify,
    in_flight: AtomicUsize,
    last_request_ms: AtomicU64,
    /// What clients make this process hold.
    pub(crate) clients: ClientResources,
    held_answers: Arc<HeldAnswers>,
    /// The records of the store that were reported as unusable.
    pub(crate) unusable_records: UnusableRecords,
}

/// Counts a request as in flight until this is dropped.
pub(crate) struct InFlight(Arc<Activity>);

impl Activity {
    /// The state of a process that has just started.
    pub(crate) fn new(machine: MachineLimits) -> Self {
        let held_answers = Arc::default();
        Self {
            started_ms: Clock.now_ms(),
            leaving_since_ms: AtomicU64::new(0),
            leaving: Notify::new(),
            in_flight: AtomicUsize::new(0),
            last_request_ms: AtomicU64::new(0),
            clients: ClientResources::new(machine, &held_answers),
            held_answers,
            unusable_records: UnusableRecords::default(),
        }
    }

    /// The time since the process started.
    pub(crate) fn uptime_ms(&self) -> u64 {
        Clock.now_ms().saturating_sub(self.started_ms)
    }

    /// Begins the planned stop. Returns false if it has begun before.
    pub(crate) fn begin_stop(&self) -> bool {
        let now_ms = Clock.now_ms().max(1);
        let has_begun = self
            .leaving_since_ms
            .compare_exchange(0, now_ms, Ordering::Relaxed, Ordering::Relaxed)
            .is_ok();
        self.leaving.notify_waiters();
        has_begun
    }

    /// Waits until the planned stop has begun, and returns the time since then.
    pub(crate) async fn stop_begun(&self) -> u64 {
        loop {
            // Notified also of a stop that begins between the check and the wait.
            let leaving = self.leaving.notified();
            if let Some(since_ms) = self.leaving_for_ms() {
                return since_ms;
            }
            leaving.await;
        }
    }

    /// The time since the planned stop began; none if it has not begun.
    pub(crate) fn leaving_for_ms(&self) -> Option<u64> {
        match self.leaving_since_ms.load(Ordering::Relaxed) {
            0 => None,
            since_ms => Some(Clock.now_ms().saturating_sub(since_ms)),
        }
    }

    /// Counts a request as in flight.
    pub(crate) fn begin_request(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.last_request_ms
            .store(Clock.now_ms(), Ordering::Relaxed);
        InFlight(self.clone())
    }

    /// The number of requests in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// The number of requests in flight, plus one while there are answers of which callers have not taken
    /// everything yet.
    pub(crate) fn unfinished(&self) -> usize {
        self.in_flight() + usize::from(self.held_answers.bytes() > 0)
    }

    /// The time since the last request arrived or ended.
    pub(crate) fn quiet_ms(&self) -> u64 {
        let last_ms = self.last_request_ms.load(Ordering::Relaxed);
        Clock.now_ms().saturating_sub(last_ms)
    }

    /// The bytes of answers that callers have not taken yet.
    pub(crate) fn held_answers(&self) -> &Arc<HeldAnswers> {
        &self.held_answers
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.0
            .last_request_ms
            .store(Clock.now_ms(), Ordering::Relaxed);
    }
}

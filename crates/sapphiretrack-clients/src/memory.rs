//! The memory that clients hold, shared by all listeners of a process.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sapphiretrack_routing::{ClientBudget, UploadGrant};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

/// How long an upload waits at a time for others to give way before it asks again.
const RELEASE_WAIT: Duration = Duration::from_millis(250);

/// What was refused or closed so that the process stays within its limits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClientEvent {
    /// A connection without a running request was closed, as another one needed its place.
    ConnectionClosed {
        /// The listener.
        listener: &'static str,
        /// The connections that are open there.
        open: usize,
    },
    /// A body was not read further, as others needed its memory and it hardly moved.
    UploadReclaimed {
        /// The bytes that were read.
        received_bytes: usize,
        /// All bytes that clients hold.
        used_bytes: usize,
    },
    /// There was no memory for a body.
    UploadRefused {
        /// The bytes that were read.
        received_bytes: usize,
        /// All bytes that clients hold.
        used_bytes: usize,
    },
}

/// Reports an event to the log and the metrics.
pub type Report = Box<dyn Fn(ClientEvent) + Send + Sync>;

/// The memory that clients hold, and its limit.
pub struct ClientMemory {
    state: Mutex<State>,
    released: Notify,
    /// The bytes that clients hold and that are accounted for elsewhere.
    other_bytes: Box<dyn Fn() -> usize + Send + Sync>,
    report: Report,
    started: Instant,
}

struct State {
    budget: ClientBudget,
    /// Wakes the uploads that have to give way.
    reclaims: HashMap<u64, Arc<Notify>>,
}

impl fmt::Debug for ClientMemory {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = self.lock();
        formatter
            .debug_struct("ClientMemory")
            .field("budget", &state.budget)
            .finish_non_exhaustive()
    }
}

impl ClientMemory {
    /// Memory with a limit. `other_bytes` returns what clients hold beside it.
    pub fn new<OtherBytes>(limit_bytes: usize, other_bytes: OtherBytes, report: Report) -> Self
    where
        OtherBytes: Fn() -> usize + Send + Sync + 'static,
    {
        Self {
            state: Mutex::new(State {
                budget: ClientBudget::new(limit_bytes),
                reclaims: HashMap::new(),
            }),
            released: Notify::new(),
            other_bytes: Box::new(other_bytes),
            report,
            started: Instant::now(),
        }
    }

    /// Sets the limit.
    pub fn set_limit(&self, limit_bytes: usize) {
        self.lock().budget.set_limit(limit_bytes);
    }

    /// The bytes that clients hold.
    pub fn used_bytes(&self) -> usize {
        self.lock().budget.used_bytes() + (self.other_bytes)()
    }

    /// The largest body that is read while there are no other clients.
    pub fn max_upload_bytes(&self) -> usize {
        self.lock().budget.max_upload_bytes()
    }

    /// Reserves memory for a request whose body was read, after stalled uploads gave way if need be; none if there is
    /// no room.
    pub async fn hold_request(self: &Arc<Self>, bytes: usize) -> Option<HeldMemory> {
        let has_room = self
            .reserve(|budget, other_bytes, now_ms| budget.hold_request(bytes, other_bytes, now_ms))
            .await;
        has_room.then(|| HeldMemory {
            memory: self.clone(),
            bytes,
        })
    }

    /// Asks the budget until it grants or refuses, while others give way. Returns whether it granted.
    async fn reserve<Ask>(&self, ask: Ask) -> bool
    where
        Ask: Fn(&mut ClientBudget, usize, u64) -> UploadGrant,
    {
        loop {
            let released = self.released.notified();
            match self.ask(&ask) {
                UploadGrant::Granted => return true,
                UploadGrant::Refused => return false,
                UploadGrant::Awaited(_) => drop(timeout(RELEASE_WAIT, released).await),
            }
        }
    }

    /// Asks the budget once, and wakes the uploads that have to give way.
    fn ask<Ask>(&self, ask: Ask) -> UploadGrant
    where
        Ask: Fn(&mut ClientBudget, usize, u64) -> UploadGrant,
    {
        let other_bytes = (self.other_bytes)();
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let grant = ask(&mut state.budget, other_bytes, now_ms);
        if let UploadGrant::Awaited(chosen) = &grant {
            for reclaim in chosen.iter().filter_map(|id| state.reclaims.get(id)) {
                reclaim.notify_one();
            }
        }
        grant
    }

    /// Accounts for memory whose amount is limited by other means.
    pub(crate) fn hold(self: &Arc<Self>, bytes: usize) -> HeldMemory {
        self.lock().budget.hold(bytes);
        HeldMemory {
            memory: self.clone(),
            bytes,
        }
    }

    /// Whether a body of a known length would get room.
    pub(crate) fn may_fit(&self, bytes: usize) -> bool {
        let other_bytes = (self.other_bytes)();
        let now_ms = self.now_ms();
        self.lock().budget.may_fit(bytes, other_bytes, now_ms)
    }

    pub(crate) fn begin_upload(self: &Arc<Self>) -> UploadMemory {
        let reclaim = Arc::new(Notify::new());
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let id = state.budget.begin_upload(now_ms);
        state.reclaims.insert(id, reclaim.clone());
        drop(state);
        UploadMemory {
            memory: self.clone(),
            id,
            reclaim,
        }
    }

    pub(crate) fn report(&self, event: ClientEvent) {
        (self.report)(event);
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Memory that is accounted for until this is dropped.
#[derive(Debug)]
pub struct HeldMemory {
    memory: Arc<ClientMemory>,
    bytes: usize,
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.memory.lock().budget.release(self.bytes);
        self.memory.released.notify_waiters();
    }
}

/// The memory of a body that is being read, which is freed when this is dropped.
#[derive(Debug)]
pub(crate) struct UploadMemory {
    memory: Arc<ClientMemory>,
    id: u64,
    reclaim: Arc<Notify>,
}

impl UploadMemory {
    /// Wakes when this upload has to give way.
    pub(crate) fn reclaim(&self) -> Arc<Notify> {
        self.reclaim.clone()
    }

    pub(crate) fn is_reclaimed(&self) -> bool {
        self.memory.lock().budget.is_reclaimed(self.id)
    }

    pub(crate) fn record(&self, bytes: usize) {
        let now_ms = self.memory.now_ms();
        self.memory
            .lock()
            .budget
            .record_upload(self.id, bytes, now_ms);
    }

    /// Reserves more memory, after others gave way if need be. Returns false if there is none.
    pub(crate) async fn grow(&self, bytes: usize) -> bool {
        self.memory.reserve(self.growth(bytes)).await
    }

    /// Reserves more memory if there is room now. Returns false if there is not; others then begin to give way.
    pub(crate) fn grow_at_once(&self, bytes: usize) -> bool {
        self.memory.ask(self.growth(bytes)) == UploadGrant::Granted
    }

    /// How to ask the budget for more memory.
    fn growth(&self, bytes: usize) -> impl Fn(&mut ClientBudget, usize, u64) -> UploadGrant {
        let id = self.id;
        move |budget, other_bytes, now_ms| budget.grow_upload(id, bytes, other_bytes, now_ms)
    }

    /// Keeps the memory for the request that runs with this body.
    pub(crate) fn finish(self) -> HeldMemory {
        let bytes = self.memory.lock().budget.finish_upload(self.id);
        HeldMemory {
            memory: self.memory.clone(),
            bytes,
        }
    }
}

impl Drop for UploadMemory {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.budget.drop_upload(self.id);
        state.reclaims.remove(&self.id);
        drop(state);
        self.memory.released.notify_waiters();
    }
}

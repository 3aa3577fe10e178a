//! State shared by all requests of a load.

use std::collections::BTreeMap;
use std::sync::atomic::AtomicBool;
use std::sync::{Mutex, MutexGuard, PoisonError};

use sapphiretrack_caller::CallerClient;

use crate::load::entries::AddressCache;
use crate::load::history::RequestRecord;
use crate::load::settings::LoadSettings;
use crate::load::statistics::Statistics;

/// State shared by all requests of a load.
pub(crate) struct Shared {
    pub(crate) settings: LoadSettings,
    pub(crate) address_caches: Vec<AddressCache>,
    pub(crate) client: CallerClient,
    pub(crate) statistics: Mutex<Statistics>,
    pub(crate) history: Mutex<Vec<RequestRecord>>,
    /// The latest warm value of each chat, by the chat's number.
    pub(crate) warm: Mutex<BTreeMap<u64, String>>,
    pub(crate) stopped: AtomicBool,
}

/// Locks a mutex even if it is poisoned: the statistics stay readable after a panic of a task.
pub(crate) fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

//! At which versions of servers' software this router begins streams, by the newest row of sole versions and the lists
//! that it knows.

use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use sapphiretrack_routing::{
    KnownRow, ListedChange, ReadVersions, SoftwareVersion, StoredVersions, VersionClearance,
    VersionHistory,
};
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

use crate::clock::Clock;
use crate::events::{Event, note};
use crate::lock::lock;
use crate::shared::Shared;
use crate::stream_origins::is_list_younger;

/// The interval at which the age of the list of servers is checked.
const VERIFY_INTERVAL: Duration = Duration::from_millis(250);
/// How long after a read that failed streams are refused without another one.
const FAILED_READ_MS: u64 = 250;
/// How long a stream that a caller takes up waits for the row.
pub(crate) const DEMANDED_READ_LIMIT: Duration = Duration::from_millis(700);

/// What this router knows of the row of sole versions, and the versions at which it begins no stream yet.
#[derive(Default)]
pub(crate) struct StreamVersions {
    pub(crate) clearance: Mutex<VersionClearance>,
    /// Since when this router has known the newest row.
    pub(crate) row_since_ms: AtomicU64,
    /// Whether streams may begin at all listed versions, for requests that need no lock then.
    is_all_cleared: AtomicBool,
    /// When the list of servers was last found to be young enough to begin streams by it.
    verified_ms: AtomicU64,
    /// Wakes the task that keeps the row.
    pub(crate) changed: Notify,
    /// The last read that a stream without a record asked for.
    pub(crate) demanded: DemandedReads,
}

/// Reads of the row for streams that callers take up.
pub(crate) struct DemandedReads {
    pub(crate) wanted: Notify,
    pub(crate) last: watch::Sender<DemandedRead>,
}

/// A read of the row. It answers all questions that were asked before it was sent.
#[derive(Clone, Default)]
pub(crate) struct DemandedRead {
    pub(crate) sent_ms: u64,
    pub(crate) ended_ms: u64,
    /// `None` if the store did not answer.
    pub(crate) read: Option<ReadVersions>,
}

impl Default for DemandedReads {
    fn default() -> Self {
        Self {
            wanted: Notify::new(),
            last: watch::channel(DemandedRead::default()).0,
        }
    }
}

impl StreamVersions {
    /// Records the versions that a list of servers has, before the list is in use. `list_version` is the newest
    /// version of the store that the list may reflect.
    pub(crate) fn record_listed(
        &self,
        history: &VersionHistory,
        change: &ListedChange,
        list_version: u64,
    ) {
        if !change.has_changed {
            return;
        }
        if change.is_first {
            self.verified_ms.store(Clock.now_ms(), Ordering::Relaxed);
        }
        let mut clearance = lock(&self.clearance);
        clearance.retain_listed(|service, software| history.listed(service).contains(&software));
        for (service, software) in &change.appeared {
            clearance.add_listed(service, *software, list_version, change.is_first);
            if history.has_streams(service) && !clearance.is_cleared(service, *software) {
                let row = clearance
                    .row()
                    .map(|row| row.stored.row_version.to_string());
                note!(
                    Event::VERSION_HELD_BACK,
                    service = service,
                    software = software.0,
                    list = list_version,
                    row = row.as_deref().unwrap_or("-"),
                );
            }
        }
        self.update(history, &clearance);
    }

    /// Records that routes changed, and with them the services at which streams begin.
    pub(crate) fn record_routes(&self, history: &VersionHistory) {
        self.update(history, &lock(&self.clearance));
    }

    /// The versions of a service at which this router begins no stream that may be taken up.
    pub(crate) fn excluded(&self, shared: &Shared, service: &str) -> HashSet<SoftwareVersion> {
        let is_verified = self.is_verified(shared);
        if is_verified && self.is_all_cleared.load(Ordering::Relaxed) {
            return HashSet::new();
        }
        let mut listed = shared.stream_origins.history().listed(service);
        let clearance = lock(&self.clearance);
        listed.retain(|software| !is_verified || !clearance.is_cleared(service, *software));
        listed
    }

    /// Whether streams may begin at all listed versions.
    pub(crate) fn is_all_cleared(&self) -> bool {
        self.is_all_cleared.load(Ordering::Relaxed)
    }

    /// Whether this router knew all along what was listed. Others may have stored another version once they had listed
    /// it alone for long enough.
    fn is_verified(&self, shared: &Shared) -> bool {
        let settle_ms = shared.settings().attempts.sole_version_ms;
        let verified_ms = self.verified_ms.load(Ordering::Relaxed);
        settle_ms == 0 || Clock.now_ms() < verified_ms + settle_ms
    }

    /// Notes that the list of servers is young enough. After a time in which it was not, all versions count as newly
    /// listed.
    fn verify(&self, shared: &Shared) {
        let settle_ms = shared.settings().attempts.sole_version_ms;
        if !shared.has_server_list.load(Ordering::Relaxed) || !is_list_younger(shared, settle_ms) {
            return;
        }
        if !self.is_verified(shared) {
            let list_version = list_version(shared);
            note!(Event::LISTS_MISSED, list = list_version);
            let history = shared.stream_origins.history();
            let mut clearance = lock(&self.clearance);
            clearance.renew(list_version);
            self.update(&history, &clearance);
        }
        self.verified_ms.store(Clock.now_ms(), Ordering::Relaxed);
    }

    /// Reads the row at the store, after this was called; `None` if that takes too long.
    pub(crate) async fn read_now(&self) -> Option<ReadVersions> {
        let asked_ms = Clock.now_ms();
        let mut last = self.demanded.last.subscribe();
        let has_just_failed = {
            let last = last.borrow();
            last.read.is_none() && last.ended_ms > 0 && asked_ms < last.ended_ms + FAILED_READ_MS
        };
        if has_just_failed {
            return None;
        }
        self.demanded.wanted.notify_one();
        let is_newer = |read: &DemandedRead| read.sent_ms >= asked_ms;
        let read = timeout(DEMANDED_READ_LIMIT, last.wait_for(is_newer)).await;
        read.ok()?.ok()?.read.clone()
    }

    /// The newest row that this router knows.
    pub(crate) fn row(&self) -> Option<KnownRow> {
        lock(&self.clearance).row().cloned()
    }

    /// Records the row as it was read or written at a version of the store, unless a newer one is known.
    pub(crate) fn record_row(&self, shared: &Shared, stored: StoredVersions, read_version: u64) {
        let history = shared.stream_origins.history();
        let mut clearance = lock(&self.clearance);
        if clearance.record_row(stored, read_version) {
            self.row_since_ms.store(Clock.now_ms(), Ordering::Relaxed);
        }
        self.update(&history, &clearance);
    }

    /// Compares the listed versions with the row; wakes the task that clears them.
    fn update(&self, history: &VersionHistory, clearance: &VersionClearance) {
        let Some(row) = clearance.row() else {
            return;
        };
        let uncleared = clearance.uncleared(|service| history.has_streams(service));
        let is_all_cleared = uncleared.is_empty();
        let was_all_cleared = self.is_all_cleared.swap(is_all_cleared, Ordering::Relaxed);
        if is_all_cleared && !was_all_cleared {
            note!(Event::VERSIONS_CLEARED, row = row.stored.row_version);
        }
        if !is_all_cleared {
            self.changed.notify_one();
        }
    }
}

/// The newest version of the store that the list of servers may reflect.
pub(crate) fn list_version(shared: &Shared) -> u64 {
    let state = shared.servers_watch().state();
    let version = state.version().unwrap_or(0);
    version
        .max(state.changed_version())
        .max(state.wanted_version())
}

/// Checks at intervals whether the list of servers is young enough to begin streams by it, until the process ends.
pub(crate) async fn verify_listed_versions(shared: Arc<Shared>) {
    loop {
        sleep(VERIFY_INTERVAL).await;
        shared.stream_origins.stored.verify(&shared);
    }
}

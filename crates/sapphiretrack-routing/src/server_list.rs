//! The list of backend servers that accept work, from the store's entries.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use sapphiretrack_core::hash_parts;
use serde::{Deserialize, Serialize};

use crate::SoftwareVersion;

/// One run of a backend server, identified by its id and, where ids are reused, its start time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Computes the incarnation from a server's id and the Unix time of its start in milliseconds.
    pub fn new(id: &str, started_ms: Option<u64>) -> Self {
        let started = started_ms.unwrap_or(0).to_le_bytes();
        Self(hash_parts(&[id.as_bytes(), &started]))
    }

    /// Returns a short tag for messages about many servers. Among a few thousand servers collisions
    /// are rare; such servers are counted with each other's load.
    pub fn tag(self) -> u32 {
        self.0 as u32
    }
}

/// The state that a server reports.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ServerState {
    /// It accepts work.
    Ready,
    /// It finishes its requests, then ends.
    Draining,
}

/// A decoded entry of a server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServerEntry {
    /// Its id. Requests contain it so that no other server runs them.
    pub id: Arc<str>,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Service that it belongs to.
    pub service: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// State that it reports.
    pub state: ServerState,
    /// Version of its software as it states it.
    pub software_version: Arc<str>,
    /// For how long it stays cold, in milliseconds, by an entry that was just read from the store.
    /// Other routers get a [`crate::ColdReport`] instead, since the value ages.
    #[serde(skip)]
    pub cold_left_ms: u32,
}

impl ServerEntry {
    /// Returns whether the platform may start another server under its id: entries state the start time then.
    pub fn may_reuse_id(&self) -> bool {
        self.incarnation != Incarnation::new(&self.id, None)
    }

    /// Returns the version of its software within its service.
    pub fn software(&self) -> SoftwareVersion {
        SoftwareVersion::new(&self.service, &self.software_version)
    }
}

/// A change of the list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ServerChange {
    /// The newest entry of a server.
    Entry(ServerEntry),
    /// The entry of a server was removed.
    Gone {
        /// Id of the server.
        id: String,
    },
    /// An entry is invalid and does not identify a server.
    Unreadable {
        /// Key of the entry.
        id: String,
        /// Reason why the entry is invalid.
        reason: String,
    },
}

/// A listed server.
#[derive(Clone, Debug)]
pub struct ListedServer {
    /// Its newest entry.
    pub entry: Arc<ServerEntry>,
    /// Since when its entry has been missing, while entries may still be restored; `None` if
    /// present.
    pub missing_since_ms: Option<u64>,
}

/// All listed servers.
///
/// Draining is final for an incarnation: an older entry that arrives late does not undo it.
#[derive(Clone, Debug, Default)]
pub struct ServerList {
    servers: BTreeMap<Arc<str>, ListedServer>,
    drained: HashSet<Incarnation>,
    /// Until when missing entries may still be restored after an outage of the store.
    recovery_grace_until_ms: u64,
}

impl ServerList {
    /// Time within which entries that lapsed during an outage are restored by the store's contract,
    /// in milliseconds, plus a tenth for the transmission.
    const RECOVERY_GRACE_MS: u64 = 2_200;
    /// The same if only another router observed an outage. The cause may have been that router's
    /// own, and a server that is gone must not still be used after two seconds.
    const PEER_RECOVERY_GRACE_MS: u64 = 1_800;
    /// Maximum number of drained incarnations kept.
    const MAX_DRAINED: usize = 10_000;

    /// Records that the store answers this router again after an outage.
    pub fn record_store_recovery(&mut self, now_ms: u64) {
        self.recovery_grace_until_ms = now_ms + Self::RECOVERY_GRACE_MS;
    }

    /// Records the time at which another router observed that the store recovered from an outage,
    /// which this router may not have observed. Idempotent.
    pub fn record_peer_recovery(&mut self, recovered_ms: u64) {
        let until_ms = recovered_ms + Self::PEER_RECOVERY_GRACE_MS;
        self.recovery_grace_until_ms = self.recovery_grace_until_ms.max(until_ms);
    }

    /// Inserts or updates an entry. Returns true if the server is draining and was not recorded as
    /// draining before.
    pub fn upsert(&mut self, entry: ServerEntry) -> bool {
        if entry.state == ServerState::Draining {
            if self.drained.len() >= Self::MAX_DRAINED {
                self.drained.clear();
            }
            let is_new = self.drained.insert(entry.incarnation);
            self.servers.remove(&entry.id);
            return is_new;
        }
        if self.drained.contains(&entry.incarnation) {
            return false;
        }
        let listed = ListedServer {
            missing_since_ms: None,
            entry: Arc::new(entry),
        };
        self.servers.insert(listed.entry.id.clone(), listed);
        false
    }

    /// Records that an entry was removed. Returns true if the server is no longer used from now on.
    pub fn remove(&mut self, id: &str, now_ms: u64) -> bool {
        if now_ms < self.recovery_grace_until_ms {
            if let Some(listed) = self.servers.get_mut(id) {
                listed.missing_since_ms.get_or_insert(now_ms);
            }
            return false;
        }
        self.servers.remove(id).is_some()
    }

    /// Replaces all entries. Returns the ids that are missing from them and were dropped.
    pub fn replace(&mut self, entries: Vec<ServerEntry>, now_ms: u64) -> Vec<Arc<str>> {
        let present: HashSet<Arc<str>> = entries.iter().map(|entry| entry.id.clone()).collect();
        for entry in entries {
            self.upsert(entry);
        }
        let missing = self.servers.keys().filter(|id| !present.contains(*id));
        let missing: Vec<Arc<str>> = missing.cloned().collect();
        let dropped = missing.into_iter().filter(|id| self.remove(id, now_ms));
        dropped.collect()
    }

    /// Drops entries that were not restored in time. Returns their ids.
    pub fn drop_missing(&mut self, now_ms: u64) -> Vec<Arc<str>> {
        if now_ms < self.recovery_grace_until_ms {
            return Vec::new();
        }
        let expired = self.servers.iter();
        let expired = expired.filter(|(_, listed)| listed.missing_since_ms.is_some());
        let expired: Vec<Arc<str>> = expired.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.servers.remove(id);
        }
        expired
    }

    /// Returns whether this run of a server is listed.
    pub fn contains(&self, entry: &ServerEntry) -> bool {
        let listed = self.servers.get(&entry.id);
        listed.is_some_and(|listed| listed.entry.incarnation == entry.incarnation)
    }

    /// Returns whether entries are missing that may still be restored.
    pub fn has_missing_entries(&self) -> bool {
        let mut servers = self.servers.values();
        servers.any(|listed| listed.missing_since_ms.is_some())
    }

    /// Returns the servers by service, for placement.
    pub fn by_service(&self) -> HashMap<String, Vec<Arc<ServerEntry>>> {
        let mut services: HashMap<String, Vec<Arc<ServerEntry>>> = HashMap::new();
        for listed in self.servers.values() {
            let service = services.entry(listed.entry.service.clone()).or_default();
            service.push(listed.entry.clone());
        }
        services
    }

    /// Returns the servers whose entries are present in the store.
    pub fn present(&self) -> Vec<Arc<ServerEntry>> {
        let present = self.servers.values();
        let present = present.filter(|listed| listed.missing_since_ms.is_none());
        present.map(|listed| listed.entry.clone()).collect()
    }

    /// Returns the number of listed servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether no server is listed.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}

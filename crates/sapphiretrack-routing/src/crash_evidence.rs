//! Tracks which requests were running on backend servers that crashed, to find requests that crash
//! one server after another.

use std::collections::{BTreeMap, HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::{Fingerprint, Outline};

/// A request was running on a backend server that ended in the middle of its answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct CrashRecord {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Incarnation of the server.
    pub server: u64,
    /// Time since the crash in milliseconds.
    pub age_ms: u32,
    /// Whether the same request later got a complete answer, so that the server must have ended for
    /// another reason.
    pub is_void: bool,
}

/// The crash records at one router. The set only grows until records expire, and routers can merge
/// each other's records in any order and any number of times.
///
/// A crash counts against every request that was running on the server. The first crash of a
/// request is recorded only at a few routers, which are chosen by rendezvous hashing; from the
/// second one on it is shared with all routers.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    requests: HashMap<Fingerprint, BTreeMap<u64, Crash>>,
    outlines: HashSet<Outline>,
    /// When each recorded server crashed.
    servers: HashMap<u64, u64>,
    /// Cached digest of the shared records; `None` after a change.
    digest: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    at_ms: u64,
    is_void: bool,
}

impl CrashEvidence {
    /// Minimum number of records of a request for them to be shared with all routers.
    pub const MIN_SHARED_RECORDS: usize = 2;
    /// Maximum number of records that are compared and sent at once.
    pub const MAX_SENT: usize = 256;
    /// Time in milliseconds after which a record expires.
    pub const RETENTION_MS: u64 = 3_600_000;
    /// Maximum number of requests kept.
    pub const MAX_REQUESTS: usize = 1_024;
    /// Maximum number of servers kept per request.
    pub const MAX_SERVERS: usize = 16;
    /// Time in milliseconds after a crash for which the server is avoided. Its entry lapses earlier
    /// unless the store is unavailable.
    pub const AVOID_MS: u64 = 30_000;

    /// Records that a server ended while it ran a request. Returns the record; `None` if it was
    /// recorded before or exceeds [`Self::MAX_SERVERS`].
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        server: u64,
        now_ms: u64,
    ) -> Option<CrashRecord> {
        let record = CrashRecord {
            fingerprint,
            server,
            age_ms: 0,
            is_void: false,
        };
        self.merge_record(&record, now_ms).then_some(record)
    }

    /// Records that a request got a complete answer, which voids all records against it. Returns
    /// the records that this voided.
    pub fn record_answered(&mut self, fingerprint: Fingerprint, now_ms: u64) -> Vec<CrashRecord> {
        let mut voided = Vec::new();
        let crashes = self.requests.get_mut(&fingerprint);
        for (server, crash) in crashes.into_iter().flatten() {
            if !crash.is_void {
                crash.is_void = true;
                self.digest = None;
                voided.push(crash.to_record(fingerprint, *server, now_ms));
            }
        }
        voided
    }

    /// Merges another router's records. Returns those that changed something.
    pub fn merge(&mut self, records: &[CrashRecord], now_ms: u64) -> Vec<CrashRecord> {
        let merged = records
            .iter()
            .filter(|record| self.merge_record(record, now_ms));
        merged.copied().collect()
    }

    fn merge_record(&mut self, record: &CrashRecord, now_ms: u64) -> bool {
        let age_ms = u64::from(record.age_ms);
        if age_ms >= Self::RETENTION_MS {
            return false;
        }
        if !self.requests.contains_key(&record.fingerprint) {
            self.evict_one();
            self.outlines.insert(record.fingerprint.outline);
        }
        let crashes = self.requests.entry(record.fingerprint).or_default();
        if let Some(known) = crashes.get_mut(&record.server) {
            let is_newly_void = record.is_void && !known.is_void;
            known.is_void |= record.is_void;
            if is_newly_void {
                self.digest = None;
            }
            return is_newly_void;
        }
        if crashes.len() == Self::MAX_SERVERS {
            return false;
        }
        let crash = Crash {
            at_ms: now_ms.saturating_sub(age_ms),
            is_void: record.is_void,
        };
        crashes.insert(record.server, crash);
        self.servers.insert(record.server, crash.at_ms);
        self.digest = None;
        true
    }

    /// Removes the request with the fewest crashes if the limit is reached; among equals, the one
    /// whose last crash is the oldest.
    fn evict_one(&mut self) {
        if self.requests.len() < Self::MAX_REQUESTS {
            return;
        }
        let fewest = self.requests.iter().min_by_key(|(fingerprint, crashes)| {
            let last_ms = crashes.values().map(|crash| crash.at_ms).max();
            (count_valid(crashes), last_ms, **fingerprint)
        });
        if let Some(fingerprint) = fewest.map(|(fingerprint, _)| *fingerprint) {
            self.digest = None;
            self.requests.remove(&fingerprint);
            self.rebuild_indexes();
        }
    }

    fn rebuild_indexes(&mut self) {
        let requests = self.requests.keys();
        self.outlines = requests.map(|fingerprint| fingerprint.outline).collect();
        let crashes = self.requests.values().flatten();
        self.servers = crashes
            .map(|(server, crash)| (*server, crash.at_ms))
            .collect();
    }

    /// Removes expired records. Returns the requests that lost any.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Fingerprint> {
        let mut expired = Vec::new();
        self.requests.retain(|fingerprint, crashes| {
            let before = crashes.len();
            crashes.retain(|_, crash| now_ms < crash.at_ms.saturating_add(Self::RETENTION_MS));
            if crashes.len() != before {
                expired.push(*fingerprint);
            }
            !crashes.is_empty()
        });
        if !expired.is_empty() {
            self.digest = None;
            self.rebuild_indexes();
        }
        expired
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns whether an incarnation of a server crashed recently, whichever request caused it.
    pub fn has_crashed(&self, server: u64, now_ms: u64) -> bool {
        let at_ms = self.servers.get(&server);
        at_ms.is_some_and(|at_ms| now_ms < at_ms.saturating_add(Self::AVOID_MS))
    }

    /// Returns whether there may be records of requests with an outline. An outline is cheaper to
    /// compute than a fingerprint.
    pub fn may_have_records(&self, outline: Outline) -> bool {
        self.outlines.contains(&outline)
    }

    /// Returns how many servers a request has crashed by the valid records.
    pub fn crashes(&self, fingerprint: Fingerprint) -> usize {
        self.requests.get(&fingerprint).map_or(0, count_valid)
    }

    /// Returns the requests that crashed at least `count` servers.
    pub fn requests_with_crashes(&self, count: usize) -> Vec<Fingerprint> {
        let requests = self.requests.iter();
        let mut found: Vec<Fingerprint> = requests
            .filter(|(_, crashes)| count_valid(crashes) >= count)
            .map(|(fingerprint, _)| *fingerprint)
            .collect();
        found.sort_unstable();
        found
    }

    /// Returns the records of one request.
    pub fn records_of(&self, fingerprint: Fingerprint, now_ms: u64) -> Vec<CrashRecord> {
        let crashes = self.requests.get(&fingerprint);
        let crashes = crashes.into_iter().flatten();
        crashes
            .map(|(server, crash)| crash.to_record(fingerprint, *server, now_ms))
            .collect()
    }

    /// Returns whether the records of a request are shared with all routers.
    pub fn is_shared(&self, fingerprint: Fingerprint) -> bool {
        let crashes = self.requests.get(&fingerprint);
        crashes.is_some_and(|crashes| crashes.len() >= Self::MIN_SHARED_RECORDS)
    }

    /// Returns the records that are shared with all routers, at most [`Self::MAX_SENT`].
    pub fn shared_records(&self, now_ms: u64) -> Vec<CrashRecord> {
        self.records(Self::MIN_SHARED_RECORDS, Self::MAX_SENT, now_ms)
    }

    /// Returns the digest of the shared records, which is equal on routers with the same records; 0
    /// if there are none.
    pub fn digest(&mut self) -> u64 {
        if let Some(digest) = self.digest {
            return digest;
        }
        let digest = CrashRecord::digest(&self.shared_records(0));
        self.digest = Some(digest);
        digest
    }

    /// Returns up to `count` records of requests that have at least `min_records` of them, those
    /// with the most crashes first.
    pub fn records(&self, min_records: usize, count: usize, now_ms: u64) -> Vec<CrashRecord> {
        let requests = self.requests.iter();
        let mut requests: Vec<_> = requests
            .filter(|(_, crashes)| crashes.len() >= min_records)
            .collect();
        requests.sort_unstable_by_key(|(fingerprint, crashes)| {
            (usize::MAX - count_valid(crashes), **fingerprint)
        });
        let records = requests.into_iter().flat_map(|(fingerprint, crashes)| {
            let crashes = crashes.iter();
            crashes.map(|(server, crash)| crash.to_record(*fingerprint, *server, now_ms))
        });
        records.take(count).collect()
    }
}

impl Crash {
    fn to_record(self, fingerprint: Fingerprint, server: u64, now_ms: u64) -> CrashRecord {
        let age_ms = now_ms.saturating_sub(self.at_ms);
        CrashRecord {
            fingerprint,
            server,
            age_ms: age_ms.min(u64::from(u32::MAX)) as u32,
            is_void: self.is_void,
        }
    }
}

impl CrashRecord {
    /// Computes a digest of a set of records. It depends neither on their order nor on their age.
    pub fn digest(records: &[Self]) -> u64 {
        let record_digest = |record: &Self| {
            let Fingerprint { outline, hash } = record.fingerprint;
            let parts = [hash as u64, (hash >> 64) as u64, outline.0, record.server];
            let start = u64::from(record.is_void);
            parts.into_iter().fold(start, |sum, part| {
                (sum.rotate_left(23) ^ part).wrapping_mul(0x9e37_79b9_7f4a_7c15)
            })
        };
        records
            .iter()
            .map(record_digest)
            .fold(records.len() as u64, u64::wrapping_add)
    }
}

fn count_valid(crashes: &BTreeMap<u64, Crash>) -> usize {
    crashes.values().filter(|crash| !crash.is_void).count()
}
